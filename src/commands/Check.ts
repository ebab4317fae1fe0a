/**
 * `cumincrank check FILE`: validates settings or a published configuration.
 */
import * as files from "../common/SettingsFile";
import * as checks from "../version/ConfigurationCheck";
import * as exits from "./Exits";

/** Checks the file at `path`, writes a line for each problem, and returns the exit code: 0 valid, 2 not. */
export function checkFile(path: string, write: (line: string) => void): number {
    const content = files.readYaml(path);
    const problems = content.isErr ? content.error : listProblems(content.value);
    writeProblems(path, problems, write);
    if (problems.length > 0) {
        return exits.EXIT_INVALID;
    }
    write(`${path}: valid ${looksLikeSettings(content.unwrapOr(undefined)) ? "settings" : "configuration"}`);
    return exits.EXIT_OK;
}

/** Writes one line for each problem: file, path in it, value, and what was expected. */
export function writeProblems(
    file: string,
    problems: readonly checks.Problem[],
    write: (line: string) => void,
): void {
    for (const problem of problems) {
        write(`${file}: ${problem.path || "(document)"}: ${problem.value}, expected ${problem.expected}`);
    }
}

function listProblems(content: unknown): readonly checks.Problem[] {
    const checked = looksLikeSettings(content) ? files.checkSettings(content) : checks.checkConfiguration(content);
    return checked.isOk ? [] : checked.error;
}

/** Settings name an instance or a role; a configuration has neither. */
function looksLikeSettings(content: unknown): boolean {
    return typeof content === "object" && !!content && ("role" in content || "instance" in content);
}
