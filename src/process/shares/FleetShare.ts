/**
 * This process's share of a bound that holds for all entries together. The shares of entries that know the same names
 * add up to the bound without a message; an entry that knows more names than exist takes no more than its share.
 */
import * as rendezvous from "../../common/RendezvousHash";
import * as fleetSizes from "./FleetSize";

/** An entry that doesn't know the others yet will know them after this time, as far as callers are told. */
const EXPECTED_SETTLE_MS = 500;

/** The window of a bound, and the time at which a share is used. */
export interface ShareWindow {
    readonly lengthMs: number;
    readonly nowMs: number;
}

/** Time until this entry has its share; an estimate while it doesn't know the others. */
export function beginsInMs(
    { settledAtMs, precededUntilMs }: fleetSizes.Fleet,
    { lengthMs, nowMs }: ShareWindow,
): number {
    const settlesInMs = settledAtMs === undefined ? EXPECTED_SETTLE_MS : 0;
    return Math.max(settlesInMs, precededUntilMs + lengthMs - nowMs);
}

/**
 * The whole number of units, such as requests, that this entry may use in any window of the given length. The remainder
 * of the division goes to entries by rank, which differs from key to key. While a predecessor may have used them within
 * the window, an entry has none.
 */
export function wholeShare(
    total: number,
    key: string,
    fleet: fleetSizes.Fleet,
    window: ShareWindow,
): number {
    if (beginsInMs(fleet, window) > 0) {
        return 0;
    }
    const { self, names, count } = fleet;
    const knownTotal = Math.floor(count > names.length ? total * names.length / count : total);
    const equalShare = Math.floor(knownTotal / names.length);
    const remainder = knownTotal - equalShare * names.length;
    if (remainder === 0) {
        return equalShare;
    }
    const ownScore = rendezvous.score(key, self);
    const rank = names.filter(name => rendezvous.score(key, name) > ownScore).length;
    return equalShare + (rank < remainder ? 1 : 0);
}

/**
 * A share that rises only once it has been higher for a whole window: while entries learn of each other, those whose
 * shares sink may have used them already.
 */
export class SteadyShare {
    private current: number | undefined;
    private higher: { readonly sinceMs: number; lowest: number } | undefined;

    /** The share in force, after the one that is computed now. */
    update(share: number, { lengthMs, nowMs }: ShareWindow): number {
        if (this.current === undefined || share <= this.current) {
            this.current = share;
            this.higher = undefined;
            return share;
        }
        this.higher ??= { sinceMs: nowMs, lowest: share };
        this.higher.lowest = Math.min(this.higher.lowest, share);
        if (nowMs - this.higher.sinceMs >= lengthMs) {
            this.current = this.higher.lowest;
            this.higher = undefined;
        }
        return this.current;
    }
}
