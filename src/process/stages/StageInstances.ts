/**
 * Tracks the instances that run stages: their speed, their calls in flight, and which of them can accept a call.
 */
import * as routing from "../../common/Routing";
import * as batching from "./StageBatching";
import * as estimates from "./StageEstimate";

/** Weight of the newest call in the moving average of an instance's slowness. */
const NEWEST_WEIGHT = 0.3;
/** An instance whose slowness exceeds the lowest by more than this factor gets only probe calls. */
const SLOW_FACTOR = 2;
/** A slow instance is probed after this time without a call. */
const SLOW_PROBE_INTERVAL_MS = 3_000;
/** A call is overdue, and its pieces are requeued, after expected time * max(1, slowness) * factor + extra time. */
const OVERDUE_FACTOR = 2;
const OVERDUE_EXTRA_MS = 150;
/** Consecutive overdue calls after which the slowness of an instance is at least OVERDUE_FACTOR. */
const OVERDUE_CALLS_TO_RAISE_SLOWNESS = 2;
/** Pause after an unsuccessful call, so that a failing instance isn't called in a tight loop. */
const FAILURE_PAUSE_MS = 100;
/** Lower bound of a measurement, in case the clock jumps. */
const MIN_SLOWNESS = 0.1;

/** Published data of the services; read at each decision. */
export interface StageServices extends estimates.ServiceSource {
    instances(service: string): readonly batching.StageInstance[];
    /** Whether a worker's results can still be read in `afterMs`; without it, until they expire. */
    areResultsUsable?(instance: string, afterMs: number): boolean;
    /** Time until another call may be started on an instance that names a limit; 0 without one. */
    callWaitMs?(instance: string): number;
    /** Mean time between two calls that such an instance takes; 0 without a limit. */
    callIntervalMs?(instance: string): number;
}

interface InstanceState {
    /** Start of the incarnation that was measured. */
    startedMs: number | undefined;
    /** Moving average of the ratio of measured to expected call time. */
    slowness: number;
    readonly batches: Set<batching.StageBatch>;
    /** A single overdue call may be a lost response; only several in a row raise `slowness`. */
    consecutiveOverdue: number;
    /** No call starts before this time. */
    pausedUntilMs: number;
    lastCallEndMs: number;
}

const INITIAL_MEASUREMENTS = {
    slowness: 1,
    consecutiveOverdue: 0,
    pausedUntilMs: -Infinity,
    lastCallEndMs: -Infinity,
} as const;

/** Measurements and calls in flight, by instance. */
export class StageInstances {
    private readonly states = new Map<string, InstanceState>();

    /** Number of calls that have neither ended nor become overdue. */
    get callsInFlight(): number {
        let count = 0;
        this.states.forEach(state => count += state.batches.size);
        return count;
    }

    /** Instances that aren't much slower than the fastest, and slow ones that are due for a probe. */
    selectCandidates(all: readonly batching.StageInstance[], nowMs: number): readonly batching.StageInstance[] {
        all.forEach(instance => this.resetIfRestarted(instance));
        const fastest = Math.min(...all.map(instance => this.stateOf(instance.id).slowness));
        return all.filter(instance => {
            const state = this.stateOf(instance.id);
            const isProbeDue = state.batches.size === 0 && nowMs - state.lastCallEndMs > SLOW_PROBE_INTERVAL_MS;
            return state.slowness <= fastest * SLOW_FACTOR || isProbeDue;
        });
    }

    /**
     * Unpaused instances with a free slot, the fastest first and those with overdue calls last. An overdue call
     * occupies no slot, since its response may be lost.
     */
    selectFree(
        candidates: readonly batching.StageInstance[],
        capacity: routing.StageCapacity,
        nowMs: number,
    ): batching.StageInstance[] {
        return candidates
            .filter(instance => this.isFree(instance.id, capacity) && this.stateOf(instance.id).pausedUntilMs <= nowMs)
            .sort((a, b) =>
                this.stateOf(a.id).consecutiveOverdue - this.stateOf(b.id).consecutiveOverdue
                || this.slowness(a.id) - this.slowness(b.id)
            );
    }

    /** Whether an instance has a free slot. */
    isFree(id: string, capacity: routing.StageCapacity): boolean {
        return this.stateOf(id).batches.size < capacity.slots;
    }

    /** Whether an instance may still work on an overdue call, so that the next call queues behind it. */
    hasOverdueCall(id: string): boolean {
        return this.stateOf(id).consecutiveOverdue > 0;
    }

    /** Ratio of measured to expected call time of an instance. */
    slowness(id: string): number {
        return this.stateOf(id).slowness;
    }

    recordStart(batch: batching.StageBatch): void {
        this.stateOf(batch.instance.id).batches.add(batch);
    }

    /** Records the end of a call. `isSuccessful` means that no piece failed, except at its hard deadline. */
    recordEnd(batch: batching.StageBatch, hasResponse: boolean, isSuccessful: boolean, nowMs: number): void {
        const state = this.stateOf(batch.instance.id);
        state.batches.delete(batch);
        state.lastCallEndMs = nowMs;
        if (hasResponse) {
            state.consecutiveOverdue = 0;
            const measured = Math.max(MIN_SLOWNESS, (nowMs - batch.startedMs) / batch.expectedMs);
            state.slowness += (measured - state.slowness) * NEWEST_WEIGHT;
        }
        if (!isSuccessful) {
            state.pausedUntilMs = nowMs + FAILURE_PAUSE_MS;
        }
    }

    /** Removes and returns the calls that have become overdue since the last check. */
    takeOverdue(nowMs: number): batching.StageBatch[] {
        const overdue: batching.StageBatch[] = [];
        for (const state of this.states.values()) {
            for (const batch of state.batches) {
                const overdueAfterMs = batch.expectedMs * OVERDUE_FACTOR * Math.max(1, state.slowness)
                    + OVERDUE_EXTRA_MS;
                if (nowMs - batch.startedMs > overdueAfterMs) {
                    state.batches.delete(batch);
                    this.recordOverdue(state, nowMs);
                    overdue.push(batch);
                }
            }
        }
        return overdue;
    }

    /** Forgets the measurements of an earlier start; its calls in flight end or become overdue. */
    private resetIfRestarted(instance: batching.StageInstance): void {
        const state = this.stateOf(instance.id);
        if (state.startedMs !== instance.startedMs) {
            Object.assign(state, INITIAL_MEASUREMENTS, { startedMs: instance.startedMs });
        }
    }

    private recordOverdue(state: InstanceState, nowMs: number): void {
        state.consecutiveOverdue++;
        if (state.consecutiveOverdue >= OVERDUE_CALLS_TO_RAISE_SLOWNESS) {
            state.slowness = Math.max(state.slowness, OVERDUE_FACTOR);
            state.lastCallEndMs = nowMs;
        }
    }

    private stateOf(id: string): InstanceState {
        let state = this.states.get(id);
        if (state === undefined) {
            state = { ...INITIAL_MEASUREMENTS, startedMs: undefined, batches: new Set() };
            this.states.set(id, state);
        }
        return state;
    }
}
