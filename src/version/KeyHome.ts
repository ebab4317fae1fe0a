/**
 * The home of an idempotency key: the one slot whose agent may serve calls with the key. It depends on the key
 * and the published slot names alone, never on which instances are live.
 */
import * as rendezvous from "../common/RendezvousHash";

/** The home of `key` among `slots`, in whatever order; undefined without slots. */
export function findHome(key: string, slots: readonly string[]): string | undefined {
    return rendezvous.pickWinner(key, slots);
}
