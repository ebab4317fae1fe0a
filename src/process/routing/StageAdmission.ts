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
    readonly plainMs: number;
}

/** Decides on new orders, and learns how far its estimates are off. */
export class StageAdmission {
    private readonly bias = new biases.EstimateBias();

    constructor(
        private readonly services: stageInstances.StageServices,
        private readonly instances: stageInstances.StageInstances,
    ) {}

    /** Decides on an order beside the open ones. */
    decide(order: stageOrders.StageOrder, open: readonly jobs.StageJob[], nowMs: number): AdmissionDecision {
        const before = open.filter(job => goesBefore(job, order, nowMs + order.goalMs));
        const plainMs = estimates.estimateMs(order, service => this.describe(service, before));
        const inTimeMs = plainMs + Math.max(0, this.bias.valueMs(nowMs));
        const lateMs = estimates.estimateMs(order, service => this.describe(service, open));
        const admission = estimates.admit(inTimeMs, lateMs, order.goalMs, order.limitMs);
        return { admission, estimateMs: admission.kind === "in-time" ? inTimeMs : lateMs, plainMs };
    }

    /** Notes that an order's stages are made. */
    noteDone(job: jobs.StageJob, nowMs: number): void {
        if (job.expected !== undefined) {
            this.bias.note(job.expected.estimateMs, nowMs - job.expected.orderedMs, nowMs);
        }
    }

    /** What a service can carry beside the orders that go first. */
    private describe(service: string, before: readonly jobs.StageJob[]): estimates.ServiceCapacity | undefined {
        const capacity = this.services.capacity(service);
        if (capacity === undefined) {
            return undefined;
        }
        const instances = this.services.instances(service);
        const ahead = before.reduce((sum, job) => sum + job.waitingPieces(service), 0);
        const slowness = meanOf(instances.map(instance => this.instances.slowness(instance.id)));
        const idle = instances.filter(instance => this.instances.isFree(instance.id, capacity)).length;
        return { capacity, instances: instances.length, idle, ahead, slowness };
    }
}

/** Whether an open order goes before a new one that would be in time. */
function goesBefore(job: jobs.StageJob, order: stageOrders.StageOrder, goalAtMs: number): boolean {
    const { priority } = job.order;
    const isFirst = priority < order.priority || (priority === order.priority && job.goalAtMs <= goalAtMs);
    return !job.isLate && isFirst;
}

function meanOf(values: readonly number[]): number {
    return values.length === 0 ? 1 : values.reduce((sum, value) => sum + value, 0) / values.length;
}
