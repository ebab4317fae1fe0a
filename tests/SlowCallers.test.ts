import * as net from "node:net";
import * as vitest from "vitest";
import * as clocks from "../src/common/Clock";
import * as fleets from "../standins/platform/RoutedFleet";

/** More than the operating system buffers of a connection. */
const ANSWER_BYTES = 15_000_000;

let fleet: fleets.RoutedFleet;

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start([{ id: "desk-1", service: "desk", failureDomain: "zone-a", answerBytes: ANSWER_BYTES }]);
});

vitest.afterEach(() => fleet.dispose());

/** Sends a call and reads nothing of its answer until `reading` resolves; returns the number of bytes received. */
async function callSlowly(address: string, reading: Promise<void>): Promise<number> {
    const [host, port] = address.split(":");
    const socket = net.connect(Number(port), host);
    socket.on("error", () => undefined);
    const headers = ["Host: desk.example", "Attempt-Id: slow", `Authorization: Token ${fleets.TEAM_KEY}`];
    socket.write(`GET /look/1 HTTP/1.1\r\n${headers.join("\r\n")}\r\n\r\n`);
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
