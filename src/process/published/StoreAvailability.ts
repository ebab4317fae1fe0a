/**
 * Judges from the ends of calls whether the published store was unavailable, and how long deletions of instances wait.
 * While the store is unavailable, records of sound instances expire; these register again soon after its return. But
 * watches also fail while it is available: it cuts those that wait, as often as it likes, or a connection turns silent. An
 * instance whose record is deleted around that time has most likely left, and calls that still reach it are lost. So after
 * two failed watches in succession a call of another kind, a check, tells which of both it is.
 */

/** Deletions wait until this long after an outage, in which records may have expired. */
const OUTAGE_GRACE_MS = 2_000;
/**
 * The same after failed watches alone. Shorter than the time for which an instance serves on after its record was deleted,
 * even if the calls until then are answered late.
 */
const FAILED_WATCH_GRACE_MS = 1_000;
/** A call that fails this long after the previous failure is repeated at once. */
const PROMPT_RETRY_INTERVAL_MS = 1_000;
/** Watches that fail in succession before the store is checked. */
const WATCHES_BEFORE_CHECK = 2;

/** What is asked of the store: all keys, the changes of keys, or only whether it answers. */
export type StoreCall = "list" | "watch" | "check";

/**
 * What the latest calls have shown: `doubtful` after failed watches, `unwatched` if the store answers other calls,
 * `unavailable` if it doesn't answer these either.
 */
export type StoreState = "available" | "doubtful" | "unwatched" | "unavailable";

/** The state of the store as one reader sees it; all times are those of its clock. */
export class StoreAvailability {
    private currentState: StoreState = "available";
    private graceEndsAtMs = -Infinity;
    private failedAtMs = -Infinity;
    /** Watches that have failed in succession, with no other call between them. */
    private failedWatches = 0;

    get state(): StoreState {
        return this.currentState;
    }

    /** Whether the next call is a check of the store in place of a watch. */
    get isCheckDue(): boolean {
        return this.currentState === "unavailable" || this.failedWatches >= WATCHES_BEFORE_CHECK;
    }

    /** Records that a call was answered; returns the state before. */
    recordAnswer(call: StoreCall, nowMs: number): StoreState {
        const previous = this.currentState;
        if (previous === "unavailable") {
            this.graceEndsAtMs = nowMs + OUTAGE_GRACE_MS;
        }
        if (call === "check") {
            this.currentState = "unwatched";
            this.failedWatches = WATCHES_BEFORE_CHECK - 1;
            return previous;
        }
        if (previous === "doubtful" || previous === "unwatched") {
            this.graceEndsAtMs = Math.max(this.graceEndsAtMs, nowMs + FAILED_WATCH_GRACE_MS);
        }
        this.currentState = "available";
        this.failedWatches = 0;
        return previous;
    }

    /** Records that a call failed; returns whether the next one is due at once. */
    recordFailure(call: StoreCall, nowMs: number): boolean {
        const isPrompt = this.currentState === "available" && nowMs - this.failedAtMs >= PROMPT_RETRY_INTERVAL_MS;
        this.failedAtMs = nowMs;
        if (call === "watch") {
            this.failedWatches++;
        }
        if (this.currentState === "available") {
            this.currentState = "doubtful";
        }
        else if (call !== "watch") {
            this.currentState = "unavailable";
        }
        return isPrompt;
    }

    /** Time for which a deletion of an instance that arrives now is delayed; 0 if it takes effect at once. */
    deletionGraceMs(nowMs: number): number {
        return Math.max(0, this.graceEndsAtMs - nowMs);
    }
}
