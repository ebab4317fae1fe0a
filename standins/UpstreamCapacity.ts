/**
 * How many calls an upstream bears: few after its start, more after a number of completed calls. Above that
 * it falls over: the call in excess and all those running with it fail.
 */

import * as clocks from "../src/common/Clock";

/** Concurrency in calls; `warmAfter` in completed calls. Missing values set no bound. */
export interface CapacityOptions {
    readonly coldConcurrency?: number | undefined;
    readonly warmConcurrency?: number | undefined;
    readonly warmAfter?: number | undefined;
}

/** One running call. */
export interface RunningCall {
    readonly priority: number;
    readonly request: string;
    readonly startedAtMs: number;
    /** Whether the upstream fell over while the call ran. */
    isOverloaded: boolean;
}

/** An arrival above what the upstream bore. */
export interface CapacityViolation {
    readonly active: number;
    readonly bears: number;
}

/** Counts the running calls of one upstream. */
export class UpstreamCapacity {
    /** Arrivals above what the upstream bore. */
    excess = 0;
    /** Most calls at once. */
    maxActive = 0;
    readonly violations: CapacityViolation[] = [];
    /** Time spent on each request, in milliseconds. */
    readonly busyMs = new Map<string, number>();
    private completedCount = 0;
    private runningCalls = new Set<RunningCall>();

    constructor(private readonly options: CapacityOptions) {}

    get active(): number {
        return this.runningCalls.size;
    }

    get isCold(): boolean {
        return this.completedCount < (this.options.warmAfter ?? 0);
    }

    /** Calls borne at once now. */
    get concurrencyLimit(): number {
        const warm = this.options.warmConcurrency ?? Infinity;
        return this.isCold ? this.options.coldConcurrency ?? warm : warm;
    }

    begin(priority: number, request = ""): RunningCall {
        const { active, concurrencyLimit } = this;
        const call = {
            priority,
            request,
            startedAtMs: clocks.systemClock.now(),
            isOverloaded: active >= concurrencyLimit,
        };
        this.runningCalls.add(call);
        this.maxActive = Math.max(this.maxActive, this.active);
        if (call.isOverloaded) {
            this.excess++;
            this.violations.push({ active: this.active, bears: concurrencyLimit });
            this.runningCalls.forEach(other => other.isOverloaded = true);
        }
        return call;
    }

    end(call: RunningCall, isComplete: boolean): void {
        const spentMs = clocks.systemClock.now() - call.startedAtMs;
        this.busyMs.set(call.request, (this.busyMs.get(call.request) ?? 0) + spentMs);
        if (this.runningCalls.delete(call) && isComplete && !call.isOverloaded) {
            this.completedCount++;
        }
    }

    /** Running calls of at least this priority. */
    countWithPriority(minPriority: number): number {
        return [...this.runningCalls].filter(call => call.priority >= minPriority).length;
    }

    /** Turns cold and forgets the running calls. */
    restart(): void {
        this.completedCount = 0;
        this.runningCalls = new Set();
    }
}
