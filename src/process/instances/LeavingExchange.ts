/**
 * Learns from the answers of upstream instances which of them are leaving, and tells the other entries. An entry that
 * an instance told tells all others at once; one that was cut off then learns it from any entry that it reaches.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as entryMessages from "../../common/EntryMessages";
import * as logs from "../../common/Log";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as entryPeers from "../peers/EntryPeers";
import * as gossips from "../peers/FactGossip";
import * as leavingInstances from "./LeavingInstances";

/** Interval at which new connections are told all signs, and one peer the recent ones. */
const TELL_INTERVAL_MS = 500;
/** Number of signs in a message to a peer picked at random. */
const MAX_RELAYED_SIGNS = 50;

/** Where an instance stated that it is leaving: in an answer to this entry, or to another one. */
export type SignSource = "call" | "stage-call" | "release" | { readonly peer: string };

/** What the exchange needs from its process. */
export interface LeavingExchangeOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly random: () => number;
    readonly peers: Pick<entryPeers.EntryPeers, "knownPeers" | "onFrame">;
    readonly leaving: leavingInstances.LeavingInstances;
}

/** Keeps the leaving instances known to this process and to the others. */
export class LeavingExchange implements clocks.Disposable {
    private readonly disposables = new emitters.DisposableStore();
    private readonly gossip: gossips.FactGossip<leavingInstances.LeavingSign>;

    constructor(private readonly options: LeavingExchangeOptions) {
        this.gossip = this.disposables.add(
            new gossips.FactGossip({
                ...options,
                intervalMs: TELL_INTERVAL_MS,
                isReader: () => true,
                list: withinMs => options.leaving.signs(withinMs),
                maxFacts: entryMessages.MAX_LEAVING_SIGNS,
                maxRelayed: MAX_RELAYED_SIGNS,
                encode: signs => ({ kind: "instances-leaving", signs: [...signs] }),
            }),
        );
        this.disposables.add(clocks.every(options.clock, TELL_INTERVAL_MS, () => this.logExpired()));
        this.disposables.add(options.peers.onFrame(frame => this.handleFrame(frame)));
    }

    dispose(): void {
        this.disposables.dispose();
    }

    /** Records whether the instance that a request was sent to is leaving. */
    observe(
        instance: routing.RoutedInstance,
        answer: routingPorts.UpstreamAnswerMetadata,
        source: SignSource,
    ): void {
        if (!leavingInstances.saysLeaving(instance, answer)) {
            return;
        }
        const sign = { instance: instance.id, startedMs: instance.startedMs, ageMs: 0 };
        if (this.record(sign, source)) {
            this.gossip.tellAll([sign]);
        }
    }

    private record(sign: leavingInstances.LeavingSign, source: SignSource): boolean {
        const isNew = this.options.leaving.record(sign);
        if (isNew) {
            this.options.log.info({
                decision: "instance-leaving",
                instance: sign.instance,
                startedMs: sign.startedMs,
                ageMs: Math.round(sign.ageMs),
                ...(typeof source === "string" ? { source } : { source: "peer", peer: source.peer }),
            }, "instance says that it is leaving; it gets no new work");
        }
        return isNew;
    }

    private handleFrame({ message, peer }: entryPeers.PeerFrame): void {
        if (message.kind === "instances-leaving") {
            message.signs.forEach(sign => this.record(sign, { peer: peer.instance }));
        }
    }

    private logExpired(): void {
        for (const { id, startedMs } of this.options.leaving.takeExpired()) {
            this.options.log.info(
                { decision: "leaving-expired", instance: id, startedMs },
                "instance said long ago that it was leaving; it may get new work again",
            );
        }
    }
}
