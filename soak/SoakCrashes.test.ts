import * as vitest from "vitest";
import * as checks from "./SoakChecks";
import * as fixtures from "./SoakFixtures";
import * as histories from "./SoakHistory";

const DEADLINE_MS = 4_000;
const HOLD_PROMISE = "an engine that asks for a hold gets nothing in it";
const CRASH_PROMISE = "few prompts reach engines with a part that is known to crash them";

function crash(attempt: string, fromMs: number): histories.SoakFault {
    return { kind: "crash", engine: "desk-1", attempt, fromMs, toMs: fromMs + 300 };
}

/** The violations of one guarantee. */
function countViolations(history: histories.SoakHistory, promise: string): number {
    return checks.findViolations(history, DEADLINE_MS).filter(violation => violation.promise === promise).length;
}

vitest.describe("calls in the hold of an engine", () => {
    vitest.it.each([
        { name: "that doesn't end", crashMs: undefined, violations: 1 },
        { name: "that ends and starts again before them", crashMs: 100_300, violations: 0 },
        { name: "that ends after them", crashMs: 101_950, violations: 1 },
    ])("$name", ({ crashMs, violations }) => {
        const history = new histories.SoakHistory();
        history.calls.push(fixtures.createCall());
        history.faults.push(...(crashMs === undefined ? [] : [crash("crash-1", crashMs)]));
        const arrival = { attempt: "a-1", engine: "desk-1" };
        history.arrivals.push({ ...arrival, atMs: 100_000, retryAfter: "2" });
        history.arrivals.push(
            ...[100_600, 100_700, 101_900].map(atMs => ({ ...arrival, atMs, retryAfter: undefined })),
        );
        vitest.expect(countViolations(history, HOLD_PROMISE)).toBe(violations);
    });
});

vitest.describe("prompts with a part that crashes engines", () => {
    vitest.it.each([
        { name: "that reach three engines once it is known", late: 3, lateMs: 9_000, violations: 0 },
        { name: "that reach four engines once it is known", late: 4, lateMs: 9_000, violations: 4 },
        { name: "that reach engines while it is learnt", late: 20, lateMs: 2_000, violations: 0 },
    ])("$name", ({ late, lateMs, violations }) => {
        const history = new histories.SoakHistory();
        const attempts = Array.from({ length: late }, (_, index) => `crash-${index}`);
        history.calls.push(...attempts.map(attempt => fixtures.createCall({ attempt, isCrashing: true })));
        history.faults.push(...[1, 2, 3, 4, 5].map(n => crash(`early-${n}`, n * 100)));
        history.faults.push(...attempts.map(attempt => crash(attempt, lateMs)));
        vitest.expect(countViolations(history, CRASH_PROMISE)).toBe(violations);
    });
});
