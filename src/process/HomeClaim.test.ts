import * as vitest from "vitest";
import * as clocks from "../common/Clock";
import * as keyHomes from "../version/KeyHome";
import * as claims from "./HomeClaim";

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
        ["alone", ["a"], [], {}, "served"],
        ["with all confirmed", ["a", "b"], ["b", "c"], { b: "yielded", c: "yielded" }, "served"],
        ["with a slot unreachable", ["a", "b", "c"], [], { b: "yielded" }, "handover-pending"],
        ["with a listed agent unreachable", ["a", "b"], ["a", "old"], { b: "yielded" }, "handover-pending"],
        ["with one gone", ["a", "b"], ["old"], { b: "yielded", old: "gone" }, "served"],
    ];
    it.each(starts)("starts %s", async (_name, slots, listed, words, expected) => {
        const { claim, decideOwn, words: known } = createClaim();
        expect(claim.decide("key")?.code.name).toBe("not-ready");
        Object.assign(known, words);
        claim.update(1, slots, listed);
        await flush();
        expect(decideOwn(slots)).toEqual([expected]);
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
        expect([claim.decide(moved), asked.at(-1)]).toEqual([undefined, "b@2"]);
    });

    const releases: [string, (bench: ReturnType<typeof createClaim>) => void, string, number][] = [
        ["the lifetime passes", ({ clock }) => clock.advance(LIFETIME_MS), "served", 1],
        ["less than the lifetime passes", ({ clock }) => clock.advance(LIFETIME_MS - 1), "handover-pending", 0],
        ["the list drops the instance", ({ claim }) => claim.update(2, ["a"], []), "served", 0],
        ["a lower version comes", ({ claim }) => claim.update(1, ["a"], []), "handover-pending", 1],
        [
            "the instance returns and is asked at once",
            ({ claim, words }) => {
                words["old"] = "yielded";
                claim.retry();
            },
            "served",
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
        expect(decideOwn(["a", "b", "c"])).toEqual(["served"]);
        claim.forget([]);
        expect(decideOwn(["a", "b", "c"])).toEqual(["handover-pending"]);
    });

    it("doesn't take a confirmation of an older version for one of a newer", async () => {
        const { claim, words, decideOwn } = createClaim();
        words["b"] = "yielded";
        claim.update(1, ["a", "b"], []);
        words["b"] = "unreachable";
        claim.update(2, ["a"], ["b"]);
        await flush();
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
