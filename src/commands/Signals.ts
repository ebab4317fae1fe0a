/**
 * Waits for the signals that stop a process.
 */
import * as codes from "../common/Codes";
import * as logs from "../common/Log";
import * as exitCodes from "./Exits";

/** What the command line uses of a process of any kind. */
export interface RunningProcess {
    /** Performs a planned stop; resolves to the number of requests that it aborted. */
    stop(): Promise<number>;
    dispose(): void;
    readonly peerAddress: string;
    readonly adminAddress: string;
}

/** The first signal starts a planned stop, a second one stops the process at once. Resolves to the exit code. */
export async function waitForStop(running: RunningProcess, log: logs.Log): Promise<number> {
    const signals = new StopSignals();
    await signals.next();
    log.info("planned stop begins");
    const cut = await Promise.race([running.stop(), signals.next().then(() => undefined)]);
    if (cut === undefined) {
        log.warn({ code: codes.codes.stopLimit.code }, "second signal: aborting work in progress");
        running.dispose();
        return exitCodes.EXIT_WORK_ABORTED;
    }
    log.info({ cut }, "stopped");
    return cut === 0 ? exitCodes.EXIT_SUCCESS : exitCodes.EXIT_WORK_ABORTED;
}

/** The signals that stop the process. They stay handled until its end: by default, each would end it at once. */
class StopSignals {
    private unread = 0;
    private waiting: (() => void) | undefined;

    constructor() {
        const onSignal = (): void => {
            this.unread++;
            this.wake();
        };
        process.on("SIGTERM", onSignal);
        process.on("SIGINT", onSignal);
    }

    /** Resolves at the next signal that hasn't been waited for. */
    next(): Promise<void> {
        return new Promise(resolve => {
            this.waiting = resolve;
            this.wake();
        });
    }

    private wake(): void {
        if (this.unread > 0 && this.waiting !== undefined) {
            this.unread--;
            this.waiting();
            this.waiting = undefined;
        }
    }
}
