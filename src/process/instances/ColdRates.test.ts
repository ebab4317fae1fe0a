import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as views from "../published/PublishedView";
import * as fleetFixtures from "../shares/FleetFixture";
import * as fleetSizes from "../shares/FleetSize";
import * as arrivalWindows from "./ArrivalWindow";
import * as coldRates from "./ColdRates";

const NOW_MS = 60_000;
const FEW = ["entry-1", "entry-2", "entry-3", "entry-4"];
const MANY = Array.from({ length: 300 }, (_, index) => `entry-${index}`);
const COLD = { id: "i-1", startedMs: 1, service: "model", failureDomain: "a", coldUntilMs: Infinity };

interface ColdCase {
    readonly name: string;
    readonly known?: Partial<fleetSizes.Fleet>;
    readonly names?: readonly string[];
    readonly coldUntilMs?: number;
    /** Times of calls to the instance; an entry's share is four. */
    readonly sentAtMs?: readonly number[];
    readonly waitMs: number;
    readonly callerWaitMs: number;
}

const cases: readonly ColdCase[] = [
    { name: "at an instance that isn't cold", coldUntilMs: 0, sentAtMs: [1, 1, 1, 1, 1], waitMs: 0, callerWaitMs: 0 },
    { name: "while the share isn't used", sentAtMs: [NOW_MS, NOW_MS, NOW_MS], waitMs: 0, callerWaitMs: 0 },
    {
        name: "until the oldest call leaves the window of a used share",
        sentAtMs: [NOW_MS - 650, NOW_MS - 600, NOW_MS, NOW_MS],
        waitMs: 500,
        callerWaitMs: 500,
    },
    {
        name: "after a start, while a predecessor may have used the share, unless others are known to have theirs",
        known: { precededUntilMs: NOW_MS - 100 },
        waitMs: 1_050,
        callerWaitMs: 300,
    },
    {
        name: "after a start, until the others are expected to be known",
        known: { precededUntilMs: NOW_MS - 100, settledAtMs: undefined },
        waitMs: 1_050,
        callerWaitMs: 1_050,
    },
    {
        name: "while the others stay unknown",
        known: { precededUntilMs: NOW_MS - 10_000, settledAtMs: undefined },
        waitMs: 500,
        callerWaitMs: 500,
    },
    {
        name: "without a share, for another entry that has one",
        names: MANY,
        waitMs: Infinity,
        callerWaitMs: 300,
    },
];

vitest.describe("a call waits for its entry's share of a cold instance", () => {
    vitest.it.each(cases)("$name", ({ known, names = FEW, coldUntilMs, sentAtMs = [], waitMs, callerWaitMs }) => {
        const arrivals = new arrivalWindows.ArrivalWindow();
        sentAtMs.forEach(atMs => arrivals.add(atMs));
        const table = { findService: () => ({ coldMs: 3_000, coldPerSecond: 9.1 }) };
        const cold = new coldRates.ColdRates({
            clock: new clocks.ManualClock(NOW_MS),
            view: { table, isOutOfService: () => false, outOfServiceDomains: [] } as unknown as views.PublishedView,
            fleet: { ...fleetFixtures.knownFleet(names, "entry-4"), ...known },
            coldRateLimit: () => ({ factor: 1.5, extra: 5 }),
            trafficOf: () => ({ arrivals, lastUnreachableAtMs: -Infinity }),
        });
        const instance = { ...COLD, ...(coldUntilMs === undefined ? {} : { coldUntilMs }) } as views.KnownInstance;
        vitest.expect(cold.waitMs(instance)).toBe(waitMs);
        vitest.expect(cold.callerWaitMs(instance)).toBe(callerWaitMs);
    });
});
