/**
 * Decides when this process may send to an instance again that has rejected a request and stated for how long it wants
 * nothing from this process. The hold is strict: nothing is sent in it. Afterwards calls return as in TCP's congestion
 * control: one at first, then one more unanswered call for each that the instance has accepted (slow start), up to a
 * limit below the calls in flight that it rejected, which grows slowly while calls are accepted.
 */

/** Share of the calls in flight at a rejection that may be in flight after the hold. */
const LIMIT_SHARE = 0.8;
/** Growth of the limit in each round of accepted calls; slow, since a further hold costs all of its time. */
const LIMIT_GROWTH = 0.1;
/** With fewer calls in flight, others have filled the instance. */
const MIN_IN_FLIGHT = 2;
/** The limit is dropped when the instance hasn't asked for another hold within this time after one. */
const LIMIT_LIFETIME_MS = 5_000;

/** Entries whose holds end together return over this time for each of them. */
const RETURN_SPREAD_MS_PER_ENTRY = 10;
const MAX_RETURN_SPREAD_MS = 2_000;

/** Callers that are rejected because of a hold return over this share of its remaining time, within the bounds. */
const CALLER_SPREAD_SHARE = 0.25;
const MIN_CALLER_SPREAD_MS = 200;
const MAX_CALLER_SPREAD_MS = 1_000;
/** Longest retry delay of a caller: another entry isn't held, and a new instance may register at any time. */
const MAX_CALLER_RETRY_MS = 10_000;

/** A call at an instance, from its dispatch to its end. */
export interface CountedCall {
    /** Records that the instance has accepted the call. */
    accept(): void;
    /** Records the end of the call, accepted or not. */
    end(): void;
}

/** The calls since a rejection. */
interface ReturnPhase {
    accepted: number;
    unanswered: number;
    /** Largest number of calls in flight; may be fractional. */
    limit: number;
}

/** The hold of one incarnation of an instance, with the return to its full load. */
export class InstanceHold {
    private untilMs = -Infinity;
    private inFlight = 0;
    /** Undefined until the first hold. */
    private phase: ReturnPhase | undefined;

    /** Prolongs the hold; a time before its present end changes nothing. Called before the rejected call has ended. */
    extendTo(untilMs: number): void {
        if (untilMs > this.untilMs) {
            this.untilMs = untilMs;
            const limit = Math.max(MIN_IN_FLIGHT, (this.inFlight - 1) * LIMIT_SHARE);
            this.phase = { accepted: 0, unanswered: 0, limit };
        }
    }

    /** Time until the hold ends; 0 when there is none. */
    remainingMs(nowMs: number): number {
        return Math.max(0, this.untilMs - nowMs);
    }

    /** Whether another call may be sent now. */
    mayCall(nowMs: number): boolean {
        if (this.remainingMs(nowMs) > 0) {
            return false;
        }
        if (this.phase === undefined || nowMs > this.untilMs + LIMIT_LIFETIME_MS) {
            return true;
        }
        const { accepted, unanswered, limit } = this.phase;
        return unanswered <= accepted && this.inFlight < limit;
    }

    /** Counts a call that is being sent. */
    startCall(): CountedCall {
        const { phase } = this;
        let isAnswered = false;
        let hasEnded = false;
        const answer = (isAccepted: boolean): void => {
            if (phase !== undefined && !isAnswered) {
                phase.unanswered--;
                phase.accepted += isAccepted ? 1 : 0;
                phase.limit += isAccepted ? LIMIT_GROWTH / phase.limit : 0;
            }
            isAnswered = true;
        };
        this.inFlight++;
        if (phase !== undefined) {
            phase.unanswered++;
        }
        return {
            accept: () => answer(true),
            end: () => {
                answer(false);
                this.inFlight -= hasEnded ? 0 : 1;
                hasEnded = true;
            },
        };
    }
}

/** Time added to a hold, so that entries whose holds end together don't return together. `fraction` is random. */
export function returnSpreadMs(entryCount: number, fraction: number): number {
    return fraction * Math.min(MAX_RETURN_SPREAD_MS, entryCount * RETURN_SPREAD_MS_PER_ENTRY);
}

/** Retry delay of a caller whom no instance may serve before `remainingMs` have passed. `fraction` is random. */
export function callerRetryAfterMs(remainingMs: number, fraction: number): number {
    const spreadMs = Math.min(
        MAX_CALLER_SPREAD_MS,
        Math.max(MIN_CALLER_SPREAD_MS, remainingMs * CALLER_SPREAD_SHARE),
    );
    return Math.min(remainingMs, MAX_CALLER_RETRY_MS) + fraction * spreadMs;
}
