/**
 * The command line of the one binary `cumincrank`.
 */
import * as commander from "commander";
import * as resultCodes from "../common/Codes";
import * as checks from "./Check";

const program = new commander.Command("cumincrank")
    .description("Serving system for multi-stage model pipelines")
    .version("0.1.0");

program.command("codes")
    .description("prints the table of result codes")
    .action(() => {
        for (const row of Object.values(resultCodes.codes)) {
            console.log(`${row.code}\t${row.name}\t${row.outcome ?? "-"}\t${row.status}\t${row.text}`);
        }
    });

program.command("check")
    .description("validates settings or a published configuration")
    .argument("<file>", "YAML file")
    .action((file: string) => {
        process.exitCode = checks.checkFile(file, line => console.log(line));
    });

program.command("demo")
    .description("runs the system with stand-ins in one process")
    .action(() => {
        console.log("demo: not built yet");
    });

void program.parseAsync();
