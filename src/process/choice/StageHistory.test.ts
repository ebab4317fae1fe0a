import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as deadlines from "../../common/Deadline";
import * as histories from "./StageHistory";

const { expect, it } = vitest;

const STAGES = ["encode", "generate"];

function createHistory(encodeMs: number, generateMs: number): [histories.StageHistory, clocks.ManualClock] {
    const clock = new clocks.ManualClock();
    const history = new histories.StageHistory({ clock });
    for (let sample = 0; sample < 100; sample++) {
        history.record("p", "encode", encodeMs);
        history.record("p", "generate", generateMs);
    }
    return [history, clock];
}

const budgetCases: [number, number, number, number][] = [
    [100, 300, 1_000, 700],
    [100, 300, 400, 100],
    [100, 300, 200, 50],
];
it.each(budgetCases)(
    "with learned durations of %d and %d ms divides the remaining time of %d ms",
    (encodeMs, generateMs, remainingMs, expected) => {
        const [history] = createHistory(encodeMs, generateMs);
        const budgetMs = history.findBudgetMs("p", STAGES, remainingMs);
        expect(Math.abs(budgetMs - expected)).toBeLessThan(10);
    },
);

const admissionCases: [number, number, string][] = [
    [1_000, 0.9, "fits"],
    [200, 0.9, "deadline-unreachable"],
    [200, 0.001, "probe"],
    [0, 0.001, "deadline-unreachable"],
];
it.each(admissionCases)("with %d ms left and a random draw of %d decides %s", (remainingMs, draw, expected) => {
    const [history] = createHistory(100, 300);
    const admitted = histories.admitByHistory(history, "p", STAGES, remainingMs, () => draw);
    expect(admitted.isOk ? admitted.value : admitted.error.code.name).toBe(expected);
});

it("recovers from an outdated history, by probes or by expiry", () => {
    const [history, clock] = createHistory(100, 5_000);
    clock.advance(35_000);
    for (let probe = 0; probe < 20; probe++) {
        history.record("p", "generate", 50);
    }
    clock.advance(35_000);
    expect(history.quantile("p", "generate", 0.5)).toBe(50);
    clock.advance(70_000);
    expect(history.quantile("p", "generate", 0.5)).toBeUndefined();
    expect(histories.admitByHistory(history, "p", STAGES, 10, () => 0.9).isOk).toBe(true);
});

it.each([[1_500, 1_000, 500], [1_001, 1_000, 50]])("with %d ms needed and %d ms left, returns a retry-after value", (
    needMs,
    remainingMs,
    retryAfterMs,
) => {
    const admitted = histories.admitByExpectedTime(needMs, remainingMs, () => 0.9);
    expect(admitted.isErr && [admitted.error.code.name, admitted.error.retryAfterMs]).toEqual([
        "deadline-unreachable",
        retryAfterMs,
    ]);
});

it("returns a hedge delay only with enough samples", () => {
    const [history] = createHistory(100, 300);
    history.record("p", "rare", 10);
    expect(history.findHedgeDelayMs("p", "encode")).toBe(100);
    expect(history.findHedgeDelayMs("p", "rare")).toBeUndefined();
});

it("counts a deadline down to 0", () => {
    const clock = new clocks.ManualClock();
    const deadline = deadlines.Deadline.fromRemaining(clock, 100);
    clock.advance(60);
    expect([deadline.remainingMs, deadline.isExpired]).toEqual([40, false]);
    clock.advance(60);
    expect([deadline.remainingMs, deadline.isExpired]).toEqual([0, true]);
});
