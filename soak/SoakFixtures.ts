/**
 * Calls and runs for the tests of the checks.
 */
import * as checks from "./SoakChecks";
import * as histories from "./SoakHistory";

/** The events of a stream, as text. */
export const EVENT_TEXTS = Array.from(
    { length: checks.EVENT_COUNT },
    (_, index) => `id: ${index + 1}\ndata: part ${index + 1}\n\n`,
);

/** A call that was served, but for the overridden fields. */
export function createCall(overrides: Partial<histories.SoakCall> = {}): histories.SoakCall {
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

/** A run of that call. */
export function createRun(overrides: Partial<histories.SoakRun> = {}): histories.SoakRun {
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
