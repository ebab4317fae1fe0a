import * as path from "node:path";
import * as vitest from "vitest";
import * as fuzz from "../fuzz/Fuzz";

const SEEDS = [1];

// Guards against inputs of any kind that end a process, make it hang, or keep it from serving afterwards.
vitest.describe("the shipped program under odd inputs", () => {
    vitest.it.each(SEEDS)("stays and serves, seed %d", async seed => {
        const report = await fuzz.runFuzz({ seed, program: path.resolve("dist/cumincrank.cjs"), isOver: () => true });
        vitest.expect(report.violations).toEqual([]);
    }, 240_000);
});
