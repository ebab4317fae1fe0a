import * as path from "node:path";
import * as vitest from "vitest";
import * as fuzz from "../fuzz/Fuzz";

/** Each with what it once found. */
const SEED_CASES: readonly { readonly seed: number; readonly cause: string }[] = [
    { seed: 301, cause: "an engine's answer that took all memory" },
];

/** Seeds of runs in which peers send units without an end. */
const REPETITION_SEEDS: readonly number[] = [1, 3];

// Guards against inputs of any kind that end a process, make it hang, or keep it from serving afterwards.
vitest.describe("the shipped program under odd inputs", () => {
    vitest.it.each(SEED_CASES)("stays and serves, seed $seed ($cause)", async ({ seed }) => {
        const report = await fuzz.runFuzz({ seed, program: path.resolve("dist/cumincrank.cjs"), isOver: () => true });
        vitest.expect(report.violations).toEqual([]);
    }, 240_000);

    vitest.it.each(REPETITION_SEEDS)("serves beside peers that send without an end, seed %i", async seed => {
        const program = path.resolve("dist/cumincrank.cjs");
        const report = await fuzz.runFuzz({ seed, program, isOver: () => true, kinds: ["repetition"] });
        vitest.expect(report.violations).toEqual([]);
    }, 240_000);
});
