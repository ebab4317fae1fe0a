import * as net from "node:net";
import * as vitest from "vitest";
import * as clocks from "../src/common/Clock";
import * as fleets from "../standins/platform/RoutedFleet";

/** More than the operating system buffers of a connection. */
const ANSWER_BYTES = 15_000_000;

/** A stream that is larger than that, and lasts longer than its caller's deadline. */
const STREAM = { events: 400, eventBytes: 50_000, eventIntervalMs: 10 };
const DEADLINE_MS = "1500";

let fleet: fleets.RoutedFleet;

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start([
        { id: "desk-1", service: "desk", failureDomain: "zone-a", answerBytes: ANSWER_BYTES },
        { id: "model-1", service: "model", failureDomain: "zone-a", ...STREAM },
    ]);
});

vitest.afterEach(() => fleet.dispose());

/** Sends a call on a connection of its own, of which nothing is read. */
function sendCall(address: string, path: string, extraHeaders: Record<string, string>): net.Socket {
    const [host, port] = address.split(":");
    const socket = net.connect(Number(port), host);
    socket.on("error", () => undefined);
    writeCall(socket, path, extraHeaders);
    return socket;
}

function writeCall(socket: net.Socket, path: string, extraHeaders: Record<string, string>): void {
    const headers = {
        Host: "desk.example",
        "Attempt-Id": "slow",
        Authorization: `Token ${fleets.TEAM_KEY}`,
        ...extraHeaders,
    };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(`GET ${path} HTTP/1.1\r\n${lines.join("")}\r\n`);
}

/** Sends a call and reads nothing of its answer until `reading` resolves; returns the number of bytes received. */
async function callSlowly(address: string, reading: Promise<void>): Promise<number> {
    const socket = sendCall(address, "/look/1", {});
    await reading;
    let size = 0;
    socket.on("data", chunk => size += chunk.length);
    const closed = new Promise(resolve => socket.once("close", resolve));
    await Promise.race([closed, fleet.waitUntil(() => size > ANSWER_BYTES)]);
    socket.destroy();
    return size;
}

vitest.describe("a planned stop", () => {
    // Guards against answers that were cut off because their last bytes still waited for the caller.
    vitest.it("completes the answer to a caller that reads slowly", async () => {
        const entry = await fleet.addEntry(undefined, 6);
        await fleet.waitUntil(async () => await fleet.readyStatus() === 200);
        await fleet.waitUntil(async () => (await fleet.call("/look/ready")).status === 200);
        const answer = callSlowly(entry.callerAddress, clocks.sleep(clocks.systemClock, 3_500));
        await clocks.sleep(clocks.systemClock, 500);
        const exitCode = entry.stop();
        vitest.expect(await answer).toBeGreaterThan(ANSWER_BYTES);
        vitest.expect(await exitCode).toBe(0);
    });
});

vitest.describe("an answer to a caller that reads nothing", () => {
    // Guards against callers that occupy their connections, and the memory of their answers, for ever.
    vitest.it("is broken off after the idle time, and others aren't", async () => {
        const limits = { HeaderBytes: 4_096, MaxBodyBytes: 10_000, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 1_000 };
        fleet.publish(2, { Limits: limits });
        const entry = await fleet.addEntry();
        await fleet.waitUntil(async () => (await fleet.call("/look/ready")).status === 200);
        const socket = sendCall(entry.callerAddress, "/look/1", {});
        await fleet.waitUntil(() => fleet.enginesOf("desk")[0]!.runs.at(-1)?.path === "/look/1");
        await fleet.waitUntil(async () => (await fleet.status(0))["active"] === 0);
        socket.destroy();
        const answer = await callSlowly(entry.callerAddress, clocks.sleep(clocks.systemClock, 500));
        vitest.expect(answer).toBeGreaterThan(ANSWER_BYTES);
    });

    // Guards against a pipelined call that is broken off by the time-out of the answer before it.
    vitest.it("doesn't break off the call after it on its connection", async () => {
        const limits = { HeaderBytes: 4_096, MaxBodyBytes: 10_000, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 500 };
        fleet.publish(2, { Limits: limits });
        await fleet.addEngine({
            id: "model-2",
            service: "model",
            failureDomain: "zone-a",
            events: 2,
            serviceMs: 2_000,
        });
        fleet.engines[1]!.isLeaving = true;
        fleet.store.put("servers/model-1", fleet.engines[1]!.createStoreRecord("draining"));
        const entry = await fleet.addEntry();
        await fleet.waitUntil(async () => (await fleet.call("/look/ready")).status === 200);
        const socket = sendCall(entry.callerAddress, "/look/1", {});
        let received = "";
        let size = 0;
        socket.on("data", chunk => {
            size += chunk.length;
            received = (received + chunk.toString("latin1")).slice(-1_000);
        });
        writeCall(socket, "/notes/1", fleets.PROMPT_HEADERS);
        await fleet.waitUntil(() => size > ANSWER_BYTES && received.includes("id: 2"));
        socket.destroy();
    });
});

vitest.describe("a stream to a caller that reads nothing", () => {
    // Guards against a caller that occupies an instance for as long as it keeps its connection.
    vitest.it("is ended at the instance, and broken off, at its hard deadline", async () => {
        const entry = await fleet.addEntry();
        await fleet.waitUntil(async () => await fleet.readyStatus() === 200);
        await fleet.waitUntil(async () => (await fleet.call("/look/ready")).status === 200);
        const headers = { ...fleets.PROMPT_HEADERS, "Deadline-Ms": DEADLINE_MS };
        const socket = sendCall(entry.callerAddress, "/notes/1", headers);
        const [engine] = fleet.enginesOf("model");
        await fleet.waitUntil(() => engine!.runs.length === 1);
        await fleet.waitUntil(async () => (await fleet.status(0))["active"] === 0);
        await fleet.waitUntil(() => engine!.cancelledRuns === 1);
        socket.destroy();
    });
});
