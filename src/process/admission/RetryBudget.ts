/**
 * Token bucket that limits extra attempts (retries or hedges). First attempts fill it; a small reserve refills over
 * time.
 */
import * as clocks from "../../common/Clock";

const DEFAULT_RESERVE_ATTEMPTS = 10;
/** Time in which an empty reserve refills completely. */
const RESERVE_REFILL_MS = 60_000;
/** Maximum number of first attempts whose credit is kept. */
const MAX_CREDITED_FIRST_ATTEMPTS = 1_000;

/** Dependencies and settings of a retry budget. */
export interface RetryBudgetOptions {
    readonly clock: clocks.Clock;
    /** Extra attempts allowed per first attempt, 0 to 1; read on each use. 0 allows none. */
    readonly ratio: () => number;
    /** Extra attempts allowed in addition to the earned ones; used ones are regained over time. */
    readonly reserve?: number;
}

/** Limits extra attempts to the ratio times the first attempts plus a slowly refilled reserve. */
export class RetryBudget {
    private readonly reserve: number;
    private earnedAttempts = 0;
    private remainingReserve: number;
    private lastRefillMs: number;

    constructor(private readonly options: RetryBudgetOptions) {
        this.reserve = options.reserve ?? DEFAULT_RESERVE_ATTEMPTS;
        this.remainingReserve = this.reserve;
        this.lastRefillMs = options.clock.now();
    }

    /** Credits one first attempt. */
    earn(): void {
        const ratio = this.options.ratio();
        this.earnedAttempts = Math.min(this.earnedAttempts + ratio, ratio * MAX_CREDITED_FIRST_ATTEMPTS);
    }

    /** Takes one extra attempt from the budget; false when it is exhausted, or when the ratio is 0. */
    trySpend(): boolean {
        if (this.options.ratio() <= 0) {
            return false;
        }
        this.refill();
        if (this.earnedAttempts >= 1) {
            this.earnedAttempts--;
            return true;
        }
        if (this.remainingReserve >= 1) {
            this.remainingReserve--;
            return true;
        }
        return false;
    }

    /** Whether the ratio allows no extra attempts. */
    get isDisabled(): boolean {
        return this.options.ratio() <= 0;
    }

    /** Extra attempts currently available. */
    get balance(): number {
        this.refill();
        return this.options.ratio() <= 0 ? 0 : this.earnedAttempts + this.remainingReserve;
    }

    private refill(): void {
        const nowMs = this.options.clock.now();
        const regained = (nowMs - this.lastRefillMs) * this.reserve / RESERVE_REFILL_MS;
        this.remainingReserve = Math.min(this.reserve, this.remainingReserve + regained);
        this.lastRefillMs = nowMs;
    }
}
