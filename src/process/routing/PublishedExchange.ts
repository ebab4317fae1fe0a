/**
 * Entries replicate the published store to each other, so that an entry that cannot reach the store stays current.
 * Each frame carries its sender's revision; an entry that is behind requests the changes that it lacks.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as peers from "./EntryPeers";
import * as peerEntries from "./PeerEntry";
import * as views from "./PublishedView";

/** Time between two comparisons with the peers, usually enough for this process's own watch to catch up. */
const COMPARE_INTERVAL_MS = 250;
/** Delay of deletions received from peers, since instances that expired during a store outage register again. */
const DELETION_GRACE_MS = 1_000;

/** What the exchange needs from its process. */
export interface PublishedExchangeOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly view: views.PublishedView;
    readonly peers: peers.EntryPeers;
}

/** Keeps the view of this process as current as that of its peers. */
export class PublishedExchange implements clocks.Disposable {
    private readonly disposables = new emitters.DisposableStore();
    /** Highest peer revision at the last comparison; if the view is still behind it, an update is requested. */
    private awaitedRevision = 0;
    /** Number of updates applied from peers. */
    appliedUpdates = 0;

    constructor(private readonly options: PublishedExchangeOptions) {
        this.disposables.add(clocks.every(options.clock, COMPARE_INTERVAL_MS, () => this.compareRevisions()));
        this.disposables.add(options.peers.onFrame(frame => this.handleFrame(frame)));
    }

    dispose(): void {
        this.disposables.dispose();
    }

    private compareRevisions(): void {
        const { view } = this.options;
        let mostCurrent: peerEntries.PeerEntry | undefined;
        for (const peer of this.options.peers.livePeers) {
            if (peer.revision > view.revision && peer.revision > (mostCurrent?.revision ?? 0)) {
                mostCurrent = peer;
            }
        }
        if (mostCurrent !== undefined && this.awaitedRevision > view.revision) {
            this.options.peers.send(mostCurrent, { kind: "published-fetch", revision: view.revision });
        }
        this.awaitedRevision = mostCurrent?.revision ?? 0;
    }

    private handleFrame(frame: peers.PeerFrame): void {
        const { message, connection, peer } = frame;
        if (message.kind === "published-fetch") {
            const update = this.options.view.updateSince(message.revision);
            const items = update.items.map(item => ({
                ...item,
                content: item.content && new Uint8Array(item.content),
            }));
            connection.send({ kind: "published-update", ...update, items });
        }
        if (message.kind === "published-update" && message.revision > this.options.view.revision) {
            this.appliedUpdates++;
            const { revision, items, isWhole } = message;
            this.options.log.info({
                decision: "peer-update",
                peer: peer.instance,
                from: this.options.view.revision,
                revision,
                items: items.length,
            }, "applying an update from a peer");
            this.options.view.apply(
                { items: items.map(item => ({ ...item, content: item.content })), revision, isWhole },
                peer.instance,
                DELETION_GRACE_MS,
            );
        }
    }
}
