/**
 * The settings that a process starts with: waits for its file, and logs what it waits for.
 */
import * as result from "true-myth/result";
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as logs from "../common/Log";
import * as checks from "../version/ConfigurationCheck";
import * as loggedProcesses from "./LoggedProcess";
import * as settingsFiles from "./SettingsFile";
import * as settingsWaits from "./SettingsWait";

/** Name in the log of a process that hasn't read its name yet. */
const UNNAMED_INSTANCE = "unnamed";

/** The commands that run a process with settings. */
export type ServingCommand = "entry" | "agent";

type Checked = result.Result<settingsFiles.UsableSettings, readonly checks.Problem[]>;
type Read = () => settingsWaits.SettingsAttempt<settingsFiles.UsableSettings>;
type End = settingsWaits.SettingsWaitEnd<settingsFiles.UsableSettings>;

/** Waits until the file holds settings to start with for the command; a signal to stop ends the wait. */
export async function waitForFile(command: ServingCommand, path: string, stop: AbortSignal): Promise<End> {
    const read: Read = () =>
        toAttempt(settingsFiles.readStartSettings(path).andThen(start => checkRole(command, start)));
    const { settings, problems } = read();
    return settings !== undefined && problems.length === 0
        ? { kind: "valid", settings }
        : waitAndLog(read, path, stop);
}

/**
 * Seeds that aren't known are waited for like a required setting, since an entry without any takes itself for the only
 * one. At the time limit it starts all the same: it serves, and the others may connect to it.
 */
function toAttempt(checked: Checked): ReturnType<Read> {
    return checked.isErr
        ? { settings: undefined, problems: checked.error }
        : { settings: checked.value, problems: checked.value.lacksSeeds ? checked.value.problems : [] };
}

/** Logs what is wrong with optional settings, in place of which the process uses defaults. */
export function logProblems(log: logs.Log, problems: readonly checks.Problem[]): void {
    if (problems.length > 0) {
        const { code } = codes.codes.settingsInvalid;
        log.warn({ decision: "start", code, problems }, "invalid optional settings, defaults used");
    }
}

function checkRole(command: ServingCommand, start: settingsFiles.UsableSettings): Checked {
    const { role } = start.settings;
    const isExpected = role === command || (role === "route-entry" && command === "entry");
    return isExpected ? result.ok(start) : result.err([{ path: "role", value: role, expected: command }]);
}

async function waitAndLog(read: Read, file: string, stop: AbortSignal): Promise<End> {
    const { code } = codes.codes.settingsInvalid;
    const { log, output } = logs.createProcessLog(UNNAMED_INSTANCE, "info", clocks.systemClock);
    const end = await waitUnlessStopped({
        clock: clocks.systemClock,
        read,
        report: (problems, waitedMs) => log.warn({ code, file, problems, waitedMs }, "waiting for valid settings"),
        stop,
    });
    if (end.kind === "stopped") {
        log.info("stopped before the settings were valid");
    }
    else if (end.kind === "invalid") {
        log.fatal({ code, file, problems: end.problems }, "can't start");
    }
    if (end.kind === "valid") {
        await output.drain(loggedProcesses.LOG_DRAIN_LIMIT_MS);
        output.dispose();
    }
    else {
        await loggedProcesses.closeLog(output);
    }
    return end;
}

async function waitUnlessStopped(
    options: settingsWaits.SettingsWaitOptions<settingsFiles.UsableSettings>,
): Promise<End> {
    const end = await settingsWaits.waitForSettings(options);
    // A signal that arrived while the file was read hasn't reached its handler yet.
    await new Promise<void>(resolve => options.clock.afterReads(resolve));
    return options.stop.aborted ? { kind: "stopped" } : end;
}
