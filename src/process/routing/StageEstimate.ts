/**
 * When the stages of a call can be done, by what has been accepted before it. Load it answers: one kind of call
 * at more than twice its usual rate for some seconds, with stages that carry little more than the usual rate.
 */
import * as routing from "../../common/Routing";
import * as stageOrders from "../../common/StageOrder";
import * as jobs from "./StageJob";

/** What one service can carry now. */
export interface ServiceLoad {
    readonly capacity: routing.StageCapacity;
    /** Instances that take work now. */
    readonly instanceCount: number;
    /** Instances that run nothing. */
    readonly idleInstances: number;
    /** Pieces that go before the new call. */
    readonly piecesAhead: number;
    /** Measured time of calls over the published one. */
    readonly slowness: number;
}

/** Pieces that a service makes in a millisecond when its calls are full. */
export function piecesPerMs(load: ServiceLoad): number {
    const { slots, batch, callMs, pieceMs } = load.capacity;
    return load.instanceCount * slots * batch / ((callMs + batch * pieceMs) * load.slowness);
}

/** Time of a call with `pieces` pieces. */
export function callTimeMs(capacity: routing.StageCapacity, pieces: number): number {
    return capacity.callMs + pieces * capacity.pieceMs;
}

/** Time until one stage is done that can begin after `startMs`. What waits there drains in the meantime. */
function stageEndMs(load: ServiceLoad, pieces: number, startMs: number): number {
    const { capacity, instanceCount, slowness } = load;
    const fullCallMs = callTimeMs(capacity, capacity.batch) * slowness;
    const waitMs = load.piecesAhead / piecesPerMs(load) - startMs;
    const isBusy = waitMs > 0 || (load.idleInstances === 0 && startMs === 0);
    if (!isBusy) {
        return startMs + callTimeMs(capacity, Math.min(pieces, capacity.batch)) * slowness;
    }
    // Calls are full, the next instance is free after a part of one, and pieces are split over several.
    const nextSlotMs = fullCallMs / (instanceCount + 1);
    const splitMs = pieces > 1 ? fullCallMs * pieces / capacity.batch / instanceCount : 0;
    return startMs + Math.max(0, waitMs) + nextSlotMs + splitMs + fullCallMs;
}

/** Time until all stages of `order` are done, in milliseconds; Infinity when a service of it has no instance. */
export function estimateCompletionMs(
    order: stageOrders.StageOrder,
    loadOf: (service: string) => ServiceLoad | undefined,
): number {
    const stageEndsMs: number[] = [];
    for (const stage of order.stages) {
        const startMs = Math.max(0, ...stage.after.map(predecessor => stageEndsMs[predecessor] ?? 0));
        const load = stage.pieces === 0 ? undefined : loadOf(stage.service);
        if (stage.pieces > 0 && (load === undefined || load.instanceCount === 0)) {
            return Infinity;
        }
        stageEndsMs.push(load === undefined ? startMs : stageEndMs(load, stage.pieces, startMs));
    }
    return Math.max(0, ...stageEndsMs);
}

/** Time that an order needs even if each of its waiting pieces were taken at once, in milliseconds. */
export function minRemainingMs(
    job: jobs.StageJob,
    capacityOf: (service: string) => routing.StageCapacity | undefined,
): number {
    const stageEndsMs: number[] = [];
    job.order.stages.forEach((stage, index) => {
        const startMs = Math.max(0, ...stage.after.map(predecessor => stageEndsMs[predecessor] ?? 0));
        const capacity = capacityOf(stage.service);
        const waiting = Math.min(job.waitingInStage(index), capacity?.batch ?? 0);
        stageEndsMs.push(startMs + (capacity === undefined || waiting === 0 ? 0 : callTimeMs(capacity, waiting)));
    });
    return Math.max(0, ...stageEndsMs);
}

/** How a new call is taken in. */
export type Admission = { readonly kind: "in-time" } | { readonly kind: "late" } | {
    readonly kind: "refused";
    /** When room is expected; undefined when there is no saying. */
    readonly retryAfterMs: number | undefined;
};

/** An estimate must be this much better than the goal, since it is never exact and a missed goal costs most. */
const SOFT_DEADLINE_MARGIN_MS = 100;

/** Part of the time that a late call has, within which the estimate must end; work in time keeps passing it. */
const LATE_DEADLINE_SHARE = 0.5;

/** Shortest time to come back after a refusal, in milliseconds. */
const MIN_RETRY_AFTER_MS = 200;

/**
 * Decides on a call: `inTimeMs` is the estimate behind calls in time only, `lateMs` behind all calls. A call that
 * can't be in time is taken in only if what is left of the capacity brings it home well before its limit.
 */
export function admit(inTimeEstimateMs: number, lateEstimateMs: number, goalMs: number, limitMs: number): Admission {
    if (inTimeEstimateMs + SOFT_DEADLINE_MARGIN_MS <= goalMs) {
        return { kind: "in-time" };
    }
    if (lateEstimateMs <= limitMs * LATE_DEADLINE_SHARE) {
        return { kind: "late" };
    }
    if (!Number.isFinite(lateEstimateMs)) {
        return { kind: "refused", retryAfterMs: undefined };
    }
    return { kind: "refused", retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, inTimeEstimateMs - goalMs) };
}
