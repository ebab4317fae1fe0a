/**
 * The lease under which an agent serves idempotency keys: how long it may go on without proof that no other home
 * has taken them over. A new home waits out the lease of an earlier one that it can't ask.
 */
import * as codes from "../../common/Codes";

/** Time after its last proof in which an agent serves keys. */
export const KEY_LEASE_MS = 10_000;
const RETRY_DELAY_MS = 1_000;

/** What an agent knows of its own freshness. */
export interface KeyLeaseState {
    /** Time since the configuration service confirmed the version in force; undefined when never. */
    readonly unconfirmedMs: number | undefined;
    /** Time since the platform's list was read; undefined when never. */
    readonly listAgeMs: number | undefined;
    /** The service's other agents, published or listed. */
    readonly otherInstances: readonly string[];
    readonly isConnected: (instance: string) => boolean;
}

/**
 * Why no keys are served now; undefined when they are. While the configuration service is away, connections to all
 * other agents of the service suffice: whichever of them took keys over would have told its version.
 */
export function checkKeyLease(state: KeyLeaseState): codes.Failure | undefined {
    if ((state.unconfirmedMs ?? Infinity) <= KEY_LEASE_MS) {
        return undefined;
    }
    const isListFresh = (state.listAgeMs ?? Infinity) <= KEY_LEASE_MS;
    const disconnected = state.otherInstances.filter(instance => !state.isConnected(instance));
    if (isListFresh && disconnected.length === 0) {
        return undefined;
    }
    const detail = disconnected.length === 0
        ? "the instance list is old"
        : `out of touch with ${disconnected.join(", ")}`;
    return codes.failure(codes.codes.viewStale, detail, RETRY_DELAY_MS);
}
