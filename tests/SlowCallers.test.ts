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
    const headers = {
        Host: "desk.example",
        "Attempt-Id": "slow",
        Authorization: `Token ${fleets.TEAM_KEY}`,
        ...extraHeaders,
    };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(`GET ${path} HTTP/1.1\r\n${lines.join("")}\r\n`);
    return socket;
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
