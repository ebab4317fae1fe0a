import * as fc from "fast-check";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as readTurns from "./ReadTurn";

const { describe, expect, it } = vitest;
const TURN_OWNERS = ["x/a", "x/b", "x/c"];

describe("findTurnDelayMs", () => {
    const cases: [string, number, string, number | undefined][] = [
        ["at the start of the owner's turn", 300, "x/a", 0],
        ["after the start window of the owner's turn", 350, "x/a", 250],
        ["before the owner's turn", 300, "x/b", 100],
        ["after the owner's turn", 500, "x/b", 200],
        ["without a turn", 300, "x/d", undefined],
    ];
    it.each(cases)("%s", (_name, wallMs, owner, expected) => {
        expect(readTurns.findTurnDelayMs(TURN_OWNERS, owner, new clocks.ManualClock(wallMs))).toBe(expected);
    });

    it("lets at most one owner start at any time, and each owner after its delay", () => {
        fc.assert(
            fc.property(fc.integer({ min: 1_000, max: 2 ** 41 }), wallMs => {
                const clock = new clocks.ManualClock(wallMs);
                const delays = TURN_OWNERS.map(owner => readTurns.findTurnDelayMs(TURN_OWNERS, owner, clock)!);
                expect(delays.filter(delayMs => delayMs === 0).length).toBeLessThanOrEqual(1);
                delays.forEach((delayMs, index) => {
                    const later = new clocks.ManualClock(wallMs + delayMs);
                    expect(readTurns.findTurnDelayMs(TURN_OWNERS, TURN_OWNERS[index]!, later)).toBe(0);
                });
            }),
            { seed: 32 },
        );
    });
});
