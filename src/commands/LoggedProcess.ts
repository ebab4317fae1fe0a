/**
 * Runs a process with its log on standard output, and ends it such that its log names the cause.
 */
import * as crypto from "node:crypto";
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as logs from "../common/Log";
import * as logOutputs from "../common/LogOutput";
import * as processCounters from "../process/metrics/ProcessCounters";
import * as exitCodes from "./Exits";
import * as uncaughtErrors from "./UncaughtErrors";

/** Longest time for which the end of a process, or of its wait for settings, is held up until its log is written. */
export const LOG_DRAIN_LIMIT_MS = 500;
const ERROR_ID_BYTES = 6;

/** What a running process gets. */
export interface LoggedProcess {
    readonly log: logs.Log;
    readonly counters: processCounters.ProcessCounters;
}

/** Runs a process until it ends; resolves to its exit code. A rejection of `run` is logged, and ends the process. */
export async function runLogged(
    settings: { readonly instance: string; readonly logLevel: string },
    run: (process: LoggedProcess) => Promise<number>,
): Promise<number> {
    const { log, output } = logs.createProcessLog(settings.instance, settings.logLevel, clocks.systemClock);
    const uncaught = new uncaughtErrors.UncaughtErrors({
        clock: clocks.systemClock,
        log,
        createId: () => crypto.randomBytes(ERROR_ID_BYTES).toString("hex"),
        end: () => void closeLog(output).then(() => process.exit(exitCodes.EXIT_DEFECT)),
    });
    process.on("uncaughtException", uncaught.handle);
    try {
        const counters = {
            droppedLogLines: () => output.droppedLines,
            failedLogWrites: () => output.failedWrites,
            machineErrors: () => uncaught.machineErrors,
        };
        return await run({ log, counters });
    }
    catch (error) {
        return logFailure(log, error);
    }
    finally {
        await closeLog(output);
    }
}

/** Logs why a process ends, and returns its exit code. All but an address that can't be used is a defect of this program. */
function logFailure(log: logs.Log, error: unknown): number {
    const detail = String(error);
    if ((error as NodeJS.ErrnoException | undefined)?.syscall === "listen") {
        log.fatal({ code: codes.codes.addressUnavailable.code, detail }, "can't start");
        return exitCodes.EXIT_FAILED;
    }
    log.fatal({ code: codes.codes.internalError.code, detail, err: error }, "an error ends the process");
    return exitCodes.EXIT_DEFECT;
}

/** Writes the rest of the log. At its end, Node.js would wait without limit for a write that blocks. */
export async function closeLog(output: logOutputs.LogOutput): Promise<void> {
    const isDone = await output.drain(LOG_DRAIN_LIMIT_MS);
    if (!isDone) {
        process.kill(process.pid, "SIGKILL");
    }
    output.dispose();
}
