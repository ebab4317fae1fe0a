/**
 * Decides which calls a stopping entry takes while no other entry accepts any. Designed for entries that are stopped in turn
 * under a burst: the first event of a stream then takes seconds instead of a tenth of one, which the streams that have ended
 * so far don't show. A stream that has begun can only be cut at the end of the stop; every other call gets an answer.
 */

/**
 * Time from the start of a stop in which a stream is taken because it is expected to end in time. A later one is taken only
 * if its own deadline ends it in time; its caller loses nothing by a rejection.
 */
const EXPECTATION_MS = 3_000;

/** A planned stop, on this process's clock. */
export interface PlannedStop {
    readonly startedMs: number;
    /** When requests still in progress are aborted. */
    readonly deadlineMs: number;
}

/** A call that has just arrived. */
export interface ArrivedCall {
    readonly arrivedMs: number;
    /** How long such a call takes. */
    readonly expectedMs: () => number;
    /** When it ends at the latest. */
    readonly hardDeadlineAtMs: number;
    readonly isStream: boolean;
}

/** Whether a call is taken, since it ends before the stop does. */
export function isTaken({ startedMs, deadlineMs }: PlannedStop, call: ArrivedCall): boolean {
    if (call.hardDeadlineAtMs <= deadlineMs) {
        return true;
    }
    const maySuffice = !call.isStream || call.arrivedMs < startedMs + EXPECTATION_MS;
    return maySuffice && call.arrivedMs + call.expectedMs() <= deadlineMs;
}
