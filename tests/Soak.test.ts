import * as path from "node:path";
import * as vitest from "vitest";
import * as soaks from "../soak/Soak";

/** Seeds that once failed come first, each with the cause of its failure. */
const SEED_CASES: readonly { readonly seed: number; readonly cause: string }[] = [
    { seed: 1, cause: "never failed" },
    { seed: 3, cause: "never failed; restores the store from a backup" },
];

vitest.describe("entries under random faults", () => {
    vitest.it.each(SEED_CASES)("keep their guarantees with seed $seed ($cause)", async ({ seed }) => {
        const report = await soaks.runSoak({
            seed,
            faultPeriodMs: 6_000,
            entryCount: 3,
            callerCount: 8,
            program: path.resolve("dist/cumincrank.cjs"),
        });
        vitest.expect(report.violations).toEqual([]);
        vitest.expect(report.served).toBeGreaterThan(0);
    });
});
