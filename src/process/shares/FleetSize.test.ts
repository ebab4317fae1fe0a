import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as fleetSizes from "./FleetSize";

const SELF = { name: "entry-0", failureDomain: "a" };

function entry(index: number, failureDomain: string, isConnected = false): fleetSizes.OtherEntry {
    return { name: `entry-${index}`, failureDomain, isConnected };
}

interface Change {
    readonly atMs: number;
    readonly others?: readonly fleetSizes.OtherEntry[];
    readonly hasCompleteList?: boolean;
}

/** Plays what an entry learns; returns since when it knows the others. */
function play(changes: readonly Change[], { hasOthers = true, isFirstStart = false } = {}) {
    const clock = new clocks.ManualClock(0);
    let others: readonly fleetSizes.OtherEntry[] = [];
    let hasCompleteList = false;
    const size = new fleetSizes.FleetSize({
        clock,
        self: SELF,
        others: () => others,
        failureDomains: () => ["a", "b", "c"],
        hasOthers: () => hasOthers,
        hasCompleteList: () => hasCompleteList,
        isFirstStart,
    });
    for (let nowMs = 0; nowMs <= 20_000; nowMs += 100) {
        for (const change of changes.filter(({ atMs }) => atMs === nowMs)) {
            others = change.others ?? others;
            hasCompleteList ||= change.hasCompleteList === true;
        }
        size.count; // eslint-disable-line @typescript-eslint/no-unused-expressions -- Read as regularly as by calls.
        clock.advance(100);
    }
    return { settledAtMs: size.settledAtMs, count: size.count, names: size.names };
}

vitest.describe("an entry knows the others", () => {
    const two = [entry(1, "a", true), entry(2, "b")];
    const connected = [entry(1, "a", true), entry(2, "b", true)];
    vitest.it.each<{
        readonly name: string;
        readonly changes: readonly Change[];
        readonly options?: { readonly hasOthers?: boolean; readonly isFirstStart?: boolean };
        readonly settledAtMs: number | undefined;
    }>([
        { name: "at once if it is meant to be alone", changes: [], options: { hasOthers: false }, settledAtMs: 0 },
        { name: "never if it has met none", changes: [], settledAtMs: undefined },
        { name: "when no name is new for a while", changes: [{ atMs: 600, others: two }], settledAtMs: 2_600 },
        {
            name: "later if there are further ones",
            changes: [{ atMs: 600, others: two }, { atMs: 2_400, others: [...two, entry(3, "c")] }],
            settledAtMs: 4_400,
        },
        {
            name: "never while it is cut off from most of those that it has met",
            changes: [
                { atMs: 600, others: [...two, entry(3, "c", true)] },
                { atMs: 2_400, others: [entry(1, "a"), entry(2, "b"), entry(3, "c")] },
            ],
            settledAtMs: undefined,
        },
        {
            name: "sooner after a new start if it is connected to all of them",
            changes: [{ atMs: 600, others: connected }],
            settledAtMs: 1_600,
        },
        {
            name: "no sooner for that at the first start of all",
            changes: [{ atMs: 600, others: connected }],
            options: { isFirstStart: true },
            settledAtMs: 2_600,
        },
        {
            name: "when an entry that knows all has listed them",
            changes: [{ atMs: 400, others: two, hasCompleteList: true }],
            settledAtMs: 400,
        },
    ])("$name", ({ changes, options, settledAtMs }) => {
        vitest.expect(play(changes, options).settledAtMs).toBe(settledAtMs);
    });

    vitest.it.each([
        { name: "those that it knows", others: [entry(1, "b", true), entry(2, "c", true)], count: 3 },
        { name: "as many in unknown domains as in the largest", others: connected, count: 5 },
        { name: "as many in domains of which it is connected to none", others: two, shared: 2, count: 6 },
        {
            name: "domains that nobody has listed",
            others: [entry(1, "b", true), entry(2, "c", true), entry(3, "d", true)],
            count: 4,
        },
    ])("and assumes $name", ({ others, shared, count }) => {
        const { names, count: assumed } = play([{ atMs: 0, others }]);
        vitest.expect(names).toHaveLength(shared ?? others.length + 1);
        vitest.expect(assumed).toBe(count);
    });
});

vitest.describe("a predecessor may have used the shares", () => {
    vitest.it.each([
        { name: "until this process listens", isFirstStart: false, before: Infinity, after: 500 },
        { name: "never, if all start for the first time", isFirstStart: true, before: -Infinity, after: -Infinity },
    ])("$name", ({ isFirstStart, before, after }) => {
        const clock = new clocks.ManualClock(0);
        const size = new fleetSizes.FleetSize({
            clock,
            self: SELF,
            others: () => [],
            failureDomains: () => [],
            hasOthers: () => false,
            hasCompleteList: () => false,
            isFirstStart,
        });
        vitest.expect(size.precededUntilMs).toBe(before);
        clock.advance(500);
        size.recordListening();
        clock.advance(500);
        vitest.expect(size.precededUntilMs).toBe(after);
    });
});
