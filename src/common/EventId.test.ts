import * as vitest from "vitest";
import * as eventIds from "./EventId";

vitest.describe("an event's id", () => {
    // Guards against ids that are taken for none, or for the same one, since a number doesn't hold them exactly.
    vitest.it.each([
        { text: "0", expected: 0 },
        { text: "0012", expected: 12 },
        { text: "999999999999999", expected: 999_999_999_999_999 },
        { text: "1000000000000000", expected: 1_000_000_000_000_000n },
        { text: "9007199254740993", expected: 9_007_199_254_740_993n },
        { text: "18446744073709551616", expected: 18_446_744_073_709_551_616n },
        { text: "9".repeat(1_000), expected: BigInt("9".repeat(1_000)) },
        { text: "9".repeat(1_001), expected: undefined },
        { text: "", expected: undefined },
        { text: "-1", expected: undefined },
        { text: "1.5", expected: undefined },
        { text: "12a", expected: undefined },
        { text: "1, 2", expected: undefined },
        { text: "١", expected: undefined },
    ])("$text", ({ text, expected }) => {
        vitest.expect(eventIds.parse(text)).toBe(expected);
    });
});
