/**
 * Guards against requests that a stopping entry takes late in its grace, passes on and cuts at its end: in calm, each call
 * that reaches an engine gets its whole answer.
 */
import * as http from "node:http";
import * as vitest from "vitest";
import * as clocks from "../src/common/Clock";
import * as fleets from "../standins/platform/RoutedFleet";

/** Time of a plain call, and of a stream; the routes allow 4 s. */
const SERVICE_MS = 3_500;
const EVENTS = 6;
const CALL_INTERVAL_MS = 150;
const STOP_LIMIT_SECONDS = 8;
const EARLIER_CALLS = 3;

interface CallRecord {
    readonly attempt: string;
    /** Time since the stop began. */
    readonly sentMs: number;
    /** Status of a whole answer, `cut` for a broken one, `none` without an answer. */
    end: string;
}

let fleet: fleets.RoutedFleet;

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start([
        { id: "desk-1", service: "desk", failureDomain: "zone-a", serviceMs: 20 },
        { id: "model-1", service: "model", failureDomain: "zone-a", events: EVENTS },
        { id: "model-2", service: "model", failureDomain: "zone-b", events: EVENTS },
    ]);
});

vitest.afterEach(() => fleet.dispose());

/** Makes the engines slow, and lets the entries learn it. */
async function slowDown(path: string, headers: Record<string, string>): Promise<void> {
    for (const engine of fleet.engines) {
        const isModel = engine.options.service === "model";
        engine.options = isModel
            ? { ...engine.options, eventIntervalMs: SERVICE_MS / EVENTS }
            : { ...engine.options, serviceMs: SERVICE_MS };
    }
    const entries = [...fleet.entries.keys()];
    await Promise.all(
        entries.flatMap(entry => Array.from({ length: EARLIER_CALLS }, () => fleet.call(path, { entry, headers }))),
    );
    fleet.engines.forEach(engine => engine.runs.splice(0));
}

/** Sends a call to the first entry. */
function send(
    agent: http.Agent | false,
    path: string,
    attempt: string,
    extra: Record<string, string>,
): Promise<string> {
    const [host, port] = fleet.entries[0]!.callerAddress.split(":");
    const headers = {
        Host: "desk.example",
        "Attempt-Id": attempt,
        "Deadline-Ms": "6000",
        Authorization: `Token ${fleets.TEAM_KEY}`,
        ...extra,
    };
    return new Promise(resolve => {
        const request = http.request({ host, port, method: "POST", path, headers, agent }, response => {
            response.resume();
            response.on("close", () => resolve(response.complete ? String(response.statusCode) : "cut"));
        });
        request.on("error", () => resolve("none"));
        request.end();
    });
}

/** Stops the first entry while calls arrive there all the time. */
async function stopUnderCalls(isKept: boolean, path: string, headers: Record<string, string>): Promise<CallRecord[]> {
    const agent = isKept ? new http.Agent({ keepAlive: true, maxSockets: 200 }) : false;
    const { systemClock } = clocks;
    const records: CallRecord[] = [];
    const pending: Promise<void>[] = [];
    const startedMs = systemClock.now();
    let isStopped = false;
    const stopping = fleet.entries[0]!.stop().then(() => isStopped = true);
    while (!isStopped) {
        const attempt = `late-${records.length}`;
        const record = { attempt, sentMs: Math.round(systemClock.now() - startedMs), end: "open" };
        records.push(record);
        pending.push(send(agent, path, attempt, headers).then(end => void (record.end = end)));
        await clocks.sleep(systemClock, CALL_INTERVAL_MS);
    }
    await stopping;
    await Promise.all(pending);
    return records;
}

interface CallCase {
    readonly name: string;
    readonly path: string;
    readonly headers: Record<string, string>;
    readonly isKept: boolean;
}

const once: CallCase = { name: "calls that may run once", path: "/book/1", headers: {}, isKept: true };
const repeatable: CallCase = { ...once, name: "calls that may be repeated", path: "/look/1" };
const stream: CallCase = {
    ...once,
    name: "streams that may run once",
    path: "/once/1",
    headers: fleets.PROMPT_HEADERS,
};

vitest.describe("a planned stop in calm", { timeout: 60_000 }, () => {
    vitest.describe.each([
        { others: "no other entry", entries: 1, cases: [once, repeatable, stream, { ...once, isKept: false }] },
        { others: "another entry", entries: 2, cases: [once, stream] },
    ])("beside $others", ({ entries, cases }) => {
        vitest.it.each(cases)(
            "cuts none of the $name that it has passed on, kept connections: $isKept",
            async ({ path, headers, isKept }) => {
                for (let index = 0; index < entries; index++) {
                    await fleet.addEntry(undefined, STOP_LIMIT_SECONDS);
                    await fleet.waitUntil(async () =>
                        (await fleet.call(path, { entry: index, headers })).status === 200
                    );
                }
                await slowDown(path, headers);
                const records = await stopUnderCalls(isKept, path, headers);
                const run = new Set(
                    fleet.engines.flatMap(engine => engine.runs.map(call => call.headers["attempt-id"])),
                );
                vitest.expect(run.size).toBeGreaterThan(0);
                vitest.expect(records.filter(({ attempt, end }) => run.has(attempt) && end !== "200")).toEqual([]);
                vitest.expect(records.filter(({ end }) => end === "cut" || end === "open")).toEqual([]);
            },
        );
    });
});
