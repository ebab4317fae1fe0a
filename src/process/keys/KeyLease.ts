/**
 * The lease under which an agent serves idempotency keys: how long it may continue without evidence that it is
 * still their home. A new home waits until the lease of a previous home that is no longer listed has expired.
 */
import * as codes from "../../common/Codes";

/** Time for which an agent serves keys after the last evidence that it is still their home. */
export const KEY_LEASE_MS = 10_000;
const RETRY_DELAY_MS = 1_000;

/** How recent the agent's view of the service is. */
export interface KeyLeaseState {
    /** Time since the configuration service last confirmed the version in force; undefined if never. */
    readonly unconfirmedMs: number | undefined;
    /** Time since the platform's instance list was read; undefined if never. */
    readonly listAgeMs: number | undefined;
    /** The service's other agents, from the published slots or the instance list. */
    readonly otherInstances: readonly string[];
    readonly isConnected: (instance: string) => boolean;
}

/**
 * Returns why no keys may be served; undefined if the lease is valid. While the configuration service is
 * unreachable, a recent instance list and connections to all other agents of the service suffice: a new home would
 * be one of them and would have sent its version.
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
        ? "the instance list is out of date"
        : `out of touch with ${disconnected.join(", ")}`;
    return codes.failure(codes.codes.viewStale, detail, RETRY_DELAY_MS);
}
