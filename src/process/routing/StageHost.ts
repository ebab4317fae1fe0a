/**
 * Makes the stages of calls, for this entry and for others: carries out what the scheduler decides.
 */
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as logs from "../../common/Log";
import * as routingPorts from "../../common/RoutingPorts";
import * as stageOrders from "../../common/StageOrder";
import * as upstreamConnections from "../../connection/UpstreamConnections";
import * as exchanges from "../../request/routed/UpstreamExchange";
import * as handOvers from "./HostHandOver";
import * as pools from "./InstancePool";
import * as views from "./PublishedView";
import * as releases from "./ResultRelease";
import * as batching from "./StageBatching";
import * as jobs from "./StageJob";
import * as schedulers from "./StageScheduler";

/** Time between two looks at what is overdue. */
const TICK_MS = 50;
/** Time after which a call on an instance that runs nothing else has read its inputs. */
export const INPUTS_READ_MS = 60;
/** Longest time that a call may take at all. */
const CALL_TIMEOUT_MS = 10_000;
/** When to come back after an order that was taken in and couldn't be made. */
const RETRY_AFTER_MS = 300;
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;

/** How an order ended: the handles of its results, or a failure. */
export type StageEnd =
    | { readonly kind: "made"; readonly handles: readonly string[] }
    | { readonly kind: "failed"; readonly failure: codes.Failure };

/** Takes results as they are made. */
export type ProgressListener = (made: readonly stageOrders.MadePiece[]) => void;

interface StageWaiter {
    readonly end: (end: StageEnd) => void;
    readonly onProgress: ProgressListener;
}

/** What the host needs from its process. */
export interface StageHostOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly wire: routingPorts.StageWire;
    readonly connections: upstreamConnections.UpstreamConnections;
    readonly pool: pools.InstancePool;
    readonly view: views.PublishedView;
    readonly release: releases.ResultRelease;
}

/** Makes stages on the instances of their services. */
export class StageHost implements clocks.Disposable {
    private readonly scheduler: schedulers.StageScheduler;
    private readonly waiters = new Map<number, StageWaiter>();
    private readonly timer: clocks.Disposable;
    private readonly subscription: clocks.Disposable;
    private readonly handingOver = new handOvers.HostHandOver();
    /** Calls made on instances. */
    calls = 0;

    constructor(private readonly options: StageHostOptions) {
        this.scheduler = new schedulers.StageScheduler({
            capacity: service => options.view.table?.findService(service)?.stage,
            instances: service => options.pool.usable(service),
        });
        this.subscription = options.release.onFreed(handles => {
            this.scheduler.noteFreed(handles);
            this.pump();
        });
        this.timer = clocks.every(options.clock, TICK_MS, () => this.tick());
    }

    /** Orders in progress. */
    get size(): number {
        return this.scheduler.size;
    }

    dispose(): void {
        this.timer.dispose();
        this.subscription.dispose();
    }

    /** Makes the stages of a call; what can't be made in time is refused at once. */
    run(order: stageOrders.StageOrder, signal: AbortSignal, onProgress: ProgressListener): Promise<StageEnd> {
        const { clock, log } = this.options;
        this.handingOver.noteOrder();
        const admission = this.scheduler.submit(order, clock.now());
        const { job } = admission;
        const waiting = Object.fromEntries(
            order.stages.map(stage => [stage.service, this.scheduler.waiting(stage.service)]),
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
        }, "stages asked for");
        if (job === undefined) {
            const retryAfterMs = admission.kind === "refused" ? admission.retryAfterMs : undefined;
            const failure = codes.failure(codes.codes.deadlineUnreachable, "stages are busy", retryAfterMs);
            return Promise.resolve({ kind: "failed", failure });
        }
        return new Promise(resolve => {
            const leave = (): void => {
                this.waiters.delete(job.id);
                this.scheduler.cancel(job.id);
                this.releaseUnneeded();
                resolve({ kind: "failed", failure: codes.failure(codes.codes.cancelled, "the caller left") });
            };
            const end = (result: StageEnd): void => {
                signal.removeEventListener("abort", leave);
                resolve(result);
            };
            this.waiters.set(job.id, { end, onProgress });
            signal.addEventListener("abort", leave, { once: true });
            this.pump();
        });
    }

    /** Gives results back that their call no longer needs. */
    releaseResults(handles: readonly string[]): void {
        this.options.release.add(handles);
    }

    /**
     * Gives the orders in progress to another host: makes no more calls, waits for the ones under way, and ends the
     * orders as not made here. Their results so far go along with them.
     */
    handOver(): void {
        this.handingOver.begin();
        this.pump();
    }

    private endHandOver(): void {
        const waiters = [...this.waiters];
        this.waiters.clear();
        for (const [id, waiter] of waiters) {
            this.scheduler.forget(id);
            waiter.end({ kind: "failed", failure: codes.failure(codes.codes.draining, "the host is stopping") });
        }
    }

    private tick(): void {
        if (this.scheduler.size > 0) {
            this.scheduler.expire(this.options.clock.now());
            this.pump();
        }
    }

    /** Starts all calls that can be made now, and reports what has ended. */
    private pump(): void {
        while (!this.handingOver.isUnderWay) {
            const batch = this.scheduler.nextBatch(this.options.clock.now());
            if (batch === undefined) {
                break;
            }
            void this.call(batch);
        }
        this.scheduler.takeProgress().forEach((made, id) => this.waiters.get(id)?.onProgress(made));
        this.scheduler.takeOutcomes().forEach(outcome => this.report(outcome));
        this.releaseUnneeded();
        if (this.handingOver.tryEnd(this.scheduler.callsUnderWay)) {
            this.endHandOver();
        }
    }

    private async call(batch: batching.StageBatch): Promise<void> {
        this.calls++;
        const reading = this.options.clock.schedule(INPUTS_READ_MS, () => this.scheduler.noteInputsRead(batch));
        const ends = await this.exchange(batch);
        reading.dispose();
        this.scheduler.endBatch(batch, ends, this.options.clock.now());
        this.pump();
    }

    private async exchange(
        batch: batching.StageBatch,
    ): Promise<readonly routingPorts.StagePieceEnd[] | undefined> {
        const { clock, wire, view } = this.options;
        const known = view.find(batch.instance.id);
        if (known === undefined) {
            return undefined;
        }
        const pieces = batch.pieces.map(piece => this.describe(piece));
        const request = wire.runRequest(pieces);
        const body = Buffer.from(request.body);
        const ticket = this.options.pool.trafficOf(known).begin(0, []);
        const answer = await exchanges.openExchange(this.options.connections, clock, {
            address: batch.instance.address,
            method: "POST",
            path: request.path,
            headers: ["Host", batch.instance.address, ...wire.headers(known.id), "Content-Length", String(body.length)],
            body,
            isNewConnection: false,
            answerTimeoutMs: CALL_TIMEOUT_MS,
        });
        if (answer.kind === "failed") {
            ticket.end(answer.isStaleConnection ? "cancelled" : "unreachable");
            this.logCall(batch, answer.reason);
            return undefined;
        }
        const content = await exchanges.readBody(answer, MAX_ANSWER_BYTES);
        const ends = answer.status === 200 && content !== undefined
            ? wire.readRun(content.toString("utf8"), pieces).unwrapOr(undefined)
            : undefined;
        ticket.end(ends === undefined ? "failed" : "ok");
        this.logCall(batch, ends === undefined ? `status ${answer.status}` : describeEnds(ends));
        return ends;
    }

    private describe(piece: jobs.PieceOfJob): routingPorts.StagePiece {
        const { order } = piece.job;
        const inputs = piece.job.inputsOf(piece.stage);
        return {
            attempt: order.attempt,
            stage: piece.stage,
            piece: piece.piece,
            leftMs: piece.job.limitAtMs - this.options.clock.now(),
            key: inputs === undefined ? order.pieceKey : undefined,
            inputs,
        };
    }

    private report(outcome: schedulers.StageOutcome): void {
        const { job } = outcome;
        this.options.log.info({
            decision: "stages-end",
            attempt: job.order.attempt,
            end: outcome.reason,
            late: job.isLate,
            elapsedMs: Math.round(this.options.clock.now() - (job.goalAtMs - job.order.goalMs)),
        }, "stages ended");
        const waiter = this.waiters.get(job.id);
        this.waiters.delete(job.id);
        if (outcome.handles !== undefined) {
            waiter?.end({ kind: "made", handles: outcome.handles });
            return;
        }
        const code = outcome.reason === "late" ? codes.codes.deadlineUnreachable : codes.codes.overloaded;
        const failure = codes.failure(code, `stages ended: ${outcome.reason}`, RETRY_AFTER_MS);
        waiter?.end({ kind: "failed", failure });
    }

    private releaseUnneeded(): void {
        this.options.release.add(this.scheduler.takeUnneeded());
    }

    private logCall(batch: batching.StageBatch, end: string): void {
        this.options.log.info({
            decision: "stage-call",
            service: batch.service,
            instance: batch.instance.id,
            pieces: batch.pieces.length,
            ready: batch.ready,
            roomKb: Math.round(batch.roomBytes / 1_000),
            attempts: [...new Set(batch.pieces.map(piece => piece.job.order.attempt))],
            elapsedMs: Math.round(this.options.clock.now() - batch.startedMs),
            expectedMs: Math.round(batch.expectedMs),
            end,
        }, "call on a stage's instance ended");
    }
}

function describeEnds(ends: readonly routingPorts.StagePieceEnd[]): string {
    const failures = ends.flatMap(end => "failure" in end ? [end.failure] : []);
    return failures.length === 0 ? "made" : `${ends.length - failures.length} made, ${failures.join(" ")}`;
}
