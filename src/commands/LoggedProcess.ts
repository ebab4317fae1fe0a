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

/** Longest time for which the end of a process waits until its log is written. */
const LOG_DRAIN_LIMIT_MS = 500;
const ERROR_ID_BYTES = 6;

/** What a running process gets. */
export interface LoggedProcess {
    readonly log: logs.Log;
    readonly counters: processCounters.ProcessCounters;
}

/** Runs a process until it ends; resolves to its exit code. A rejection of `run` means that it can't start. */
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
        log.fatal({ code: codes.codes.addressUnavailable.code, detail: String(error) }, "can't start");
        return exitCodes.EXIT_FAILED;
    }
    finally {
        await closeLog(output);
    }
}

/** Writes the rest of the log. At its end, Node.js would wait without limit for a write that blocks. */
async function closeLog(output: logOutputs.LogOutput): Promise<void> {
    const isDone = await output.drain(LOG_DRAIN_LIMIT_MS);
    if (!isDone) {
        process.kill(process.pid, "SIGKILL");
    }
}
