/**
 * This process's share of the arrivals that a cold instance bears in a second, for all entries together.
 */
import * as rendezvous from "../../common/RendezvousHash";

const ARRIVAL_WINDOW_MS = 1_000;
/** Arrivals spread on the way, so that a window here may meet a shorter one there. */
const ARRIVAL_WINDOW_MARGIN_MS = 150;

/** Arrivals that this entry may cause within a window. Entries that know the same names never exceed `total`. */
export function coldShare(total: number, instance: string, self: string, entries: readonly string[]): number {
    const wholeTotal = Math.floor(total);
    const baseShare = Math.floor(wholeTotal / entries.length);
    const remainder = wholeTotal - baseShare * entries.length;
    const ownScore = rendezvous.score(instance, self);
    const rank = entries.filter(entry => rendezvous.score(instance, entry) > ownScore).length;
    return baseShare + (rank < remainder ? 1 : 0);
}

/** The arrivals of the last second at one instance. */
export class ArrivalWindow {
    private arrivalTimesMs: number[] = [];

    /** Arrivals within the window that ends now. */
    count(nowMs: number): number {
        const sinceMs = nowMs - ARRIVAL_WINDOW_MS - ARRIVAL_WINDOW_MARGIN_MS;
        if (this.arrivalTimesMs.length > 0 && this.arrivalTimesMs[0]! < sinceMs) {
            this.arrivalTimesMs = this.arrivalTimesMs.filter(time => time >= sinceMs);
        }
        return this.arrivalTimesMs.length;
    }

    /** Notes an arrival. */
    add(nowMs: number): void {
        this.count(nowMs);
        this.arrivalTimesMs.push(nowMs);
    }
}
