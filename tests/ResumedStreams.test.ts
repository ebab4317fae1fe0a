import * as vitest from "vitest";
import * as clocks from "../src/common/Clock";
import * as randoms from "../src/common/Random";
import * as engines from "../standins/platform/PlatformEngineStandIn";
import * as fleets from "../standins/platform/RoutedFleet";

const ENTRY_COUNT = 8;
const CALLER_COUNT = 40;
const LOAD_MS = 9_000;
const KILL_INTERVAL_MS = 1_400;
const KILLED_TOGETHER = 2;
const RESTART_DELAY_MS = 300;
const RELEASE_INTERVAL_MS = 1_700;
const BREAK_INTERVAL_MS = 300;
/** An entry that has started is in touch after this time. */
const IN_TOUCH_MS = 3_000;
const MAX_RESUMPTIONS = 3;
const MAX_RETRY_DELAY_MS = 1_000;
const MIN_RESUMED_STREAMS = 12;
/** The share of resumed streams that go on must be at least this much of the share of new streams that begin. */
const MIN_RELATIVE_SHARE = 0.5;
const EVENT_COUNT = 8;
const TEST_TIMEOUT_MS = 60_000;
const SCARCE_VERSION = "v3";

interface Entry {
    readonly index: number;
    readonly startedMs: number;
}

/** A stream as its caller has it. */
interface CallerStream {
    readonly events: { readonly id: number; readonly version: string }[];
    readonly hasBegun: boolean;
    isResumedInTouch: boolean;
    goesOn: boolean;
}

let fleet: fleets.RoutedFleet;
let live: Entry[];
let nextEngine = 1;
const random = randoms.createRandom(21);

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    live = [];
    await fleet.start();
    for (const [version, count] of [["v1", 5], ["v2", 3], [SCARCE_VERSION, 2]] as const) {
        for (let index = 0; index < count; index++) {
            await fleet.addEngine(createEngine(version));
        }
    }
    for (const id of ["model-1", "model-2"]) {
        fleet.store.delete(`servers/${id}`);
    }
    for (let count = 0; count < ENTRY_COUNT; count++) {
        await startEntry();
    }
});

vitest.afterEach(() => fleet.dispose());

vitest.it("as many of the streams that callers resume at other entries go on as new streams begin", async () => {
    await clocks.sleep(clocks.systemClock, IN_TOUCH_MS);
    const endMs = clocks.systemClock.now() + LOAD_MS;
    const [streams] = await Promise.all([
        Promise.all(Array.from({ length: CALLER_COUNT }, (_, index) => runCaller(index, endMs))),
        repeat(KILL_INTERVAL_MS, endMs, replaceEntries),
        repeat(RELEASE_INTERVAL_MS, endMs, releaseEngine),
        repeat(BREAK_INTERVAL_MS, endMs, breakStreams),
    ]);
    const all = streams.flat();
    const mixed = all.filter(stream => new Set(stream.events.map(event => event.version)).size > 1);
    vitest.expect(mixed).toEqual([]);
    const begunShare = all.filter(stream => stream.hasBegun).length / all.length;
    const resumed = all.filter(stream => stream.isResumedInTouch);
    const share = resumed.filter(stream => stream.goesOn).length / resumed.length;
    const scarce = resumed.filter(stream => stream.events[0]?.version === SCARCE_VERSION);
    vitest.expect(resumed.length).toBeGreaterThanOrEqual(MIN_RESUMED_STREAMS);
    vitest.expect(scarce.length).toBeGreaterThan(0);
    vitest.expect(share).toBeGreaterThanOrEqual(MIN_RELATIVE_SHARE * begunShare);
}, TEST_TIMEOUT_MS);

function createEngine(softwareVersion: string): engines.EngineOptions {
    const id = `stream-${nextEngine++}`;
    return {
        id,
        service: "model",
        failureDomain: "zone-a",
        events: EVENT_COUNT,
        eventIntervalMs: 100,
        softwareVersion,
    };
}

async function startEntry(): Promise<void> {
    const entry = await fleet.addEntry();
    live.push({ index: fleet.entries.indexOf(entry), startedMs: clocks.systemClock.now() });
}

async function repeat(intervalMs: number, endMs: number, action: () => Promise<void>): Promise<void> {
    while (clocks.systemClock.now() + intervalMs < endMs) {
        await clocks.sleep(clocks.systemClock, intervalMs);
        await action();
    }
}

/** Ends the entries that have run for longest, without notice, and starts others. */
async function replaceEntries(): Promise<void> {
    const oldest = live.splice(0, KILLED_TOGETHER);
    oldest.forEach(({ index }) => fleet.entries[index]!.dispose());
    await clocks.sleep(clocks.systemClock, RESTART_DELAY_MS);
    for (let count = 0; count < oldest.length; count++) {
        await startEntry();
    }
}

/** Replaces an instance of the first version by one of the second. */
async function releaseEngine(): Promise<void> {
    const old = fleet.engines.find(engine => engine.options.softwareVersion === "v1" && !engine.isLeaving);
    if (old !== undefined) {
        await fleet.addEngine(createEngine("v2"));
        old.isLeaving = true;
        fleet.store.put(`servers/${old.options.id}`, old.createStoreRecord("draining"));
    }
}

/** Breaks the streams of a random instance for a moment. */
async function breakStreams(): Promise<void> {
    const engine = pick(fleet.engines.filter(other => other.options.softwareVersion !== undefined));
    engine.faults = { breakAfterEvent: 2 };
    await clocks.sleep(clocks.systemClock, BREAK_INTERVAL_MS);
    engine.faults = {};
}

async function runCaller(caller: number, endMs: number): Promise<CallerStream[]> {
    const streams: CallerStream[] = [];
    while (clocks.systemClock.now() < endMs) {
        streams.push(await runStream(`${caller}-${streams.length}`));
        await clocks.sleep(clocks.systemClock, 20);
    }
    return streams;
}

/** Takes a stream, resuming it at other entries when it breaks. */
async function runStream(attempt: string): Promise<CallerStream> {
    const entry = pick(live);
    const first = await callEntry(entry, { "Attempt-Id": attempt });
    const events = eventsOf(first);
    const stream: CallerStream = {
        events,
        hasBegun: events.length > 0,
        isResumedInTouch: false,
        goesOn: false,
    };
    let latest = first;
    let previous = entry;
    for (let count = 0; count < MAX_RESUMPTIONS && stream.hasBegun && events.at(-1)!.id < EVENT_COUNT; count++) {
        const retryAfterMs = Number(latest?.headers["retry-after"] ?? 0) * 1_000;
        await clocks.sleep(clocks.systemClock, Math.min(MAX_RETRY_DELAY_MS, retryAfterMs));
        previous = pick(live.filter(other => other !== previous));
        stream.isResumedInTouch ||= clocks.systemClock.now() - previous.startedMs > IN_TOUCH_MS;
        latest = await callEntry(previous, { Resumes: attempt, "Last-Event-Id": String(events.at(-1)!.id) });
        const further = eventsOf(latest);
        events.push(...further);
        stream.goesOn ||= further.length > 0;
    }
    return stream;
}

/** The answer; undefined if the connection failed. */
async function callEntry(entry: Entry, headers: Record<string, string>): Promise<fleets.Answer | undefined> {
    try {
        return await fleet.call("/notes/1", { entry: entry.index, headers: { ...fleets.PROMPT_HEADERS, ...headers } });
    }
    catch {
        return undefined; // An entry that was ended.
    }
}

function eventsOf(answer: fleets.Answer | undefined): { readonly id: number; readonly version: string }[] {
    const body = answer?.status === 200 ? answer.body : "";
    return [...body.matchAll(/id: (\d+)\ndata: part \d+ of (\S+)\n\n/g)]
        .map(([, id, version]) => ({ id: Number(id), version: version! }));
}

function pick<T>(items: readonly T[]): T {
    return items[Math.floor(random() * items.length)]!;
}
