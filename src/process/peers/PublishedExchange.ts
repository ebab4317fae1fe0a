/**
 * Entries replicate the published store to each other, so that an entry that cannot reach the store stays current.
 * Each frame carries its sender's position, an era and a revision; an entry that is behind requests the changes that it
 * lacks. A large content is stated by its parts, of which the receiver fetches those that it lacks, so that a change costs
 * about its own size.
 */
import * as clocks from "../../common/Clock";
import * as contentParts from "../../common/ContentParts";
import * as emitters from "../../common/Emitter";
import * as entryMessages from "../../common/EntryMessages";
import * as logs from "../../common/Log";
import * as messages from "../../common/Messages";
import * as positions from "../../common/Position";
import * as routing from "../../common/Routing";
import * as publishedKeys from "../published/PublishedKeys";
import * as views from "../published/PublishedView";
import * as peers from "./EntryPeers";
import * as partIndexes from "./PartIndex";
import * as peerEntries from "./PeerEntry";
import * as updateAssemblies from "./UpdateAssembly";
import * as updateSources from "./UpdateSource";
import * as updateTransfers from "./UpdateTransfer";

/** Time between two comparisons with the peers, usually enough for this process's own watch to catch up. */
const COMPARE_INTERVAL_MS = 250;
/** Delay of deletions received from peers, since instances that expired during a store outage register again. */
const DELETION_GRACE_MS = 1_000;

/** Largest content that is sent with its item. */
const MAX_INLINE_BYTES = 16 * 1024;

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
    /** The contents that were stated by their parts, and those of this process that are like them. */
    private readonly index = new partIndexes.PartIndex();
    private readonly transfer: updateTransfers.UpdateTransfer;
    /** Number of updates applied from peers. */
    appliedUpdates = 0;

    constructor(private readonly options: PublishedExchangeOptions) {
        this.transfer = new updateTransfers.UpdateTransfer({
            ...options,
            index: this.index,
            apply: (update, source) => this.apply(update, source),
            refetch: peer => this.fetchFrom(peer),
        });
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
        if (positions.isAfter(this.awaitedPosition, view.position) && !this.isAnswerArriving(livePeers)) {
            this.request(updateSources.chooseUpdateSources(livePeers, view.position, this.unanswered, random));
        }
        this.transfer.check();
        this.awaitedPosition = livePeers.map(peer => peer.position).reduce(positions.latest, positions.START);
    }

    /** Whether a peer that was asked is sending a large message, which takes its time on a thin link. */
    private isAnswerArriving(livePeers: readonly peerEntries.PeerEntry[]): boolean {
        return livePeers.some(({ instance, connection }) =>
            this.unanswered.has(instance) && (connection?.partialFrameBytes ?? 0) > 0
        );
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
            this.fetchFrom(peer);
        }
    }

    private fetchFrom(peer: peerEntries.PeerEntry): void {
        const { view, peers: mesh } = this.options;
        mesh.send(peer, { kind: "published-fetch", ...view.position, acceptsParts: true });
    }

    private handleFrame(frame: peers.PeerFrame): void {
        const { message, connection, peer } = frame;
        if (message.kind === "published-fetch") {
            connection.send(this.buildUpdate(message));
        }
        else if (message.kind === "parts-fetch") {
            connection.send(this.buildParts(message));
        }
        else if (message.kind === "published-update") {
            this.handleUpdate(peer, message);
        }
        else if (message.kind === "parts") {
            this.transfer.receive(peer, message);
        }
    }

    private buildUpdate(message: entryMessages.PublishedFetch): messages.Message {
        const update = this.options.view.updateSince(message);
        const items = update.items.map(item => this.encodeItem(item, message.acceptsParts));
        return { kind: "published-update", ...update, items };
    }

    private encodeItem(
        { key, era, revision, content }: routing.PublishedItem,
        acceptsParts: boolean,
    ): entryMessages.PublishedUpdate["items"][number] {
        if (content === undefined || content.length <= MAX_INLINE_BYTES || !acceptsParts) {
            return { key, era, revision, content: content && new Uint8Array(content) };
        }
        return {
            key,
            era,
            revision,
            parts: contentParts.encodeReferences(this.index.add(key, content)),
        };
    }

    private buildParts({ request, parts }: entryMessages.PartsFetch): messages.Message {
        const references = contentParts.decodeReferences(parts) ?? [];
        const digests = new Set(references.slice(0, entryMessages.MAX_SENT_PARTS).map(({ digest }) => digest));
        const contents = [...digests].flatMap(digest => this.index.find(digest) ?? []);
        return { kind: "parts", request, contents: contents.map(content => new Uint8Array(content)) };
    }

    private handleUpdate(peer: peerEntries.PeerEntry, message: entryMessages.PublishedUpdate): void {
        this.unanswered.delete(peer.instance);
        if (!positions.isAfter(message, this.options.view.position)) {
            return;
        }
        if (message.items.some(item => item.parts !== undefined)) {
            this.transfer.start(peer, message);
            return;
        }
        const { items, isWhole, backupRevision } = message;
        const published = items.map(updateAssemblies.toItem);
        const position = positions.positionOf(message);
        this.apply({ items: published, ...position, isWhole, backupRevision }, peer.instance);
    }

    private apply(update: publishedKeys.PublishedUpdate, source: string): void {
        this.appliedUpdates++;
        const { era: fromEra, revision: from } = this.options.view.position;
        const fields = { fromEra, from, ...positions.positionOf(update), items: update.items.length };
        this.options.log.info({ decision: "peer-update", peer: source, ...fields }, "applying an update from a peer");
        this.options.view.apply(update, source, DELETION_GRACE_MS);
    }
}
