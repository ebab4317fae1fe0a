import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as timeOrderedKeys from "../../common/TimeOrderedKey";
import * as keyHomes from "../../version/KeyHome";
import * as homeClaims from "./HomeClaim";
import * as keyLeases from "./KeyLease";

const { describe, expect, it } = vitest;

const LIFETIME_MS = 60_000;
const keys = Array.from({ length: 200 }, (_, index) => `key-${index}`);

async function flushMicrotasks(): Promise<void> {
    for (let turn = 0; turn < 8; turn++) {
        await Promise.resolve();
    }
}

function createFixture() {
    const clock = new clocks.ManualClock();
    const confirmations: Record<string, homeClaims.ConfirmationResult> = {};
    const confirmationRequests: string[] = [];
    const alarms: string[] = [];
    const claim = new homeClaims.HomeClaim({
        clock,
        slot: "a",
        lifetimeMs: () => LIFETIME_MS,
        confirm: (instance, version) => {
            confirmationRequests.push(`${instance}@${version}`);
            return Promise.resolve(confirmations[instance] ?? "unreachable");
        },
        onAlarm: failure => alarms.push(failure.code.name),
    });
    /** Distinct results for the keys whose home is this slot under both `slots` and `previousSlots`. */
    const checkOwnKeys = (slots: string[], previousSlots: string[] = slots) => [
        ...new Set(
            keys.filter(key => keyHomes.findHome(key, slots) === "a" && keyHomes.findHome(key, previousSlots) === "a")
                .map(key => claim.checkKey(key)?.code.name ?? "served"),
        ),
    ];
    return { clock, confirmations, confirmationRequests, alarms, claim, checkOwnKeys };
}

function findMovedKey(slots: string[], previousSlots: string[]): string {
    return keys.find(key => keyHomes.findHome(key, slots) === "a" && keyHomes.findHome(key, previousSlots) !== "a")!;
}

describe("HomeClaim", () => {
    const initialCases: [string, string[], string[], Record<string, homeClaims.ConfirmationResult>, string][] = [
        ["without other instances", ["a"], [], {}, "key-too-old"],
        ["with all confirmations", ["a", "b"], ["b", "c"], { b: "yielded", c: "yielded" }, "key-too-old"],
        ["with an unreachable slot", ["a", "b", "c"], [], { b: "yielded" }, "handover-pending"],
        ["with an unreachable listed agent", ["a", "b"], ["a", "old"], { b: "yielded" }, "handover-pending"],
        ["with a removed agent", ["a", "b"], ["old"], { b: "yielded", old: "gone" }, "key-too-old"],
    ];
    it.each(initialCases)("starts %s", async (_name, slots, listed, confirmationsByInstance, expected) => {
        const { claim, clock, checkOwnKeys, confirmations } = createFixture();
        expect(claim.checkKey("key")?.code.name).toBe("not-ready");
        Object.assign(confirmations, confirmationsByInstance);
        claim.update(1, slots, listed);
        await flushMicrotasks();
        expect(checkOwnKeys(slots)).toEqual([expected]);
        // The lease of an instance that was removed without confirmation expires later.
        clock.advance(
            LIFETIME_MS + (Object.values(confirmationsByInstance).includes("gone") ? keyLeases.KEY_LEASE_MS - 1 : -1),
        );
        expect(checkOwnKeys(slots)).toEqual([expected]);
        clock.advance(1);
        expect(checkOwnKeys(slots)).toEqual([expected === "key-too-old" ? "served" : expected]);
    });

    it("rejects keys of other homes", () => {
        const { claim } = createFixture();
        claim.update(1, ["b"], []);
        expect(claim.checkKey("key")?.code.name).toBe("not-home");
    });

    it("rejects only moved keys after a change until the previous home confirms it", async () => {
        const { clock, claim, confirmations, confirmationRequests, checkOwnKeys } = createFixture();
        confirmations["b"] = "yielded";
        claim.update(1, ["a", "b"], []);
        await flushMicrotasks();
        clock.advance(LIFETIME_MS);
        delete confirmations["b"];
        claim.update(2, ["a"], ["b"]);
        await flushMicrotasks();
        const movedKey = findMovedKey(["a"], ["a", "b"]);
        expect(checkOwnKeys(["a"], ["a", "b"])).toEqual(["served"]);
        expect(claim.checkKey(movedKey)?.code.name).toBe("handover-pending");
        expect(claim.checkKey(movedKey)?.retryAfterMs).toBeGreaterThan(0);
        confirmations["b"] = "yielded";
        clock.advance(5_000);
        await flushMicrotasks();
        expect([claim.checkKey(movedKey)?.code.name, confirmationRequests.at(-1)]).toEqual(["key-too-old", "b@2"]);
        clock.advance(LIFETIME_MS - 1);
        expect(claim.checkKey(movedKey)?.retryAfterMs).toBe(1);
        clock.advance(1);
        expect(claim.checkKey(movedKey)).toBeUndefined();
    });

    it("waits for the lease of a previous home that was already removed from the list", async () => {
        const { clock, claim, confirmations } = createFixture();
        confirmations["b"] = "yielded";
        claim.update(1, ["a", "b"], []);
        await flushMicrotasks();
        clock.advance(LIFETIME_MS);
        claim.update(2, ["a"], []);
        clock.advance(LIFETIME_MS + keyLeases.KEY_LEASE_MS - 1);
        expect(claim.checkKey(findMovedKey(["a"], ["a", "b"]))?.code.name).toBe("key-too-old");
        clock.advance(1);
        expect(claim.checkKey(findMovedKey(["a"], ["a", "b"]))).toBeUndefined();
    });

    const creationTimeCases: [string, number, string][] = [
        ["before the handover", -1, "key-too-old"],
        ["within the clock skew after the handover", timeOrderedKeys.CLOCK_SKEW_MS, "key-too-old"],
        ["after the clock skew", timeOrderedKeys.CLOCK_SKEW_MS + 1, "served"],
    ];
    it.each(creationTimeCases)("accepts or rejects a moved key created %s", async (_name, ageMs, expected) => {
        const { clock, claim, confirmations } = createFixture();
        confirmations["b"] = "yielded";
        claim.update(1, ["a", "b"], []);
        await flushMicrotasks();
        clock.advance(LIFETIME_MS);
        claim.update(2, ["a"], ["b"]);
        await flushMicrotasks();
        const time = (clock.wall() + ageMs).toString(16).padStart(12, "0");
        const movedKey = Array.from(
            { length: 50 },
            (_, index) => `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${String(index).padStart(12, "0")}`,
        )
            .find(key => keyHomes.findHome(key, ["a", "b"]) === "b")!;
        expect(claim.checkKey(movedKey)?.code.name ?? "served").toBe(expected);
    });

    const skippedVersionCases: [string, homeClaims.ConfirmationResult, string][] = [
        ["serves keys if the instance confirms unchanged slots", "unchanged", "served"],
        ["rejects keys that may have run at another home", "yielded", "key-too-old"],
        ["rejects all keys until the instance confirms", "unreachable", "handover-pending"],
    ];
    it.each(skippedVersionCases)("after skipped versions %s", async (_name, confirmation, expected) => {
        const { clock, claim, confirmations, checkOwnKeys } = createFixture();
        confirmations["b"] = "yielded";
        claim.update(1, ["a", "b"], []);
        await flushMicrotasks();
        clock.advance(LIFETIME_MS);
        confirmations["b"] = confirmation;
        claim.update(3, ["a", "b"], []);
        await flushMicrotasks();
        expect([checkOwnKeys(["a", "b"]), claim.slotsVersion]).toEqual([[expected], 1]);
    });

    // Guards against keys that run twice, at such a home and then here.
    it("waits for the lease of a home that only a skipped version had, and that is off the list", async () => {
        const { clock, claim, confirmations, checkOwnKeys } = createFixture();
        confirmations["b"] = "yielded";
        claim.update(1, ["a", "b"], []);
        await flushMicrotasks();
        clock.advance(LIFETIME_MS);
        claim.update(3, ["a", "b"], []);
        await flushMicrotasks();
        clock.advance(LIFETIME_MS + keyLeases.KEY_LEASE_MS - 1);
        expect(checkOwnKeys(["a", "b"])).toEqual(["key-too-old"]);
        clock.advance(1);
        expect(checkOwnKeys(["a", "b"])).toEqual(["served"]);
    });

    const events: [string, (fixture: ReturnType<typeof createFixture>) => void, string, number][] = [
        ["the lifetime passes", ({ clock }) => clock.advance(LIFETIME_MS), "handover-pending", 1],
        ["several lifetimes pass", ({ clock }) => clock.advance(3 * LIFETIME_MS), "handover-pending", 1],
        ["less than the lifetime passes", ({ clock }) => clock.advance(LIFETIME_MS - 1), "handover-pending", 0],
        ["the instance is removed from the list", ({ claim }) => claim.update(2, ["a"], []), "key-too-old", 0],
        ["a lower version is received", ({ claim }) => claim.update(1, ["a"], []), "handover-pending", 1],
        [
            "the instance is reachable again and polled without delay",
            ({ claim, confirmations }) => {
                confirmations["old"] = "yielded";
                claim.pollNow();
            },
            "key-too-old",
            0,
        ],
        [
            "another agent is listed later",
            ({ claim, confirmations }) => {
                confirmations["old"] = "yielded";
                claim.update(2, ["a"], ["old", "late"]);
            },
            "handover-pending",
            0,
        ],
    ];
    it.each(events)("continues, completes or reports a handover when %s", async (_name, act, expected, alarms) => {
        const fixture = createFixture();
        fixture.claim.update(2, ["a"], ["old"]);
        await flushMicrotasks();
        act(fixture);
        await flushMicrotasks();
        expect(fixture.checkOwnKeys(["a"])).toEqual([expected]);
        expect(fixture.alarms.length).toBe(alarms);
    });

    it("rejects keys that moved away and back until the interim home confirms", async () => {
        const { claim, confirmations } = createFixture();
        confirmations["b"] = "yielded";
        claim.update(1, ["a", "b"], []);
        await flushMicrotasks();
        delete confirmations["b"];
        claim.update(2, ["b"], ["a"]);
        claim.update(3, ["a", "b"], []);
        await flushMicrotasks();
        const ownKey = keys.find(key => keyHomes.findHome(key, ["a", "b"]) === "a")!;
        expect(claim.checkKey(ownKey)?.code.name).toBe("handover-pending");
    });

    it("rejects all keys after skipped versions and after a restart of the handover", async () => {
        const { clock, claim, confirmations, checkOwnKeys } = createFixture();
        confirmations["b"] = "yielded";
        claim.update(1, ["a", "b"], []);
        await flushMicrotasks();
        delete confirmations["b"];
        clock.advance(LIFETIME_MS);
        claim.update(3, ["a", "b", "c"], []);
        expect(checkOwnKeys(["a", "b", "c"], ["a", "b"])).toEqual(["handover-pending"]);
        clock.advance(LIFETIME_MS);
        expect(checkOwnKeys(["a", "b", "c"])).toEqual(["handover-pending"]);
        confirmations["b"] = "yielded";
        confirmations["c"] = "yielded";
        await flushMicrotasks();
        claim.pollNow();
        await flushMicrotasks();
        clock.advance(LIFETIME_MS);
        expect(checkOwnKeys(["a", "b", "c"])).toEqual(["served"]);
        delete confirmations["b"];
        claim.restart([]);
        expect(checkOwnKeys(["a", "b", "c"])).toEqual(["handover-pending"]);
    });

    it("doesn't count the confirmation of an older version for a newer one", async () => {
        const { clock, claim, confirmations, checkOwnKeys } = createFixture();
        confirmations["b"] = "yielded";
        claim.update(1, ["a", "b"], []);
        confirmations["b"] = "unreachable";
        claim.update(2, ["a"], ["b"]);
        await flushMicrotasks();
        clock.advance(LIFETIME_MS);
        expect(checkOwnKeys(["a"], ["a", "b"])).toEqual(["served"]);
        expect(claim.checkKey(findMovedKey(["a"], ["a", "b"]))?.code.name).toBe("handover-pending");
    });

    it("polls an unreachable instance with increasing delay", async () => {
        const { clock, claim, confirmationRequests } = createFixture();
        claim.update(1, ["a", "b"], []);
        for (let second = 0; second < 50; second++) {
            await flushMicrotasks();
            clock.advance(1_000);
        }
        expect(confirmationRequests.length).toBeLessThan(25);
        expect(confirmationRequests.length).toBeGreaterThan(8);
    });
});
