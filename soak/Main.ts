/**
 * Command line of the soak test: `npm run soak -- --seed N [--count K] [--seconds S]`. Prints one JSON line per seed,
 * followed by its first violations and its faults if there are violations.
 */
import * as commander from "commander";
import * as path from "node:path";
import * as soaks from "./Soak";

const MS_PER_SECOND = 1_000;
/** Number of violations per seed that are printed in full. */
const MAX_PRINTED_VIOLATIONS = 3;

const program = new commander.Command("soak")
    .option("--seed <number>", "first seed", "1")
    .option("--count <number>", "number of seeds", "1")
    .option("--seconds <number>", "time with faults", "20")
    .option("--entries <number>", "entries", "4")
    .option("--callers <number>", "callers", "16")
    .action(async (options: Record<"seed" | "count" | "seconds" | "entries" | "callers", string>) => {
        let isClean = true;
        for (let index = 0; index < Number(options.count); index++) {
            const report = await soaks.runSoak({
                seed: Number(options.seed) + index,
                faultPeriodMs: Number(options.seconds) * MS_PER_SECOND,
                entryCount: Number(options.entries),
                callerCount: Number(options.callers),
                program: path.resolve("dist/cumincrank.cjs"),
            });
            const { violations, history, ...summary } = report;
            console.log(JSON.stringify({ ...summary, violations: violations.length }));
            violations.slice(0, MAX_PRINTED_VIOLATIONS).forEach(violation => console.log(JSON.stringify(violation)));
            if (violations.length > 0) {
                console.log(JSON.stringify({ faults: history.faults }));
            }
            isClean = isClean && violations.length === 0;
        }
        process.exitCode = isClean ? 0 : 1;
    });

await program.parseAsync();
