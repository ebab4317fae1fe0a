import * as vitest from "vitest";
import * as limitChecks from "./LimitCheck";
import * as fixtures from "./SoakFixtures";
import * as histories from "./SoakHistory";

const NAMED_MS = 100_000;

/** A history in which entry 0 is told at the start, and sends this many requests within 4 s, from a time on. */
function createHistory(requests: number, fromMs: number): histories.SoakHistory {
    const history = new histories.SoakHistory();
    const add = (attempt: string, atMs: number): void => {
        history.calls.push(fixtures.createCall({ attempt, sentMs: atMs, endedMs: atMs + 10 }));
        history.arrivals.push({ attempt, engine: "desk-1", atMs, retryAfter: undefined, isLimited: true });
    };
    add("first", NAMED_MS);
    for (let index = 0; index < requests; index++) {
        add(`later-${index}`, fromMs + index * 3_900 / requests);
    }
    return history;
}

vitest.describe("requests to an engine with a limit of 2 a second", () => {
    vitest.it.each([
        { name: "17 in 4 s", requests: 17, fromMs: NAMED_MS + 4_000, pausedMs: undefined, violations: 0 },
        { name: "18 in 4 s", requests: 18, fromMs: NAMED_MS + 4_000, pausedMs: undefined, violations: 1 },
        { name: "50 while it is learnt", requests: 50, fromMs: NAMED_MS - 1_000, pausedMs: undefined, violations: 0 },
        {
            name: "50 from an entry that was paused",
            requests: 50,
            fromMs: NAMED_MS + 4_000,
            pausedMs: NAMED_MS + 3_000,
            violations: 0,
        },
    ])("$name: $violations violations", ({ requests, fromMs, pausedMs, violations }) => {
        const history = createHistory(requests, fromMs);
        if (pausedMs !== undefined) {
            history.faults.push({ kind: "pause", entry: 0, fromMs: pausedMs, toMs: pausedMs + 500 });
        }
        vitest.expect(limitChecks.findArrivalsBeyondLimit(history)).toHaveLength(violations);
    });
});
