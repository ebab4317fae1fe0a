/**
 * Learns from the answers of upstream instances which of them name a limit for all entries together, and tells the
 * other entries.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as entryMessages from "../../common/EntryMessages";
import * as logs from "../../common/Log";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as entryPeers from "../peers/EntryPeers";
import * as gossips from "../peers/FactGossip";
import * as instanceLimits from "./InstanceLimits";

/** Interval at which new connections are told all limits, and one peer those of late. */
const TELL_INTERVAL_MS = 500;
/** Number of limits in a message to a peer picked at random. */
const MAX_RELAYED_SIGNS = 50;

/** What the exchange needs from its process. */
export interface LimitExchangeOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly random: () => number;
    readonly peers: Pick<entryPeers.EntryPeers, "knownPeers" | "onFrame">;
    readonly limits: instanceLimits.InstanceLimits;
    /** Whether this process sends to an incarnation. */
    readonly isInUse: (incarnation: string) => boolean;
}

/** Keeps the limits known to this process and to the others. */
export class LimitExchange implements clocks.Disposable {
    private readonly disposables = new emitters.DisposableStore();
    private readonly gossip: gossips.FactGossip<instanceLimits.LimitSign>;

    constructor(private readonly options: LimitExchangeOptions) {
        this.gossip = this.disposables.add(
            new gossips.FactGossip({
                ...options,
                intervalMs: TELL_INTERVAL_MS,
                isReader: connection => connection.remote.knowsLimits === true,
                list: withinMs => options.limits.list(withinMs),
                maxFacts: entryMessages.MAX_TOLD_LIMITS,
                maxRelayed: MAX_RELAYED_SIGNS,
                encode: signs => ({ kind: "instances-limited", signs: [...signs] }),
            }),
        );
        this.disposables.add(clocks.every(options.clock, TELL_INTERVAL_MS, () => this.forgetOld()));
        this.disposables.add(options.peers.onFrame(frame => this.handleFrame(frame)));
    }

    dispose(): void {
        this.disposables.dispose();
    }

    /** Records what an answer says about the limit of the instance that the request was sent to at `sentAtMs`. */
    observe(
        instance: routing.RoutedInstance,
        answer: routingPorts.UpstreamAnswerMetadata,
        sentAtMs: number,
    ): void {
        const sign = this.options.limits.readSign(instance, answer, sentAtMs);
        if (sign !== undefined && this.record(sign, undefined)) {
            this.gossip.tellAll([sign]);
        }
    }

    private record(sign: instanceLimits.LimitSign, peer: string | undefined): boolean {
        const isChange = this.options.limits.record(sign);
        if (isChange) {
            this.log(sign, peer === undefined ? { source: "answer" } : { source: "peer", peer });
        }
        return isChange;
    }

    private handleFrame({ message, peer }: entryPeers.PeerFrame): void {
        if (message.kind === "instances-limited") {
            message.signs.forEach(sign => this.record({ ...sign, perSecond: sign.perSecond }, peer.instance));
        }
    }

    private forgetOld(): void {
        const { limits, isInUse } = this.options;
        limits.forgetOld(isInUse).forEach(sign => this.log({ ...sign, perSecond: undefined }, { source: "age" }));
    }

    private log(sign: instanceLimits.LimitSign, source: Record<string, string>): void {
        const { instance, startedMs, perSecond } = sign;
        const fields = { instance, startedMs, perSecond, ageMs: Math.round(sign.ageMs), ...source };
        this.options.log.info(
            { decision: perSecond === undefined ? "limit-ended" : "instance-limited", ...fields },
            perSecond === undefined
                ? "instance names no limit any more"
                : "instance named a limit for all entries together; this one keeps to its share",
        );
    }
}
