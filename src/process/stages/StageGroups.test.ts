import * as vitest from "vitest";
import * as randoms from "../../common/Random";
import * as groups from "./StageGroups";

vitest.describe("groupCount", () => {
    vitest.it.each([
        { name: "few entries", size: { entryCount: 4, hostCores: 0.5, instanceCounts: [4, 4, 4] }, count: 1 },
        { name: "tens of entries", size: { entryCount: 31, hostCores: 1.35, instanceCounts: [8, 10, 13] }, count: 1 },
        { name: "many entries", size: { entryCount: 68, hostCores: 1.35, instanceCounts: [12, 24, 29] }, count: 2 },
        { name: "weak entries", size: { entryCount: 18, hostCores: 0.12, instanceCounts: [8, 8, 8] }, count: 2 },
        { name: "few instances", size: { entryCount: 300, hostCores: 0.1, instanceCounts: [4, 90] }, count: 1 },
        { name: "no service with stages", size: { entryCount: 300, hostCores: 0.1, instanceCounts: [] }, count: 1 },
        { name: "no known cores", size: { entryCount: 300, hostCores: 0, instanceCounts: [9] }, count: 1 },
        { name: "neither", size: { entryCount: 300, hostCores: 0, instanceCounts: [] }, count: 1 },
    ])("with $name", ({ size, count }) => {
        vitest.expect(groups.groupCount(size)).toBe(count);
    });
});

vitest.describe("groupOfPosition", () => {
    vitest.it.each([
        { count: 12, groupCount: 3, sizes: [4, 4, 4] },
        { count: 8, groupCount: 3, sizes: [3, 3, 2] },
        { count: 5, groupCount: 1, sizes: [5] },
    ])("divides $count instances among $groupCount groups", ({ count, groupCount, sizes }) => {
        const found = sizes.map(() => 0);
        for (let position = 0; position < count; position++) {
            found[groups.groupOfPosition(position, count, groupCount)]!++;
        }
        vitest.expect(found).toEqual(sizes);
    });

    vitest.it("moves few instances when one of them is lost", () => {
        const before = Array.from({ length: 24 }, (_, position) => groups.groupOfPosition(position, 24, 3));
        const after = Array.from({ length: 23 }, (_, position) => groups.groupOfPosition(position, 23, 3));
        const lost = 10;
        const moved = after.filter((group, position) => group !== before[position < lost ? position : position + 1]);
        vitest.expect(moved.length).toBeLessThanOrEqual(2);
    });
});

vitest.describe("chooseGroup", () => {
    const random = randoms.createRandom(7);
    vitest.it.each([
        { name: "keeps the preferred group when backlogs are alike", backlogsMs: [150, 100], share: 0 },
        { name: "moves half of the orders to a much shorter backlog", backlogsMs: [900, 100], share: 0.5 },
        { name: "keeps a group without a known host", backlogsMs: [0, 0], share: 0 },
    ])("$name", ({ backlogsMs, share }) => {
        const chosen = Array.from({ length: 2_000 }, () => groups.chooseGroup(0, backlogsMs, random));
        const movedShare = chosen.filter(group => group === 1).length / chosen.length;
        vitest.expect(Math.abs(movedShare - share)).toBeLessThan(0.05);
    });

    vitest.it("levels the backlogs of two hosts in a burst on one failure domain", () => {
        const ORDER_MS = 20;
        const REPORT_INTERVAL = 5;
        const backlogsMs = [0, 0];
        let reportedMs = [0, 0];
        let longestMs = 0;
        for (let order = 0; order < 300; order++) {
            reportedMs = order % REPORT_INTERVAL === 0 ? [...backlogsMs] : reportedMs;
            backlogsMs[groups.chooseGroup(0, reportedMs, random)]! += ORDER_MS;
            backlogsMs.forEach((backlogMs, group) => backlogsMs[group] = Math.max(0, backlogMs - ORDER_MS * 0.6));
            longestMs = Math.max(longestMs, ...backlogsMs);
        }
        // Without moving, the preferred host would end with 300 * 20 * 0.4 = 2,400 ms.
        vitest.expect(longestMs).toBeLessThan(400);
    });
});
