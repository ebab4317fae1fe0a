/**
 * Bounds how many extra attempts a process makes, as a token bucket that first attempts fill.
 */
import * as clocks from "../../common/Clock";

const DEFAULT_RESERVE = 10;
/** Time in which an empty bucket regains its whole reserve without any traffic. */
const RESERVE_REFILL_MS = 60_000;
/** First attempts whose earnings may be kept. */
const MAX_CREDITED_FIRST_ATTEMPTS = 1_000;

/** What a budget needs from its owner. */
export interface RetryBudgetOptions {
    readonly clock: clocks.Clock;
    /** Share of first attempts that may be repeated, 0 to 1; read at each use. */
    readonly ratio: () => number;
    /** Extra attempts allowed without traffic. */
    readonly reserve?: number;
}

/** Extra attempts never exceed the ratio times the first attempts plus the slowly refilled reserve. */
export class RetryBudget {
    private readonly reserve: number;
    private earnedAttempts = 0;
    private remainingReserve: number;
    private lastRefillMs: number;

    constructor(private readonly options: RetryBudgetOptions) {
        this.reserve = options.reserve ?? DEFAULT_RESERVE;
        this.remainingReserve = this.reserve;
        this.lastRefillMs = options.clock.now();
    }

    /** Counts one first attempt. */
    earn(): void {
        const ratio = this.options.ratio();
        this.earnedAttempts = Math.min(this.earnedAttempts + ratio, ratio * MAX_CREDITED_FIRST_ATTEMPTS);
    }

    /** Takes one extra attempt; false when the budget is spent, or when the ratio is 0. */
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

    /** Whether the ratio allows no extra attempt at all. */
    get isDisabled(): boolean {
        return this.options.ratio() <= 0;
    }

    /** Extra attempts available now. */
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
