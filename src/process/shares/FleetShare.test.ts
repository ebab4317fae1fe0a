import * as vitest from "vitest";
import * as fixtures from "./FleetFixture";
import * as shares from "./FleetShare";
import * as fleetSizes from "./FleetSize";

const WINDOW = { lengthMs: 4_000, nowMs: 0 };

function createNames(count: number): string[] {
    return Array.from({ length: count }, (_, index) => `entry-${index}`);
}

function shareOf(total: number, fleet: fleetSizes.Fleet, window = WINDOW): number {
    return shares.wholeShare(total, "i-1", fleet, window);
}

vitest.describe("the shares of entries", () => {
    vitest.it.each([
        { total: 4, entries: 4 },
        { total: 4, entries: 300 },
        { total: 10, entries: 7 },
        { total: 800, entries: 30 },
        { total: 16.8, entries: 4 },
        { total: 16.8, entries: 31 },
        { total: 3, entries: 8 },
        { total: 18, entries: 1 },
    ])("that know the same $entries add up to $total, rounded down", ({ total, entries }) => {
        const names = createNames(entries);
        const all = names.map(self => shareOf(total, fixtures.knownFleet(names, self)));
        vitest.expect(all.reduce((sum, share) => sum + share, 0)).toBe(Math.floor(total));
        vitest.expect(Math.max(...all) - Math.min(...all)).toBeLessThanOrEqual(1);
    });

    vitest.it.each([{ total: 4, entries: 24 }, { total: 70, entries: 24 }, { total: 100, entries: 300 }])(
        "of $entries that also know others that are gone don't exceed $total",
        ({ total, entries }) => {
            const names = createNames(entries);
            const all = names.map((self, index) =>
                shareOf(
                    total,
                    fixtures.knownFleet([...names, ...createNames(2 * entries).slice(entries, -index)], self),
                )
            );
            vitest.expect(all.reduce((sum, share) => sum + share, 0)).toBeLessThanOrEqual(total);
        },
    );

    vitest.it.each([3, 8, 100])(
        "of three parts of %i entries that don't know each other don't exceed the total",
        size => {
            const names = createNames(size);
            const all = names.map(self => shareOf(20, { ...fixtures.knownFleet(names, self), count: 3 * size }));
            vitest.expect(3 * all.reduce((sum, share) => sum + share, 0)).toBeLessThanOrEqual(20);
        },
    );

    vitest.it.each([
        { name: "it doesn't know the others", known: { settledAtMs: undefined }, share: 0 },
        { name: "its predecessor may have used it", known: { precededUntilMs: -3_999 }, share: 0 },
        { name: "it has no predecessor", known: { precededUntilMs: -Infinity }, share: 40 },
        { name: "a window has passed since then", known: { precededUntilMs: -4_000 }, share: 40 },
    ])("are $share for an entry that has just started, while $name", ({ known, share }) => {
        vitest.expect(shareOf(80, { ...fixtures.knownFleet(["entry-1", "entry-2"]), ...known })).toBe(share);
    });
});

vitest.describe("a share in force", () => {
    vitest.it.each([
        { name: "is the first one", computed: [[0, 3]], inForce: 3 },
        { name: "sinks at once", computed: [[0, 3], [100, 1]], inForce: 1 },
        { name: "doesn't rise within a window", computed: [[0, 1], [100, 3], [4_099, 3]], inForce: 1 },
        { name: "rises after a window", computed: [[0, 1], [100, 3], [4_100, 3]], inForce: 3 },
        { name: "rises to the lowest of the window", computed: [[0, 1], [100, 4], [200, 2], [4_100, 3]], inForce: 2 },
        {
            name: "begins a new window when it sinks",
            computed: [[0, 1], [100, 3], [4_000, 1], [4_050, 3], [4_200, 3]],
            inForce: 1,
        },
    ])("$name", ({ computed, inForce }) => {
        const steady = new shares.SteadyShare();
        const last = computed.map(([nowMs, share]) => steady.update(share!, { lengthMs: 4_000, nowMs: nowMs! })).at(-1);
        vitest.expect(last).toBe(inForce);
    });
});
