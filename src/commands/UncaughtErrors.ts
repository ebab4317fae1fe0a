/**
 * Decides what becomes of an error that no part of the process has handled. An error of the operating system, such as that
 * of a connection nobody waits for any more, says nothing about the state of the process, which goes on. Any other is a
 * defect, after which the state can't be trusted: the process ends, and its log names the error.
 */
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as logs from "../common/Log";

/** Errors of the operating system within the window after which a process ends, since they won't stop. */
const MAX_MACHINE_ERRORS = 100;
const WINDOW_MS = 10_000;
const MAX_STACK_CHARACTERS = 4_000;

/** Dependencies of the decision. */
export interface UncaughtErrorsOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    /** Creates the ID that a log line and a report of this error share. */
    readonly createId: () => string;
    /** Ends the process after its log has been written; called once. */
    readonly end: () => void;
}

/** The unhandled errors of one process. */
export class UncaughtErrors {
    private machineErrorCount = 0;
    private windowStartedMs = -Infinity;
    private windowCount = 0;
    private isEnding = false;

    constructor(private readonly options: UncaughtErrorsOptions) {}

    /** Number of errors of the operating system after which the process went on. */
    get machineErrors(): number {
        return this.machineErrorCount;
    }

    /** Handles an error; `origin` is that of the event `uncaughtException`. */
    readonly handle = (error: unknown, origin: string): void => {
        if (this.isEnding) {
            return;
        }
        const { log, createId, end } = this.options;
        const fields = { decision: "uncaught-error", id: createId(), origin, ...describe(error) };
        if (origin === "uncaughtException" && isMachineError(error) && this.countInWindow() <= MAX_MACHINE_ERRORS) {
            this.machineErrorCount++;
            log.error(fields, "an error of the operating system that nobody handled; the process goes on");
            return;
        }
        this.isEnding = true;
        log.fatal({ ...fields, code: codes.codes.internalError.code }, "an error that nobody handled ends the process");
        end();
    };

    private countInWindow(): number {
        const nowMs = this.options.clock.now();
        if (nowMs - this.windowStartedMs > WINDOW_MS) {
            this.windowStartedMs = nowMs;
            this.windowCount = 0;
        }
        return ++this.windowCount;
    }
}

/** Whether a failed system call reported the error; a task that such an error has ended is a defect all the same. */
function isMachineError(error: unknown): boolean {
    return error instanceof Error
        && typeof (error as NodeJS.ErrnoException).syscall === "string"
        && typeof (error as NodeJS.ErrnoException).errno === "number";
}

function describe(error: unknown): Record<string, unknown> {
    const text = error instanceof Error ? error.stack ?? String(error) : String(error);
    return { error: text.slice(0, MAX_STACK_CHARACTERS) };
}
