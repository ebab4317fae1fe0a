import * as path from "node:path";
import * as vitest from "vitest";
import * as soaks from "../soak/Soak";

/** Seeds that ever failed come first, each with its cause. */
const SEEDS: readonly { readonly seed: number; readonly cause: string }[] = [{ seed: 1, cause: "never failed" }];

vitest.describe("entries under random faults", () => {
    vitest.it.each(SEEDS)("keep their promises with seed $seed ($cause)", async ({ seed }) => {
        const report = await soaks.runSoak({
            seed,
            faultMs: 6_000,
            entries: 3,
            callers: 8,
            program: path.resolve("dist/cumincrank.cjs"),
        });
        vitest.expect(report.violations).toEqual([]);
        vitest.expect(report.served).toBeGreaterThan(0);
    });
});
