/**
 * Learns from the answers of upstream instances which of them are leaving, and tells the other entries. An entry that
 * an instance told tells all others at once; one that was cut off then learns it from any entry that it reaches.
 */
import * as http from "node:http";
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as entryMessages from "../../common/EntryMessages";
import * as logs from "../../common/Log";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as peerConnections from "../../connection/PeerConnection";
import * as entryPeers from "../peers/EntryPeers";
import * as newConnections from "../peers/NewConnections";
import * as leavingInstances from "./LeavingInstances";

/** Interval at which new connections are told all signs, and one peer the recent ones. */
const TELL_INTERVAL_MS = 500;
/** Signs are passed on to peers picked at random for this long, in case that not all entries are connected. */
const RELAY_MS = 10_000;
/** Number of signs in a message to a peer picked at random. */
const MAX_RELAYED_SIGNS = 50;

/** Where an instance stated that it is leaving: in an answer to this entry, or to another one. */
export type SignSource = "call" | "stage-call" | "release" | { readonly peer: string };

/** What the exchange needs from its process. */
export interface LeavingExchangeOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly random: () => number;
    readonly wire: Pick<routingPorts.RoutedCallWire, "readAnswer">;
    readonly peers: Pick<entryPeers.EntryPeers, "knownPeers" | "onFrame">;
    readonly leaving: leavingInstances.LeavingInstances;
}

/** Keeps the leaving instances known to this process and to the others. */
export class LeavingExchange implements clocks.Disposable {
    private readonly disposables = new emitters.DisposableStore();
    private readonly newConnections = new newConnections.NewConnections();

    constructor(private readonly options: LeavingExchangeOptions) {
        this.disposables.add(clocks.every(options.clock, TELL_INTERVAL_MS, () => this.handleTimer()));
        this.disposables.add(options.peers.onFrame(frame => this.handleFrame(frame)));
    }

    dispose(): void {
        this.disposables.dispose();
    }

    /** Reads from the head of an answer whether the instance that the request was sent to is leaving. */
    observeHead(
        instance: routing.RoutedInstance,
        answer: { readonly status: number; readonly headers: http.IncomingHttpHeaders },
        source: SignSource,
    ): void {
        this.observe(instance, this.options.wire.readAnswer(answer.status, answer.headers), source);
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
            this.connectedPeers.forEach(peer => peer.connection?.send({ kind: "instances-leaving", signs: [sign] }));
        }
    }

    private get connectedPeers(): entryPeers.EntryPeers["knownPeers"] {
        return this.options.peers.knownPeers.filter(peer => peer.connection !== undefined);
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

    private handleTimer(): void {
        for (const { id, startedMs } of this.options.leaving.takeExpired()) {
            this.options.log.info(
                { decision: "leaving-expired", instance: id, startedMs },
                "instance said long ago that it was leaving; it may get new work again",
            );
        }
        this.tellRegularly();
    }

    /** Tells all signs on new connections, and the recent ones to one peer picked at random. */
    private tellRegularly(): void {
        const peers = this.connectedPeers;
        for (const connection of this.newConnections.take(peers.flatMap(peer => peer.connection ?? []))) {
            this.tell(connection, this.options.leaving.signs());
        }
        const recent = this.options.leaving.signs(RELAY_MS).slice(0, MAX_RELAYED_SIGNS);
        const picked = peers[Math.floor(this.options.random() * peers.length)];
        this.tell(picked?.connection, recent);
    }

    private tell(
        connection: peerConnections.PeerConnection | undefined,
        signs: readonly leavingInstances.LeavingSign[],
    ): void {
        for (let first = 0; first < signs.length; first += entryMessages.MAX_LEAVING_SIGNS) {
            const part = signs.slice(first, first + entryMessages.MAX_LEAVING_SIGNS);
            connection?.send({ kind: "instances-leaving", signs: part });
        }
    }
}
