/**
 * Releases results of stages that are no longer needed, with one call per stage worker.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as upstreamConnections from "../../connection/UpstreamConnections";
import * as exchanges from "../../request/routed/UpstreamExchange";

/** Handles are collected for this time, so that one call releases many. */
const BATCH_DELAY_MS = 5;
const ANSWER_TIMEOUT_MS = 2_000;
const MAX_RESPONSE_BYTES = 64 * 1024;

/** Dependencies of the releaser. */
export interface ResultReleaserOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly wire: routingPorts.StageWire;
    readonly connections: upstreamConnections.UpstreamConnections;
    /** The instance listed at an address; undefined if there is none. */
    readonly findInstance: (address: string) => routing.RoutedInstance | undefined;
    /** Called with the head of each answer of a listed instance. */
    readonly onAnswer: (instance: routing.RoutedInstance, answer: exchanges.OpenAnswer) => void;
}

/** Collects handles and releases them. Failed calls aren't retried, since results expire on their own. */
export class ResultReleaser implements clocks.Disposable {
    private readonly handlesByWorker = new Map<string, string[]>();
    private timer: clocks.Disposable | undefined;
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
        this.releasedEmitter.dispose();
    }

    private flush(): void {
        this.timer = undefined;
        const pending = [...this.handlesByWorker];
        this.handlesByWorker.clear();
        pending.forEach(([worker, handles]) => void this.releaseFrom(worker, handles));
    }

    /** Releases results on the stage worker at the address `maker`. */
    private async releaseFrom(maker: string, handles: readonly string[]): Promise<void> {
        const startedMs = this.options.clock.now();
        const request = this.options.wire.releaseRequest(handles);
        const body = Buffer.from(request.body);
        const instance = this.options.findInstance(maker);
        const response = await exchanges.openExchange(this.options.connections, this.options.clock, {
            address: maker,
            method: "POST",
            path: request.path,
            headers: ["Host", maker, "Content-Type", "application/json", "Content-Length", String(body.length)],
            body,
            isNewConnection: false,
            answerTimeoutMs: ANSWER_TIMEOUT_MS,
        });
        const isReleased = response.kind === "answer" && response.status === 200;
        if (isReleased) {
            this.releasedEmitter.fire(handles);
        }
        else {
            this.options.log.warn({
                decision: "release-failed",
                maker,
                results: handles.length,
                reason: response.kind === "failed" ? response.reason : `status ${response.status}`,
                elapsedMs: Math.round(this.options.clock.now() - startedMs),
            }, "could not release results; they will expire on their own");
        }
        if (response.kind === "answer") {
            if (instance !== undefined) {
                this.options.onAnswer(instance, response);
            }
            await exchanges.readBody(response, MAX_RESPONSE_BYTES);
        }
    }
}
