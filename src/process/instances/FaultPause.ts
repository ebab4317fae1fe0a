/**
 * Decides how long an instance gets no calls whose answers aren't answers in the protocol: it is broken rather than busy
 * or restarting, and each such answer costs its caller an attempt and this process more than a sound one. After some in a
 * row it is given up for a while; then a single call tries it, and the next pause is longer unless its answer is sound.
 */

/** Faulty answers without a sound one between, after which an instance is given up. */
const MAX_FAULTS = 3;
/** First pause; doubles with each further one until an answer is sound. */
const MIN_PAUSE_MS = 5_000;
const MAX_PAUSE_MS = 20_000;

/** The pauses of one incarnation of an instance. */
export class FaultPause {
    private faults = 0;
    private pauses = 0;
    private untilMs = -Infinity;
    /** Whether one call tries the instance, while the others still wait. */
    private isTrial = false;

    /** Whether the instance gets no further call now. */
    isActive(nowMs: number): boolean {
        return nowMs < this.untilMs;
    }

    /** Records a faulty answer. Those of calls that were sent before the pause don't prolong it. */
    recordFault(nowMs: number): void {
        this.faults++;
        if (this.faults >= MAX_FAULTS && (this.isTrial || !this.isActive(nowMs))) {
            this.untilMs = nowMs + Math.min(MAX_PAUSE_MS, MIN_PAUSE_MS * 2 ** this.pauses);
            this.pauses++;
            this.isTrial = false;
        }
    }

    /** Records a sound answer. */
    recordSuccess(): void {
        this.faults = 0;
        this.pauses = 0;
        this.untilMs = -Infinity;
        this.isTrial = false;
    }

    /** Records that a call is sent: the first one after a pause is the trial, and others wait for its outcome. */
    recordSend(nowMs: number): void {
        if (this.faults >= MAX_FAULTS && !this.isActive(nowMs)) {
            this.isTrial = true;
            this.untilMs = nowMs + MIN_PAUSE_MS;
        }
    }
}
