/**
 * Whether a new order is taken in, by what its services can still carry beside the orders that go before it.
 */
import * as stageOrders from "../../common/StageOrder";
import * as biases from "./EstimateBias";
import * as estimates from "./StageEstimate";
import * as stageInstances from "./StageInstances";
import * as jobs from "./StageJob";

/** A decision, with the time that decided it. */
export interface AdmissionDecision {
    readonly admission: estimates.Admission;
    readonly estimateMs: number;
    /** The estimate for a call in time, without what estimates were off by lately. */
    readonly uncorrectedMs: number;
}

/** Decides on new orders, and learns how far its estimates are off. */
export class StageAdmission {
    private readonly bias = new biases.EstimateBias();

    constructor(
        private readonly services: stageInstances.StageServices,
        private readonly instances: stageInstances.StageInstances,
    ) {}

    /** Decides on an order beside the open ones. */
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

    /** Notes that an order's stages are made. */
    recordCompletion(job: jobs.StageJob, nowMs: number): void {
        if (job.expected !== undefined) {
            this.bias.record(job.expected.estimateMs, nowMs - job.expected.orderedMs, nowMs);
        }
    }

    /** What a service can carry beside the orders that go first. */
    private loadOf(service: string, preceding: readonly jobs.StageJob[]): estimates.ServiceLoad | undefined {
        const capacity = this.services.capacity(service);
        if (capacity === undefined) {
            return undefined;
        }
        const instances = this.services.instances(service);
        const piecesAhead = preceding.reduce((sum, job) => sum + job.waitingPieces(service), 0);
        const slowness = meanOf(instances.map(instance => this.instances.slowness(instance.id)));
        const idleInstances = instances.filter(instance => this.instances.isFree(instance.id, capacity)).length;
        return { capacity, instanceCount: instances.length, idleInstances, piecesAhead, slowness };
    }
}

/** Whether an open order goes before a new one that would be in time. */
function hasPrecedence(job: jobs.StageJob, order: stageOrders.StageOrder, softDeadlineAtMs: number): boolean {
    const { priority } = job.order;
    const isMoreUrgent = priority < order.priority
        || (priority === order.priority && job.softDeadlineAtMs <= softDeadlineAtMs);
    return !job.isLate && isMoreUrgent;
}

function meanOf(values: readonly number[]): number {
    return values.length === 0 ? 1 : values.reduce((sum, value) => sum + value, 0) / values.length;
}
