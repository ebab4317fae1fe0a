/**
 * Admission control for stage orders: estimates when an order would complete after the orders with precedence, and
 * compares that with its deadlines.
 */
import * as routing from "../../common/Routing";
import * as stageOrders from "../../common/StageOrder";
import * as biases from "./EstimateBias";
import * as batching from "./StageBatching";
import * as estimates from "./StageEstimate";
import * as stageInstances from "./StageInstances";
import * as jobs from "./StageJob";

/** An admission decision and the estimate behind it. */
export interface AdmissionDecision {
    readonly admission: estimates.Admission;
    /** The bias-corrected in-time estimate if the order is in time, else the late estimate. */
    readonly estimateMs: number;
    /** The in-time estimate without the bias correction, also for a late or rejected order. */
    readonly uncorrectedMs: number;
}

/** Admits or rejects new orders, and corrects its estimates by their recent error. */
export class StageAdmission {
    private readonly bias = new biases.EstimateBias();

    constructor(
        private readonly services: stageInstances.StageServices,
        private readonly instances: stageInstances.StageInstances,
    ) {}

    /** Decides on a new order, given the open ones. */
    decide(order: stageOrders.StageOrder, openJobs: readonly jobs.StageJob[], nowMs: number): AdmissionDecision {
        const preceding = openJobs.filter(job => hasPrecedence(job, order, nowMs + order.goalMs));
        const uncorrectedMs = estimates.estimateCompletionMs(order, service => this.loadOf(service, preceding));
        const inTimeEstimateMs = uncorrectedMs + Math.max(0, this.bias.valueMs(nowMs));
        const lateEstimateMs = estimates.estimateCompletionMs(order, service => this.loadOf(service, openJobs));
        const admission = estimates.admit(inTimeEstimateMs, lateEstimateMs, order.goalMs, order.limitMs);
        return {
            admission,
            estimateMs: admission.kind === "in-time" ? inTimeEstimateMs : lateEstimateMs,
            uncorrectedMs,
        };
    }

    /** Time in which the instances can do the waiting pieces of the open jobs: that of the busiest service. */
    backlogMs(openJobs: readonly jobs.StageJob[]): number {
        const services = new Set(openJobs.flatMap(job => job.order.stages.map(stage => stage.service)));
        const loads = [...services].flatMap(service => this.loadOf(service, openJobs) ?? []);
        const usable = loads.filter(load => load.instanceCount > 0);
        return Math.max(0, ...usable.map(load => load.holdMs + load.piecesAhead / estimates.piecesPerMs(load)));
    }

    /** Updates the bias with the actual time of a completed order. */
    recordCompletion(job: jobs.StageJob, nowMs: number): void {
        if (job.inTimeEstimate !== undefined) {
            this.bias.record(job.inTimeEstimate.estimateMs, nowMs - job.inTimeEstimate.receivedMs, nowMs);
        }
    }

    private mayStart(id: string, capacity: routing.StageCapacity): boolean {
        return this.instances.isFree(id, capacity) && (this.services.callWaitMs?.(id) ?? 0) === 0;
    }

    /** Share of the calls that the instances can do which their limits leave. */
    private limitedShare(
        instances: readonly batching.StageInstance[],
        capacity: routing.StageCapacity,
    ): number {
        const fullCallMs = estimates.callTimeMs(capacity, capacity.batch) / capacity.slots;
        const shares = instances.map(({ id }) => {
            const intervalMs = this.services.callIntervalMs?.(id) ?? 0;
            return Math.min(1, fullCallMs * this.instances.slowness(id) / Math.max(1, intervalMs));
        });
        return shares.length === 0 ? 1 : shares.reduce((sum, share) => sum + share, 0) / shares.length;
    }

    /** Load of a service, with the waiting pieces of `preceding` as pieces ahead; undefined for an unknown service. */
    private loadOf(service: string, preceding: readonly jobs.StageJob[]): estimates.ServiceLoad | undefined {
        const capacity = this.services.capacity(service);
        if (capacity === undefined) {
            return undefined;
        }
        const instances = this.services.instances(service);
        const piecesAhead = preceding.reduce((sum, job) => sum + job.countWaitingPieces(service), 0);
        const slowness = meanSlowness(instances.map(instance => this.instances.slowness(instance.id)));
        const limitedShare = this.limitedShare(instances, capacity);
        const freeInstanceCount = instances.filter(({ id }) => this.mayStart(id, capacity)).length;
        const holdMs = this.services.holdMs(service);
        if (holdMs > 0) {
            // The first one to return; when the others do isn't counted on.
            return { capacity, instanceCount: 1, freeInstanceCount: 1, piecesAhead, slowness: 1, holdMs };
        }
        const instanceCount = instances.length;
        return { capacity, instanceCount, freeInstanceCount, piecesAhead, slowness, limitedShare, holdMs };
    }
}

/** Whether an open order runs before a new one that would be in time. */
function hasPrecedence(job: jobs.StageJob, order: stageOrders.StageOrder, softDeadlineAtMs: number): boolean {
    const { priority } = job.order;
    const isMoreUrgent = priority < order.priority
        || (priority === order.priority && job.softDeadlineAtMs <= softDeadlineAtMs);
    return !job.isLate && isMoreUrgent;
}

/** Mean of `values`; 1, the nominal slowness, when there are none. */
function meanSlowness(values: readonly number[]): number {
    return values.length === 0 ? 1 : values.reduce((sum, value) => sum + value, 0) / values.length;
}
