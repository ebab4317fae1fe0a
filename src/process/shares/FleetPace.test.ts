import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as randoms from "../../common/Random";
import * as pacedStores from "../published/PacedStore";
import * as arrivalCounts from "./ArrivalCount";
import * as fixtures from "./FleetFixture";
import * as paces from "./FleetPace";
import * as simulations from "./FleetSimulation";
import * as fleetSizes from "./FleetSize";

const STEP_MS = 20;
const END_MS = 12_000;
const SECOND_MS = 1_000;
const STORE_READS_PER_SECOND = 2_000;
const KILLS_FROM_MS = 4_000;

/** A pace of 100 units a second, of which as many may be saved, for four entries. */
function createPace(known: Partial<fleetSizes.Fleet>) {
    const clock = new clocks.ManualClock(0);
    const fleet = { ...fixtures.knownFleet(["entry-1", "entry-2", "entry-3", "entry-4"]), ...known };
    return { clock, pace: new paces.FleetPace({ clock, fleet, perSecond: () => 100, savedMs: SECOND_MS }) };
}

vitest.describe("an entry's part of a rate", () => {
    vitest.it.each([
        { name: "is saved by an entry that runs for long", known: {}, left: 25, laterLeft: 25 },
        { name: "is all there at the first start", known: { precededUntilMs: -Infinity }, left: 25, laterLeft: 25 },
        { name: "is earned over time after a new start", known: { precededUntilMs: 0 }, left: 2, laterLeft: 14 },
        {
            name: "is the start's alone, at first, while the others aren't known",
            known: { precededUntilMs: 0, settledAtMs: undefined },
            left: 1,
            laterLeft: 1,
        },
    ])("$name", ({ known, left, laterLeft }) => {
        const { clock, pace } = createPace(known);
        vitest.expect(pace.left).toBe(left);
        clock.advance(500);
        vitest.expect(pace.left).toBe(laterLeft);
    });

    vitest.it("has to be waited for once it is used", () => {
        const { clock, pace } = createPace({});
        pace.take(26);
        vitest.expect(pace.left).toBe(0);
        vitest.expect(pace.waitMs).toBe(80);
        clock.advance(80);
        vitest.expect(pace.waitMs).toBe(0);
    });
});

vitest.describe("reads of all entries stay within what the store allows", { timeout: 60_000 }, () => {
    const kills = [
        { name: "none is killed", kills: [] },
        { name: "all are killed again and again", kills: simulations.killSeries(KILLS_FROM_MS, 5, 1_200, () => true) },
    ];
    vitest.describe.each([3, 24, 100, 300])("with %i entries that read as much as they may", entries => {
        vitest.it.each(kills)("when $name", plan => {
            const clock = new clocks.ManualClock(0);
            const fleet = new simulations.FleetSimulation(
                { ...plan, entries, failureDomains: 3, downMs: 300, discoveryMs: 1_800 },
                clock,
                randoms.createRandom(1),
                known => pacedStores.createPace(clock, known, () => STORE_READS_PER_SECOND),
            );
            const reads: number[] = [];
            for (let nowMs = 0; nowMs < END_MS; nowMs += STEP_MS) {
                fleet.step();
                for (const entry of fleet.entries) {
                    const count = entry?.memory.left ?? 0;
                    entry?.memory.take(count);
                    reads.push(...new Array<number>(count).fill(nowMs));
                }
                clock.advance(STEP_MS);
            }
            const most = arrivalCounts.mostWithin(reads, SECOND_MS);
            vitest.expect(most).toBeGreaterThan(0);
            vitest.expect(most).toBeLessThanOrEqual(STORE_READS_PER_SECOND);
        });
    });
});
