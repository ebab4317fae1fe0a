/**
 * The settings that a process starts with: read from its file.
 */
import * as result from "true-myth/result";
import * as codes from "../common/Codes";
import * as logs from "../common/Log";
import * as checks from "../version/ConfigurationCheck";
import * as settingsFiles from "./SettingsFile";

/** The commands that run a process with settings. */
export type ServingCommand = "entry" | "agent";

type Start = result.Result<settingsFiles.StartSettings, readonly checks.Problem[]>;

/** Reads the settings to start with for the command. */
export function readFor(command: ServingCommand, path: string): Start {
    return settingsFiles.readStartSettings(path).andThen(start => checkRole(command, start));
}

/** Logs what is wrong with optional settings, in place of which the process uses defaults. */
export function logProblems(log: logs.Log, problems: readonly checks.Problem[]): void {
    if (problems.length > 0) {
        const { code } = codes.codes.settingsInvalid;
        log.warn({ decision: "start", code, problems }, "invalid optional settings, defaults used");
    }
}

function checkRole(command: ServingCommand, start: settingsFiles.StartSettings): Start {
    const { role } = start.settings;
    const isExpected = role === command || (role === "route-entry" && command === "entry");
    return isExpected ? result.ok(start) : result.err([{ path: "role", value: role, expected: command }]);
}
