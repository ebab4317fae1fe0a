import * as vitest from "vitest";
import * as simulations from "./StoreSimulation";

/** Bounds of a deployment: of a change's propagation, and the time after which the store counts as well again. */
interface Bounds {
    readonly configMs: number;
    readonly stableMs: number;
}

/** The bounds that the users state, by the number of entries of their deployments. */
const SMALL: Bounds = { configMs: 2_000, stableMs: 3_000 };
const MIDDLE: Bounds = { configMs: 3_000, stableMs: 4_000 };
const LARGE: Bounds = { configMs: 4_000, stableMs: 5_000 };
const fleets: readonly (Bounds & { readonly entries: number })[] = [
    { entries: 1, ...SMALL },
    { entries: 4, ...SMALL },
    { entries: 8, ...SMALL },
    { entries: 28, ...MIDDLE },
    { entries: 68, ...LARGE },
];

/** A change after which all watches begin at about the same time. */
const FIRST_CHANGE_MS = 5_000;
/** Times after that change at which the store turns silent and answers again. */
const silences = [
    { fromMs: 900, toMs: 1_000 },
    { fromMs: 900, toMs: 2_500 },
    { fromMs: 900, toMs: 5_300 },
    { fromMs: 2_300, toMs: 2_500 },
    { fromMs: 2_300, toMs: 5_000 },
    { fromMs: 5_000, toMs: 6_000 },
];
/** Times after the silence at which the operators change something. */
const changeDelays = [50, 1_000, 2_000, 3_000];
const SEEDS = [1, 2];

interface Propagation {
    readonly fault: Omit<simulations.StoreFault, "fromMs" | "toMs">;
    readonly lostLinks?: simulations.FleetOptions["lostLinks"];
}

/** The longest time beyond the bounds that an entry needed for a change, over all silences, changes and seeds. */
async function measureExcessMs(entries: number, bounds: Bounds, propagation: Propagation): Promise<number> {
    let worstMs = -Infinity;
    for (const silence of silences) {
        for (const changeDelayMs of changeDelays) {
            for (const seed of SEEDS) {
                const toMs = FIRST_CHANGE_MS + silence.toMs;
                const fault = { ...propagation.fault, fromMs: FIRST_CHANGE_MS + silence.fromMs, toMs };
                const fleet = new simulations.Fleet({ entries, seed, faults: [fault], ...propagation });
                await fleet.run(FIRST_CHANGE_MS);
                fleet.change();
                const changeMs = toMs + changeDelayMs;
                await fleet.run(changeMs);
                const revision = fleet.change();
                const deadlineMs = Math.max(changeMs + bounds.configMs, toMs + bounds.stableMs);
                const knownMs = await fleet.waitUntilKnown(revision);
                fleet.dispose();
                worstMs = Math.max(worstMs, knownMs - deadlineMs);
            }
        }
    }
    return worstMs;
}

vitest.describe("a change after a silence of the store is known everywhere in time", { timeout: 120_000 }, () => {
    vitest.it.each(fleets)("with $entries entries", async ({ entries, ...bounds }) => {
        vitest.expect(await measureExcessMs(entries, bounds, { fault: {} })).toBeLessThanOrEqual(0);
    });
    const partialFaults: readonly (Propagation & { readonly name: string })[] = [
        { name: "silent for every second entry", fault: { isAffected: entry => entry % 2 === 0 } },
        { name: "silent for all but one entry", fault: { isAffected: entry => entry > 0 } },
        { name: "silent for one call of two", fault: { isLost: call => call % 2 === 0 } },
        {
            name: "silent, and one entry's messages to others are lost",
            fault: {},
            lostLinks: (from, to) => from === 0 && to !== 1,
        },
        {
            name: "silent, and the messages of every second entry to one that isn't affected are lost",
            fault: { isAffected: entry => entry !== 0 },
            lostLinks: (from, to) => from % 2 === 1 && to === 0,
        },
        { name: "rejecting calls", fault: { isRejecting: true } },
        {
            name: "rejecting the calls of every second entry",
            fault: { isRejecting: true, isAffected: entry => entry % 2 === 0 },
        },
    ];
    vitest.it.each(partialFaults)("$name", async propagation => {
        vitest.expect(await measureExcessMs(28, MIDDLE, propagation)).toBeLessThanOrEqual(0);
    });
});

vitest.describe("an entry that the store never answers", { timeout: 120_000 }, () => {
    vitest.it.each([
        { name: "learns each change from its peers", lostLinks: undefined },
        {
            name: "learns each change while its requests to some peers are lost",
            lostLinks: (from: number, to: number) => from === 5 && to < 5,
        },
    ])("$name", async ({ lostLinks }) => {
        const fault = { fromMs: 1_000, toMs: Infinity, isAffected: (entry: number) => entry === 5 };
        const fleet = new simulations.Fleet({ entries: 28, seed: 1, faults: [fault], lostLinks });
        for (let changeMs = 5_000; changeMs < 20_000; changeMs += 3_500) {
            await fleet.run(changeMs);
            const knownMs = await fleet.waitUntilKnown(fleet.change());
            vitest.expect(knownMs - changeMs).toBeLessThanOrEqual(MIDDLE.configMs);
        }
        fleet.dispose();
    });
});
