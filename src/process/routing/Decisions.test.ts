import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as arrivalWindows from "../instances/ArrivalWindow";
import * as choices from "../instances/InstanceChoice";
import * as traffic from "../instances/InstanceTraffic";
import * as biases from "../stages/EstimateBias";
import * as hostChoices from "../stages/HostChoice";

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

vitest.describe("chooseInstance", () => {
    const cases: readonly { readonly name: string; readonly worse: Partial<choices.Candidate> }[] = [
        { name: "the one with less load", worse: { load: 20 } },
        { name: "the one where the prompt is cached", worse: { missingTokens: 3_000 } },
        { name: "the one with fewer prompts waiting", worse: { waitingTokens: 3_000 } },
        { name: "the one in the same failure domain", worse: { isSameDomain: false } },
        { name: "the one in whose failure domain the inputs are", worse: { crossDomainInputBytes: 3_000_000 } },
        { name: "the faster one", worse: { slowness: 4 } },
    ];
    vitest.it.each(cases)("prefers $name", ({ worse }) => {
        const candidates = [{ ...idleInstance, ...worse, id: "worse" }, idleInstance];
        vitest.expect(choices.chooseInstance(candidates, Math.random)!.id).toBe("idle");
    });

    vitest.it(
        "prefers an instance without the cached prompt when the wait at the other is longer than reading the prompt",
        () => {
            const cached = { ...idleInstance, id: "cached", waitingTokens: 8_000 };
            const empty = { ...idleInstance, id: "empty", missingTokens: 6_300 };
            vitest.expect(choices.chooseInstance([cached, empty], Math.random)!.id).toBe("empty");
        },
    );
});

vitest.describe("the mean call time of an instance", () => {
    vitest.it("is measured on successful calls and expires", () => {
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

vitest.describe("the calls to a cold instance", () => {
    vitest.it("are counted within their window", () => {
        const arrivals = new arrivalWindows.ArrivalWindow();
        [0, 500, 900].forEach(atMs => arrivals.add(atMs));
        vitest.expect([arrivals.count(900), arrivals.count(1_400), arrivals.count(3_000)]).toEqual([3, 2, 0]);
    });
});

/** The host when there is one group. */
function chooseHost(candidates: readonly hostChoices.HostCandidate[]): string | undefined {
    return hostChoices.chooseHosts(candidates, 1)[0];
}

vitest.describe("chooseHost", () => {
    const first = { instance: "a", startedMs: 0, hostingSinceMs: undefined, cores: 1 };
    const cases: readonly {
        readonly name: string;
        readonly others: hostChoices.HostCandidate[];
        readonly isReplaced: boolean;
    }[] = [
        {
            name: "doesn't choose a younger entry",
            others: [{ instance: "b", startedMs: 60_000, hostingSinceMs: undefined, cores: 1 }],
            isReplaced: false,
        },
        {
            name: "chooses an older entry",
            others: [{ instance: "b", startedMs: -60_000, hostingSinceMs: undefined, cores: 1 }],
            isReplaced: true,
        },
        {
            name: "chooses an entry with more cores",
            others: [{ instance: "b", startedMs: 60_000, hostingSinceMs: undefined, cores: 3 }],
            isReplaced: true,
        },
        {
            name: "doesn't choose an entry with few cores",
            others: [{ instance: "b", startedMs: -60_000, hostingSinceMs: undefined, cores: 0.2 }],
            isReplaced: false,
        },
    ];
    vitest.it.each(cases)("$name", ({ others, isReplaced }) => {
        vitest.expect(chooseHost([first, ...others])).toBe(isReplaced ? others[0]!.instance : "a");
    });

    vitest.it("doesn't depend on the order of candidates that started at about the same time", () => {
        const names = ["a", "b", "c", "d"];
        const candidates = names.map((instance, index) => ({
            instance,
            startedMs: index * 100,
            hostingSinceMs: undefined,
            cores: 1,
        }));
        const host = chooseHost(candidates);
        vitest.expect(chooseHost([...candidates].reverse())).toBe(host);
    });

    const hostingCases: readonly {
        readonly name: string;
        readonly candidates: readonly hostChoices.HostCandidate[];
        readonly host: string;
    }[] = [
        {
            name: "keeps the current host when there is an older entry",
            candidates: [
                { instance: "a", startedMs: 4_800, hostingSinceMs: 7_000, cores: 1 },
                { instance: "b", startedMs: 0, hostingSinceMs: undefined, cores: 1 },
            ],
            host: "a",
        },
        {
            name: "keeps the current host when restarted entries count as equally old",
            candidates: [
                { instance: "a", startedMs: 4_800, hostingSinceMs: 7_000, cores: 1 },
                { instance: "b", startedMs: 7_700, hostingSinceMs: undefined, cores: 1 },
                { instance: "c", startedMs: 7_600, hostingSinceMs: undefined, cores: 1 },
            ],
            host: "a",
        },
        {
            name: "chooses the entry that has hosted longer",
            candidates: [
                { instance: "a", startedMs: 0, hostingSinceMs: 7_000, cores: 1 },
                { instance: "b", startedMs: 0, hostingSinceMs: 6_000, cores: 1 },
            ],
            host: "b",
        },
        {
            name: "replaces a current host that has few cores",
            candidates: [
                { instance: "a", startedMs: 0, hostingSinceMs: 7_000, cores: 0.2 },
                { instance: "b", startedMs: 9_000, hostingSinceMs: undefined, cores: 1 },
            ],
            host: "b",
        },
    ];
    vitest.it.each(hostingCases)("$name", ({ candidates, host }) => {
        vitest.expect(chooseHost(candidates)).toBe(host);
        vitest.expect(chooseHost([...candidates].reverse())).toBe(host);
    });

    vitest.it("returns undefined without candidates", () => {
        vitest.expect(chooseHost([])).toBeUndefined();
    });
});

vitest.describe("chooseHosts", () => {
    function candidate(
        instance: string,
        overrides: Partial<hostChoices.HostCandidate> = {},
    ): hostChoices.HostCandidate {
        return { instance, startedMs: 0, hostingSinceMs: undefined, cores: 1, ...overrides };
    }
    const names = ["a", "b", "c", "d", "e", "f"];

    vitest.it.each([
        { name: "elects another entry for each group", candidates: names.map(name => candidate(name)), groups: 3 },
        {
            name: "doesn't elect a present host for a second group",
            candidates: [candidate("a", { hostingSinceMs: 5, hostingGroup: 1 }), candidate("b")],
            groups: 2,
        },
    ])("$name", ({ candidates, groups }) => {
        const hosts = hostChoices.chooseHosts(candidates, groups);
        vitest.expect(new Set(hosts).size).toBe(groups);
        vitest.expect(hostChoices.chooseHosts([...candidates].reverse(), groups)).toEqual(hosts);
    });

    vitest.it("keeps the hosts of the other groups when one is lost", () => {
        const hosting = [
            candidate("b", { hostingSinceMs: 5, hostingGroup: 0 }),
            candidate("d", { hostingSinceMs: 5, hostingGroup: 2 }),
        ];
        const hosts = hostChoices.chooseHosts([candidate("a"), ...hosting, candidate("c")], 3);
        vitest.expect([hosts[0], hosts[2]]).toEqual(["b", "d"]);
    });

    vitest.it("lets one entry host all groups when it is alone", () => {
        vitest.expect(hostChoices.chooseHosts([candidate("a")], 2)).toEqual(["a", "a"]);
    });

    vitest.it("elects the successors after the loss of all hosts, and of the first successors", () => {
        const candidates = names.map(name => candidate(name));
        const hosts = hostChoices.chooseHosts(candidates, 2);
        const successors = hostChoices.chooseSuccessors(candidates, hosts, 2);
        let remaining = candidates;
        for (let round = 0; round < 2; round++) {
            const lost = hostChoices.chooseHosts(remaining, 2);
            remaining = remaining.filter(({ instance }) => !lost.includes(instance));
            const next = hostChoices.chooseHosts(remaining, 2);
            vitest.expect(next.every(host => successors.has(host!))).toBe(true);
        }
    });
});

vitest.describe("the bias of estimates", () => {
    vitest.it("follows the observed times and decays without observations", () => {
        const bias = new biases.EstimateBias();
        vitest.expect(bias.valueMs(0)).toBe(0);
        for (let index = 0; index < 30; index++) {
            bias.record(1_000, 1_400, index * 100);
        }
        vitest.expect(bias.valueMs(2_900)).toBeGreaterThan(300);
        vitest.expect(bias.valueMs(20_000)).toBeLessThan(5);
    });

    vitest.it("decays after a disturbance without new observations, as when all calls are rejected", () => {
        const bias = new biases.EstimateBias();
        for (let index = 0; index < 40; index++) {
            bias.record(800, 3_800, index * 50);
        }
        vitest.expect(bias.valueMs(2_000)).toBeLessThanOrEqual(500);
        vitest.expect(bias.valueMs(5_000)).toBeLessThan(80);
    });
});
