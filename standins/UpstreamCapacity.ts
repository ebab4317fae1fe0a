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
    readonly startedMs: number;
    /** Whether the upstream fell over while the call ran. */
    hasFallen: boolean;
}

/** An arrival above what the upstream bore. */
export interface Violation {
    readonly active: number;
    readonly bears: number;
}

/** Counts the running calls of one upstream. */
export class UpstreamCapacity {
    /** Arrivals above what the upstream bore. */
    excess = 0;
    /** Most calls at once. */
    maxActive = 0;
    readonly violations: Violation[] = [];
    /** Time spent on each request, in milliseconds. */
    readonly busyMs = new Map<string, number>();
    private completed = 0;
    private running = new Set<RunningCall>();

    constructor(private readonly options: CapacityOptions) {}

    get active(): number {
        return this.running.size;
    }

    get isCold(): boolean {
        return this.completed < (this.options.warmAfter ?? 0);
    }

    /** Calls borne at once now. */
    get bears(): number {
        const warm = this.options.warmConcurrency ?? Infinity;
        return this.isCold ? this.options.coldConcurrency ?? warm : warm;
    }

    enter(priority: number, request = ""): RunningCall {
        const { active, bears } = this;
        const call = { priority, request, startedMs: clocks.systemClock.now(), hasFallen: active >= bears };
        this.running.add(call);
        this.maxActive = Math.max(this.maxActive, this.active);
        if (call.hasFallen) {
            this.excess++;
            this.violations.push({ active: this.active, bears });
            this.running.forEach(other => other.hasFallen = true);
        }
        return call;
    }

    leave(call: RunningCall, isCompleted: boolean): void {
        const spentMs = clocks.systemClock.now() - call.startedMs;
        this.busyMs.set(call.request, (this.busyMs.get(call.request) ?? 0) + spentMs);
        if (this.running.delete(call) && isCompleted && !call.hasFallen) {
            this.completed++;
        }
    }

    /** Running calls of at least this priority. */
    countFrom(priority: number): number {
        return [...this.running].filter(call => call.priority >= priority).length;
    }

    /** Turns cold and forgets the running calls. */
    restart(): void {
        this.completed = 0;
        this.running = new Set();
    }
}
