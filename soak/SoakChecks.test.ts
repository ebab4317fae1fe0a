import * as vitest from "vitest";
import * as checks from "./SoakChecks";
import * as histories from "./SoakHistory";

const DEADLINE_MS = 4_000;
const EVENT_TEXTS = Array.from(
    { length: checks.EVENT_COUNT },
    (_, index) => `id: ${index + 1}\ndata: part ${index + 1}\n\n`,
);

function createCall(overrides: Partial<histories.SoakCall> = {}): histories.SoakCall {
    return {
        attempt: "a-1",
        route: "book",
        entry: 0,
        path: "/book/a-1",
        sentMs: 100_000,
        endedMs: 100_050,
        status: 200,
        stamp: "stamp-desk-1",
        body: "answer of desk-1 to a-1",
        isWhole: true,
        hasRetryAfter: false,
        ...overrides,
    };
}

function createRun(overrides: Partial<histories.SoakRun> = {}): histories.SoakRun {
    return {
        attempt: "a-1",
        engine: "desk-1",
        path: "/book/a-1",
        atMs: 100_010,
        team: "gilders",
        hasKey: false,
        isLeaving: false,
        ...overrides,
    };
}

/** Two calls through one entry to an engine that leaves, with `betweenMs` between the first answer and the second call. */
function createLeavingCase(
    betweenMs: number,
    second: Partial<histories.SoakCall> = {},
): Pick<Case, "calls" | "runs"> {
    const sentMs = 100_050 + betweenMs;
    const later = { attempt: "a-2", path: "/book/a-2", sentMs, endedMs: sentMs + 50, body: "answer of desk-1 to a-2" };
    return {
        calls: [createCall(), createCall({ ...later, ...second })],
        runs: [
            createRun({ isLeaving: true }),
            createRun({ attempt: "a-2", path: "/book/a-2", atMs: sentMs + 10, isLeaving: true }),
        ],
    };
}

const streamCall = createCall({
    route: "notes",
    path: "/notes/a-1",
    body: EVENT_TEXTS.join(""),
    stamp: "stamp-model-1",
});
const streamRun = createRun({ path: "/notes/a-1", engine: "model-1" });

/** The events from one ID to another, as written by a software version. */
function eventsOf(version: string, fromId: number, toId: number): string {
    return EVENT_TEXTS.slice(fromId - 1, toId).map(text => text.replace("\n\n", ` of ${version}\n\n`)).join("");
}

/** A stream that was cut in its fourth event. */
function brokenStreamCall(version: string): histories.SoakCall {
    return { ...streamCall, body: `${eventsOf(version, 1, 3)}id: 4\ndata: part 4 of`, isWhole: false };
}

function resumedStreamCall(version: string): histories.SoakCall {
    return {
        ...streamCall,
        attempt: "a-2",
        path: "/notes/a-2",
        body: eventsOf(version, 4, checks.EVENT_COUNT),
        resumes: { firstAttempt: "a-1", lastEventId: 3 },
    };
}
/** A call on the second version's route, and later one on the first version's. */
const revertedCalls = [
    createCall({ route: "v2", path: "/v2/a-1" }),
    createCall({
        attempt: "a-2",
        route: "v1",
        path: "/v1/a-2",
        sentMs: 100_500,
        endedMs: 100_550,
        body: "answer of desk-1 to a-2",
    }),
];
const revertedRuns = [
    createRun({ path: "/v2/a-1" }),
    createRun({ attempt: "a-2", path: "/v1/a-2", atMs: 100_510 }),
];

interface Case {
    readonly name: string;
    readonly calls: readonly histories.SoakCall[];
    readonly runs: readonly histories.SoakRun[];
    readonly faults?: readonly histories.SoakFault[];
    readonly versions?: readonly histories.SoakVersion[];
    readonly drainingSinceMs?: number;
    readonly promise?: string;
}

const cases: readonly Case[] = [
    { name: "a call that ran once", calls: [createCall()], runs: [createRun()] },
    { name: "a stream", calls: [streamCall], runs: [streamRun] },
    {
        name: "a stream that was resumed on another engine",
        calls: [streamCall],
        runs: [streamRun, { ...streamRun, engine: "model-2" }],
    },
    {
        name: "a stream of one software version that was resumed by its caller",
        calls: [brokenStreamCall("v1"), resumedStreamCall("v1")],
        runs: [streamRun, { ...streamRun, attempt: "a-2", path: "/notes/a-2" }],
    },
    {
        name: "a stream that was resumed after its last event",
        calls: [{
            ...streamCall,
            body: "",
            resumes: { firstAttempt: "a-0", lastEventId: checks.EVENT_COUNT },
        }],
        runs: [streamRun],
    },
    {
        name: "a stream with the answer to a plain call",
        calls: [{ ...streamCall, body: "answer of model-1 to a-1" }],
        runs: [streamRun],
        promise: "a stream has every event once and in order",
    },
    {
        name: "a stream of two software versions over its caller's attempts",
        calls: [brokenStreamCall("v1"), resumedStreamCall("v2")],
        runs: [streamRun, { ...streamRun, attempt: "a-2", path: "/notes/a-2" }],
        promise: "a stream holds events of one software version",
    },
    {
        name: "a stream of two software versions in one answer",
        calls: [{ ...streamCall, body: eventsOf("v1", 1, 3) + eventsOf("v2", 4, checks.EVENT_COUNT) }],
        runs: [streamRun],
        promise: "a stream holds events of one software version",
    },
    {
        name: "two runs of an at-most-once call",
        calls: [createCall()],
        runs: [createRun(), createRun({ engine: "desk-2" })],
        promise: "a call that may run once runs once",
    },
    {
        name: "a call that ran and was rejected as not run",
        calls: [createCall({ status: 503, hasRetryAfter: true, isWhole: true })],
        runs: [createRun()],
        promise: "a call that is refused as not run never runs",
    },
    {
        name: "an answer to another call",
        calls: [createCall({ body: "answer of desk-1 to a-2" })],
        runs: [createRun()],
        promise: "a success is one engine's whole answer to this call",
    },
    {
        name: "a success without an answer of an engine",
        calls: [createCall({ stamp: undefined })],
        runs: [],
        promise: "a success is one engine's whole answer to this call",
    },
    {
        name: "a missing event",
        calls: [{ ...streamCall, body: EVENT_TEXTS.filter((_, index) => index !== 2).join("") }],
        runs: [streamRun],
        promise: "a stream has every event once and in order",
    },
    {
        name: "a repeated event in an interrupted stream",
        calls: [{ ...streamCall, body: `${EVENT_TEXTS[0]}${EVENT_TEXTS[0]}`, isWhole: false }],
        runs: [streamRun],
        promise: "a stream has every event once and in order",
    },
    {
        name: "a path that was changed before it reached the engine",
        calls: [createCall()],
        runs: [createRun({ path: "/book/a-2" })],
        promise: "engines get calls as their callers sent them",
    },
    {
        name: "an API key that was passed to an engine",
        calls: [createCall()],
        runs: [createRun({ hasKey: true })],
        promise: "engines get calls as their callers sent them",
    },
    {
        name: "a valid call that was rejected",
        calls: [createCall({ status: 404 })],
        runs: [],
        promise: "proper calls aren't rejected",
    },
    {
        name: "a call that exceeds its deadline",
        calls: [createCall({ endedMs: 106_000, status: undefined, isWhole: false })],
        runs: [],
        promise: "no call hangs beyond its deadline",
    },
    {
        name: "a call that exceeds its deadline on a paused entry",
        calls: [createCall({ endedMs: 106_000, status: undefined, isWhole: false })],
        runs: [],
        faults: [{ kind: "pause", entry: 0, fromMs: 99_000, toMs: 105_000 }],
    },
    {
        name: "a call served on a route that was removed long ago",
        calls: [createCall({ route: "v1", path: "/v1/a-1" })],
        runs: [createRun({ path: "/v1/a-1" })],
        versions: [{ version: 1, atMs: 80_000 }, { version: 2, atMs: 97_000 }],
        promise: "a configuration is in force in time",
    },
    {
        name: "a call rejected on a route that was added long ago",
        calls: [createCall({ route: "v2", path: "/v2/a-1", status: 404 })],
        runs: [],
        versions: [{ version: 1, atMs: 80_000 }, { version: 2, atMs: 97_000 }],
        promise: "a configuration is in force in time",
    },
    {
        name: "a call served on a route that was just removed",
        calls: [createCall({ route: "v1", path: "/v1/a-1" })],
        runs: [createRun({ path: "/v1/a-1" })],
        versions: [{ version: 1, atMs: 80_000 }, { version: 2, atMs: 99_000 }],
    },
    {
        name: "an older configuration that is in force again",
        calls: revertedCalls,
        runs: revertedRuns,
        versions: [{ version: 1, atMs: 98_000 }, { version: 2, atMs: 99_000 }],
        promise: "a configuration never reverts",
    },
    {
        name: "an older configuration in force in a process that was restarted",
        calls: revertedCalls,
        runs: revertedRuns,
        faults: [{ kind: "kill", entry: 0, fromMs: 100_100, toMs: 100_400 }],
        versions: [{ version: 1, atMs: 98_000 }, { version: 2, atMs: 99_000 }],
    },
    {
        name: "a run long after the engine began to drain",
        calls: [createCall()],
        runs: [createRun()],
        drainingSinceMs: 97_000,
        promise: "an engine that leaves gets nothing more",
    },
    {
        name: "a run just after the engine began to drain",
        calls: [createCall()],
        runs: [createRun()],
        drainingSinceMs: 99_000,
    },
    {
        name: "a call long after the engine told the entry that it leaves",
        ...createLeavingCase(2_100),
        promise: "an engine that has told an entry that it leaves gets nothing more from it",
    },
    { name: "a call soon after the engine told the entry that it leaves", ...createLeavingCase(1_900) },
    { name: "a call of another entry than the one that the engine told", ...createLeavingCase(2_100, { entry: 1 }) },
    {
        name: "a call of an entry that was restarted since the engine told it",
        ...createLeavingCase(2_100),
        faults: [{ kind: "kill", entry: 0, fromMs: 100_500, toMs: 100_800 }],
    },
    {
        name: "a call of an entry that the store and the peers can't reach since the engine told it",
        ...createLeavingCase(2_100),
        faults: [{ kind: "store-hold", entry: 0, fromMs: 100_500, toMs: 103_000 }],
        promise: "an engine that has told an entry that it leaves gets nothing more from it",
    },
    {
        name: "a call that a planned stop aborted",
        calls: [createCall({ status: undefined, isWhole: false })],
        runs: [createRun()],
        faults: [{ kind: "stop", entry: 0, fromMs: 100_020, toMs: 103_000 }],
        promise: "a planned stop cuts nothing",
    },
    {
        name: "a call that was aborted by a kill of its entry during a planned stop",
        calls: [createCall({ status: undefined, isWhole: false })],
        runs: [createRun()],
        faults: [
            { kind: "stop", entry: 0, fromMs: 100_020, toMs: 103_000 },
            { kind: "kill", entry: 0, fromMs: 100_030, toMs: 100_500 },
        ],
    },
    {
        name: "a rejection without Retry-After",
        calls: [createCall({ status: 429 })],
        runs: [],
        promise: "a refusal says when to come back",
    },
];

vitest.describe("the checks of a soak", () => {
    vitest.it.each([
        { name: "without a cause", reloadAtMs: 5_000, isViolation: true },
        { name: "by a signal while its program was loading", reloadAtMs: 1_050, isViolation: false },
    ])("classify a process that exited $name", ({ reloadAtMs, isViolation }) => {
        const history = new histories.SoakHistory();
        history.unexpectedExits.push({ entry: 0, startedMs: 1_000, atMs: 5_100 });
        history.faults.push({ kind: "reload", entry: 0, fromMs: reloadAtMs, toMs: reloadAtMs });
        vitest.expect(checks.findViolations(history, DEADLINE_MS)).toHaveLength(isViolation ? 1 : 0);
    });

    vitest.it.each(cases)("classify $name", ({ calls, runs, faults, versions, drainingSinceMs, promise }) => {
        const history = new histories.SoakHistory();
        history.calls.push(...calls);
        history.runs.push(...runs);
        history.faults.push(...faults ?? []);
        history.versions.push(...versions ?? []);
        if (drainingSinceMs !== undefined) {
            history.drainingSinceMs.set("desk-1", drainingSinceMs);
        }
        const found = checks.findViolations(history, DEADLINE_MS).map(violation => violation.promise);
        vitest.expect(found).toEqual(promise === undefined ? [] : [promise]);
    });

    vitest.it.each([
        { name: "most calls served", failedCount: 1, isViolation: false },
        { name: "many calls failed", failedCount: 10, isViolation: true },
    ])("classify a recovery with $name", ({ failedCount, isViolation }) => {
        const history = new histories.SoakHistory();
        for (let index = 0; index < 100; index++) {
            history.calls.push(createCall({ status: index < failedCount ? 503 : 200 }));
        }
        vitest.expect(checks.findRecoveryViolation(history, 0) !== undefined).toBe(isViolation);
    });
});
