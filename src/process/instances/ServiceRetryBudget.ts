/**
 * Limits the retries that a process sends to one service within a sliding window. The configured bound applies to
 * all entries together, so each entry uses its own first calls and its share of the fixed slack.
 */
import * as clocks from "../../common/Clock";

/** Share of the configured bound that is used, since the service counts arrivals at a window's edges differently. */
const BOUND_SAFETY_FACTOR = 0.8;

/** The bound from the settings. */
export interface RetryBound {
    readonly windowMs: number;
    /** Retries allowed per first call. */
    readonly ratio: number;
    /** Retries allowed in addition to that, for all entries together. */
    readonly slack: number;
}

/** What a budget allows and has spent within its window, as it is logged. */
export interface BudgetState {
    /** Retries allowed to this process. */
    readonly allowed: number;
    readonly retries: number;
    readonly firstCalls: number;
    /** Entries among which the slack is divided. */
    readonly entries: number;
}

/** Counts the first calls and retries of one service. */
export class ServiceRetryBudget {
    private readonly firstCallTimesMs: number[] = [];
    private readonly retryTimesMs: number[] = [];

    constructor(
        private readonly clock: clocks.Clock,
        /** Read at each use, since settings may change. */
        private readonly bound: () => RetryBound,
        /** Number of entries that share the slack. */
        private readonly entryCount: () => number,
    ) {}

    /** Counts the first time that a call is sent to the service. */
    countFirstCall(): void {
        this.firstCallTimesMs.push(this.clock.now());
        this.dropExpired();
    }

    /** Whether the budget allows a retry. */
    get canSpend(): boolean {
        const { allowed, retries } = this.state;
        return retries + 1 <= allowed;
    }

    /** What is allowed and spent now. */
    get state(): BudgetState {
        this.dropExpired();
        const { ratio, slack } = this.bound();
        const entries = this.entryCount();
        const firstCalls = this.firstCallTimesMs.length;
        const allowed = BOUND_SAFETY_FACTOR * (ratio * firstCalls + slack / entries);
        return { allowed, retries: this.retryTimesMs.length, firstCalls, entries };
    }

    /** Counts a retry if the budget allows it; false when the budget is spent. */
    trySpend(): boolean {
        if (!this.canSpend) {
            return false;
        }
        this.retryTimesMs.push(this.clock.now());
        return true;
    }

    /** Takes back the latest first call or retry, which wasn't sent after all. */
    takeBack(kind: "first-call" | "retry"): void {
        (kind === "retry" ? this.retryTimesMs : this.firstCallTimesMs).pop();
    }

    private dropExpired(): void {
        const sinceMs = this.clock.now() - this.bound().windowMs;
        dropBefore(this.firstCallTimesMs, sinceMs);
        dropBefore(this.retryTimesMs, sinceMs);
    }
}

function dropBefore(times: number[], sinceMs: number): void {
    let count = 0;
    while (count < times.length && times[count]! < sinceMs) {
        count++;
    }
    times.splice(0, count);
}
