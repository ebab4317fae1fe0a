/**
 * Runs the stages of calls for this entry and for others: carries out the decisions of the scheduler.
 */
import * as backgroundTasks from "../../common/BackgroundTask";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as stageOrders from "../../common/StageOrder";
import * as leavingInstances from "../instances/LeavingInstances";
import * as views from "../published/PublishedView";
import * as handOvers from "./HostHandOver";
import * as releasers from "./ResultReleaser";
import * as batching from "./StageBatching";
import * as stageCalls from "./StageCalls";
import * as schedulers from "./StageScheduler";
import * as workerStates from "./WorkerStates";

/** Interval between checks for overdue calls, expired inputs and missed deadlines. */
const POLL_INTERVAL_MS = 50;
/** Time after which a call on an otherwise idle instance has read its inputs. */
export const INPUTS_READ_MS = 60;
/** Retry delay after an accepted order has failed. */
const RETRY_AFTER_MS = 300;

/** Reason with which an order's signal aborts when another host continues the order from its results. */
export const RESULTS_KEPT = "results kept";

/** Result of an order: the handles of its results, or a failure. */
export type StageRunResult =
    | { readonly kind: "completed"; readonly handles: readonly string[] }
    | { readonly kind: "failed"; readonly failure: codes.Failure };

/** Result of an order whose caller left before it ended. */
export const CALLER_LEFT: StageRunResult = {
    kind: "failed",
    failure: codes.failure(codes.codes.cancelled, "the caller left"),
};

/** Receives results as they are computed. */
export type ProgressListener = (computed: readonly stageOrders.ComputedPiece[]) => void;

interface PendingOrder {
    readonly settle: (result: StageRunResult) => void;
    readonly onProgress: ProgressListener;
}

/** Dependencies of the stage host. */
export interface StageHostOptions extends stageCalls.StageCallsOptions {
    readonly leaving: leavingInstances.LeavingInstances;
    readonly releaser: releasers.ResultReleaser;
    /** Those of the usable instances of a service that this host schedules. */
    readonly ownInstances: (
        service: string,
        usable: readonly views.KnownInstance[],
    ) => readonly batching.StageInstance[];
}

/** Runs stages on the instances of their services. */
export class StageHost implements clocks.Disposable {
    private readonly scheduler: schedulers.StageScheduler;
    private readonly pendingOrders = new Map<number, PendingOrder>();
    private readonly timer: clocks.Disposable;
    private readonly subscription: clocks.Disposable;
    private readonly calls: stageCalls.StageCalls;
    private readonly handOverState = new handOvers.HostHandOver();
    /** Number of calls started on instances. */
    startedCalls = 0;

    constructor(private readonly options: StageHostOptions) {
        const workers = new workerStates.WorkerStates(options.view, options.leaving, options.pool.limits);
        this.scheduler = new schedulers.StageScheduler({
            capacity: service => options.view.table?.findService(service)?.stage,
            instances: service => options.ownInstances(service, options.pool.usableInstances(service)),
            areResultsUsable: (id, afterMs) => workers.areResultsUsable(id, afterMs),
            holdMs: service => options.pool.holds.serviceHoldMs(service),
            callWaitMs: id => workers.callWaitMs(id),
            callIntervalMs: id => workers.callIntervalMs(id),
        });
        this.calls = new stageCalls.StageCalls(options);
        this.subscription = options.releaser.onReleased(handles => {
            this.scheduler.recordReleased(handles);
            this.dispatch();
        });
        this.timer = clocks.every(options.clock, POLL_INTERVAL_MS, () => this.poll());
    }

    /** Number of orders in progress. */
    get size(): number {
        return this.scheduler.size;
    }

    /** Time in which the instances can do the work that waits here. */
    get backlogMs(): number {
        return this.scheduler.backlogMs;
    }

    dispose(): void {
        this.timer.dispose();
        this.subscription.dispose();
    }

    /** Runs the stages of a call; fails at once when admission control rejects the order. */
    run(order: stageOrders.StageOrder, signal: AbortSignal, onProgress: ProgressListener): Promise<StageRunResult> {
        const { clock, log } = this.options;
        this.handOverState.recordOrder();
        const admission = this.scheduler.submit(order, clock.now());
        const { job } = admission;
        const waiting = Object.fromEntries(
            order.stages.map(stage => [stage.service, this.scheduler.countWaitingPieces(stage.service)]),
        );
        log.info({
            decision: "stages",
            attempt: order.attempt,
            admission: admission.kind,
            estimateMs: Math.round(admission.estimateMs),
            goalMs: Math.round(order.goalMs),
            limitMs: Math.round(order.limitMs),
            priority: order.priority,
            orders: this.scheduler.size,
            waiting,
        }, "stage order received");
        if (job === undefined) {
            const estimatedMs = admission.kind === "refused" ? admission.retryAfterMs : undefined;
            const heldMs = this.heldRetryAfterMs(order);
            const retryAfterMs = heldMs === undefined ? estimatedMs : Math.max(heldMs, estimatedMs ?? 0);
            const failure = codes.failure(codes.codes.deadlineUnreachable, "stages are busy", retryAfterMs);
            return Promise.resolve({ kind: "failed", failure });
        }
        return new Promise(resolve => {
            const cancel = (): void => {
                this.pendingOrders.delete(job.id);
                if (signal.reason === RESULTS_KEPT) {
                    this.scheduler.detach(job.id);
                }
                else {
                    this.scheduler.cancel(job.id);
                }
                this.releaseUnneeded();
                resolve(CALLER_LEFT);
            };
            const settle = (result: StageRunResult): void => {
                signal.removeEventListener("abort", cancel);
                resolve(result);
            };
            this.pendingOrders.set(job.id, { settle, onProgress });
            signal.addEventListener("abort", cancel, { once: true });
            this.dispatch();
        });
    }

    /** Releases results that their call no longer needs. */
    releaseResults(handles: readonly string[]): void {
        this.options.releaser.add(handles);
    }

    /**
     * Hands the orders in progress over to another host: starts no more calls, waits for those in flight, and fails
     * the orders with `draining`. Their senders retry them with the results computed so far.
     */
    handOver(): void {
        this.handOverState.begin();
        this.dispatch();
    }

    private completeHandOver(): void {
        const orders = [...this.pendingOrders];
        this.pendingOrders.clear();
        for (const [id, pendingOrder] of orders) {
            this.scheduler.detach(id);
            pendingOrder.settle({
                kind: "failed",
                failure: codes.failure(codes.codes.draining, "the host is stopping"),
            });
        }
    }

    private poll(): void {
        if (this.scheduler.size > 0) {
            this.scheduler.expire(this.options.clock.now());
            this.dispatch();
        }
    }

    /** Starts all calls that can run now, and reports progress and outcomes. */
    private dispatch(): void {
        while (!this.handOverState.isInProgress) {
            const batch = this.scheduler.nextBatch(this.options.clock.now());
            if (batch === undefined) {
                break;
            }
            backgroundTasks.runInBackground(this.options.log, "stage-call", () => this.runBatch(batch));
        }
        this.scheduler.takeProgress().forEach((computed, id) => this.pendingOrders.get(id)?.onProgress(computed));
        this.scheduler.takeOutcomes().forEach(outcome => this.reportOutcome(outcome));
        this.releaseUnneeded();
        if (this.handOverState.tryComplete(this.scheduler.callsInFlight)) {
            this.completeHandOver();
        }
    }

    private async runBatch(batch: batching.StageBatch): Promise<void> {
        this.startedCalls++;
        const inputsReadTimer = this.options.clock.schedule(
            INPUTS_READ_MS,
            () => this.scheduler.recordInputsRead(batch),
        );
        const pieceResults = await this.sendBatch(batch).finally(() => inputsReadTimer.dispose());
        if (pieceResults === "held") {
            this.scheduler.returnBatch(batch, this.options.clock.now());
        }
        else {
            this.scheduler.endBatch(batch, pieceResults, this.options.clock.now());
        }
        this.dispatch();
    }

    /** An exception, which is a defect of this program, counts as a call without results. */
    private async sendBatch(batch: batching.StageBatch): ReturnType<stageCalls.StageCalls["send"]> {
        try {
            return await this.calls.send(batch);
        }
        catch (error) {
            this.options.log.error({ decision: "exception", task: "stage-call", err: error }, "a stage call failed");
            return undefined;
        }
    }

    private reportOutcome(outcome: schedulers.JobOutcome): void {
        const { job } = outcome;
        this.options.log.info({
            decision: "stages-end",
            attempt: job.order.attempt,
            end: outcome.reason,
            late: job.isLate,
            elapsedMs: Math.round(this.options.clock.now() - (job.softDeadlineAtMs - job.order.goalMs)),
        }, "stage order ended");
        const pendingOrder = this.pendingOrders.get(job.id);
        this.pendingOrders.delete(job.id);
        if (outcome.handles !== undefined) {
            pendingOrder?.settle({ kind: "completed", handles: outcome.handles });
            return;
        }
        const code = outcome.reason === "late" ? codes.codes.deadlineUnreachable : codes.codes.overloaded;
        const failure = codes.failure(
            code,
            `stages ended: ${outcome.reason}`,
            this.heldRetryAfterMs(job.order) ?? RETRY_AFTER_MS,
        );
        pendingOrder?.settle({ kind: "failed", failure });
    }

    /** Retry delay of an order's caller while all instances of one of its services hold off; undefined otherwise. */
    private heldRetryAfterMs(order: stageOrders.StageOrder): number | undefined {
        const { holds } = this.options.pool;
        const services = order.stages.filter(stage => stage.pieces > 0).map(stage => stage.service);
        const delaysMs = services.flatMap(service => holds.callerRetryAfterMs(service) ?? []);
        return delaysMs.length === 0 ? undefined : Math.max(...delaysMs);
    }

    private releaseUnneeded(): void {
        this.options.releaser.add(this.scheduler.takeReleasable());
    }
}
