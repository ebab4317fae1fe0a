/**
 * Starts a process and waits for the signals that stop it, which may come before it has started.
 */
import * as clocks from "../common/Clock";
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

/** Resolves to the process that `start` starts, or to undefined if a signal comes before it has started. */
export async function startUnlessStopped<T extends RunningProcess>(
    start: () => Promise<T>,
    signals: StopSignals,
    log: logs.Log,
): Promise<T | undefined> {
    // A signal that arrived while the program was loaded hasn't reached its handler yet.
    await new Promise<void>(resolve => clocks.systemClock.afterReads(resolve));
    const starting = signals.begun.aborted ? undefined : start();
    const running = await Promise.race([starting, signals.first.then(() => undefined)]);
    if (running === undefined) {
        log.info({ decision: "stop-while-starting" }, "stopped before it listened");
        void starting?.then(late => late.dispose(), () => undefined);
    }
    return running;
}

/** The first signal starts a planned stop, a second one stops the process at once. Resolves to the exit code. */
export async function waitForStop(running: RunningProcess, signals: StopSignals, log: logs.Log): Promise<number> {
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
export class StopSignals {
    private unread = 0;
    private waiting: (() => void) | undefined;
    private readonly begin = clocks.createStop();
    /** Resolves at the first signal, also after `next` has. */
    readonly first: Promise<void>;

    constructor() {
        this.first = new Promise(resolve => this.begun.addEventListener("abort", () => resolve()));
        const onSignal = (): void => {
            this.unread++;
            this.begin.abort();
            this.wake();
        };
        process.on("SIGTERM", onSignal);
        process.on("SIGINT", onSignal);
    }

    /** Aborted at the first signal. */
    get begun(): AbortSignal {
        return this.begin.signal;
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
