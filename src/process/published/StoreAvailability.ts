/**
 * Judges from the ends of calls whether the published store was unavailable, and how long deletions of instances wait.
 * While the store is unavailable, records of sound instances expire; these register again soon after its return. But a
 * single call may also fail alone, since the store cut its connection or the connection turned silent. An instance whose
 * record is deleted around that time has most likely left, and calls that still reach it are lost.
 */

/** Deletions wait until this long after an outage, in which records may have expired. */
const OUTAGE_GRACE_MS = 2_000;
/**
 * The same after a single failed call. Shorter than the time for which an instance serves on after its record was
 * deleted, even if the next call is answered late.
 */
const FAILED_CALL_GRACE_MS = 1_000;
/** A call that fails this long after the previous failure is repeated at once. */
const PROMPT_RETRY_INTERVAL_MS = 1_000;

/** How the latest calls ended: `doubtful` after one failure, `unavailable` after several in succession. */
export type StoreState = "available" | "doubtful" | "unavailable";

/** The state of the store as one reader sees it; all times are those of its clock. */
export class StoreAvailability {
    private currentState: StoreState = "available";
    private graceEndsAtMs = -Infinity;
    private failedAtMs = -Infinity;

    get state(): StoreState {
        return this.currentState;
    }

    /** Records that a call was answered; returns the state before. */
    recordAnswer(nowMs: number): StoreState {
        const previous = this.currentState;
        this.currentState = "available";
        if (previous === "doubtful") {
            this.graceEndsAtMs = Math.max(this.graceEndsAtMs, nowMs + FAILED_CALL_GRACE_MS);
        }
        if (previous === "unavailable") {
            this.graceEndsAtMs = nowMs + OUTAGE_GRACE_MS;
        }
        return previous;
    }

    /** Records that a call failed; returns whether the next one is due at once. */
    recordFailure(nowMs: number): boolean {
        const isPrompt = this.currentState === "available" && nowMs - this.failedAtMs >= PROMPT_RETRY_INTERVAL_MS;
        this.currentState = this.currentState === "available" ? "doubtful" : "unavailable";
        this.failedAtMs = nowMs;
        return isPrompt;
    }

    /** Time for which a deletion of an instance that arrives now is delayed; 0 if it takes effect at once. */
    deletionGraceMs(nowMs: number): number {
        return Math.max(0, this.graceEndsAtMs - nowMs);
    }
}
