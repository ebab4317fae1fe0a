/**
 * Simulates the capacity of an upstream: its concurrency limit is low after a start and higher after a number of
 * completed calls. A call above the limit overloads the upstream: it fails along with all calls then running.
 */

import * as clocks from "../src/common/Clock";

/**
 * Concurrency limits; by default, the warm one is infinite and the cold one equals it. `warmAfter` is a number of
 * completed calls, by default 0.
 */
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
    /** Whether the upstream was overloaded while the call ran. */
    isOverloaded: boolean;
}

/** An arrival above the concurrency limit: the running calls including this one, and the limit. */
export interface CapacityViolation {
    readonly active: number;
    readonly bears: number;
}

/** Counts the running calls of one upstream. */
export class UpstreamCapacity {
    /** Number of arrivals above the concurrency limit. */
    excess = 0;
    /** Maximum number of concurrent calls. */
    maxActive = 0;
    readonly violations: CapacityViolation[] = [];
    /** Time spent on each request, by request ID. */
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

    /** Number of concurrent calls that the upstream can handle now. */
    get concurrencyLimit(): number {
        const warm = this.options.warmConcurrency ?? Infinity;
        return this.isCold ? this.options.coldConcurrency ?? warm : warm;
    }

    begin(priority: number, request = ""): RunningCall {
        const { active, concurrencyLimit: bears } = this;
        const call = {
            priority,
            request,
            startedAtMs: clocks.systemClock.now(),
            isOverloaded: active >= bears,
        };
        this.runningCalls.add(call);
        this.maxActive = Math.max(this.maxActive, this.active);
        if (call.isOverloaded) {
            this.excess++;
            this.violations.push({ active: this.active, bears });
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

    /** Number of running calls of at least this priority. */
    countWithPriority(minPriority: number): number {
        return [...this.runningCalls].filter(call => call.priority >= minPriority).length;
    }

    /** Becomes cold and discards the running calls. */
    restart(): void {
        this.completedCount = 0;
        this.runningCalls = new Set();
    }
}
