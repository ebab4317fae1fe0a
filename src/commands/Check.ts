/**
 * `cumincrank check FILE`: validates settings or a published configuration.
 */
import * as files from "../common/SettingsFile";
import * as configurationChecks from "../version/ConfigurationCheck";
import * as exitCodes from "./ExitCodes";

/** Checks the file at `path`, writes a line for each problem, and returns the exit code: 0 valid, 2 not. */
export function checkFile(path: string, write: (line: string) => void): number {
    const content = files.readYaml(path);
    const problems = content.isErr ? content.error : findProblems(content.value);
    writeProblems(path, problems, write);
    if (problems.length > 0) {
        return exitCodes.EXIT_INVALID;
    }
    write(`${path}: valid ${hasSettingsFields(content.unwrapOr(undefined)) ? "settings" : "configuration"}`);
    return exitCodes.EXIT_SUCCESS;
}

/** Writes one line for each problem: file, path in it, value, and what was expected. */
export function writeProblems(
    file: string,
    problems: readonly configurationChecks.Problem[],
    write: (line: string) => void,
): void {
    for (const problem of problems) {
        write(`${file}: ${problem.path || "(document)"}: ${problem.value}, expected ${problem.expected}`);
    }
}

function findProblems(content: unknown): readonly configurationChecks.Problem[] {
    const validated = hasSettingsFields(content)
        ? files.checkSettings(content)
        : configurationChecks.checkConfiguration(content);
    return validated.isOk ? [] : validated.error;
}

/** Settings name an instance or a role; a configuration has neither. */
function hasSettingsFields(content: unknown): boolean {
    return typeof content === "object" && !!content && ("role" in content || "instance" in content);
}
