/**
 * Gives back results of stages that nothing needs any more, one call for each maker.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as routingPorts from "../../common/RoutingPorts";
import * as upstreamConnections from "../../connection/UpstreamConnections";
import * as exchanges from "../../request/routed/UpstreamExchange";

/** Time in which handles of one maker gather. */
const BATCH_DELAY_MS = 5;
const CALL_TIMEOUT_MS = 2_000;
const MAX_RESPONSE_BYTES = 64 * 1024;

/** What releasing needs from its process. */
export interface ResultReleaserOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly wire: routingPorts.StageWire;
    readonly connections: upstreamConnections.UpstreamConnections;
}

/** Gathers handles and gives them back. A call that fails isn't repeated: results lapse by themselves. */
export class ResultReleaser implements clocks.Disposable {
    private readonly byWorker = new Map<string, string[]>();
    private timer: clocks.Disposable | undefined;
    private readonly releasedEmitter = new emitters.Emitter<readonly string[]>();
    /** Fires with handles that their maker has taken back. */
    readonly onReleased = this.releasedEmitter.event;

    constructor(private readonly options: ResultReleaserOptions) {}

    /** Takes handles that nothing needs any more. */
    add(handles: readonly string[]): void {
        for (const handle of handles) {
            const worker = this.options.wire.makerOf(handle);
            const pending = this.byWorker.get(worker) ?? [];
            pending.push(handle);
            this.byWorker.set(worker, pending);
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
        const pending = [...this.byWorker];
        this.byWorker.clear();
        pending.forEach(([worker, handles]) => void this.releaseFrom(worker, handles));
    }

    private async releaseFrom(maker: string, handles: readonly string[]): Promise<void> {
        const startedMs = this.options.clock.now();
        const request = this.options.wire.freeRequest(handles);
        const body = Buffer.from(request.body);
        const response = await exchanges.openExchange(this.options.connections, this.options.clock, {
            address: maker,
            method: "POST",
            path: request.path,
            headers: ["Host", maker, "Content-Type", "application/json", "Content-Length", String(body.length)],
            body,
            isFresh: false,
            answerTimeoutMs: CALL_TIMEOUT_MS,
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
            }, "results weren't given back; they lapse by themselves");
        }
        if (response.kind === "answer") {
            await exchanges.readBody(response, MAX_RESPONSE_BYTES);
        }
    }
}
