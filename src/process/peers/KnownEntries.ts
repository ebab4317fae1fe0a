/**
 * The other entries that a process knows, connected or not: from their own hello, or from the lists of others. All
 * entries know the same ones soon, and forget the same ones, since lists state for how long each has been silent.
 */
import * as clocks from "../../common/Clock";
import * as entryMessages from "../../common/EntryMessages";
import * as logs from "../../common/Log";
import * as peerEntries from "./PeerEntry";

/** An unconnected entry is removed after this long without a message. */
const FORGET_AFTER_MS = 60_000;
/** Nothing is forgotten while a smaller share of the known entries is connected. */
const MIN_CONNECTED_SHARE = 0.5;
/** Entries that are only listed, none of which was ever connected; further ones wait for a later list. */
const MAX_UNMET_ENTRIES = 1_000;

/** What the known entries need from their process. */
export interface KnownEntriesOptions extends peerEntries.Identity {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
}

/** Keeps the other entries by name. */
export class KnownEntries {
    private readonly byInstance = new Map<string, peerEntries.PeerEntry>();
    private readonly byAddress = new Map<string, readonly peerEntries.PeerEntry[]>();
    private isListComplete = false;
    /** Number of entries that were added or removed since the start. */
    private changes = 0;

    constructor(private readonly options: KnownEntriesOptions) {}

    /** All other known entries, live or not. */
    get all(): readonly peerEntries.PeerEntry[] {
        return [...this.byInstance.values()];
    }

    get size(): number {
        return this.byInstance.size;
    }

    /** Changes with the entries that are listed for others. */
    get listVersion(): string {
        return `${this.changes} ${this.met.length}`;
    }

    /** The entries at an address: several if one has taken the place of another. */
    at(address: string): readonly peerEntries.PeerEntry[] {
        return this.byAddress.get(address) ?? [];
    }

    /** Names of all known entries, live or not, including this one. */
    get names(): string[] {
        return [this.options.instance, ...this.byInstance.keys()];
    }

    /** Whether an entry that knows all others has listed them. */
    get hasCompleteList(): boolean {
        return this.isListComplete;
    }

    /** Finds or creates a peer. An entry with a new address gets a new peer. */
    obtain(instance: string, address: string, failureDomain: string): peerEntries.PeerEntry {
        const found = this.byInstance.get(instance);
        if (found !== undefined && found.address === address) {
            return found;
        }
        if (found !== undefined) {
            this.remove(found);
        }
        const peer = peerEntries.createPeerEntry(instance, address, failureDomain, this.options.clock.now());
        this.byInstance.set(instance, peer);
        this.byAddress.set(address, [...this.at(address), peer]);
        this.changes++;
        return peer;
    }

    /** Adds the entries that another one lists; returns whether any is new. */
    addListed({ entries, isComplete }: entryMessages.Entries): boolean {
        const room = MAX_UNMET_ENTRIES - (this.size - this.met.length);
        const added = entries.filter(({ instance, silentMs }) =>
            silentMs <= FORGET_AFTER_MS && instance !== this.options.instance && !this.byInstance.has(instance)
        ).slice(0, Math.max(0, room));
        for (const { instance, address, failureDomain, silentMs } of added) {
            this.obtain(instance, address, failureDomain).lastHeardMs -= silentMs;
        }
        this.isListComplete ||= isComplete;
        return added.length > 0;
    }

    /** The list for others, of those that were connected to this process; `isComplete` if it knows all. */
    buildList(isComplete: boolean): entryMessages.Entries {
        return peerEntries.buildEntryList(this.options, this.met, this.options.clock.now(), isComplete);
    }

    /**
     * Removes entries that have been silent for long. Those that were connected before stay while this process is cut off:
     * then they exist all the same.
     */
    forgetSilent(): void {
        const { clock, log } = this.options;
        const { met } = this;
        const connected = met.filter(peer => peer.connection !== undefined);
        const isCutOff = connected.length < MIN_CONNECTED_SHARE * met.length;
        for (const peer of this.all) {
            const isSilent = peer.connection === undefined && clock.now() - peer.lastHeardMs > FORGET_AFTER_MS;
            if (isSilent && !(isCutOff && peerEntries.wasConnected(peer))) {
                this.remove(peer);
                log.info({ decision: "entry-forgotten", peer: peer.instance }, "unreachable entry removed");
            }
        }
    }

    /** The entries that are or were connected to this process. */
    private get met(): peerEntries.PeerEntry[] {
        return this.all.filter(peer => peerEntries.wasConnected(peer));
    }

    private remove(peer: peerEntries.PeerEntry): void {
        this.changes++;
        this.byInstance.delete(peer.instance);
        const others = this.at(peer.address).filter(other => other !== peer);
        if (others.length === 0) {
            this.byAddress.delete(peer.address);
        }
        else {
            this.byAddress.set(peer.address, others);
        }
    }
}
