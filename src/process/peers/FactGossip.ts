/**
 * Spreads facts about instances among the entries. What is new is told to all connected entries at once; all facts are
 * told on each new connection, and the recent ones to an entry picked at random, for entries that aren't connected to
 * the one that learnt them. Facts carry their age and are joined by the receiver, so that repetition and order don't
 * matter.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as messages from "../../common/Messages";
import * as peerConnections from "../../connection/PeerConnection";
import * as entryPeers from "./EntryPeers";
import * as newConnections from "./NewConnections";

/** Facts are passed on to entries picked at random for this long after they were learnt. */
const RELAY_MS = 10_000;

/** What the gossip of one kind of facts needs. */
export interface FactGossipOptions<Fact> {
    readonly clock: clocks.Clock;
    readonly random: () => number;
    readonly peers: Pick<entryPeers.EntryPeers, "knownPeers">;
    /** Interval at which new connections are told all facts, and one entry the recent ones. */
    readonly intervalMs: number;
    /** Whether the entry at the other end reads these facts; one that doesn't would disconnect. */
    readonly isReader: (connection: peerConnections.PeerConnection) => boolean;
    /** The facts that this process learnt at most `withinMs` ago, as they are told now. */
    readonly list: (withinMs: number) => readonly Fact[];
    /** Number of facts in a message. */
    readonly maxFacts: number;
    /** Number of facts that are passed on at a time to an entry picked at random. */
    readonly maxRelayed: number;
    readonly encode: (facts: readonly Fact[]) => messages.Message;
}

/** Tells the other entries one kind of facts. */
export class FactGossip<Fact> implements clocks.Disposable {
    private readonly newConnections = new newConnections.NewConnections();
    private readonly disposables = new emitters.DisposableStore();

    constructor(private readonly options: FactGossipOptions<Fact>) {
        this.disposables.add(clocks.every(options.clock, options.intervalMs, () => this.tellRegularly()));
    }

    /** The connections to entries that read these facts. */
    get connections(): peerConnections.PeerConnection[] {
        return this.options.peers.knownPeers.flatMap(({ connection }) =>
            connection !== undefined && this.options.isReader(connection) ? connection : []
        );
    }

    /** Tells all connected entries facts that are new. */
    tellAll(facts: readonly Fact[]): void {
        this.connections.forEach(connection => this.tell(connection, facts));
    }

    dispose(): void {
        this.disposables.dispose();
    }

    private tellRegularly(): void {
        const { connections } = this;
        const { list, maxRelayed, random } = this.options;
        const added = this.newConnections.take(connections);
        if (added.length > 0) {
            const all = list(Infinity);
            added.forEach(connection => this.tell(connection, all));
        }
        const picked = connections[Math.floor(random() * connections.length)];
        if (picked !== undefined) {
            this.tell(picked, list(RELAY_MS).slice(0, maxRelayed));
        }
    }

    private tell(connection: peerConnections.PeerConnection, facts: readonly Fact[]): void {
        const { encode, maxFacts } = this.options;
        for (let first = 0; first < facts.length; first += maxFacts) {
            connection.send(encode(facts.slice(first, first + maxFacts)));
        }
    }
}
