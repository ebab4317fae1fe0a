/**
 * A rate of calls: a token bucket of one second's calls.
 */
import * as clocks from "../src/common/Clock";

/** Counts calls against a rate. */
export class TokenBucket {
    /** Calls refused. */
    rejectedCount = 0;
    private tokens: number;
    private refilledAtMs = clocks.systemClock.now();

    constructor(public callsPerSecond: number) {
        this.tokens = callsPerSecond;
    }

    /** Takes one call; the time in milliseconds until the next one when refused, otherwise undefined. */
    tryTake(): number | undefined {
        if (this.callsPerSecond === Infinity) {
            return undefined;
        }
        const nowMs = clocks.systemClock.now();
        const addedTokens = (nowMs - this.refilledAtMs) * this.callsPerSecond / 1_000;
        this.tokens = Math.min(this.callsPerSecond, this.tokens + addedTokens);
        this.refilledAtMs = nowMs;
        if (this.tokens >= 1) {
            this.tokens--;
            return undefined;
        }
        this.rejectedCount++;
        return Math.ceil((1 - this.tokens) * 1_000 / this.callsPerSecond);
    }
}
