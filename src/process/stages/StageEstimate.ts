/**
 * Estimates when the stages of an order complete, given the work accepted before it. Designed for bursts of a few
 * seconds in which one kind of order arrives at more than twice its usual rate, while its stages sustain little more
 * than that usual rate.
 */
import * as routing from "../../common/Routing";
import * as stageOrders from "../../common/StageOrder";
import * as jobs from "./StageJob";

/** Capacity and current load of one service. */
export interface ServiceLoad {
    readonly capacity: routing.StageCapacity;
    /** Number of instances that accept work. */
    readonly instanceCount: number;
    /** Number of instances with a free slot. */
    readonly freeInstanceCount: number;
    /** Number of waiting pieces that run before those of the new order. */
    readonly piecesAhead: number;
    /** Ratio of measured to published call time. */
    readonly slowness: number;
    /** Share of the calls that the instances can do which their limits leave; undefined without limits. */
    readonly limitedShare?: number;
    /** Time until the first of them accepts work. */
    readonly holdMs: number;
}

/** Published data of services, and their holds. */
export interface ServiceSource {
    capacity(service: string): routing.StageCapacity | undefined;
    /** Time until one of a service's instances may be called, while all of them hold off; else 0. */
    holdMs(service: string): number;
}

/** Throughput of a service with full calls, in pieces per millisecond. */
export function piecesPerMs(load: ServiceLoad): number {
    const { slots, batch, callMs, pieceMs } = load.capacity;
    const limitedShare = load.limitedShare ?? 1;
    return limitedShare * load.instanceCount * slots * batch / ((callMs + batch * pieceMs) * load.slowness);
}

/** Published time of a call with `pieces` pieces. */
export function callTimeMs(capacity: routing.StageCapacity, pieces: number): number {
    return capacity.callMs + pieces * capacity.pieceMs;
}

/** Time until a stage is done if its inputs are complete after `startMs`; pieces ahead run in the meantime. */
function stageEndMs(load: ServiceLoad, pieces: number, startMs: number): number {
    const { capacity, instanceCount, slowness } = load;
    const fullCallMs = callTimeMs(capacity, capacity.batch) * slowness;
    const waitMs = load.piecesAhead / piecesPerMs(load) - (startMs - load.holdMs);
    const isBusy = waitMs > 0 || (load.freeInstanceCount === 0 && startMs === 0);
    if (!isBusy) {
        return startMs + callTimeMs(capacity, Math.min(pieces, capacity.batch)) * slowness;
    }
    // Assumes full calls, a free slot after a fraction of a call, and pieces that are split over several calls.
    const nextSlotMs = fullCallMs / (instanceCount + 1) / (load.limitedShare ?? 1);
    const splitMs = pieces > 1 ? fullCallMs * pieces / capacity.batch / instanceCount : 0;
    return startMs + Math.max(0, waitMs) + nextSlotMs + splitMs + fullCallMs;
}

/** Time until all stages of `order` are done, in milliseconds; Infinity when one of its services has no instance. */
export function estimateCompletionMs(
    order: stageOrders.StageOrder,
    loadOf: (service: string) => ServiceLoad | undefined,
): number {
    const stageEndsMs: number[] = [];
    for (const stage of order.stages) {
        const load = stage.pieces === 0 ? undefined : loadOf(stage.service);
        const startMs = Math.max(
            load?.holdMs ?? 0,
            ...stage.after.map(predecessor => stageEndsMs[predecessor] ?? 0),
        );
        if (stage.pieces > 0 && (load === undefined || load.instanceCount === 0)) {
            return Infinity;
        }
        stageEndsMs.push(load === undefined ? startMs : stageEndMs(load, stage.pieces, startMs));
    }
    return Math.max(0, ...stageEndsMs);
}

/** Optimistic time until an order is done: calls as full as possible, no delays; running pieces count as done. */
export function minCompletionMs(
    job: jobs.StageJob,
    services: ServiceSource,
): number {
    const stageEndsMs: number[] = [];
    job.order.stages.forEach((stage, index) => {
        const inputsMs = Math.max(0, ...stage.after.map(predecessor => stageEndsMs[predecessor] ?? 0));
        const capacity = services.capacity(stage.service);
        const waiting = Math.min(job.countWaitingInStage(index), capacity?.batch ?? 0);
        const isDone = capacity === undefined || waiting === 0;
        const startMs = Math.max(inputsMs, isDone ? 0 : services.holdMs(stage.service));
        stageEndsMs.push(startMs + (isDone ? 0 : callTimeMs(capacity, waiting)));
    });
    return Math.max(0, ...stageEndsMs);
}

/** Outcome of admission control. */
export type Admission = { readonly kind: "in-time" } | { readonly kind: "late" } | {
    readonly kind: "refused";
    /** Time until capacity is expected; undefined when it can't be estimated. */
    readonly retryAfterMs: number | undefined;
};

/** Margin between estimate and soft deadline: estimates are inexact, and missing the deadline is costliest. */
const SOFT_DEADLINE_MARGIN_MS = 100;

/** Maximum estimate of a late order, as a share of its hard deadline, since in-time orders overtake it. */
const MAX_LATE_ESTIMATE_SHARE = 0.5;

/** Shortest retry delay after a rejection. */
const MIN_RETRY_AFTER_MS = 200;

/**
 * Decides on an order. `inTimeEstimateMs` assumes that only in-time orders with precedence run before it,
 * `lateEstimateMs` that all open orders do. An order that can't be in time is accepted only if the remaining capacity
 * completes it well before its hard deadline.
 */
export function admit(
    inTimeEstimateMs: number,
    lateEstimateMs: number,
    softDeadlineMs: number,
    hardDeadlineMs: number,
): Admission {
    if (inTimeEstimateMs + SOFT_DEADLINE_MARGIN_MS <= softDeadlineMs) {
        return { kind: "in-time" };
    }
    if (lateEstimateMs <= hardDeadlineMs * MAX_LATE_ESTIMATE_SHARE) {
        return { kind: "late" };
    }
    if (!Number.isFinite(lateEstimateMs)) {
        return { kind: "refused", retryAfterMs: undefined };
    }
    return { kind: "refused", retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, inTimeEstimateMs - softDeadlineMs) };
}
