import * as fc from "fast-check";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as budgets from "./RetryBudget";

const { expect, it } = vitest;

const SEED = 22;

it("never allows more than the ratio of first attempts plus the reserve", () => {
    fc.assert(
        fc.property(
            fc.array(fc.boolean(), { maxLength: 400 }),
            fc.integer({ min: 1, max: 10 }),
            (steps, ratioTenths) => {
                const ratio = ratioTenths / 10;
                const budget = new budgets.RetryBudget({
                    clock: new clocks.ManualClock(),
                    ratio: () => ratio,
                    reserve: 3,
                });
                let firstAttempts = 0;
                let extraAttempts = 0;
                for (const isFirst of steps) {
                    if (isFirst) {
                        firstAttempts++;
                        budget.earn();
                    }
                    else if (budget.trySpend()) {
                        extraAttempts++;
                    }
                    expect(extraAttempts).toBeLessThanOrEqual(ratio * firstAttempts + 3 + 1e-6);
                }
            },
        ),
        { seed: SEED },
    );
});

const refillCases: [number, number, number][] = [[0.5, 0, 0], [0.5, 20_000, 1], [0.5, 600_000, 3], [0, 600_000, 0]];
it.each(refillCases)(
    "with ratio %d, after %d ms, an exhausted budget has regained %d attempts of its reserve",
    (ratio, waitMs, expected) => {
        const clock = new clocks.ManualClock();
        const budget = new budgets.RetryBudget({ clock, ratio: () => ratio, reserve: 3 });
        while (budget.trySpend()) {
            // Empties the budget.
        }
        clock.advance(waitMs);
        expect(Math.floor(budget.balance + 1e-9)).toBe(expected);
    },
);
