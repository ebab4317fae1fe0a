/**
 * Releases results of stages that are no longer needed, with one call per stage worker.
 */
import * as backgroundTasks from "../../common/BackgroundTask";
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as upstreamConnections from "../../connection/UpstreamConnections";
import * as exchanges from "../../connection/UpstreamExchange";
import * as instanceHolds from "../instances/InstanceHolds";
import * as instanceLimits from "../instances/InstanceLimits";

/** Handles are collected for this time, so that one call releases many. */
const BATCH_DELAY_MS = 5;
const ANSWER_TIMEOUT_MS = 2_000;
/** Releases don't wait for the end of longer holds, since results expire on their own. */
const MAX_HOLD_MS = 10_000;
const MAX_RESPONSE_BYTES = 64 * 1024;

/** Dependencies of the releaser. */
export interface ResultReleaserOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly wire: routingPorts.StageWire;
    readonly connections: upstreamConnections.UpstreamConnections;
    readonly holds: instanceHolds.InstanceHolds;
    readonly limits: Pick<instanceLimits.InstanceLimits, "spareWaitMsAt" | "countRequest">;
    /** The instance listed at an address; undefined if there is none. */
    readonly findInstance: (address: string) => routing.RoutedInstance | undefined;
    /** Called with the head of each answer of a listed instance. */
    readonly onAnswer: (instance: routing.RoutedInstance, answer: exchanges.OpenAnswer, sentAtMs: number) => void;
}

/** Collects handles and releases them. Failed calls aren't retried, since results expire on their own. */
export class ResultReleaser implements clocks.Disposable {
    private readonly handlesByWorker = new Map<string, string[]>();
    private timer: clocks.Disposable | undefined;
    /** Releases that wait until their worker's hold ends, or its limit leaves room. */
    private readonly heldTimers = new Map<string, clocks.Disposable>();
    private readonly releasedEmitter = new emitters.Emitter<readonly string[]>();
    /** Fires with the handles that a worker has released. */
    readonly onReleased = this.releasedEmitter.event;

    constructor(private readonly options: ResultReleaserOptions) {}

    /** Queues handles of results that are no longer needed. */
    add(handles: readonly string[]): void {
        for (const handle of handles) {
            const worker = this.options.wire.workerOf(handle);
            const pending = this.handlesByWorker.get(worker) ?? [];
            pending.push(handle);
            this.handlesByWorker.set(worker, pending);
        }
        if (handles.length > 0) {
            this.timer ??= this.options.clock.schedule(BATCH_DELAY_MS, () => this.flush());
        }
    }

    dispose(): void {
        this.timer?.dispose();
        this.heldTimers.forEach(timer => timer.dispose());
        this.releasedEmitter.dispose();
    }

    private flush(): void {
        this.timer = undefined;
        for (const [worker, handles] of [...this.handlesByWorker]) {
            const { holds, limits } = this.options;
            const holdMs = Math.max(holds.remainingMsAt(worker), limits.spareWaitMsAt(worker));
            if (holdMs > 0 && holdMs <= MAX_HOLD_MS) {
                this.flushAfterHold(worker, holdMs);
                continue;
            }
            this.handlesByWorker.delete(worker);
            if (holdMs > MAX_HOLD_MS) {
                this.logFailure(worker, handles, "held", this.options.clock.now());
            }
            else {
                const release = (): Promise<void> => this.releaseFrom(worker, handles);
                backgroundTasks.runInBackground(this.options.log, "release", release);
            }
        }
    }

    /** Keeps the handles of a worker until its hold ends, so that one call releases all of them. */
    private flushAfterHold(worker: string, holdMs: number): void {
        if (!this.heldTimers.has(worker)) {
            const flush = (): void => {
                this.heldTimers.delete(worker);
                this.flush();
            };
            this.heldTimers.set(worker, this.options.clock.schedule(holdMs, flush));
        }
    }

    /** Releases results on the stage worker at the address `maker`. */
    private async releaseFrom(maker: string, handles: readonly string[]): Promise<void> {
        const { clock, wire, connections, holds, limits, findInstance } = this.options;
        const startedMs = clock.now();
        const request = wire.releaseRequest(handles);
        const body = Buffer.from(request.body);
        const instance = findInstance(maker);
        if (instance !== undefined) {
            limits.countRequest(instance);
        }
        const response = await exchanges.openExchange(connections, clock, {
            address: maker,
            method: "POST",
            path: request.path,
            headers: ["Host", maker, "Content-Type", "application/json", "Content-Length", String(body.length)],
            body,
            isNewConnection: false,
            answerTimeoutMs: ANSWER_TIMEOUT_MS,
            isHeld: () => holds.remainingMsAt(maker) > 0,
        });
        if (response.kind === "failed") {
            this.logFailure(maker, handles, response.reason, startedMs);
            return;
        }
        const holdMs = wire.readHold(response.status, response.headers);
        if (holdMs !== undefined) {
            holds.start(maker, instance, holdMs, "release");
        }
        if (instance !== undefined) {
            this.options.onAnswer(instance, response, startedMs);
        }
        if (response.status === 200) {
            this.releasedEmitter.fire(handles);
        }
        else {
            this.logFailure(maker, handles, `status ${response.status}`, startedMs);
        }
        await exchanges.readShortBody(response, MAX_RESPONSE_BYTES, clock);
    }

    private logFailure(maker: string, handles: readonly string[], reason: string, startedMs: number): void {
        this.options.log.warn({
            decision: "release-failed",
            maker,
            results: handles.length,
            reason,
            elapsedMs: Math.round(this.options.clock.now() - startedMs),
        }, "could not release results; they will expire on their own");
    }
}
