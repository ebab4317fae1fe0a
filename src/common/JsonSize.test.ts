import * as vitest from "vitest";
import * as jsonSizes from "./JsonSize";

vitest.describe("a JSON text", () => {
    // Guards against the end of the process for lack of memory: a parsed text may take many times its size.
    vitest.it.each([
        { name: "a long string", text: JSON.stringify("x".repeat(5_000_000)), isParsable: true },
        { name: "100,000 objects", text: `[${"{},".repeat(100_000)}{}]`, isParsable: true },
        { name: "a million objects", text: `[${"{},".repeat(1_000_000)}{}]`, isParsable: false },
        { name: "a million levels", text: "[".repeat(1_000_000), isParsable: false },
    ])("of $name may be parsed: $isParsable", ({ text, isParsable }) => {
        vitest.expect(jsonSizes.isParsable(Buffer.from(text))).toBe(isParsable);
    });
});
