/**
 * A token bucket that limits the rate of calls; it holds at most the tokens of one second.
 */
import * as clocks from "../src/common/Clock";

/** Admits `perSecond` calls per second on average, but none if it is below 1; Infinity sets no limit. */
export class TokenBucket {
    /** Number of rejected calls. */
    rejectedCount = 0;
    private tokens: number;
    private refilledAtMs = clocks.systemClock.now();

    constructor(public perSecond: number) {
        this.tokens = perSecond;
    }

    /** Admits a call and returns undefined, or rejects it and returns the milliseconds until a token is available. */
    tryTake(): number | undefined {
        if (this.perSecond === Infinity) {
            return undefined;
        }
        const nowMs = clocks.systemClock.now();
        const addedTokens = (nowMs - this.refilledAtMs) * this.perSecond / 1_000;
        this.tokens = Math.min(this.perSecond, this.tokens + addedTokens);
        this.refilledAtMs = nowMs;
        if (this.tokens >= 1) {
            this.tokens--;
            return undefined;
        }
        this.rejectedCount++;
        return Math.ceil((1 - this.tokens) * 1_000 / this.perSecond);
    }
}
