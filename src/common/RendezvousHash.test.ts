import * as vitest from "vitest";
import * as rendezvous from "./RendezvousHash";

const { expect, it } = vitest;

const KEYS = 20_000;

const weights: [string, number[]][] = [["equal", [1, 1, 1, 1]], ["unequal", [1, 2, 3, 4]]];
it.each(weights)("shares keys by %s weights", (_name, shares) => {
    const wins = shares.map(() => 0);
    for (let key = 0; key < KEYS; key++) {
        const scores = shares.map((weight, index) => rendezvous.score(`key-${key}`, `agent-${index}`, weight));
        wins[scores.indexOf(Math.max(...scores))]!++;
    }
    const total = shares.reduce((sum, weight) => sum + weight, 0);
    shares.forEach((weight, index) => {
        expect(Math.abs(wins[index]! / KEYS - weight / total)).toBeLessThan(0.02);
    });
});
