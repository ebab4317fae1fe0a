/**
 * The calls that this process has sent to one instance of late; while it is cold, all entries together may send it only
 * so many a second.
 */

const ARRIVAL_WINDOW_MS = 1_000;
/** Added to the window, since network delays vary: calls sent over a longer time may arrive within one second. */
const ARRIVAL_WINDOW_MARGIN_MS = 150;
/** The window in which calls are counted. */
export const WINDOW_MS = ARRIVAL_WINDOW_MS + ARRIVAL_WINDOW_MARGIN_MS;

/** The calls that this process sent to one instance within the last window, including its margin. */
export class ArrivalWindow {
    private arrivalTimesMs: number[] = [];

    /** Number of arrivals within the window that ends at `nowMs`. */
    count(nowMs: number): number {
        const sinceMs = nowMs - WINDOW_MS;
        if (this.arrivalTimesMs.length > 0 && this.arrivalTimesMs[0]! < sinceMs) {
            this.arrivalTimesMs = this.arrivalTimesMs.filter(time => time >= sinceMs);
        }
        return this.arrivalTimesMs.length;
    }

    /** Time until fewer than `limit` arrivals are within the window; Infinity if that is none. */
    waitMs(limit: number, nowMs: number): number {
        if (limit === 0) {
            return Infinity;
        }
        return this.count(nowMs) < limit ? 0 : Math.max(1, this.arrivalTimesMs.at(-limit)! + WINDOW_MS - nowMs);
    }

    add(nowMs: number): void {
        this.count(nowMs);
        this.arrivalTimesMs.push(nowMs);
    }
}
