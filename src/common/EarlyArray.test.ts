import * as vitest from "vitest";
import * as z from "zod";
import * as earlyArrays from "./EarlyArray";

const schema = z.object({ rows: earlyArrays.createSchema(z.object({ name: z.string() })) });

vitest.describe("an array", () => {
    vitest.it.each([
        { name: "of elements of the schema", rows: [{ name: "a" }, { name: "b", more: 1 }], issues: [] },
        { name: "that isn't one", rows: {}, issues: [["rows"]] },
        { name: "of wrong elements", rows: [{ name: "a" }, { name: 1 }, 2, 3], issues: [["rows", 1, "name"]] },
    ])("$name is reported by its first issue", ({ rows, issues }) => {
        const parsed = schema.safeParse({ rows });
        vitest.expect(parsed.error?.issues.map(({ path }) => path) ?? []).toEqual(issues);
    });

    // Guards against the end of the process for lack of memory.
    vitest.it("of a million wrong elements has one issue", () => {
        const parsed = schema.safeParse({ rows: Array.from({ length: 1_000_000 }, () => 1) });
        vitest.expect(parsed.error?.issues).toHaveLength(1);
    });
});
