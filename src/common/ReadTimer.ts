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
    const fireAfterReads = (): void => {
        timer = clock.afterReads(callback);
    };
    let timer = clock.schedule(delayMs, () => {
        if (clock.now() - dueMs <= LATE_MS) {
            fireAfterReads();
            return;
        }
        timer = clock.schedule(PENDING_READ_MS, fireAfterReads);
    });
    return { dispose: () => timer.dispose() };
}
