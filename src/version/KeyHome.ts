/**
 * The home of an idempotency key: the one slot whose agent may serve calls with the key. It depends on the key
 * and the published slot names alone, never on which instances are live.
 */
import * as rendezvous from "../common/RendezvousHash";

/** The home of `key` among `slots`, in whatever order; undefined without slots. */
export function findHome(key: string, slots: readonly string[]): string | undefined {
    let home: string | undefined;
    let homeScore = -Infinity;
    for (const slot of slots) {
        const slotScore = rendezvous.score(key, slot, 1);
        if (home === undefined || slotScore > homeScore || (slotScore === homeScore && slot < home)) {
            home = slot;
            homeScore = slotScore;
        }
    }
    return home;
}
