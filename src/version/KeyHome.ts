/**
 * The home of an idempotency key: the one slot whose agent may serve calls with the key. It depends only on the key
 * and the published slot names, not on which instances are live.
 */
import * as rendezvous from "../common/RendezvousHash";

/** Finds the home of `key`, whatever the order of `slots`; undefined if there are none. */
export function findHome(key: string, slots: readonly string[]): string | undefined {
    return rendezvous.pickWinner(key, slots);
}
