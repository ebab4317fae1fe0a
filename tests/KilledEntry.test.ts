import * as http from "node:http";
import * as vitest from "vitest";
import * as entryPrograms from "../standins/platform/EntryProgram";
import * as engines from "../standins/platform/PlatformEngineStandIn";
import * as fleets from "../standins/platform/RoutedFleet";

/** More than the kernel buffers on a connection. */
const LONG_ANSWER_BYTES = 15 * 1024 * 1024;
const ENGINES: readonly engines.EngineOptions[] = [
    { id: "model-1", service: "model", failureDomain: "zone-a", events: 40, eventIntervalMs: 100 },
    { id: "desk-1", service: "desk", failureDomain: "zone-a", answerBytes: LONG_ANSWER_BYTES },
];

let fleet: fleets.RoutedFleet;
let entry: entryPrograms.EntryProgram;

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start(ENGINES);
    entry = await entryPrograms.EntryProgram.start(fleet.store.address);
    await fleet.waitUntil(async () => await readStatus("/once/1") === 200);
});

vitest.afterEach(async () => {
    await entry.dispose();
    fleet.dispose();
});

/** Sends a call; resolves to the beginning of its answer, or to undefined if the connection fails. */
function call(path: string): Promise<http.IncomingMessage | undefined> {
    const [host, port] = entry.callerAddress.split(":");
    const headers = {
        Host: "desk.example",
        "Attempt-Id": "killed-1",
        "Deadline-Ms": "8000",
        Authorization: `Token ${fleets.TEAM_KEY}`,
        ...fleets.PROMPT_HEADERS,
    };
    return new Promise(resolve => {
        const request = http.request({ host, port, method: "POST", path, headers, agent: false }, resolve);
        request.on("error", () => resolve(undefined));
        request.end();
    });
}

async function readStatus(path: string): Promise<number | undefined> {
    const answer = await call(path);
    answer?.resume();
    return answer?.statusCode;
}

/** Reads the beginning of an answer, kills the entry, and resolves to whether the answer looks complete then. */
async function killDuringAnswer(answer: http.IncomingMessage): Promise<boolean> {
    const isComplete = new Promise<boolean>(resolve => answer.on("close", () => resolve(answer.complete)));
    answer.on("error", () => undefined);
    await new Promise(resolve => answer.once("data", resolve));
    answer.pause();
    entry.process.kill();
    await entry.process.waitForExit();
    answer.resume();
    return isComplete;
}

vitest.describe("an answer that is being written when its entry is killed", () => {
    // Guards against answers that end early and look complete, since the kernel closes the connections in order.
    vitest.it.each([
        { name: "a stream", path: "/once/1", unframed: false },
        { name: "a stream whose instance sends it without a length", path: "/once/1", unframed: true },
        { name: "a long answer", path: "/book/1", unframed: false },
        { name: "a long answer whose instance sends it without a length", path: "/book/1", unframed: true },
    ])("looks incomplete: $name", async ({ path, unframed }) => {
        fleet.engines.forEach(engine => engine.faults = { unframed });
        const answer = await call(path);
        vitest.expect(answer?.statusCode).toBe(200);
        vitest.expect(await killDuringAnswer(answer!)).toBe(false);
    });
});
