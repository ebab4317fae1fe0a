/**
 * Timers for decisions on what hasn't arrived: in a process that was late, it may only not have been read.
 */
import * as clocks from "./Clock";

/** A timer that fires later than this was delayed with the reading of its process. */
const LATE_MS = 20;
/** Time in which bytes are read that arrived during a late turn of the event loop. */
const PENDING_READ_MS = 10;

/** Calls `callback` after `delayMs`, but only once the process has read what arrived meanwhile. */
export function scheduleAfterReads(clock: clocks.Clock, delayMs: number, callback: () => void): clocks.Disposable {
    const dueMs = clock.now() + delayMs;
    let timer = clock.schedule(delayMs, () => {
        const isLate = clock.now() - dueMs > LATE_MS;
        timer = isLate ? schedulePendingReads(clock, callback) : clock.afterReads(callback);
    });
    return { dispose: () => timer.dispose() };
}

/** Calls `callback` once a process that was late has read what arrived meanwhile. */
export function schedulePendingReads(clock: clocks.Clock, callback: () => void): clocks.Disposable {
    let timer = clock.schedule(PENDING_READ_MS, () => {
        timer = clock.afterReads(callback);
    });
    return { dispose: () => timer.dispose() };
}
