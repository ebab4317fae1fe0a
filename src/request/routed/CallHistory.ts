/**
 * The sends of one call.
 */

/** Sends of a call so far. */
export interface CallHistory {
    readonly triedIncarnations: Set<string>;
    /** Sends that may have reached an instance. */
    sends: number;
    /** Sends that didn't reach their instance. */
    unreached: number;
    /** Sends without an outcome so far. */
    openSends: number;
    /** Sends that ended as `answer` or `unknown`, or cancelled on an established connection: the call may have run. */
    possibleRuns: number;
    /** Whether the retry budget denied a retry. */
    isBudgetSpent: boolean;
    /** When the caller should return, since all instances hold off or are at their limits; undefined if they don't. */
    heldRetryAfterMs: number | undefined;
    /** What the call has that crashes instances, for which it must not be sent; undefined if there is nothing. */
    heldParts: ReadonlySet<string> | undefined;
    /** Version of the software that began the call's stream: the only one that it may be sent to. */
    softwareVersion: string | undefined;
}

/** Creates the history of a call that has not been sent. */
export function createHistory(): CallHistory {
    return {
        triedIncarnations: new Set(),
        sends: 0,
        unreached: 0,
        openSends: 0,
        possibleRuns: 0,
        isBudgetSpent: false,
        heldRetryAfterMs: undefined,
        heldParts: undefined,
        softwareVersion: undefined,
    };
}
