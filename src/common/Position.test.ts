import * as vitest from "vitest";
import * as positions from "./Position";

vitest.describe("positions", () => {
    vitest.it.each([
        { name: "by revision within an era", a: [1, 5], b: [1, 4], expected: 1 },
        { name: "as the same", a: [1, 5], b: [1, 5], expected: 0 },
        { name: "by era, whatever the revision", a: [2, 1], b: [1, 900], expected: 1 },
        { name: "by era if it isn't stated for one", a: [0, 900], b: [1, 1], expected: -1 },
    ])("are ordered $name", ({ a, b, expected }) => {
        const first = { era: a[0]!, revision: a[1]! };
        const second = { era: b[0]!, revision: b[1]! };
        vitest.expect(Math.sign(positions.compare(first, second))).toBe(expected);
        vitest.expect(Math.sign(positions.compare(second, first)) + expected).toBe(0);
        vitest.expect(positions.isAfter(first, second)).toBe(expected > 0);
        vitest.expect(positions.latest(first, second)).toEqual(expected < 0 ? second : first);
    });
});
