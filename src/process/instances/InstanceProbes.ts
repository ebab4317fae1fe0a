/**
 * Asks doubtful instances for their identity, so that no caller's call has to find out whether they are sound.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as routingPorts from "../../common/RoutingPorts";
import * as views from "../published/PublishedView";
import * as pools from "./InstancePool";
import * as questions from "./InstanceQuestion";

/** Interval between two turns, in each of which a few instances of each service are asked. */
const TURN_INTERVAL_MS = 200;

/** What the probes need from their process. */
export interface InstanceProbesOptions extends questions.QuestionContext {
    readonly log: logs.Log;
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
        const { clock, pool, view } = this.options;
        pool.limits.countRequest(instance);
        pool.trafficOf(instance).arrivals.add(clock.now());
        const path = view.table?.findService(instance.service)?.healthPath;
        const { signal } = this.stop;
        const answer = await questions.askInstance(this.options, instance, { path, isNewConnection: true, signal });
        return answer.kind === "answer" ? answer.metadata : undefined;
    }
}
