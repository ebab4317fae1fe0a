/**
 * Asks doubtful instances for their identity, so that no caller's call has to find out whether they are sound.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as routingPorts from "../../common/RoutingPorts";
import * as upstreamConnections from "../../connection/UpstreamConnections";
import * as exchanges from "../../connection/UpstreamExchange";
import * as views from "../published/PublishedView";
import * as pools from "./InstancePool";

/** Interval between two turns, in each of which a few instances of each service are asked. */
const TURN_INTERVAL_MS = 200;
/** Time limit for the answer, including the connection. */
const PROBE_TIMEOUT_MS = 400;
const MAX_ANSWER_BYTES = 64 * 1024;

/** What the probes need from their process. */
export interface InstanceProbesOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly wire: Pick<routingPorts.RoutedCallWire, "stateRequest" | "readAnswer">;
    readonly connections: upstreamConnections.UpstreamConnections;
    readonly view: Pick<views.PublishedView, "table">;
    readonly pool: Pick<pools.InstancePool, "proofs" | "mayProbe" | "limits" | "trafficOf">;
}

/** Sends the probes of one process. */
export class InstanceProbes implements clocks.Disposable {
    private readonly disposables = new emitters.DisposableStore();
    private readonly stop = clocks.createStop();

    constructor(private readonly options: InstanceProbesOptions) {
        this.disposables.add(clocks.every(options.clock, TURN_INTERVAL_MS, () => this.probeAll()));
        this.disposables.add({ dispose: () => this.stop.abort() });
    }

    dispose(): void {
        this.disposables.dispose();
    }

    private probeAll(): void {
        const { pool } = this.options;
        pool.proofs.takeProbes(instance => pool.mayProbe(instance)).forEach(instance => void this.probe(instance));
    }

    private async probe(instance: views.KnownInstance): Promise<void> {
        const { log, pool: { proofs } } = this.options;
        const answer = await this.ask(instance);
        const isOther = answer?.effect === "other-instance";
        if (answer !== undefined && (isOther || answer.instance !== undefined)) {
            proofs.recordAnswer(instance, answer);
        }
        else {
            proofs.recordFailure(instance); // An answer without an id proves nothing.
        }
        log.info({
            decision: "identity-probe",
            instance: instance.id,
            startedMs: instance.startedMs,
            address: instance.address,
            isDoubtful: proofs.isDoubtful(instance),
            hasAnswer: answer !== undefined,
            isOther,
            answeredAs: answer?.instance,
        }, "doubtful instance asked for its identity");
    }

    /** Resolves to what the answer says of the instance; undefined without a complete answer. */
    private async ask(instance: views.KnownInstance): Promise<routingPorts.UpstreamAnswerMetadata | undefined> {
        const { clock, connections, pool, view, wire } = this.options;
        pool.limits.countRequest(instance);
        pool.trafficOf(instance).arrivals.add(clock.now());
        const state = wire.stateRequest(instance.id);
        const exchange = await exchanges.openExchange(connections, clock, {
            address: instance.address,
            method: "GET",
            path: view.table?.findService(instance.service)?.healthPath ?? state.path,
            headers: ["Host", instance.address, ...state.headers],
            body: undefined,
            isNewConnection: true,
            answerTimeoutMs: PROBE_TIMEOUT_MS,
        }, this.stop.signal);
        if (exchange.kind === "failed") {
            return undefined;
        }
        const timer = clock.schedule(PROBE_TIMEOUT_MS, exchange.cancel);
        const body = await exchanges.readBody(exchange, MAX_ANSWER_BYTES);
        timer.dispose();
        return body && wire.readAnswer(exchange.status, exchange.headers);
    }
}
