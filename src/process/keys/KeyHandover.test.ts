import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as timeOrderedKeys from "../../common/TimeOrderedKey";
import * as keyHomes from "../../version/KeyHome";
import * as keyHandovers from "./KeyHandover";
import * as keyLeases from "./KeyLease";

const { describe, expect, it } = vitest;

const LIFETIME_MS = 60_000;
const keys = Array.from({ length: 200 }, (_, index) => `key-${index}`);

async function flush(): Promise<void> {
    for (let turn = 0; turn < 8; turn++) {
        await Promise.resolve();
    }
}

function createFixture() {
    const clock = new clocks.ManualClock();
    const confirmations: Record<string, keyHandovers.ConfirmationResult> = {};
    const asked: string[] = [];
    const alarms: string[] = [];
    const handover = new keyHandovers.KeyHandover({
        clock,
        slot: "a",
        lifetimeMs: () => LIFETIME_MS,
        confirm: (instance, version) => {
            asked.push(`${instance}@${version}`);
            return Promise.resolve(confirmations[instance] ?? "unreachable");
        },
        onAlarm: failure => alarms.push(failure.code.name),
    });
    /** Codes by key of the keys whose home is this slot under `slots`. */
    const decideOwnKeys = (slots: string[], previousSlots: string[] = slots) => [
        ...new Set(
            keys.filter(key => keyHomes.findHome(key, slots) === "a" && keyHomes.findHome(key, previousSlots) === "a")
                .map(key => handover.checkKey(key)?.code.name ?? "served"),
        ),
    ];
    return { clock, confirmations, asked, alarms, handover, decideOwnKeys };
}

function findMovedKey(slots: string[], previousSlots: string[]): string {
    return keys.find(key => keyHomes.findHome(key, slots) === "a" && keyHomes.findHome(key, previousSlots) !== "a")!;
}

describe("HomeClaim", () => {
    const initialCases: [string, string[], string[], Record<string, keyHandovers.ConfirmationResult>, string][] = [
        ["alone", ["a"], [], {}, "key-too-old"],
        ["with all confirmed", ["a", "b"], ["b", "c"], { b: "yielded", c: "yielded" }, "key-too-old"],
        ["with a slot unreachable", ["a", "b", "c"], [], { b: "yielded" }, "handover-pending"],
        ["with a listed agent unreachable", ["a", "b"], ["a", "old"], { b: "yielded" }, "handover-pending"],
        ["with one gone", ["a", "b"], ["old"], { b: "yielded", old: "gone" }, "key-too-old"],
    ];
    it.each(initialCases)("starts %s", async (_name, slots, listed, confirmationsByInstance, expected) => {
        const { handover, clock, decideOwnKeys, confirmations } = createFixture();
        expect(handover.checkKey("key")?.code.name).toBe("not-ready");
        Object.assign(confirmations, confirmationsByInstance);
        handover.update(1, slots, listed);
        await flush();
        expect(decideOwnKeys(slots)).toEqual([expected]);
        // The lease of an instance that went without a word ends later.
        clock.advance(
            LIFETIME_MS + (Object.values(confirmationsByInstance).includes("gone") ? keyLeases.KEY_LEASE_MS - 1 : -1),
        );
        expect(decideOwnKeys(slots)).toEqual([expected]);
        clock.advance(1);
        expect(decideOwnKeys(slots)).toEqual([expected === "key-too-old" ? "served" : expected]);
    });

    it("refuses keys of other homes", () => {
        const { handover } = createFixture();
        handover.update(1, ["b"], []);
        expect(handover.checkKey("key")?.code.name).toBe("not-home");
    });

    it("holds only moved keys back after a change, until the earlier home confirms", async () => {
        const { clock, handover, confirmations, asked, decideOwnKeys } = createFixture();
        confirmations["b"] = "yielded";
        handover.update(1, ["a", "b"], []);
        await flush();
        clock.advance(LIFETIME_MS);
        delete confirmations["b"];
        handover.update(2, ["a"], ["b"]);
        await flush();
        const moved = findMovedKey(["a"], ["a", "b"]);
        expect(decideOwnKeys(["a"], ["a", "b"])).toEqual(["served"]);
        expect(handover.checkKey(moved)?.code.name).toBe("handover-pending");
        expect(handover.checkKey(moved)?.retryAfterMs).toBeGreaterThan(0);
        confirmations["b"] = "yielded";
        clock.advance(5_000);
        await flush();
        expect([handover.checkKey(moved)?.code.name, asked.at(-1)]).toEqual(["key-too-old", "b@2"]);
        clock.advance(LIFETIME_MS - 1);
        expect(handover.checkKey(moved)?.retryAfterMs).toBe(1);
        clock.advance(1);
        expect(handover.checkKey(moved)).toBeUndefined();
    });

    it("waits for the lease of an earlier home that is off the list already", async () => {
        const { clock, handover, confirmations } = createFixture();
        confirmations["b"] = "yielded";
        handover.update(1, ["a", "b"], []);
        await flush();
        clock.advance(LIFETIME_MS);
        handover.update(2, ["a"], []);
        clock.advance(LIFETIME_MS + keyLeases.KEY_LEASE_MS - 1);
        expect(handover.checkKey(findMovedKey(["a"], ["a", "b"]))?.code.name).toBe("key-too-old");
        clock.advance(1);
        expect(handover.checkKey(findMovedKey(["a"], ["a", "b"]))).toBeUndefined();
    });

    const creationTimeCases: [string, number, string][] = [
        ["before the handover", -1, "key-too-old"],
        ["within the allowed skew after it", timeOrderedKeys.CLOCK_SKEW_MS, "key-too-old"],
        ["later", timeOrderedKeys.CLOCK_SKEW_MS + 1, "served"],
    ];
    it.each(creationTimeCases)("decides a moved key created %s", async (_name, ageMs, expected) => {
        const { clock, handover, confirmations } = createFixture();
        confirmations["b"] = "yielded";
        handover.update(1, ["a", "b"], []);
        await flush();
        clock.advance(LIFETIME_MS);
        handover.update(2, ["a"], ["b"]);
        await flush();
        const time = (clock.wall() + ageMs).toString(16).padStart(12, "0");
        const moved = Array.from(
            { length: 50 },
            (_, index) => `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${String(index).padStart(12, "0")}`,
        )
            .find(key => keyHomes.findHome(key, ["a", "b"]) === "b")!;
        expect(handover.checkKey(moved)?.code.name ?? "served").toBe(expected);
    });

    const skippedVersionCases: [string, keyHandovers.ConfirmationResult, string][] = [
        ["serves on when no slots changed in them", "unchanged", "served"],
        ["refuses what may have run at another home in them", "yielded", "key-too-old"],
        ["holds all keys back until that is known", "unreachable", "handover-pending"],
    ];
    it.each(skippedVersionCases)("after skipped versions %s", async (_name, confirmation, expected) => {
        const { clock, handover, confirmations, decideOwnKeys } = createFixture();
        confirmations["b"] = "yielded";
        handover.update(1, ["a", "b"], []);
        await flush();
        clock.advance(LIFETIME_MS);
        confirmations["b"] = confirmation;
        handover.update(3, ["a", "b"], []);
        await flush();
        expect([decideOwnKeys(["a", "b"]), handover.slotsVersion]).toEqual([[expected], 1]);
    });

    const events: [string, (fixture: ReturnType<typeof createFixture>) => void, string, number][] = [
        ["the lifetime passes", ({ clock }) => clock.advance(LIFETIME_MS), "handover-pending", 1],
        ["several lifetimes pass", ({ clock }) => clock.advance(3 * LIFETIME_MS), "handover-pending", 1],
        ["less than the lifetime passes", ({ clock }) => clock.advance(LIFETIME_MS - 1), "handover-pending", 0],
        ["the list drops the instance", ({ handover }) => handover.update(2, ["a"], []), "key-too-old", 0],
        ["a lower version comes", ({ handover }) => handover.update(1, ["a"], []), "handover-pending", 1],
        [
            "the instance returns and is asked at once",
            ({ handover, confirmations }) => {
                confirmations["old"] = "yielded";
                handover.pollNow();
            },
            "key-too-old",
            0,
        ],
        [
            "an agent is listed late",
            ({ handover, confirmations }) => {
                confirmations["old"] = "yielded";
                handover.update(2, ["a"], ["old", "late"]);
            },
            "handover-pending",
            0,
        ],
    ];
    it.each(events)("decides when %s", async (_name, act, expected, alarms) => {
        const fixture = createFixture();
        fixture.handover.update(2, ["a"], ["old"]);
        await flush();
        act(fixture);
        await flush();
        expect(fixture.decideOwnKeys(["a"])).toEqual([expected]);
        expect(fixture.alarms.length).toBe(alarms);
    });

    it("holds keys back that went away and came back", async () => {
        const { handover, confirmations } = createFixture();
        confirmations["b"] = "yielded";
        handover.update(1, ["a", "b"], []);
        await flush();
        delete confirmations["b"];
        handover.update(2, ["b"], ["a"]);
        handover.update(3, ["a", "b"], []);
        await flush();
        const ownKey = keys.find(key => keyHomes.findHome(key, ["a", "b"]) === "a")!;
        expect(handover.checkKey(ownKey)?.code.name).toBe("handover-pending");
    });

    it("knows nothing when versions were skipped over a lifetime, or when told so", async () => {
        const { clock, handover, confirmations, decideOwnKeys } = createFixture();
        confirmations["b"] = "yielded";
        handover.update(1, ["a", "b"], []);
        await flush();
        delete confirmations["b"];
        clock.advance(LIFETIME_MS);
        handover.update(3, ["a", "b", "c"], []);
        expect(decideOwnKeys(["a", "b", "c"], ["a", "b"])).toEqual(["handover-pending"]);
        clock.advance(LIFETIME_MS);
        expect(decideOwnKeys(["a", "b", "c"])).toEqual(["handover-pending"]);
        confirmations["b"] = "yielded";
        confirmations["c"] = "yielded";
        await flush();
        handover.pollNow();
        await flush();
        clock.advance(LIFETIME_MS);
        expect(decideOwnKeys(["a", "b", "c"])).toEqual(["served"]);
        delete confirmations["b"];
        handover.restart([]);
        expect(decideOwnKeys(["a", "b", "c"])).toEqual(["handover-pending"]);
    });

    it("doesn't take a confirmation of an older version for one of a newer", async () => {
        const { clock, handover, confirmations, decideOwnKeys } = createFixture();
        confirmations["b"] = "yielded";
        handover.update(1, ["a", "b"], []);
        confirmations["b"] = "unreachable";
        handover.update(2, ["a"], ["b"]);
        await flush();
        clock.advance(LIFETIME_MS);
        expect(decideOwnKeys(["a"], ["a", "b"])).toEqual(["served"]);
        expect(handover.checkKey(findMovedKey(["a"], ["a", "b"]))?.code.name).toBe("handover-pending");
    });

    it("asks an unreachable instance ever more rarely", async () => {
        const { clock, handover, asked } = createFixture();
        handover.update(1, ["a", "b"], []);
        for (let second = 0; second < 50; second++) {
            await flush();
            clock.advance(1_000);
        }
        expect(asked.length).toBeLessThan(25);
        expect(asked.length).toBeGreaterThan(8);
    });
});
