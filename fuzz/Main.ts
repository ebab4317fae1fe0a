/**
 * Command line of the fuzz: `npm run fuzz -- --seed N [--count K] [--seconds S] [--kind KIND]`. Prints one JSON line per seed, with its
 * violations; the exit code is 1 if there are any.
 */
import * as commander from "commander";
import * as path from "node:path";
import * as clocks from "../src/common/Clock";
import * as batches from "./Batches";
import * as fuzz from "./Fuzz";

const MS_PER_SECOND = 1_000;

interface Options extends Record<"seed" | "count" | "seconds" | "program", string> {
    readonly kind?: batches.BatchKind;
}

const program = new commander.Command("fuzz")
    .option("--seed <number>", "first seed", "1")
    .option("--count <number>", "number of seeds", "1")
    .option("--program <file>", "the program under test", "dist/cumincrank.cjs")
    .option("--seconds <number>", "time after which no further batch begins", "60")
    .addOption(new commander.Option("--kind <kind>", "the only kind of batches").choices(fuzz.KINDS))
    .action(async (options: Options) => {
        let isClean = true;
        for (let index = 0; index < Number(options.count); index++) {
            const untilMs = clocks.systemClock.now() + Number(options.seconds) * MS_PER_SECOND;
            const report = await fuzz.runFuzz({
                seed: Number(options.seed) + index,
                program: path.resolve(options.program),
                isOver: () => clocks.systemClock.now() > untilMs,
                ...(options.kind === undefined ? {} : { kinds: [options.kind] }),
            });
            console.log(JSON.stringify(report));
            isClean = isClean && report.violations.length === 0;
        }
        process.exitCode = isClean ? 0 : 1;
    });

await program.parseAsync();
