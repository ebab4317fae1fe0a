/**
 * A rate of calls: a token bucket of one second's calls.
 */
import * as clocks from "../src/common/Clock";

/** Counts calls against a rate. */
export class CallRate {
    /** Calls refused. */
    refused = 0;
    private tokens: number;
    private refilledMs = clocks.systemClock.now();

    constructor(public perSecond: number) {
        this.tokens = perSecond;
    }

    /** Takes one call; the time in milliseconds until the next one when refused, otherwise undefined. */
    take(): number | undefined {
        if (this.perSecond === Infinity) {
            return undefined;
        }
        const nowMs = clocks.systemClock.now();
        const gained = (nowMs - this.refilledMs) * this.perSecond / 1_000;
        this.tokens = Math.min(this.perSecond, this.tokens + gained);
        this.refilledMs = nowMs;
        if (this.tokens >= 1) {
            this.tokens--;
            return undefined;
        }
        this.refused++;
        return Math.ceil((1 - this.tokens) * 1_000 / this.perSecond);
    }
}
