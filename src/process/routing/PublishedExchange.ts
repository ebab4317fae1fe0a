/**
 * Entries replicate the published store to each other, so that an entry that cannot reach the store stays current.
 * Each frame carries its sender's position, an era and a revision; an entry that is behind requests the changes that it
 * lacks.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as positions from "../../common/Position";
import * as peers from "./EntryPeers";
import * as peerEntries from "./PeerEntry";
import * as views from "./PublishedView";
import * as updateSources from "./UpdateSource";

/** Time between two comparisons with the peers, usually enough for this process's own watch to catch up. */
const COMPARE_INTERVAL_MS = 250;
/** Delay of deletions received from peers, since instances that expired during a store outage register again. */
const DELETION_GRACE_MS = 1_000;

/** The connections to the other entries, as far as the exchange uses them. */
export type ExchangePeers = Pick<peers.EntryPeers, "livePeers" | "send" | "onFrame">;

/** What the exchange needs from its process. */
export interface PublishedExchangeOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly random: () => number;
    readonly view: views.PublishedView;
    readonly peers: ExchangePeers;
}

/** Keeps the view of this process as current as that of its peers. */
export class PublishedExchange implements clocks.Disposable {
    private readonly disposables = new emitters.DisposableStore();
    /** Latest position of a peer at the last comparison; if the view is still behind it, an update is requested. */
    private awaitedPosition = positions.START;
    /** Position of the view at the last request for an update. */
    private askedAt = positions.START;
    /** The peers that were asked at that position and haven't answered. */
    private readonly unanswered = new Set<string>();
    private isUnansweredLogged = false;
    /** Number of updates applied from peers. */
    appliedUpdates = 0;

    constructor(private readonly options: PublishedExchangeOptions) {
        this.disposables.add(clocks.every(options.clock, COMPARE_INTERVAL_MS, () => this.comparePositions()));
        this.disposables.add(options.peers.onFrame(frame => this.handleFrame(frame)));
    }

    dispose(): void {
        this.disposables.dispose();
    }

    private comparePositions(): void {
        const { view, random } = this.options;
        const { livePeers } = this.options.peers;
        if (positions.compare(view.position, this.askedAt) !== 0) {
            this.unanswered.clear();
            this.isUnansweredLogged = false;
        }
        if (positions.isAfter(this.awaitedPosition, view.position)) {
            this.request(updateSources.chooseUpdateSources(livePeers, view.position, this.unanswered, random));
        }
        this.awaitedPosition = livePeers.map(peer => peer.position).reduce(positions.latest, positions.START);
    }

    private request(sources: readonly peerEntries.PeerEntry[]): void {
        const { view, log } = this.options;
        if (this.unanswered.size > 0 && sources.length > 0 && !this.isUnansweredLogged) {
            this.isUnansweredLogged = true; // One line for each position.
            const asked = sources.map(peer => peer.instance);
            const fields = { decision: "update-unanswered", ...view.position, peers: [...this.unanswered], asked };
            log.info(fields, "a peer hasn't answered the request for an update; asking again");
        }
        if (sources.some(peer => this.unanswered.has(peer.instance))) {
            this.unanswered.clear(); // All have been asked.
        }
        this.askedAt = view.position;
        for (const peer of sources) {
            this.unanswered.add(peer.instance);
            this.options.peers.send(peer, { kind: "published-fetch", ...view.position });
        }
    }

    private handleFrame(frame: peers.PeerFrame): void {
        const { message, connection, peer } = frame;
        if (message.kind === "published-fetch") {
            const update = this.options.view.updateSince(message);
            const items = update.items.map(item => ({
                ...item,
                content: item.content && new Uint8Array(item.content),
            }));
            connection.send({ kind: "published-update", ...update, items });
        }
        if (message.kind === "published-update" && positions.isAfter(message, this.options.view.position)) {
            this.appliedUpdates++;
            const { items, isWhole, backupRevision } = message;
            const position = positions.positionOf(message);
            const { era: fromEra, revision: from } = this.options.view.position;
            this.options.log.info(
                { decision: "peer-update", peer: peer.instance, fromEra, from, ...position, items: items.length },
                "applying an update from a peer",
            );
            this.options.view.apply(
                {
                    items: items.map(item => ({ ...item, content: item.content })),
                    ...position,
                    isWhole,
                    backupRevision,
                },
                peer.instance,
                DELETION_GRACE_MS,
            );
        }
    }
}
