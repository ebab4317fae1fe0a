import * as fc from "fast-check";
import * as vitest from "vitest";
import * as fingerprints from "../common/Fingerprint";
import * as rendezvous from "../common/RendezvousHash";
import * as keyHomes from "./KeyHome";

const { describe, expect, it } = vitest;

const SEED = 51;
const slots = ["bookings-1", "bookings-2", "bookings-3", "bookings-4"];
const keys = Array.from({ length: 4_000 }, (_, index) => `order-${index}`);

describe("findHome", () => {
    it("doesn't depend on the order of the slots, and moves only the keys of a removed slot", () => {
        fc.assert(
            fc.property(fc.string(), fc.shuffledSubarray(slots, { minLength: 4 }), (key, shuffled) => {
                const home = keyHomes.findHome(key, shuffled);
                expect(home).toBe(keyHomes.findHome(key, slots));
                const remaining = slots.filter(slot => slot !== shuffled[0]);
                expect(keyHomes.findHome(key, remaining) === home).toBe(home !== shuffled[0]);
            }),
            { seed: SEED },
        );
    });

    it("spreads keys evenly", () => {
        for (const slot of slots) {
            const share = keys.filter(key => keyHomes.findHome(key, slots) === slot).length / keys.length;
            expect(share).toBeCloseTo(1 / slots.length, 1);
        }
    });

    it("finds no home without slots", () => {
        expect(keyHomes.findHome("key", [])).toBeUndefined();
    });
});

describe("score", () => {
    it("wins keys in proportion to the weight", () => {
        const winCount = keys.filter(key => rendezvous.score(key, "a", 3) > rendezvous.score(key, "b", 1)).length;
        expect(winCount / keys.length).toBeCloseTo(0.75, 1);
        expect([0, -1, Number.NaN].map(weight => rendezvous.score("key", "a", weight))).toEqual([
            -Infinity,
            -Infinity,
            -Infinity,
        ]);
    });
});

describe("fingerprint", () => {
    const pairs: [unknown, unknown, boolean][] = [
        [{ a: 1, b: { c: 2, d: 3 } }, { b: { d: 3, c: 2 }, a: 1 }, true],
        [[1, 2], [2, 1], false],
        [{ a: 1 }, { a: "1" }, false],
        [undefined, undefined, true],
        [10n, 10n, true],
        [10n, 11n, false],
    ];
    it.each(pairs)("compares %o with %o", (a, b, same) => {
        expect(fingerprints.fingerprint(a) === fingerprints.fingerprint(b)).toBe(same);
    });
});
