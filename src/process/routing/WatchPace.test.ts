import * as vitest from "vitest";
import * as paces from "./WatchPace";

function names(entries: number): string[] {
    return Array.from({ length: entries }, (_, index) => `entry-${index}`);
}

/** The waits of all entries in ascending order, if they begin a watch at the same time. */
function waitsInStep(entries: number, revision: number): number[] {
    const all = names(entries);
    return all.map(instance => {
        const peers = all.filter(other => other !== instance);
        return paces.waitMs({ instance, peers, revision, isInStep: true });
    }).sort((a, b) => a - b);
}

vitest.describe("watches that begin together", () => {
    vitest.it.each([
        { entries: 1, firstMs: 2_000, intervalMs: 2_000, lastMs: 2_000 },
        { entries: 2, firstMs: 1_000, intervalMs: 1_000, lastMs: 2_000 },
        { entries: 4, firstMs: 1_000, intervalMs: 500, lastMs: 2_000 },
        { entries: 8, firstMs: 1_000, intervalMs: 500, lastMs: 4_000 },
        { entries: 28, firstMs: 1_000, intervalMs: 500, lastMs: 8_000 },
        { entries: 100, firstMs: 1_000, intervalMs: 500, lastMs: 8_000 },
        { entries: 300, firstMs: 1_000, intervalMs: 500, lastMs: 8_000 },
    ])(
        "of $entries entries end at least every $intervalMs ms",
        ({ entries, firstMs, intervalMs, lastMs }) => {
            const waits = waitsInStep(entries, 7);
            vitest.expect(waits[0]).toBe(firstMs);
            vitest.expect(waits.at(-1)).toBe(lastMs);
            const gaps = waits.slice(1).map((wait, index) => wait - waits[index]!);
            vitest.expect(Math.max(0, ...gaps)).toBeLessThanOrEqual(intervalMs);
        },
    );

    vitest.it("don't end together when they are many", () => {
        const waits = waitsInStep(300, 7);
        const mostInInterval = Math.max(
            ...waits.map(from => waits.filter(wait => wait >= from && wait < from + 500).length),
        );
        vitest.expect(mostInInterval).toBeLessThanOrEqual(40); // Of 300, of which 285 end within 4 s.
    });

    vitest.it("are ended first by another entry at each revision", () => {
        const all = names(28);
        const first = (revision: number): string | undefined =>
            all.find(instance => {
                const peers = all.filter(other => other !== instance);
                return paces.waitMs({ instance, peers, revision, isInStep: true }) === 1_000;
            });
        const firsts = new Set(Array.from({ length: 100 }, (_, revision) => first(revision)));
        vitest.expect(firsts.size).toBeGreaterThanOrEqual(20);
    });
});

vitest.describe("a watch after one that ended by its wait", () => {
    vitest.it.each([
        { entries: 1, waitMs: 2_000 },
        { entries: 4, waitMs: 2_000 },
        { entries: 8, waitMs: 4_000 },
        { entries: 31, waitMs: 8_000 },
    ])("waits $waitMs ms with $entries entries", ({ entries, waitMs }) => {
        const [instance, ...peers] = names(entries);
        vitest.expect(paces.waitMs({ instance: instance!, peers, revision: 7, isInStep: false })).toBe(waitMs);
    });
});
