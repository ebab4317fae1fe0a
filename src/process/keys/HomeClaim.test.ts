import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as timeOrderedKeys from "../../common/TimeOrderedKey";
import * as keyHomes from "../../version/KeyHome";
import * as claims from "./HomeClaim";
import * as keyLeases from "./KeyLease";

const { describe, expect, it } = vitest;

const LIFETIME_MS = 60_000;
const keys = Array.from({ length: 200 }, (_, index) => `key-${index}`);

async function flush(): Promise<void> {
    for (let turn = 0; turn < 8; turn++) {
        await Promise.resolve();
    }
}

function createClaim() {
    const clock = new clocks.ManualClock();
    const words: Record<string, claims.Confirmation> = {};
    const asked: string[] = [];
    const alarms: string[] = [];
    const claim = new claims.HomeClaim({
        clock,
        slot: "a",
        lifetimeMs: () => LIFETIME_MS,
        confirm: (instance, version) => {
            asked.push(`${instance}@${version}`);
            return Promise.resolve(words[instance] ?? "unreachable");
        },
        onAlarm: failure => alarms.push(failure.code.name),
    });
    /** Codes by key of the keys whose home is this slot under `slots`. */
    const decideOwn = (slots: string[], previous: string[] = slots) => [
        ...new Set(
            keys.filter(key => keyHomes.findHome(key, slots) === "a" && keyHomes.findHome(key, previous) === "a")
                .map(key => claim.decide(key)?.code.name ?? "served"),
        ),
    ];
    return { clock, words, asked, alarms, claim, decideOwn };
}

function findMoved(slots: string[], previous: string[]): string {
    return keys.find(key => keyHomes.findHome(key, slots) === "a" && keyHomes.findHome(key, previous) !== "a")!;
}

describe("HomeClaim", () => {
    const starts: [string, string[], string[], Record<string, claims.Confirmation>, string][] = [
        ["alone", ["a"], [], {}, "key-too-old"],
        ["with all confirmed", ["a", "b"], ["b", "c"], { b: "yielded", c: "yielded" }, "key-too-old"],
        ["with a slot unreachable", ["a", "b", "c"], [], { b: "yielded" }, "handover-pending"],
        ["with a listed agent unreachable", ["a", "b"], ["a", "old"], { b: "yielded" }, "handover-pending"],
        ["with one gone", ["a", "b"], ["old"], { b: "yielded", old: "gone" }, "key-too-old"],
    ];
    it.each(starts)("starts %s", async (_name, slots, listed, words, expected) => {
        const { claim, clock, decideOwn, words: known } = createClaim();
        expect(claim.decide("key")?.code.name).toBe("not-ready");
        Object.assign(known, words);
        claim.update(1, slots, listed);
        await flush();
        expect(decideOwn(slots)).toEqual([expected]);
        // The lease of an instance that went without a word ends later.
        clock.advance(LIFETIME_MS + (Object.values(words).includes("gone") ? keyLeases.KEY_LEASE_MS - 1 : -1));
        expect(decideOwn(slots)).toEqual([expected]);
        clock.advance(1);
        expect(decideOwn(slots)).toEqual([expected === "key-too-old" ? "served" : expected]);
    });

    it("refuses keys of other homes", () => {
        const { claim } = createClaim();
        claim.update(1, ["b"], []);
        expect(claim.decide("key")?.code.name).toBe("not-home");
    });

    it("holds only moved keys back after a change, until the earlier home confirms", async () => {
        const { clock, claim, words, asked, decideOwn } = createClaim();
        words["b"] = "yielded";
        claim.update(1, ["a", "b"], []);
        await flush();
        clock.advance(LIFETIME_MS);
        delete words["b"];
        claim.update(2, ["a"], ["b"]);
        await flush();
        const moved = findMoved(["a"], ["a", "b"]);
        expect(decideOwn(["a"], ["a", "b"])).toEqual(["served"]);
        expect(claim.decide(moved)?.code.name).toBe("handover-pending");
        expect(claim.decide(moved)?.retryAfterMs).toBeGreaterThan(0);
        words["b"] = "yielded";
        clock.advance(5_000);
        await flush();
        expect([claim.decide(moved)?.code.name, asked.at(-1)]).toEqual(["key-too-old", "b@2"]);
        clock.advance(LIFETIME_MS - 1);
        expect(claim.decide(moved)?.retryAfterMs).toBe(1);
        clock.advance(1);
        expect(claim.decide(moved)).toBeUndefined();
    });

    it("waits for the lease of an earlier home that is off the list already", async () => {
        const { clock, claim, words } = createClaim();
        words["b"] = "yielded";
        claim.update(1, ["a", "b"], []);
        await flush();
        clock.advance(LIFETIME_MS);
        claim.update(2, ["a"], []);
        clock.advance(LIFETIME_MS + keyLeases.KEY_LEASE_MS - 1);
        expect(claim.decide(findMoved(["a"], ["a", "b"]))?.code.name).toBe("key-too-old");
        clock.advance(1);
        expect(claim.decide(findMoved(["a"], ["a", "b"]))).toBeUndefined();
    });

    const ages: [string, number, string][] = [
        ["before the handover", -1, "key-too-old"],
        ["within the allowed skew after it", timeOrderedKeys.CLOCK_SKEW_MS, "key-too-old"],
        ["later", timeOrderedKeys.CLOCK_SKEW_MS + 1, "served"],
    ];
    it.each(ages)("decides a moved key created %s", async (_name, ageMs, expected) => {
        const { clock, claim, words } = createClaim();
        words["b"] = "yielded";
        claim.update(1, ["a", "b"], []);
        await flush();
        clock.advance(LIFETIME_MS);
        claim.update(2, ["a"], ["b"]);
        await flush();
        const time = (clock.wall() + ageMs).toString(16).padStart(12, "0");
        const moved = Array.from(
            { length: 50 },
            (_, index) => `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${String(index).padStart(12, "0")}`,
        )
            .find(key => keyHomes.findHome(key, ["a", "b"]) === "b")!;
        expect(claim.decide(moved)?.code.name ?? "served").toBe(expected);
    });

    const skips: [string, claims.Confirmation, string][] = [
        ["serves on when no slots changed in them", "unchanged", "served"],
        ["refuses what may have run at another home in them", "yielded", "key-too-old"],
        ["holds all keys back until that is known", "unreachable", "handover-pending"],
    ];
    it.each(skips)("after skipped versions %s", async (_name, word, expected) => {
        const { clock, claim, words, decideOwn } = createClaim();
        words["b"] = "yielded";
        claim.update(1, ["a", "b"], []);
        await flush();
        clock.advance(LIFETIME_MS);
        words["b"] = word;
        claim.update(3, ["a", "b"], []);
        await flush();
        expect([decideOwn(["a", "b"]), claim.slotsVersion]).toEqual([[expected], 1]);
    });

    const releases: [string, (bench: ReturnType<typeof createClaim>) => void, string, number][] = [
        ["the lifetime passes", ({ clock }) => clock.advance(LIFETIME_MS), "handover-pending", 1],
        ["several lifetimes pass", ({ clock }) => clock.advance(3 * LIFETIME_MS), "handover-pending", 1],
        ["less than the lifetime passes", ({ clock }) => clock.advance(LIFETIME_MS - 1), "handover-pending", 0],
        ["the list drops the instance", ({ claim }) => claim.update(2, ["a"], []), "key-too-old", 0],
        ["a lower version comes", ({ claim }) => claim.update(1, ["a"], []), "handover-pending", 1],
        [
            "the instance returns and is asked at once",
            ({ claim, words }) => {
                words["old"] = "yielded";
                claim.retry();
            },
            "key-too-old",
            0,
        ],
        [
            "an agent is listed late",
            ({ claim, words }) => {
                words["old"] = "yielded";
                claim.update(2, ["a"], ["old", "late"]);
            },
            "handover-pending",
            0,
        ],
    ];
    it.each(releases)("decides when %s", async (_name, act, expected, alarms) => {
        const bench = createClaim();
        bench.claim.update(2, ["a"], ["old"]);
        await flush();
        act(bench);
        await flush();
        expect(bench.decideOwn(["a"])).toEqual([expected]);
        expect(bench.alarms.length).toBe(alarms);
    });

    it("holds keys back that went away and came back", async () => {
        const { claim, words } = createClaim();
        words["b"] = "yielded";
        claim.update(1, ["a", "b"], []);
        await flush();
        delete words["b"];
        claim.update(2, ["b"], ["a"]);
        claim.update(3, ["a", "b"], []);
        await flush();
        const own = keys.find(key => keyHomes.findHome(key, ["a", "b"]) === "a")!;
        expect(claim.decide(own)?.code.name).toBe("handover-pending");
    });

    it("knows nothing when versions were skipped over a lifetime, or when told so", async () => {
        const { clock, claim, words, decideOwn } = createClaim();
        words["b"] = "yielded";
        claim.update(1, ["a", "b"], []);
        await flush();
        delete words["b"];
        clock.advance(LIFETIME_MS);
        claim.update(3, ["a", "b", "c"], []);
        expect(decideOwn(["a", "b", "c"], ["a", "b"])).toEqual(["handover-pending"]);
        clock.advance(LIFETIME_MS);
        expect(decideOwn(["a", "b", "c"])).toEqual(["handover-pending"]);
        words["b"] = "yielded";
        words["c"] = "yielded";
        await flush();
        claim.retry();
        await flush();
        clock.advance(LIFETIME_MS);
        expect(decideOwn(["a", "b", "c"])).toEqual(["served"]);
        delete words["b"];
        claim.forget([]);
        expect(decideOwn(["a", "b", "c"])).toEqual(["handover-pending"]);
    });

    it("doesn't take a confirmation of an older version for one of a newer", async () => {
        const { clock, claim, words, decideOwn } = createClaim();
        words["b"] = "yielded";
        claim.update(1, ["a", "b"], []);
        words["b"] = "unreachable";
        claim.update(2, ["a"], ["b"]);
        await flush();
        clock.advance(LIFETIME_MS);
        expect(decideOwn(["a"], ["a", "b"])).toEqual(["served"]);
        expect(claim.decide(findMoved(["a"], ["a", "b"]))?.code.name).toBe("handover-pending");
    });

    it("asks an unreachable instance ever more rarely", async () => {
        const { clock, claim, asked } = createClaim();
        claim.update(1, ["a", "b"], []);
        for (let second = 0; second < 50; second++) {
            await flush();
            clock.advance(1_000);
        }
        expect(asked.length).toBeLessThan(25);
        expect(asked.length).toBeGreaterThan(8);
    });
});
