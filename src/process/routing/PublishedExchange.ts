/**
 * Entries pass on to each other what they know of the published store, so that one that is kept from the store
 * stays current. Each frame names its sender's revision; who is behind asks for what it lacks.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as peers from "./EntryPeers";
import * as views from "./PublishedView";

/** Time between two comparisons; within it the own watch usually brings what a peer has already. */
const COMPARE_INTERVAL_MS = 250;
/** Deletions that peers tell of wait this long, since entries that lapsed with the store away come back. */
const DELETION_GRACE_MS = 1_000;

/** What the exchange needs from its process. */
export interface PublishedExchangeOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly view: views.PublishedView;
    readonly peers: peers.EntryPeers;
}

/** Keeps the view of this process from falling behind its peers. */
export class PublishedExchange implements clocks.Disposable {
    private readonly disposables = new emitters.DisposableStore();
    /** Revision seen at the last comparison; one that is still behind it asks. */
    private awaitedRevision = 0;
    /** Updates taken from peers. */
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
        let mostCurrent: peers.PeerEntry | undefined;
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
            }, "caught up with a peer");
            this.options.view.apply(
                { items: items.map(item => ({ ...item, content: item.content })), revision, isWhole },
                peer.instance,
                DELETION_GRACE_MS,
            );
        }
    }
}
