/**
 * Limits the retries that a process sends to one service. The configured bound applies to all entries together in any
 * window, whatever each of them remembers: a process earns its retries, by its own first calls and over time, and begins
 * with none if it has a predecessor. What it may save is bounded, so that all that can be saved when a window begins and
 * all that is earned in it stay within the bound, also if each entry is killed and started again and again in between.
 */
import * as clocks from "../../common/Clock";
import * as shares from "../shares/FleetShare";
import * as fleetSizes from "../shares/FleetSize";

/** Share of the ratio that a first call earns. */
const EARNED_SHARE = 2 / 3;
/** Share of the retries earned in a window that may be saved: the window before one may have been as busy. */
const SAVED_SHARE = 1 / EARNED_SHARE - 1;
/** Share of the slack that may be saved by all entries together. */
const STOCK_SHARE = 0.6;
/** Share of the slack that all entries together earn in a window by time. The rest is left to delays of the network. */
const PACE_SHARE = 0.2;
/** Retries that an entry may save before it knows the others. */
const UNSETTLED_STOCK = 1;
/** How long a computed share of the stock is used. */
const STOCK_LIFETIME_MS = 250;

/** The bound from the settings. */
export interface RetryBound {
    readonly windowMs: number;
    /** Retries allowed per first call. */
    readonly ratio: number;
    /** Retries allowed in addition to that, for all entries together. */
    readonly slack: number;
}

/** What a budget has left, and what was spent within its window, as it is logged. */
export interface BudgetState {
    /** Retries that may be sent now. */
    readonly left: number;
    /** Most that may be saved now. */
    readonly capacity: number;
    readonly retries: number;
    readonly firstCalls: number;
    /** Entries among which the slack is divided. */
    readonly entries: number;
    /** Whether this process knows the other entries. */
    readonly isSettled: boolean;
}

/** Counts the first calls and retries of one service. */
export class ServiceRetryBudget {
    private readonly firstCallTimesMs: number[] = [];
    private readonly retryTimesMs: number[] = [];
    private earned: number;
    /** Retries that may be saved beside those of the first calls. */
    private stock: number;
    private stockUntilMs = -Infinity;
    private earnedUntilMs = -Infinity;

    constructor(
        private readonly clock: clocks.Clock,
        private readonly service: string,
        /** Read at each use, since settings may change. */
        private readonly bound: () => RetryBound,
        private readonly fleet: fleetSizes.Fleet,
    ) {
        this.stock = Math.min(UNSETTLED_STOCK, bound().slack);
        this.earned = this.hasNoPredecessor ? this.stock : 0;
    }

    /** Counts the first time that a call is sent to the service. */
    countFirstCall(): void {
        this.update();
        this.firstCallTimesMs.push(this.clock.now());
        this.earn(this.earnedByFirstCall);
    }

    /** Whether the budget allows a retry. */
    get canSpend(): boolean {
        this.update();
        return this.earned >= 1;
    }

    /** What is left and spent now. */
    get state(): BudgetState {
        this.update();
        return {
            left: this.earned,
            capacity: this.capacity,
            retries: this.retryTimesMs.length,
            firstCalls: this.firstCallTimesMs.length,
            entries: this.fleet.count,
            isSettled: this.fleet.settledAtMs !== undefined,
        };
    }

    /** Counts a retry if the budget allows it; false when the budget is spent. */
    trySpend(): boolean {
        if (!this.canSpend) {
            return false;
        }
        this.retryTimesMs.push(this.clock.now());
        this.earned--;
        return true;
    }

    /** Takes back the latest first call or retry, which wasn't sent after all. */
    takeBack(kind: "first-call" | "retry"): void {
        this.update();
        if (kind === "retry") {
            this.retryTimesMs.pop();
            this.earn(1);
        }
        else {
            this.firstCallTimesMs.pop();
            this.earned -= this.earnedByFirstCall;
        }
    }

    /** Whether no process has used this entry's share before, so that it begins with all that may be saved. */
    private get hasNoPredecessor(): boolean {
        return this.fleet.precededUntilMs === -Infinity;
    }

    private get earnedByFirstCall(): number {
        return EARNED_SHARE * this.bound().ratio;
    }

    /** Most retries that may be saved. */
    private get capacity(): number {
        return this.stock + SAVED_SHARE * this.earnedByFirstCall * this.firstCallTimesMs.length;
    }

    private updateStock(nowMs: number): void {
        if (this.fleet.settledAtMs !== undefined && nowMs >= this.stockUntilMs) {
            const isFirst = this.stockUntilMs === -Infinity;
            const unsettledStock = this.stock;
            this.stockUntilMs = nowMs + STOCK_LIFETIME_MS;
            const total = STOCK_SHARE * this.bound().slack;
            this.stock = shares.wholeShare(total, this.service, this.fleet, { lengthMs: 0, nowMs });
            this.earned += isFirst && this.hasNoPredecessor ? this.stock - unsettledStock : 0;
        }
    }

    private earn(retries: number): void {
        this.earned = Math.min(this.capacity, this.earned + retries);
    }

    /** Earns what is due for the time since the last update; time in which the others aren't known earns nothing. */
    private update(): void {
        const nowMs = this.clock.now();
        const { windowMs, slack } = this.bound();
        dropBefore(this.firstCallTimesMs, nowMs - windowMs);
        dropBefore(this.retryTimesMs, nowMs - windowMs);
        this.updateStock(nowMs);
        const { settledAtMs, count } = this.fleet;
        const elapsedMs = settledAtMs === undefined ? 0 : nowMs - Math.max(this.earnedUntilMs, settledAtMs);
        this.earnedUntilMs = nowMs;
        this.earn(PACE_SHARE * slack / count * Math.max(0, elapsedMs) / windowMs);
    }
}

function dropBefore(times: number[], sinceMs: number): void {
    let count = 0;
    while (count < times.length && times[count]! < sinceMs) {
        count++;
    }
    times.splice(0, count);
}
