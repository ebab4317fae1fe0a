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
    await waitForSignal();
    log.info("planned stop begins");
    const cut = await Promise.race([running.stop(), waitForSignal().then(() => undefined)]);
    if (cut === undefined) {
        log.warn({ code: codes.codes.stopLimit.code }, "second signal: aborting work in progress");
        running.dispose();
        return exitCodes.EXIT_WORK_ABORTED;
    }
    log.info({ cut }, "stopped");
    return cut === 0 ? exitCodes.EXIT_SUCCESS : exitCodes.EXIT_WORK_ABORTED;
}

function waitForSignal(): Promise<void> {
    return new Promise(resolve => {
        const onSignal = (): void => {
            process.off("SIGTERM", onSignal);
            process.off("SIGINT", onSignal);
            resolve();
        };
        process.on("SIGTERM", onSignal);
        process.on("SIGINT", onSignal);
    });
}
