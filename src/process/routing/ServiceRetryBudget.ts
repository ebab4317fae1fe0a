/**
 * Bounds how many repeated arrivals a process causes at one service within a sliding window. The bound holds for
 * all entries together, so each keeps to its own first calls and to its share of the fixed part.
 */
import * as clocks from "../../common/Clock";

/** Part of the published bound that is used, since arrivals at the window's edges are seen differently there. */
const BOUND_SAFETY_FACTOR = 0.8;

/** The published bound. */
export interface RetryBound {
    readonly windowMs: number;
    /** Repeats allowed for each first call. */
    readonly ratio: number;
    /** Repeats allowed over that by all entries together. */
    readonly slack: number;
}

/** Counts first calls and repeats of one service. */
export class ServiceRetryBudget {
    private readonly firstCallTimesMs: number[] = [];
    private readonly retryTimesMs: number[] = [];

    constructor(
        private readonly clock: clocks.Clock,
        /** Read at each use, since settings may change. */
        private readonly bound: () => RetryBound,
        /** Entries that share the fixed part. */
        private readonly entryCount: () => number,
    ) {}

    /** Counts the first arrival of a call. */
    countFirstCall(): void {
        this.firstCallTimesMs.push(this.clock.now());
        this.dropExpired();
    }

    /** Takes one repeat; false when the budget is spent. */
    trySpend(): boolean {
        this.dropExpired();
        const { ratio, slack } = this.bound();
        const maxRetries = BOUND_SAFETY_FACTOR * (ratio * this.firstCallTimesMs.length + slack / this.entryCount());
        if (this.retryTimesMs.length + 1 > maxRetries) {
            return false;
        }
        this.retryTimesMs.push(this.clock.now());
        return true;
    }

    private dropExpired(): void {
        const sinceMs = this.clock.now() - this.bound().windowMs;
        dropBefore(this.firstCallTimesMs, sinceMs);
        dropBefore(this.retryTimesMs, sinceMs);
    }
}

function dropBefore(timesMs: number[], sinceMs: number): void {
    let count = 0;
    while (count < timesMs.length && timesMs[count]! < sinceMs) {
        count++;
    }
    timesMs.splice(0, count);
}
