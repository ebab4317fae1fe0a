/**
 * `cumincrank check FILE`: validates settings or a published configuration.
 */
import * as files from "../common/SettingsFile";
import * as checks from "../version/ConfigurationCheck";

/** Exit codes of the command. */
const EXIT_VALID = 0;
const EXIT_INVALID = 2;

/** Checks the file at `path`, writes a line for each problem, and returns the exit code: 0 valid, 2 not. */
export function checkFile(path: string, write: (line: string) => void): number {
    const content = files.readYaml(path);
    const problems = content.isErr ? content.error : listProblems(content.value);
    for (const problem of problems) {
        write(`${path}: ${problem.path || "(document)"}: ${problem.value}, expected ${problem.expected}`);
    }
    if (problems.length > 0) {
        return EXIT_INVALID;
    }
    write(`${path}: valid ${looksLikeSettings(content.unwrapOr(undefined)) ? "settings" : "configuration"}`);
    return EXIT_VALID;
}

function listProblems(content: unknown): readonly checks.Problem[] {
    const checked = looksLikeSettings(content) ? files.checkSettings(content) : checks.checkConfiguration(content);
    return checked.isOk ? [] : checked.error;
}

/** Settings name an instance or a role; a configuration has neither. */
function looksLikeSettings(content: unknown): boolean {
    return typeof content === "object" && !!content && ("role" in content || "instance" in content);
}
