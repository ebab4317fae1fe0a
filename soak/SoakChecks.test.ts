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
        ...overrides,
    };
}

const streamCall = createCall({
    route: "notes",
    path: "/notes/a-1",
    body: EVENT_TEXTS.join(""),
    stamp: "stamp-model-1",
});
const streamRun = createRun({ path: "/notes/a-1", engine: "model-1" });

interface Case {
    readonly name: string;
    readonly calls: readonly histories.SoakCall[];
    readonly runs: readonly histories.SoakRun[];
    readonly faults?: readonly histories.SoakFault[];
    readonly versions?: readonly histories.SoakVersion[];
    readonly drainingSinceMs?: number;
    /** Times at which calls reach an engine that has rejected one with a hold of 2 s at 100,000. */
    readonly arrivalsInHoldMs?: readonly number[];
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
        name: "three calls in the hold of an engine",
        calls: [createCall()],
        runs: [createRun()],
        arrivalsInHoldMs: [100_600, 100_700, 101_900],
        promise: "an engine that asks for a hold gets nothing in it",
    },
    {
        name: "two calls in the hold of an engine, others before and after",
        calls: [createCall()],
        runs: [createRun()],
        arrivalsInHoldMs: [100_100, 100_400, 100_600, 101_900, 102_001],
    },
    {
        name: "calls in the hold of an engine whose link was held",
        calls: [createCall()],
        runs: [createRun()],
        faults: [{ kind: "link-hold", engine: "desk-1", fromMs: 99_900, toMs: 100_100 }],
        arrivalsInHoldMs: [100_600, 100_700, 101_900],
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

    vitest.it.each(cases)(
        "classify $name",
        ({ calls, runs, faults, versions, drainingSinceMs, arrivalsInHoldMs, promise }) => {
            const history = new histories.SoakHistory();
            history.calls.push(...calls);
            history.runs.push(...runs);
            history.faults.push(...faults ?? []);
            history.versions.push(...versions ?? []);
            const arrival = { attempt: "a-1", engine: "desk-1" };
            history.arrivals.push({ ...arrival, atMs: 100_000, retryAfter: arrivalsInHoldMs && "2" });
            history.arrivals.push(
                ...(arrivalsInHoldMs ?? []).map(atMs => ({ ...arrival, atMs, retryAfter: undefined })),
            );
            if (drainingSinceMs !== undefined) {
                history.drainingSinceMs.set("desk-1", drainingSinceMs);
            }
            const found = checks.findViolations(history, DEADLINE_MS).map(violation => violation.promise);
            vitest.expect(found).toEqual(promise === undefined ? [] : [promise]);
        },
    );

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
