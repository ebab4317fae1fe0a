/**
 * Runs one or all experiments: `npm run bench -- NAME|all [--seed N]`. Each prints a JSON object as its last line.
 */
import * as commander from "commander";
import * as backlogs from "./Backlog";
import * as configuration from "./Configuration";
import * as deadlines from "./Deadlines";
import * as trimming from "./DeltaTrimming";
import * as domains from "./Domains";
import * as experiments from "./Experiment";
import * as leaving from "./Leaving";
import * as once from "./Once";
import * as overheads from "./Overhead";
import * as placement from "./Placement";
import * as results from "./Results";
import * as routings from "./Routing";
import * as slopes from "./Slopes";
import * as stages from "./Stages";
import * as streams from "./Streams";
import * as teams from "./Teams";
import * as warmups from "./Warmup";

const allExperiments: readonly experiments.Experiment[] = [
    configuration.configuration,
    routings.routing,
    placement.placement,
    once.once,
    results.results,
    overheads.overhead,
    trimming.deltaTrimming,
    domains.domains,
    streams.streams,
    warmups.warmup,
    deadlines.deadlines,
    teams.teams,
    leaving.leaving,
    stages.stages,
    backlogs.backlog,
];

async function runExperiment(experiment: experiments.Experiment, seed: number): Promise<boolean> {
    const report = await experiment.run(seed);
    const held = experiments.findViolatedBounds(report).length === 0;
    console.log(JSON.stringify({ experiment: experiment.name, seed, ...report, held }));
    return held;
}

const program = new commander.Command("bench")
    .argument("<name>", "experiment, or all; slopes writes the table of docs/CAPACITY.md")
    .option("--seed <number>", "seed of the random choices", "1")
    .action(async (name: string, options: { seed: string }) => {
        if (name === "slopes") {
            process.exitCode = await slopes.writeSlopes() ? 0 : 1;
            return;
        }
        const selected = allExperiments.filter(experiment => name === "all" || experiment.name === name);
        if (selected.length === 0) {
            program.error(
                `unknown experiment ${name}; one of: ${
                    allExperiments.map(experiment => experiment.name).join(", ")
                }, all`,
            );
        }
        let areAllBoundsMet = true;
        for (const experiment of selected) {
            areAllBoundsMet = await runExperiment(experiment, Number(options.seed)) && areAllBoundsMet;
        }
        process.exitCode = areAllBoundsMet ? 0 : 1;
    });

await program.parseAsync();
