import * as fc from "fast-check";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as messages from "../../common/Messages";
import * as choices from "./UpstreamChoice";

const { expect, it } = vitest;

const SEED = 24;
const CHOICES = 200;

function load(active: number, change: Partial<messages.Load> = {}): messages.Load {
    const idle = { limit: 8, queued: 0, cold: false, draining: false, expectedMs: 100, models: ["m"] };
    return { ...idle, active, ...change };
}

function candidate(instance: string, change: Partial<choices.Candidate> = {}): choices.Candidate {
    return { instance, failureDomain: "d0", region: "r0", load: load(0), pending: 0, ...change };
}

function request(change: Partial<choices.ChoiceRequest>): choices.ChoiceRequest {
    const plain = { service: "s", operation: "o", avoidInstances: new Set<string>(), avoidDomains: new Set<string>() };
    return { ...plain, candidates: [], ...change };
}

function createPolicy(seed = 1): [choices.UpstreamChoice, clocks.ManualClock] {
    const clock = new clocks.ManualClock();
    let state = seed;
    const random = (): number => {
        state = Math.imul(state, 1_103_515_245) + 12_345 >>> 0;
        return state / 2 ** 32;
    };
    return [new choices.UpstreamChoice({ clock, random, failureDomain: "d0", region: "r0" }), clock];
}

/** Sorted names of the instances chosen in many choices. */
function listChosen(policy: choices.UpstreamChoice, choiceRequest: choices.ChoiceRequest): string[] {
    const names = Array.from({ length: CHOICES }, () => policy.choose(choiceRequest)?.candidate.instance ?? "");
    return [...new Set(names)].sort();
}

const busy = { load: load(20) };
const remote = { failureDomain: "d9", region: "r9" };
const choiceCases: [string, Partial<choices.ChoiceRequest>, string[]][] = [
    ["nothing without candidates", {}, [""]],
    ["no draining instance", { candidates: [candidate("a", { load: load(0, { draining: true }) })] }, [""]],
    ["its own region first", { candidates: [candidate("a"), candidate("b", remote), candidate("c")] }, ["a", "c"]],
    ["all failure domains of its own region", {
        candidates: [candidate("a"), candidate("b", { failureDomain: "d1" }), candidate("c", { failureDomain: "d2" })],
    }, ["a", "b", "c"]],
    ["another region when its own is saturated", { candidates: [candidate("a", busy), candidate("b", remote)] }, ["b"]],
    ["the less loaded of two", { candidates: [candidate("a"), candidate("b", busy)] }, ["a"]],
    ["the instance with fewer pending calls", { candidates: [candidate("a", { pending: 9 }), candidate("b")] }, ["b"]],
    ["a warm instance before a cold one", {
        candidates: [candidate("a", { load: load(1, { limit: 1, cold: true }) }), candidate("b", { load: load(1) })],
    }, ["b"]],
    ["an engine that has loaded the model", {
        model: "m",
        candidates: [candidate("a", { load: load(0, { models: [] }) }), candidate("b", busy)],
    }, ["b"]],
    ["another domain for a retry", {
        avoidDomains: new Set(["d0"]),
        candidates: [candidate("a"), candidate("b", { failureDomain: "d1", ...busy })],
    }, ["b"]],
    ["an avoided domain when no other remains", {
        avoidDomains: new Set(["d0"]),
        avoidInstances: new Set(["b"]),
        candidates: [candidate("a"), candidate("b")],
    }, ["a"]],
    ["an avoided instance when it is the only one", {
        avoidInstances: new Set(["a"]),
        candidates: [candidate("a")],
    }, ["a"]],
    ["nothing when all of several instances are avoided", {
        avoidInstances: new Set(["a", "b"]),
        candidates: [candidate("a"), candidate("b")],
    }, [""]],
];
it.each(choiceCases)("chooses %s", (_name, change, expected) => {
    expect(listChosen(createPolicy()[0], request(change))).toEqual(expected);
});

const affinityCases: [string, number, string][] = [["equal", 0, "prefix"], ["higher", 12, "expected"]];
it.each(affinityCases)("with %s load on the prefix holder (%d calls), the reason is %s", (_name, pending, reason) => {
    const [policy] = createPolicy();
    policy.recordPrefix("b", "p", true);
    const candidates = [candidate("a"), candidate("b", { pending })];
    expect(policy.choose(request({ prefix: "p", candidates }))?.reason).toBe(reason);
});

it("forgets a prefix with its holder, on an eviction event and by age", () => {
    const drops: ((policy: choices.UpstreamChoice, clock: clocks.ManualClock) => void)[] = [
        policy => policy.forget("b"),
        policy => policy.recordPrefix("b", "p", false),
        (_policy, clock) => clock.advance(600_000),
    ];
    for (const drop of drops) {
        const [policy, clock] = createPolicy();
        policy.recordPrefix("b", "p", true);
        drop(policy, clock);
        const choiceRequest = request({ prefix: "p", candidates: [candidate("a"), candidate("b")] });
        expect(policy.choose(choiceRequest)?.reason).toBe("expected");
    }
});

it("ejects a failing instance for growing durations and readmits it after one successful trial call", () => {
    const [policy, clock] = createPolicy();
    const choiceRequest = request({ candidates: ["a", "b", "c"].map(name => candidate(name)) });
    for (let call = 0; call < 5; call++) {
        policy.recordFailure("b");
    }
    expect(listChosen(policy, choiceRequest)).not.toContain("b");
    clock.advance(5_000);
    expect(policy.choose(choiceRequest)).toMatchObject({ reason: "trial", candidate: { instance: "b" } });
    expect(listChosen(policy, choiceRequest)).not.toContain("b");
    policy.recordFailure("b");
    clock.advance(5_000);
    expect(listChosen(policy, choiceRequest)).not.toContain("b");
    clock.advance(5_000);
    expect(policy.choose(choiceRequest)?.reason).toBe("trial");
    policy.recordSuccess("b", 50, 60);
    expect(listChosen(policy, choiceRequest)).toContain("b");
});

it.each([[20_000, false], [400_000, true]])(
    "an ejection %d ms after the readmission has the initial duration: %s",
    (waitMs, isShort) => {
        const [policy, clock] = createPolicy();
        const choiceRequest = request({ candidates: ["a", "b", "c"].map(name => candidate(name)) });
        const eject = (): void => Array.from({ length: 5 }).forEach(() => policy.recordFailure("b"));
        eject();
        clock.advance(5_000);
        policy.choose(choiceRequest);
        policy.recordSuccess("b", 50, 60);
        clock.advance(waitMs);
        eject();
        clock.advance(5_000);
        expect(policy.choose(choiceRequest)?.reason === "trial").toBe(isShort);
    },
);

const recordCases: [string, (policy: choices.UpstreamChoice) => void][] = [
    ["was slow", policy => policy.recordSuccess("b", 5_000, 5_010)],
    ["has a high network overhead", policy => policy.recordSuccess("b", 50, 5_000)],
    ["failed", policy => policy.recordFailure("b")],
];
it.each(recordCases)("avoids an instance that %s, and tries it again after a while", (_name, record) => {
    const [policy, clock] = createPolicy();
    const choiceRequest = request({ candidates: [candidate("a", { failureDomain: "d1" }), candidate("b")] });
    policy.recordSuccess("a", 50, 60);
    record(policy);
    expect(listChosen(policy, choiceRequest)).toEqual(["a"]);
    clock.advance(30_000);
    expect(listChosen(policy, choiceRequest)).toContain("b");
});

it("always finds an instance and never ejects more than a third", () => {
    fc.assert(
        fc.property(fc.integer({ min: 3, max: 12 }), fc.array(fc.nat(11), { maxLength: 200 }), (count, failures) => {
            const [policy] = createPolicy(count);
            const candidates = Array.from({ length: count }, (_, index) => candidate(`i${index}`));
            for (const index of failures) {
                policy.recordFailure(`i${index}`);
            }
            const names = Array.from({ length: CHOICES }, () => policy.choose(request({ candidates }))?.considered);
            expect(names).not.toContain(undefined);
            expect(new Set(names.flat()).size).toBeGreaterThanOrEqual(count - Math.floor(count / 3));
        }),
        { seed: SEED },
    );
});
