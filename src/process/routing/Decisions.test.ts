import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as coldShares from "./ColdShare";
import * as biases from "./EstimateBias";
import * as hostChoices from "./HostChoice";
import * as choices from "./InstanceChoice";
import * as traffic from "./InstanceTraffic";
import * as budgets from "./ServiceRetryBudget";

const idleInstance: choices.Candidate = {
    id: "idle",
    isSameDomain: true,
    load: 0,
    waitingTokens: 0,
    missingTokens: 0,
    crossDomainInputBytes: 0,
    slots: 64,
    slowness: 1,
};

vitest.describe("the choice of an instance", () => {
    const cases: readonly { readonly name: string; readonly worse: Partial<choices.Candidate> }[] = [
        { name: "the one with less load", worse: { load: 20 } },
        { name: "the one where the prompt is cached", worse: { missingTokens: 3_000 } },
        { name: "the one with fewer prompts waiting", worse: { waitingTokens: 3_000 } },
        { name: "the near one", worse: { isSameDomain: false } },
        { name: "the one where the inputs lie", worse: { crossDomainInputBytes: 3_000_000 } },
        { name: "the quicker one", worse: { slowness: 4 } },
    ];
    vitest.it.each(cases)("takes $name", ({ worse }) => {
        const candidates = [{ ...idleInstance, ...worse, id: "worse" }, idleInstance];
        vitest.expect(choices.chooseInstance(candidates, Math.random)!.id).toBe("idle");
    });

    vitest.it("gives up a cached prompt when more prompts wait there than it saves", () => {
        const cached = { ...idleInstance, id: "cached", waitingTokens: 8_000 };
        const empty = { ...idleInstance, id: "empty", missingTokens: 6_300 };
        vitest.expect(choices.chooseInstance([cached, empty], Math.random)!.id).toBe("empty");
    });
});

vitest.describe("the time of an instance's calls", () => {
    vitest.it("is learned from calls that ended well, and forgotten", () => {
        const clock = new clocks.ManualClock();
        const counts = new traffic.InstanceTraffic(clock);
        vitest.expect(counts.recentCallMs).toBeUndefined();
        for (const elapsedMs of [100, 100, 600]) {
            const ticket = counts.begin(0, []);
            clock.advance(elapsedMs);
            ticket.end("ok");
        }
        vitest.expect(counts.recentCallMs).toBe(200);
        const failed = counts.begin(0, []);
        clock.advance(1_000);
        failed.end("failed");
        vitest.expect(counts.recentCallMs).toBe(200);
        clock.advance(3_000);
        vitest.expect(counts.recentCallMs).toBeUndefined();
    });
});

vitest.describe("the share of a cold instance's arrivals", () => {
    vitest.it.each([
        { total: 16.8, entries: 4 },
        { total: 16.8, entries: 31 },
        { total: 3, entries: 8 },
        { total: 18, entries: 1 },
    ])("never adds up to more than $total over $entries entries", ({ total, entries }) => {
        const names = [...Array(entries).keys()].map(index => `entry-${index}`);
        const shares = names.map(name => coldShares.coldShare(total, "instance", name, names));
        vitest.expect(shares.reduce((sum, share) => sum + share, 0)).toBe(Math.floor(total));
    });

    vitest.it("counts the arrivals of the last second", () => {
        const arrivals = new coldShares.ArrivalWindow();
        [0, 500, 900].forEach(atMs => arrivals.add(atMs));
        vitest.expect([arrivals.count(900), arrivals.count(1_400), arrivals.count(3_000)]).toEqual([3, 2, 0]);
    });
});

vitest.describe("the budget of repeats", () => {
    vitest.it("allows a share of the first calls and of the fixed part within the window", () => {
        const clock = new clocks.ManualClock();
        const bound = { windowMs: 10_000, ratio: 0.2, slack: 20 };
        const budget = new budgets.ServiceRetryBudget(clock, () => bound, () => 4);
        for (let count = 0; count < 50; count++) {
            budget.countFirstCall();
        }
        const countRetries = (): number => Array.from({ length: 40 }, () => budget.trySpend()).filter(Boolean).length;
        vitest.expect(countRetries()).toBe(12);
        clock.advance(10_001);
        vitest.expect(countRetries()).toBe(4);
    });
});

vitest.describe("the host of stages", () => {
    const current = { instance: "a", startedMs: 0, hostingSinceMs: undefined, cores: 1 };
    const cases: readonly {
        readonly name: string;
        readonly others: hostChoices.HostCandidate[];
        readonly isReplaced: boolean;
    }[] = [
        {
            name: "stays when a young entry comes",
            others: [{ instance: "b", startedMs: 60_000, hostingSinceMs: undefined, cores: 1 }],
            isReplaced: false,
        },
        {
            name: "goes to an older entry",
            others: [{ instance: "b", startedMs: -60_000, hostingSinceMs: undefined, cores: 1 }],
            isReplaced: true,
        },
        {
            name: "goes to a stronger entry",
            others: [{ instance: "b", startedMs: 60_000, hostingSinceMs: undefined, cores: 3 }],
            isReplaced: true,
        },
        {
            name: "isn't a weak entry",
            others: [{ instance: "b", startedMs: -60_000, hostingSinceMs: undefined, cores: 0.2 }],
            isReplaced: false,
        },
    ];
    vitest.it.each(cases)("$name", ({ others, isReplaced }) => {
        vitest.expect(hostChoices.chooseHost([current, ...others])).toBe(isReplaced ? others[0]!.instance : "a");
    });

    vitest.it("is the same for all that started together, in whatever order they are known", () => {
        const names = ["a", "b", "c", "d"];
        const candidates = names.map((instance, index) => ({
            instance,
            startedMs: index * 100,
            hostingSinceMs: undefined,
            cores: 1,
        }));
        const host = hostChoices.chooseHost(candidates);
        vitest.expect(hostChoices.chooseHost([...candidates].reverse())).toBe(host);
    });

    const hostingCases: readonly {
        readonly name: string;
        readonly candidates: readonly hostChoices.HostCandidate[];
        readonly host: string;
    }[] = [
        {
            name: "stays when an older entry is there",
            candidates: [
                { instance: "a", startedMs: 4_800, hostingSinceMs: 7_000, cores: 1 },
                { instance: "b", startedMs: 0, hostingSinceMs: undefined, cores: 1 },
            ],
            host: "a",
        },
        {
            name: "stays when one of nearly the same age comes back",
            candidates: [
                { instance: "a", startedMs: 4_800, hostingSinceMs: 7_000, cores: 1 },
                { instance: "b", startedMs: 7_700, hostingSinceMs: undefined, cores: 1 },
                { instance: "c", startedMs: 7_600, hostingSinceMs: undefined, cores: 1 },
            ],
            host: "a",
        },
        {
            name: "is the one that was it longer",
            candidates: [
                { instance: "a", startedMs: 0, hostingSinceMs: 7_000, cores: 1 },
                { instance: "b", startedMs: 0, hostingSinceMs: 6_000, cores: 1 },
            ],
            host: "b",
        },
        {
            name: "doesn't stay with a weak entry",
            candidates: [
                { instance: "a", startedMs: 0, hostingSinceMs: 7_000, cores: 0.2 },
                { instance: "b", startedMs: 9_000, hostingSinceMs: undefined, cores: 1 },
            ],
            host: "b",
        },
    ];
    vitest.it.each(hostingCases)("$name", ({ candidates, host }) => {
        vitest.expect(hostChoices.chooseHost(candidates)).toBe(host);
        vitest.expect(hostChoices.chooseHost([...candidates].reverse())).toBe(host);
    });

    vitest.it("is nobody without candidates", () => {
        vitest.expect(hostChoices.chooseHost([])).toBeUndefined();
    });
});

vitest.describe("the bias of estimates", () => {
    vitest.it("follows what is observed and fades without observations", () => {
        const bias = new biases.EstimateBias();
        vitest.expect(bias.valueMs(0)).toBe(0);
        for (let index = 0; index < 30; index++) {
            bias.note(1_000, 1_400, index * 100);
        }
        vitest.expect(bias.valueMs(2_900)).toBeGreaterThan(300);
        vitest.expect(bias.valueMs(20_000)).toBeLessThan(5);
    });

    vitest.it("doesn't keep calls out after a disturbance, when nothing new is learned", () => {
        const bias = new biases.EstimateBias();
        for (let index = 0; index < 40; index++) {
            bias.note(800, 3_800, index * 50);
        }
        vitest.expect(bias.valueMs(2_000)).toBeLessThanOrEqual(500);
        vitest.expect(bias.valueMs(5_000)).toBeLessThan(80);
    });
});
