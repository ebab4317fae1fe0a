/**
 * `cumincrank check FILE`: validates settings or a published configuration.
 */
import * as configurationChecks from "../version/ConfigurationCheck";
import * as exitCodes from "./Exits";
import * as files from "./SettingsFile";

/** Validates the file at `path`, writes one line per problem, and returns the exit code: 0 if valid, 2 if not. */
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

/** Writes one line per problem: file, path in the document, value, and expected value. */
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

/** Whether `content` has the field `role` or `instance`, which only settings have, not a configuration. */
function hasSettingsFields(content: unknown): boolean {
    return typeof content === "object" && !!content && ("role" in content || "instance" in content);
}
