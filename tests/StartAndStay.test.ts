/**
 * Guards against processes that don't start, end by themselves or don't end when asked to, because of what their machine
 * does to them.
 */
import * as http from "node:http";
import * as net from "node:net";
import * as vitest from "vitest";
import * as clocks from "../src/common/Clock";
import * as freePorts from "../standins/FreePorts";
import * as entryPrograms from "../standins/platform/EntryProgram";
import * as fleets from "../standins/platform/RoutedFleet";

/** Time for which an address stays in use after the start of the entry. */
const ADDRESS_IN_USE_MS = 1_500;
/** Calls whose log lines exceed what a pipe holds and what the process buffers. */
const CALLS_TO_FILL_LOG = 1_500;
const CALLS_AT_ONCE = 50;
const ANSWER_TIMEOUT_MS = 5_000;

let fleet: fleets.RoutedFleet;
let entry: entryPrograms.EntryProgram | undefined;
let nextAttempt = 1;

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start([{ id: "desk-1", service: "desk", failureDomain: "zone-a", serviceMs: 1 }]);
});

vitest.afterEach(async () => {
    await entry?.dispose();
    entry = undefined;
    fleet.dispose();
});

/** Status of the answer to a request on a new connection; undefined without an answer. */
function readStatus(address: string, options: http.RequestOptions): Promise<number | undefined> {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const request = http.request({ host, port, agent: false, timeout: ANSWER_TIMEOUT_MS, ...options }, answer => {
            answer.resume();
            answer.on("close", () => resolve(answer.complete ? answer.statusCode : undefined));
        });
        request.on("timeout", () => request.destroy());
        request.on("error", () => resolve(undefined));
        request.end();
    });
}

/** Sends a call through the entry's process. */
function callStatus(): Promise<number | undefined> {
    const headers = {
        Host: "desk.example",
        "Attempt-Id": `stay-${nextAttempt++}`,
        "Deadline-Ms": "4000",
        Authorization: `Token ${fleets.TEAM_KEY}`,
    };
    return readStatus(entry!.callerAddress, { method: "POST", path: "/look/1", headers });
}

async function isReady(): Promise<boolean> {
    return await readStatus(entry!.readyAddress, { path: "/ready" }) === 200;
}

function occupy(port: number): Promise<net.Server> {
    const server = net.createServer(socket => socket.destroy());
    return new Promise(resolve => server.listen(port, "127.0.0.1", () => resolve(server)));
}

vitest.describe("a process whose log can't be written", () => {
    vitest.it.each([
        { name: "to a full device", output: "/dev/full", calls: 20 },
        { name: "to a pipe that nobody reads", output: "unread", calls: CALLS_TO_FILL_LOG },
    ])("starts, serves and stops: $name", async ({ output, calls }) => {
        entry = await entryPrograms.EntryProgram.start(fleet.store.address, { output, stopLimitSeconds: 2 });
        await fleet.waitUntil(async () => await isReady() && await callStatus() === 200);
        for (let sent = 0; sent < calls; sent += CALLS_AT_ONCE) {
            const statuses = await Promise.all(Array.from({ length: CALLS_AT_ONCE }, callStatus));
            vitest.expect(new Set(statuses)).toEqual(new Set([200]));
        }
        vitest.expect(entry.process.isRunning).toBe(true);
        await entry.process.terminate();
        vitest.expect(entry.process.isRunning).toBe(false);
    });
});

vitest.describe("a process that starts while an address is in use", () => {
    vitest.it.each([
        { name: "for callers", index: 0 },
        { name: "for the readiness check", index: 1 },
        { name: "for peers", index: 2 },
        { name: "for the admin server", index: 3 },
    ])("isn't ready until it is free: the address $name", async ({ index }) => {
        const ports = await freePorts.findFreePorts(entryPrograms.PORT_COUNT);
        const occupant = await occupy(ports[index]!);
        entry = await entryPrograms.EntryProgram.start(fleet.store.address, { ports });
        await clocks.sleep(clocks.systemClock, ADDRESS_IN_USE_MS);
        vitest.expect(await isReady(), "ready while the address is in use").toBe(false);
        await new Promise(resolve => occupant.close(resolve));
        await fleet.waitUntil(async () => !entry!.process.isRunning || await isReady());
        vitest.expect(entry.process.isRunning).toBe(true);
        vitest.expect(await callStatus()).toBe(200);
    });
});
