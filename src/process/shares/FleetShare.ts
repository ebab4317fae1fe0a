/**
 * This process's share of a bound that holds for all entries together. The shares of entries that know the same names
 * add up to the bound without a message; an entry that knows more names than exist takes no more than its share.
 */
import * as rendezvous from "../../common/RendezvousHash";
import * as fleetSizes from "./FleetSize";

/**
 * The whole number of units, such as requests, that this entry may use in any window of the given length. The remainder
 * of the division goes to entries by rank, which differs from key to key. While a predecessor may have used them within
 * the window, an entry has none.
 */
export function wholeShare(
    total: number,
    key: string,
    fleet: fleetSizes.Fleet,
    window: { readonly lengthMs: number; readonly nowMs: number },
): number {
    if (fleet.settledAtMs === undefined || window.nowMs < fleet.precededUntilMs + window.lengthMs) {
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
