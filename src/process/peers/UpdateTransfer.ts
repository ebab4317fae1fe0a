/**
 * Fetches the parts of an update's large contents from the other entries, and applies the update once it has all.
 */
import * as clocks from "../../common/Clock";
import * as contentParts from "../../common/ContentParts";
import * as entryMessages from "../../common/EntryMessages";
import * as logs from "../../common/Log";
import * as positions from "../../common/Position";
import * as publishedKeys from "../published/PublishedKeys";
import * as views from "../published/PublishedView";
import * as peers from "./EntryPeers";
import * as partCollectors from "./PartCollector";
import * as partIndexes from "./PartIndex";
import * as peerEntries from "./PeerEntry";
import * as updateAssemblies from "./UpdateAssembly";

/** What the transfer needs from its exchange. */
export interface UpdateTransferOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly random: () => number;
    readonly view: views.PublishedView;
    readonly peers: Pick<peers.EntryPeers, "livePeers" | "send">;
    readonly index: partIndexes.PartIndex;
    readonly apply: (update: publishedKeys.PublishedUpdate, source: string) => void;
    /** Requests the update again from a peer that no longer has its parts. */
    readonly refetch: (peer: peerEntries.PeerEntry) => void;
}

interface PendingUpdate {
    readonly assembly: updateAssemblies.UpdateAssembly;
    source: peerEntries.PeerEntry;
    readonly startedAtMs: number;
}

/** The update whose parts are being fetched, if any. */
export class UpdateTransfer {
    private pending: PendingUpdate | undefined;
    private readonly collector = new partCollectors.PartCollector();
    private readonly sentRequests = new Map<number, number>();
    private nextRequest = 0;
    /** The peer from which parts were last requested. */
    private askedInstance: string | undefined;

    constructor(private readonly options: UpdateTransferOptions) {}

    /** Takes up an update that states contents by their parts; it replaces an earlier one that is under way. */
    start(source: peerEntries.PeerEntry, message: entryMessages.PublishedUpdate): void {
        const assembly = updateAssemblies.UpdateAssembly.create(message);
        if (assembly === undefined) {
            const fields = { decision: "update-malformed", peer: source.instance, ...positions.positionOf(message) };
            this.options.log.warn(fields, "references to parts can't be read");
            return;
        }
        const { view } = this.options;
        const isContinuation = !assembly.isWhole && view.position.revision > 0;
        if (isContinuation && assembly.position.era === view.position.era) {
            // These don't wait for the parts; the view isn't complete up to the update's position yet.
            this.options.apply({ items: assembly.inlineItems, ...view.position, isWhole: false }, source.instance);
        }
        this.indexOwnContents(assembly.keysInParts);
        const startedAtMs = this.pending?.startedAtMs ?? this.options.clock.now();
        this.pending = { assembly, source, startedAtMs };
        this.collector.want(assembly.listMissing(digest => this.findPart(digest)));
        this.proceed();
    }

    /** Handles the answer to a request for parts. */
    receive(source: peerEntries.PeerEntry, message: entryMessages.Parts): void {
        const requestedParts = this.sentRequests.get(message.request);
        this.sentRequests.delete(message.request);
        if (this.pending === undefined) {
            return;
        }
        this.collector.receive(message.contents, this.options.clock.now());
        if (requestedParts !== undefined && message.contents.length < requestedParts) {
            this.collector.giveUpRequests();
            this.options.refetch(source);
        }
        else {
            this.proceed();
        }
    }

    /** Drops an update that is no longer needed, and asks another peer if the current one is silent. */
    check(): void {
        if (this.pending === undefined) {
            return;
        }
        if (!positions.isAfter(this.pending.assembly.position, this.options.view.position)) {
            this.end();
            return;
        }
        if (this.collector.isSilent(this.options.clock.now())) {
            this.leaveSilentSource(this.pending);
        }
        this.proceed();
    }

    private proceed(): void {
        const { pending } = this;
        if (pending === undefined) {
            return;
        }
        if (this.collector.isComplete) {
            this.complete(pending);
            return;
        }
        for (const group of this.collector.takeRequests(this.options.clock.now())) {
            this.askedInstance = pending.source.instance;
            const request = this.nextRequest++;
            this.sentRequests.set(request, group.length);
            const parts = contentParts.encodeReferences(group);
            this.options.peers.send(pending.source, { kind: "parts-fetch", request, parts });
        }
    }

    private complete({ assembly, source, startedAtMs }: PendingUpdate): void {
        const update = assembly.assemble(digest => this.findPart(digest));
        const fetchedBytes = this.collector.receivedBytes;
        const elapsedMs = Math.round(this.options.clock.now() - startedAtMs);
        this.end();
        this.options.log.info(
            { decision: "parts-fetched", peer: source.instance, ...assembly.position, fetchedBytes, elapsedMs },
            "all parts of an update have arrived",
        );
        this.options.apply(update, source.instance);
    }

    private leaveSilentSource(pending: PendingUpdate): void {
        this.collector.giveUpRequests();
        this.sentRequests.clear();
        const { position } = pending.assembly;
        const silent = this.askedInstance;
        if (pending.source.instance === silent) {
            pending.source = this.chooseOther(pending.source, position);
        }
        this.options.log.info(
            { decision: "parts-unanswered", peer: silent, asked: pending.source.instance, ...position },
            "a peer hasn't sent the parts of an update; asking again",
        );
    }

    /** Another peer that has the update; the same one if there is none. */
    private chooseOther(source: peerEntries.PeerEntry, position: positions.Position): peerEntries.PeerEntry {
        const others = this.options.peers.livePeers
            .filter(peer => peer.instance !== source.instance && !positions.isAfter(position, peer.position));
        return others[Math.floor(this.options.random() * others.length)] ?? source;
    }

    private indexOwnContents(keys: readonly string[]): void {
        for (const key of keys) {
            const content = this.options.view.findContent(key);
            if (content !== undefined) {
                this.options.index.add(key, content);
            }
        }
    }

    private findPart(digest: string): Uint8Array | undefined {
        return this.collector.find(digest) ?? this.options.index.find(digest);
    }

    private end(): void {
        this.pending = undefined;
        this.collector.clear();
        this.sentRequests.clear();
    }
}
