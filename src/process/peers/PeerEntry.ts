/**
 * What an entry knows about another one.
 */
import * as clocks from "../../common/Clock";
import * as entryMessages from "../../common/EntryMessages";
import * as messages from "../../common/Messages";
import * as positions from "../../common/Position";
import * as peerConnections from "../../connection/PeerConnection";

/** Time in which both entries may replace a silent connection; each keeps the other's new one. */
const BOTH_REPLACE_MS = 500;

/** Another entry. */
export interface PeerEntry {
    readonly instance: string;
    readonly address: string;
    readonly failureDomain: string;
    /** Incarnation of its process at the last connection; it gets the list of entries once. */
    incarnation: number | undefined;
    lastHeardMs: number;
    /** Interval of its presence messages, as it states. */
    presenceIntervalMs: number;
    isDraining: boolean;
    /** Start of its process, on this process's clock; undefined before its first presence message. */
    startedMs: number | undefined;
    /** Since when it has been a stage host, on this process's clock; undefined when it isn't. */
    hostingSinceMs: number | undefined;
    /** The group of stage workers that it hosts; undefined for the first one. */
    hostingGroup: number | undefined;
    /** Time in which its stage workers can do the work that waits there, as it last stated. */
    backlogMs: number;
    /** CPU cores available to it. */
    cores: number;
    /** Position up to which it knows the published store, as it last stated. */
    position: positions.Position;
    /** The connection on which messages are sent to it. */
    connection: peerConnections.PeerConnection | undefined;
    /** All open connections, which are several when both entries open one, with the times at which they were opened. */
    readonly openedAtMs: Map<peerConnections.PeerConnection, number>;
    /** When its last connection ended; -Infinity if none has. */
    lostAtMs: number;
}

/** An entry in a list of entries. */
export type ListedEntry = entryMessages.Entries["entries"][number];

/** How an entry names itself to the others. */
export type Identity = Pick<ListedEntry, "instance" | "address" | "failureDomain">;

/** What a stage host tells about its role. */
export type Hosting = Pick<entryMessages.Presence, "hostingMs" | "hostingGroup" | "backlogMs">;

/** Creates a peer that is known from a list of entries or from its hello. */
export function createPeerEntry(instance: string, address: string, failureDomain: string, nowMs: number): PeerEntry {
    return {
        instance,
        address,
        failureDomain,
        incarnation: undefined,
        lastHeardMs: nowMs,
        presenceIntervalMs: entryMessages.MIN_PRESENCE_INTERVAL_MS,
        isDraining: false,
        startedMs: undefined,
        hostingSinceMs: undefined,
        hostingGroup: undefined,
        backlogMs: 0,
        cores: 0,
        position: positions.START,
        connection: undefined,
        openedAtMs: new Map(),
        lostAtMs: -Infinity,
    };
}

/** Begins to use a connection, and closes those that it replaces. */
export function useConnection(peer: PeerEntry, connection: peerConnections.PeerConnection, nowMs: number): void {
    peer.openedAtMs.set(connection, nowMs);
    peer.connection = connection;
    peer.lastHeardMs = nowMs;
    if (connection.isReplacement) {
        for (const [other, openedAtMs] of peer.openedAtMs) {
            if (nowMs - openedAtMs > BOTH_REPLACE_MS) {
                other.dispose();
            }
        }
    }
}

/** Ends the use of a closed connection; returns whether the peer has no other one. */
export function endConnection(
    peer: PeerEntry,
    connection: peerConnections.PeerConnection,
    nowMs: number,
): boolean {
    peer.openedAtMs.delete(connection);
    if (peer.connection !== connection) {
        return false;
    }
    peer.connection = [...peer.openedAtMs.keys()].filter(other => !other.isClosed).at(-1);
    peer.lostAtMs = peer.connection === undefined ? nowMs : peer.lostAtMs;
    return peer.connection === undefined;
}

/** Updates a peer by its presence message. */
export function applyPresence(peer: PeerEntry, presence: entryMessages.Presence, nowMs: number): void {
    peer.isDraining = presence.isDraining;
    peer.cores = presence.cores;
    peer.presenceIntervalMs = presence.intervalMs;
    peer.startedMs = nowMs - presence.uptimeMs;
    peer.hostingGroup = presence.hostingGroup;
    peer.backlogMs = presence.backlogMs ?? 0;
    peer.hostingSinceMs = presence.hostingMs === undefined ? undefined : nowMs - presence.hostingMs;
}

/** Builds the hello with which an entry introduces itself. */
export function buildHello(
    self: Pick<messages.Hello, "instance" | "failureDomain" | "incarnation" | "address">,
    replacesSilent = false,
): messages.Hello {
    const { instance, failureDomain, incarnation, address } = self;
    return {
        kind: "hello",
        protocol: messages.PROTOCOL_VERSION,
        role: "entry",
        instance,
        failureDomain,
        incarnation,
        address,
        knowsStreamOrigins: true,
        knowsCrashes: true,
        knowsLimits: true,
        knowsSpeeds: true,
        ...(replacesSilent ? { replacesSilent } : {}),
    };
}

/** What an entry's presence message states. */
export interface PresenceSource {
    readonly clock: clocks.Clock;
    readonly cores: number;
    readonly isDraining: () => boolean;
    readonly hosting: () => Hosting | undefined;
}

/** Builds the presence message of an entry that was started at `startedMs`. */
export function buildPresence(self: PresenceSource, startedMs: number, intervalMs: number): entryMessages.Presence {
    return {
        kind: "presence",
        isDraining: self.isDraining(),
        uptimeMs: self.clock.now() - startedMs,
        cores: self.cores,
        ...self.hosting(),
        intervalMs,
    };
}

/** Whether an entry is or was connected to this process, so that it isn't known from lists alone. */
export function wasConnected({ connection, lostAtMs }: PeerEntry): boolean {
    return connection !== undefined || lostAtMs > -Infinity;
}

/** Builds the list of this entry and its peers, connected or not. */
export function buildEntryList(
    self: Identity,
    peers: readonly PeerEntry[],
    nowMs: number,
    isComplete: boolean,
): entryMessages.Entries {
    const listed = peers.map(peer => toListed(peer, peer.connection === undefined ? nowMs - peer.lastHeardMs : 0));
    return { kind: "entries", entries: [toListed(self, 0), ...listed], isComplete };
}

function toListed({ instance, address, failureDomain }: Identity, silentMs: number): ListedEntry {
    return { instance, address, failureDomain, silentMs };
}
