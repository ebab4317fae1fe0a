/**
 * Connections to the other entries, which are discovered through seed addresses and through each other. One task
 * for each known address connects, reads frames and reconnects.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as entryMessages from "../../common/EntryMessages";
import * as logs from "../../common/Log";
import * as messages from "../../common/Messages";
import * as positions from "../../common/Position";
import * as partialFrames from "../../connection/PartialFrames";
import * as peerConnections from "../../connection/PeerConnection";
import * as peerListeners from "../../connection/PeerListener";
import * as pauseMonitors from "../membership/PauseMonitor";
import * as entryLists from "./EntryLists";
import * as knownEntries from "./KnownEntries";
import * as peerEntries from "./PeerEntry";
import * as presences from "./PeerPresence";
import * as replacements from "./PeerReplacement";
import * as paces from "./PresencePace";

const MIN_RECONNECT_MS = 300;
/** Mean delay of the first attempt after a connection has ended: many are reset while their peer is alive. */
const FIRST_RECONNECT_MS = 20;
/** Time that an entry leaves to the other one to open their connection, so that there are seldom two. */
const PEER_OPENS_MS = 120;
const RECONNECT_POLL_INTERVAL_MS = 10;
const MAX_RECONNECT_MS = 2_000;
/** Bytes that may wait to be sent to all other entries together; for each of them, room for two of the largest frames. */
const MAX_UNSENT_BYTES = 48 * 1024 * 1024;
const MIN_UNSENT_BYTES = 2 * messages.MAX_FRAME_BYTES;
/** Interval at which unreachable entries are removed and tasks for new addresses are started. */
const RECONCILE_INTERVAL_MS = 500;

/** A frame received from another entry. */
export interface PeerFrame {
    readonly peer: peerEntries.PeerEntry;
    readonly connection: peerConnections.PeerConnection;
    readonly message: messages.Message;
}

/** What the peer connections need from their process. */
export interface EntryPeersOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly random: () => number;
    /** Detects late turns of the event loop, which may have left messages unread. */
    readonly pauses: pauseMonitors.PauseMonitor;
    readonly instance: string;
    readonly failureDomain: string;
    /** Listening address of this process. */
    readonly listen: string;
    /** Connections that others may have opened to this process. */
    readonly maxConnections: number;
    /** Address that other entries connect to. */
    readonly address: string;
    /** Addresses of some entries; may be stale. */
    readonly seeds: () => readonly string[];
    readonly incarnation: number;
    /** CPU cores available to this process. */
    readonly cores: number;
    /** Position up to which this process knows the published store completely. */
    readonly position: () => positions.Position;
    readonly isDraining: () => boolean;
    /** What this process hosts; undefined when it isn't a stage host. */
    readonly hosting: () => peerEntries.Hosting | undefined;
    /** Whether the others must notice a loss of this process soon. */
    readonly isPresenceUrgent: () => boolean;
    /** Whether this process has known the others for long enough to know all of them. */
    readonly knowsAll: () => boolean;
}

/** Maintains the connections to the other entries. */
export class EntryPeers implements clocks.Disposable {
    private readonly known: knownEntries.KnownEntries;
    private readonly addressesWithTask = new Set<string>();
    private readonly stop = clocks.createStop();
    private readonly timers: clocks.Disposable[] = [];
    private readonly presence: presences.PeerPresence;
    private readonly lists: entryLists.EntryLists<peerConnections.PeerConnection>;
    private readonly partialFrames = new partialFrames.PartialFrames();
    private readonly frameEmitter = new emitters.Emitter<PeerFrame>();
    private readonly disconnectEmitter = new emitters.Emitter<peerConnections.PeerConnection>();

    /** The connections that others have opened. */
    readonly accepted: peerListeners.PeerListener;

    /** Fires for each frame other than presence and lists of entries. */
    readonly onFrame = this.frameEmitter.event;
    /** Fires when a connection has ended. */
    readonly onDisconnect = this.disconnectEmitter.event;

    /** Start of this process, on its own clock. */
    readonly startedMs: number;

    constructor(private readonly options: EntryPeersOptions) {
        this.startedMs = options.clock.now();
        this.known = new knownEntries.KnownEntries(options);
        this.lists = new entryLists.EntryLists({
            ...options,
            connections: () => this.knownPeers.flatMap(peer => peer.connection ?? []),
            size: () => this.known.size + 1,
            version: () => `${this.known.listVersion} ${options.knowsAll()}`,
            send: connection => connection.send(this.known.buildList(options.knowsAll())),
        });
        this.accepted = new peerListeners.PeerListener({
            ...options,
            context: () => this.connectionContext(),
            onConnection: connection => void this.readFrames(connection),
        });
        this.presence = new presences.PeerPresence(options.clock, options.pauses);
    }

    /** Starts to accept and open connections; rejects when the address can't be used. */
    async start(): Promise<void> {
        await this.accepted.listen(this.options.listen);
        void this.keepPresent();
        this.timers.push(
            new replacements.PeerReplacement({
                ...this.options,
                presence: this.presence,
                peers: () => this.known.all,
                open: ({ address }) => peerConnections.PeerConnection.open(address, this.connectionContext(true)),
                use: connection => this.readFrames(connection),
            }),
        );
        this.timers.push(clocks.every(this.options.clock, RECONCILE_INTERVAL_MS, () => this.reconcile()));
        this.reconcile();
    }

    /** Connected entries that sent a frame within the time-out for their presence messages. */
    get livePeers(): peerEntries.PeerEntry[] {
        return this.presentPeers.filter(peer => peer.connection !== undefined);
    }

    /** The same, and those whose connection ended so recently that it may be back at once. */
    get presentPeers(): peerEntries.PeerEntry[] {
        return this.known.all.filter(peer => this.presence.isPresent(peer));
    }

    /** Waits until a peer whose connection has just ended is connected again, or for the grace time. */
    async waitForReconnect(peer: peerEntries.PeerEntry): Promise<void> {
        const { clock } = this.options;
        while (peer.connection === undefined && clock.now() - peer.lostAtMs < presences.RECONNECT_GRACE_MS) {
            await clocks.sleep(clock, RECONNECT_POLL_INTERVAL_MS, this.stop.signal);
        }
    }

    /** CPU cores available to this process. */
    get cores(): number {
        return this.options.cores;
    }

    /** Whether an entry that knows all others has listed them. */
    get hasCompleteList(): boolean {
        return this.known.hasCompleteList;
    }

    /** Whether the settings name other entries. */
    get hasSeeds(): boolean {
        return this.options.seeds().some(seed => !this.isOwnAddress(seed));
    }

    /** Names of all known entries, live or not, including this one. */
    get entryNames(): string[] {
        return this.known.names;
    }

    /** All other known entries, live or not. */
    get knownPeers(): readonly peerEntries.PeerEntry[] {
        return this.known.all;
    }

    /** Sends a message to an entry; false when there is no connection. */
    send(peer: peerEntries.PeerEntry, message: messages.Message): boolean {
        return peer.connection?.send(message) ?? false;
    }

    /** Tells all connected peers at once that this entry is present or leaving. */
    broadcastPresence(): void {
        const message = this.buildPresence();
        this.known.all.forEach(peer => peer.connection?.send(message));
    }

    dispose(): void {
        this.stop.abort();
        this.timers.forEach(timer => timer.dispose());
        this.known.all.forEach(peer => peer.connection?.dispose());
        this.accepted.dispose();
        this.frameEmitter.dispose();
        this.disconnectEmitter.dispose();
    }

    /** Sends presence messages until disposed, and lists of entries to a few peers. */
    private async keepPresent(): Promise<void> {
        while (!this.stop.signal.aborted) {
            this.broadcastPresence();
            this.lists.sendRound();
            await clocks.sleep(this.options.clock, this.presenceIntervalMs, this.stop.signal);
        }
    }

    private get presenceIntervalMs(): number {
        return this.options.isPresenceUrgent() ? entryMessages.MIN_PRESENCE_INTERVAL_MS : this.ordinaryIntervalMs;
    }

    /** Interval of the presence messages of entries that aren't stage hosts. */
    private get ordinaryIntervalMs(): number {
        return paces.ordinaryIntervalMs(this.known.size);
    }

    private reconcile(): void {
        this.known.forgetSilent();
        const addresses = new Set([...this.options.seeds(), ...this.knownPeers.map(peer => peer.address)]);
        for (const address of addresses) {
            if (!this.isOwnAddress(address) && !this.addressesWithTask.has(address)) {
                this.addressesWithTask.add(address);
                void this.keepConnected(address);
            }
        }
    }

    private isOwnAddress(address: string): boolean {
        return address === this.options.address || address === this.options.listen;
    }

    /** Keeps a connection to an address for as long as it is a seed or belongs to a known entry. */
    private async keepConnected(address: string): Promise<void> {
        const { clock } = this.options;
        let delayMs = MIN_RECONNECT_MS;
        while (!this.stop.signal.aborted && this.isWanted(address)) {
            if (!this.isConnected(address) && this.isOpenedByPeer(address)) {
                await clocks.sleep(clock, PEER_OPENS_MS, this.stop.signal);
            }
            if (!this.isConnected(address)) {
                const opened = await peerConnections.PeerConnection.open(address, this.connectionContext());
                if (opened.isOk) {
                    const openedAtMs = clock.now();
                    await this.readFrames(opened.value);
                    delayMs = clock.now() - openedAtMs > MIN_RECONNECT_MS ? FIRST_RECONNECT_MS : MIN_RECONNECT_MS;
                }
            }
            await clocks.sleep(clock, delayMs * (0.5 + this.options.random()), this.stop.signal);
            delayMs = Math.min(MAX_RECONNECT_MS, Math.max(MIN_RECONNECT_MS, delayMs * 2));
        }
        this.addressesWithTask.delete(address);
    }

    private isWanted(address: string): boolean {
        return this.options.seeds().includes(address) || this.known.at(address).length > 0;
    }

    private isConnected(address: string): boolean {
        return this.known.at(address).some(peer => peer.connection !== undefined);
    }

    /** Whether the entry at the address opens the connection: of two entries, the one with the lower name does so. */
    private isOpenedByPeer(address: string): boolean {
        const [peer] = this.known.at(address);
        return peer !== undefined && peer.instance < this.options.instance;
    }

    /** Reads frames from one connection until it ends. */
    private async readFrames(connection: peerConnections.PeerConnection): Promise<void> {
        const { remote } = connection;
        if (remote.role !== "entry" || remote.address === undefined || remote.instance === this.options.instance) {
            connection.dispose();
            return;
        }
        const peer = this.known.obtain(remote.instance, remote.address, remote.failureDomain);
        const isNewlyConnected = peer.connection === undefined;
        peerEntries.useConnection(peer, connection, this.options.clock.now());
        if (isNewlyConnected) {
            this.options.log.info(
                { dependency: "entry", peer: peer.instance, address: peer.address },
                "peer connected",
            );
        }
        connection.send(this.buildPresence());
        if (peer.incarnation !== remote.incarnation) {
            peer.incarnation = remote.incarnation;
            this.lists.send(connection);
        }
        for (;;) {
            const envelope = await connection.next();
            if (envelope === undefined) {
                break;
            }
            peer.lastHeardMs = this.options.clock.now();
            peer.position = { era: envelope.era ?? 0, revision: envelope.version };
            this.tryHandleFrame({ peer, connection, message: envelope.message });
        }
        if (peerEntries.endConnection(peer, connection, this.options.clock.now())) {
            this.options.log.warn({ dependency: "entry", peer: peer.instance }, "peer connection lost");
        }
        this.disconnectEmitter.fire(connection);
    }

    /** An exception in a handler, which is a defect of this program, costs the message alone. */
    private tryHandleFrame(frame: PeerFrame): void {
        try {
            this.handleFrame(frame);
        }
        catch (error) {
            const fields = {
                decision: "exception",
                peer: frame.peer.instance,
                message: frame.message.kind,
                err: error,
            };
            this.options.log.error(fields, "handling a message failed");
        }
    }

    private handleFrame(frame: PeerFrame): void {
        const { message, peer } = frame;
        if (message.kind === "entries") {
            if (this.known.addListed(message)) {
                this.reconcile();
            }
        }
        else if (message.kind === "presence") {
            peerEntries.applyPresence(peer, message, this.options.clock.now());
        }
        else {
            this.frameEmitter.fire(frame);
        }
    }

    private buildPresence(): messages.Message {
        return peerEntries.buildPresence(this.options, this.startedMs, this.presenceIntervalMs);
    }

    private connectionContext(replacesSilent = false): peerConnections.PeerContext {
        const { clock } = this.options;
        return {
            clock,
            hello: () => peerEntries.buildHello(this.options, replacesSilent),
            version: () => this.options.position().revision,
            era: () => this.options.position().era,
            heartbeat: () => ({ kind: "heartbeat" }),
            silenceMs: () => paces.connectionSilenceMs(this.ordinaryIntervalMs),
            heartbeatIntervalMs: () => this.ordinaryIntervalMs,
            maxUnsentBytes: () => Math.max(MIN_UNSENT_BYTES, MAX_UNSENT_BYTES / Math.max(1, this.known.size)),
            partialFrames: this.partialFrames,
        };
    }
}
