/**
 * The command line of the binary `cumincrank`, which contains all commands.
 */
import * as commander from "commander";
import * as checks from "./Check";
import * as codesTables from "./CodesTable";
import * as demos from "./Demo";
import * as serving from "./Serve";
import * as statuses from "./Status";

const program = new commander.Command("cumincrank")
    .description("Serving system for multi-stage model pipelines")
    .version("0.1.0")
    .addHelpText("after", "\nExit codes: 0 success, 1 failed, 2 invalid file or argument, 3 work aborted by a stop.")
    .exitOverride(error => process.exit(error.exitCode === 0 ? 0 : 2));

for (const role of ["entry", "agent"] as const) {
    program.command(role)
        .description(`runs ${role === "entry" ? "an entry instance" : "the agent of an upstream instance"}`)
        .requiredOption("--settings <file>", "YAML file with the settings")
        .action(async (options: { settings: string }) => {
            process.exit(await serving.serve(role, options.settings));
        });
}

program.command("check")
    .description("validates settings or a published configuration")
    .argument("<file>", "YAML file")
    .action((file: string) => {
        process.exitCode = checks.checkFile(file, line => console.log(line));
    });

program.command("status")
    .description("prints the status of a process as JSON")
    .argument("<address>", "admin address of the process, such as 10.0.0.1:7102")
    .action(async (address: string) => {
        process.exitCode = await statuses.printStatus(address);
    });

program.command("codes")
    .description("prints the table of result codes")
    .option("--markdown", "prints it as the page docs/RESULT-CODES.md")
    .action((options: { markdown?: boolean }) => {
        process.stdout.write(options.markdown ? codesTables.renderCodesPage() : codesTables.renderCodes());
    });

program.command("demo")
    .description("runs the system with stand-ins in one process")
    .action(async () => {
        process.exit(await demos.runDemo());
    });

void program.parseAsync();
