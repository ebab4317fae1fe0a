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
const GATHER_MS = 5;
const CALL_TIMEOUT_MS = 2_000;
const MAX_ANSWER_BYTES = 64 * 1024;

/** What releasing needs from its process. */
export interface ResultReleaseOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly wire: routingPorts.StageWire;
    readonly connections: upstreamConnections.UpstreamConnections;
}

/** Gathers handles and gives them back. A call that fails isn't repeated: results lapse by themselves. */
export class ResultRelease implements clocks.Disposable {
    private readonly byMaker = new Map<string, string[]>();
    private timer: clocks.Disposable | undefined;
    private readonly freedEmitter = new emitters.Emitter<readonly string[]>();
    /** Fires with handles that their maker has taken back. */
    readonly onFreed = this.freedEmitter.event;

    constructor(private readonly options: ResultReleaseOptions) {}

    /** Takes handles that nothing needs any more. */
    add(handles: readonly string[]): void {
        for (const handle of handles) {
            const maker = this.options.wire.makerOf(handle);
            const gathered = this.byMaker.get(maker) ?? [];
            gathered.push(handle);
            this.byMaker.set(maker, gathered);
        }
        if (handles.length > 0) {
            this.timer ??= this.options.clock.schedule(GATHER_MS, () => this.flush());
        }
    }

    dispose(): void {
        this.timer?.dispose();
        this.freedEmitter.dispose();
    }

    private flush(): void {
        this.timer = undefined;
        const makers = [...this.byMaker];
        this.byMaker.clear();
        makers.forEach(([maker, handles]) => void this.free(maker, handles));
    }

    private async free(maker: string, handles: readonly string[]): Promise<void> {
        const startedMs = this.options.clock.now();
        const request = this.options.wire.freeRequest(handles);
        const body = Buffer.from(request.body);
        const answer = await exchanges.openExchange(this.options.connections, this.options.clock, {
            address: maker,
            method: "POST",
            path: request.path,
            headers: ["Host", maker, "Content-Type", "application/json", "Content-Length", String(body.length)],
            body,
            isNewConnection: false,
            answerTimeoutMs: CALL_TIMEOUT_MS,
        });
        const isDone = answer.kind === "answer" && answer.status === 200;
        if (isDone) {
            this.freedEmitter.fire(handles);
        }
        else {
            this.options.log.warn({
                decision: "release-failed",
                maker,
                results: handles.length,
                reason: answer.kind === "failed" ? answer.reason : `status ${answer.status}`,
                elapsedMs: Math.round(this.options.clock.now() - startedMs),
            }, "results weren't given back; they lapse by themselves");
        }
        if (answer.kind === "answer") {
            await exchanges.readBody(answer, MAX_ANSWER_BYTES);
        }
    }
}
