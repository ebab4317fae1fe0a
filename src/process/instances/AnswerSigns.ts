/**
 * What instances say of themselves in their answers, whatever was asked: that they are leaving, and the limit that they
 * name; and how long their answers take. Each is kept by its own decision, and told to the other entries by its own
 * exchange.
 */
import * as http from "node:http";
import * as clocks from "../../common/Clock";
import * as logs from "../../common/Log";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as entryPeers from "../peers/EntryPeers";
import * as pools from "./InstancePool";
import * as leavingExchanges from "./LeavingExchange";
import * as leavingInstances from "./LeavingInstances";
import * as limitExchanges from "./LimitExchange";
import * as speedExchanges from "./SpeedExchange";

/** The head of an answer. */
export interface AnswerHead {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
}

/** What the signs need from their process. */
export interface AnswerSignsOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly random: () => number;
    readonly wire: Pick<routingPorts.RoutedCallWire, "readAnswer">;
    readonly peers: Pick<entryPeers.EntryPeers, "knownPeers" | "onFrame">;
    readonly leaving: leavingInstances.LeavingInstances;
    readonly pool: Pick<pools.InstancePool, "limits" | "isInUse" | "speeds" | "findSpeed" | "proofs">;
}

/** Reads the signs of all answers. */
export class AnswerSigns implements clocks.Disposable {
    private readonly leavingExchange: leavingExchanges.LeavingExchange;
    private readonly limitExchange: limitExchanges.LimitExchange;
    private readonly speedExchange: speedExchanges.SpeedExchange;

    constructor(private readonly options: AnswerSignsOptions) {
        const { pool } = options;
        this.leavingExchange = new leavingExchanges.LeavingExchange(options);
        this.limitExchange = new limitExchanges.LimitExchange({
            ...options,
            limits: pool.limits,
            isInUse: incarnation => pool.isInUse(incarnation),
        });
        this.speedExchange = new speedExchanges.SpeedExchange(options);
    }

    /** Reads the answer of an instance to a request that was sent to it at `sentAtMs`. */
    observe(
        instance: routing.RoutedInstance,
        answer: routingPorts.UpstreamAnswerMetadata,
        source: leavingExchanges.SignSource,
        sentAtMs: number,
    ): void {
        if (source !== "release") { // A release names no instance, so that its answer proves nothing.
            this.options.pool.proofs.recordAnswer(instance, answer);
        }
        this.leavingExchange.observe(instance, answer, source);
        this.limitExchange.observe(instance, answer, sentAtMs);
    }

    /** The same from the head of an answer. */
    observeHead(
        instance: routing.RoutedInstance,
        { status, headers }: AnswerHead,
        source: leavingExchanges.SignSource,
        sentAtMs: number,
    ): void {
        this.observe(instance, this.options.wire.readAnswer(status, headers), source, sentAtMs);
    }

    dispose(): void {
        this.speedExchange.dispose();
        this.limitExchange.dispose();
        this.leavingExchange.dispose();
    }
}
