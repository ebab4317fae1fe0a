import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as fixtures from "../shares/FleetFixture";
import * as fleetSizes from "../shares/FleetSize";
import * as budgets from "./ServiceRetryBudget";

const NAMES = ["entry-1", "entry-2", "entry-3", "entry-4"];
/** Four entries may save 12 retries and earn 4 in a window by time; a first call earns 2/15 of a retry. */
const BOUND: budgets.RetryBound = { windowMs: 10_000, ratio: 0.2, slack: 20 };

function createBudget(clock: clocks.ManualClock, known: Partial<fleetSizes.Fleet>, bound = BOUND) {
    const fleet = { ...fixtures.knownFleet(NAMES), ...known };
    const budget = new budgets.ServiceRetryBudget(clock, "desk", () => bound, fleet);
    const countFirstCalls = (count: number): void => {
        for (let call = 0; call < count; call++) {
            budget.countFirstCall();
        }
    };
    const spendAll = (): number => Array.from({ length: 40 }, () => budget.trySpend()).filter(Boolean).length;
    return { budget, countFirstCalls, spendAll };
}

interface BudgetCase {
    readonly name: string;
    readonly known: (nowMs: number) => Partial<fleetSizes.Fleet>;
    readonly bound?: budgets.RetryBound;
    readonly firstCalls: number;
    readonly laterMs?: number;
    readonly retries: number;
}

const cases: readonly BudgetCase[] = [
    { name: "the saved share and half of what 50 first calls earn", known: () => ({}), firstCalls: 50, retries: 6 },
    {
        name: "the saved share alone once the calls are old",
        known: () => ({}),
        firstCalls: 50,
        laterMs: 10_001,
        retries: 3,
    },
    {
        name: "nothing right after a start",
        known: nowMs => ({ precededUntilMs: nowMs, settledAtMs: nowMs }),
        firstCalls: 7,
        retries: 0,
    },
    {
        name: "what the calls since the start have earned",
        known: nowMs => ({ precededUntilMs: nowMs, settledAtMs: nowMs }),
        firstCalls: 16,
        retries: 2,
    },
    {
        name: "what was earned by time since the others are known",
        known: nowMs => ({ precededUntilMs: nowMs, settledAtMs: nowMs }),
        firstCalls: 0,
        laterMs: 20_000,
        retries: 2,
    },
    {
        name: "nothing by time while the others aren't known",
        known: nowMs => ({ precededUntilMs: nowMs, settledAtMs: undefined }),
        firstCalls: 0,
        laterMs: 60_000,
        retries: 0,
    },
    {
        name: "the saved share at the first start of all",
        known: nowMs => ({ precededUntilMs: -Infinity, settledAtMs: nowMs }),
        firstCalls: 0,
        retries: 3,
    },
    {
        name: "one at the first start of all, while the others aren't known",
        known: () => ({ precededUntilMs: -Infinity, settledAtMs: undefined }),
        firstCalls: 0,
        retries: 1,
    },
    {
        name: "none at the first start of all, while the others aren't known, by a bound of none",
        known: () => ({ precededUntilMs: -Infinity, settledAtMs: undefined }),
        bound: { windowMs: 10_000, ratio: 0, slack: 0 },
        firstCalls: 50,
        retries: 0,
    },
    {
        name: "none at the first start of all by a bound of none",
        known: nowMs => ({ precededUntilMs: -Infinity, settledAtMs: nowMs }),
        bound: { windowMs: 10_000, ratio: 0, slack: 0 },
        firstCalls: 50,
        retries: 0,
    },
];

vitest.describe("the retry budget of a service", () => {
    vitest.it.each(cases)("allows $name", ({ known, bound, firstCalls, laterMs = 0, retries }) => {
        const clock = new clocks.ManualClock();
        const { countFirstCalls, spendAll } = createBudget(clock, known(clock.now()), bound);
        countFirstCalls(firstCalls);
        clock.advance(laterMs);
        vitest.expect(spendAll()).toBe(retries);
        vitest.expect(spendAll()).toBe(0);
    });

    vitest.it("allows again what a retry that wasn't sent had taken", () => {
        const { budget, spendAll } = createBudget(new clocks.ManualClock(), {});
        vitest.expect(spendAll()).toBe(3);
        budget.takeBack("retry");
        vitest.expect(spendAll()).toBe(1);
    });

    vitest.it("takes back what a first call that wasn't sent had earned", () => {
        const clock = new clocks.ManualClock();
        const { budget, countFirstCalls, spendAll } = createBudget(clock, {
            precededUntilMs: clock.now(),
            settledAtMs: clock.now(),
        });
        countFirstCalls(8);
        budget.takeBack("first-call");
        vitest.expect(spendAll()).toBe(0);
    });
});
