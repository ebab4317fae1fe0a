/**
 * This process's share of the arrivals per second that all entries together may send to a cold instance.
 */
import * as rendezvous from "../../common/RendezvousHash";

const ARRIVAL_WINDOW_MS = 1_000;
/** Added to the window, since network delays vary: calls sent over a longer time may arrive within one second. */
const ARRIVAL_WINDOW_MARGIN_MS = 150;

/** Arrivals that this entry may send within a window. Shares of the same `entries` add up to `total`, rounded down. */
export function coldShare(total: number, instance: string, self: string, entries: readonly string[]): number {
    const integerTotal = Math.floor(total);
    const baseShare = Math.floor(integerTotal / entries.length);
    const remainder = integerTotal - baseShare * entries.length;
    const ownScore = rendezvous.score(instance, self);
    const rank = entries.filter(entry => rendezvous.score(instance, entry) > ownScore).length;
    return baseShare + (rank < remainder ? 1 : 0);
}

/** The calls that this process sent to one instance within the last window, including its margin. */
export class ArrivalWindow {
    private arrivalTimesMs: number[] = [];

    /** Number of arrivals within the window that ends at `nowMs`. */
    count(nowMs: number): number {
        const sinceMs = nowMs - ARRIVAL_WINDOW_MS - ARRIVAL_WINDOW_MARGIN_MS;
        if (this.arrivalTimesMs.length > 0 && this.arrivalTimesMs[0]! < sinceMs) {
            this.arrivalTimesMs = this.arrivalTimesMs.filter(time => time >= sinceMs);
        }
        return this.arrivalTimesMs.length;
    }

    add(nowMs: number): void {
        this.count(nowMs);
        this.arrivalTimesMs.push(nowMs);
    }
}
