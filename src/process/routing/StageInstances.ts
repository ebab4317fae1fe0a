/**
 * The instances that run stages, as the scheduler sees them: how fast each is, what it works on now, and which of
 * them may take a call.
 */
import * as routing from "../../common/Routing";
import * as batching from "./StageBatching";

/** Weight of the newest call in an instance's measured speed. */
const NEWEST_WEIGHT = 0.3;
/** An instance this much slower than the fastest gets work only now and then. */
const SLOW_FACTOR = 2;
/** A slow instance is tried again after this time without a call. */
const SLOW_RETRY_INTERVAL_MS = 3_000;
/** A call that takes this much longer than expected is made again. */
const OVERDUE_FACTOR = 2;
const OVERDUE_EXTRA_MS = 150;
/** Overdue calls in a row that make an instance a slow one. */
const OVERDUE_CALLS_UNTIL_SLOW = 2;
/** An instance that made nothing of a call rests this long, so that it isn't asked in a tight loop. */
const FAILURE_PAUSE_MS = 100;
/** Fastest measure that counts, against clocks that jump. */
const MIN_SLOWNESS = 0.1;

/** What is published of the services; read at each decision. */
export interface StageServices {
    capacity(service: string): routing.StageCapacity | undefined;
    instances(service: string): readonly batching.StageInstance[];
}

interface InstanceState {
    /** Measured time of calls over the expected one. */
    slowness: number;
    readonly batches: Set<batching.StageBatch>;
    /** Calls in a row that were overdue: one may have lost its answer, more make the instance a slow one. */
    consecutiveOverdue: number;
    /** Gets no call before this. */
    pausedUntilMs: number;
    lastCallEndMs: number;
}

/** Measures and counts for each instance. */
export class StageInstances {
    private readonly states = new Map<string, InstanceState>();

    /** Calls that haven't ended. */
    get callsInFlight(): number {
        let count = 0;
        this.states.forEach(state => count += state.batches.size);
        return count;
    }

    /** Instances that aren't much slower than the fastest of them. */
    selectFast(all: readonly batching.StageInstance[], nowMs: number): readonly batching.StageInstance[] {
        const fastest = Math.min(...all.map(instance => this.stateOf(instance.id).slowness));
        return all.filter(instance => {
            const state = this.stateOf(instance.id);
            const isRetryDue = state.batches.size === 0 && nowMs - state.lastCallEndMs > SLOW_RETRY_INTERVAL_MS;
            return state.slowness <= fastest * SLOW_FACTOR || isRetryDue;
        });
    }

    /**
     * Those with a free slot, the fastest first, and last those that left a call overdue. An overdue call holds no
     * slot, since its answer may be lost.
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

    /** Whether an instance may still work on a call that is overdue, so that the next one waits there. */
    hasOverdueCall(id: string): boolean {
        return this.stateOf(id).consecutiveOverdue > 0;
    }

    /** Measured time of an instance's calls over the expected one. */
    slowness(id: string): number {
        return this.stateOf(id).slowness;
    }

    /** Notes that a call has begun. */
    recordStart(batch: batching.StageBatch): void {
        this.stateOf(batch.instance.id).batches.add(batch);
    }

    /** Notes the end of a call, and whether it brought an answer and all of its results. */
    recordEnd(batch: batching.StageBatch, hasAnswer: boolean, isComplete: boolean, nowMs: number): void {
        const state = this.stateOf(batch.instance.id);
        state.batches.delete(batch);
        state.lastCallEndMs = nowMs;
        if (hasAnswer) {
            state.consecutiveOverdue = 0;
            const measured = Math.max(MIN_SLOWNESS, (nowMs - batch.startedMs) / batch.expectedMs);
            state.slowness += (measured - state.slowness) * NEWEST_WEIGHT;
        }
        if (!isComplete) {
            state.pausedUntilMs = nowMs + FAILURE_PAUSE_MS;
        }
    }

    /** Calls that have become overdue since the last look. */
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

    private recordOverdue(state: InstanceState, nowMs: number): void {
        state.consecutiveOverdue++;
        if (state.consecutiveOverdue >= OVERDUE_CALLS_UNTIL_SLOW) {
            state.slowness = Math.max(state.slowness, OVERDUE_FACTOR);
            state.lastCallEndMs = nowMs;
        }
    }

    private stateOf(id: string): InstanceState {
        let state = this.states.get(id);
        if (state === undefined) {
            state = {
                slowness: 1,
                batches: new Set(),
                consecutiveOverdue: 0,
                pausedUntilMs: -Infinity,
                lastCallEndMs: -Infinity,
            };
            this.states.set(id, state);
        }
        return state;
    }
}
