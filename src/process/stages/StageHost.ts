/**
 * Runs the stages of calls for this entry and for others: carries out the decisions of the scheduler.
 */
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as logs from "../../common/Log";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as stageOrders from "../../common/StageOrder";
import * as upstreamConnections from "../../connection/UpstreamConnections";
import * as exchanges from "../../connection/UpstreamExchange";
import * as pools from "../instances/InstancePool";
import * as traffic from "../instances/InstanceTraffic";
import * as leavingInstances from "../instances/LeavingInstances";
import * as views from "../published/PublishedView";
import * as handOvers from "./HostHandOver";
import * as releasers from "./ResultReleaser";
import * as batching from "./StageBatching";
import * as jobs from "./StageJob";
import * as schedulers from "./StageScheduler";
import * as workerStates from "./WorkerStates";

/** Interval between checks for overdue calls, expired inputs and missed deadlines. */
const POLL_INTERVAL_MS = 50;
/** Time after which a call on an otherwise idle instance has read its inputs. */
export const INPUTS_READ_MS = 60;
/** Time limit for the headers of a call's answer. */
const ANSWER_TIMEOUT_MS = 10_000;
/** Retry delay after an accepted order has failed. */
const RETRY_AFTER_MS = 300;
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

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
export interface StageHostOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly wire: routingPorts.StageWire;
    readonly connections: upstreamConnections.UpstreamConnections;
    readonly pool: pools.InstancePool;
    readonly view: views.PublishedView;
    readonly leaving: leavingInstances.LeavingInstances;
    readonly releaser: releasers.ResultReleaser;
    /** Called with the head of each answer to a stage call. */
    readonly onAnswer: (instance: routing.RoutedInstance, answer: exchanges.OpenAnswer, sentAtMs: number) => void;
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
            void this.runBatch(batch);
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
        const pieceResults = await this.sendBatch(batch);
        inputsReadTimer.dispose();
        if (pieceResults === "held") {
            this.scheduler.returnBatch(batch, this.options.clock.now());
        }
        else {
            this.scheduler.endBatch(batch, pieceResults, this.options.clock.now());
        }
        this.dispatch();
    }

    /** Resolves to the outcomes of the pieces, `held` if the instance holds off, or undefined on failure. */
    private async sendBatch(
        batch: batching.StageBatch,
    ): Promise<readonly routingPorts.StagePieceOutcome[] | "held" | undefined> {
        const { clock, wire, view, pool: { holds } } = this.options;
        const published = view.find(batch.instance.id);
        if (published === undefined) {
            return undefined;
        }
        const { address } = batch.instance;
        const pieces = batch.pieces.map(piece => this.toStagePiece(piece));
        const request = wire.runRequest(pieces);
        const body = Buffer.from(request.body);
        const ticket = this.options.pool.trafficOf(published).begin(0, []);
        const response = await exchanges.openExchange(this.options.connections, clock, {
            address,
            method: "POST",
            path: request.path,
            headers: ["Host", address, ...wire.requestHeaders(published.id), "Content-Length", String(body.length)],
            body,
            isNewConnection: false,
            answerTimeoutMs: ANSWER_TIMEOUT_MS,
            isHeld: () => holds.remainingMs(published) > 0,
        });
        if (response.kind === "failed") {
            const isHeld = response.reason === "held";
            ticket.end(response.isStaleConnection || isHeld ? "cancelled" : "unreachable");
            this.logCall(batch, response.reason);
            return isHeld ? "held" : undefined;
        }
        const holdMs = wire.readHold(response.status, response.headers);
        if (holdMs !== undefined) {
            holds.start(address, published, holdMs, "stage-call");
        }
        this.options.onAnswer(published, response, batch.startedMs);
        const content = await exchanges.readShortBody(response, MAX_RESPONSE_BYTES, clock);
        const pieceResults = response.status === 200 && content !== undefined
            ? wire.readRunAnswer(content.toString("utf8"), pieces).unwrapOr(undefined)
            : undefined;
        const failedOutcome = holdMs === undefined ? "failed" : traffic.rejectionOutcome(holdMs);
        ticket.end(pieceResults === undefined ? failedOutcome : "ok");
        this.logCall(batch, pieceResults === undefined ? `status ${response.status}` : describeResults(pieceResults));
        return holdMs === undefined ? pieceResults : "held";
    }

    private toStagePiece(piece: jobs.JobPiece): routingPorts.StagePiece {
        const { order } = piece.job;
        const inputs = piece.job.inputHandles(piece.stage);
        return {
            attempt: order.attempt,
            stage: piece.stage,
            piece: piece.piece,
            remainingMs: piece.job.hardDeadlineAtMs - this.options.clock.now(),
            key: inputs === undefined ? order.pieceKey : undefined,
            inputs,
        };
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

    private logCall(batch: batching.StageBatch, end: string): void {
        this.options.log.info({
            decision: "stage-call",
            service: batch.service,
            instance: batch.instance.id,
            pieces: batch.pieces.length,
            ready: batch.readyCount,
            roomKb: Math.round(batch.freeBytes / 1_000),
            attempts: [...new Set(batch.pieces.map(piece => piece.job.order.attempt))],
            elapsedMs: Math.round(this.options.clock.now() - batch.startedMs),
            expectedMs: Math.round(batch.expectedMs),
            end,
        }, "stage call ended");
    }
}

function describeResults(results: readonly routingPorts.StagePieceOutcome[]): string {
    const failures = results.flatMap(result => "failure" in result ? [result.failure] : []);
    return failures.length === 0 ? "made" : `${results.length - failures.length} made, ${failures.join(" ")}`;
}
