/**
 * The connections to other processes of the system. One task per wanted peer connects, reads and reconnects with
 * backoff; one task per accepted connection reads it. Every frame is passed to the configuration replica, and
 * each new version is announced to all peers at once by a heartbeat.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as messages from "../../common/Messages";
import * as peerConnections from "../../connection/PeerConnection";
import * as replicas from "../configuration/ConfigurationReplica";

const BASE_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 2_000;
/** A connection that stayed open for at least this long resets the backoff. */
const STABLE_CONNECTION_MS = 1_000;
/** Interval at which tasks are started and stopped to match the wanted peers. */
const RECONCILE_INTERVAL_MS = 1_000;

/** Poll interval for whether a connection that is no longer wanted has become idle. */
const IDLE_POLL_INTERVAL_MS = 100;

/** A process to connect to. */
export interface WantedPeer {
    readonly instance: string;
    /** IP address and port. */
    readonly address: string;
}

/** Dependencies and callbacks of a mesh. */
export interface PeerMeshOptions {
    readonly context: peerConnections.PeerContext;
    readonly replica: replicas.ConfigurationReplica;
    /** Returns the peers to stay connected to; called once a second. */
    readonly wanted: () => readonly WantedPeer[];
    /** Called when a connection is established, after the handshake. */
    readonly onConnected?: (connection: peerConnections.PeerConnection) => void;
    /** Called when a connection to an instance has closed, whichever side closed it. */
    readonly onLost?: (instance: string) => void;
    /** Called for every frame, after the replica has processed it. */
    readonly onEnvelope?: (connection: peerConnections.PeerConnection, envelope: messages.Envelope) => void;
    /** Whether calls are in progress on a connection; an unwanted connection is closed only when they have ended. */
    readonly isBusy?: (connection: peerConnections.PeerConnection) => boolean;
    readonly log: logs.Log;
    /** Uniform in [0, 1); adds jitter to the backoff, which spreads reconnects. */
    readonly random?: () => number;
}

/** Manages the peer connections of one process. */
export class PeerMesh implements clocks.Disposable {
    private readonly openConnections = new Set<peerConnections.PeerConnection>();
    /** Open connections to wanted peers by the signal of their task. */
    private readonly connectionsByTask = new Map<AbortSignal, peerConnections.PeerConnection>();
    private readonly tasks = new Map<string, AbortController>();
    private readonly disposables = new emitters.DisposableStore();
    private readonly random: () => number;
    private isDisposed = false;

    constructor(private readonly options: PeerMeshOptions) {
        this.random = options.random ?? Math.random;
    }

    /** All open connections, whether this process or the peer opened them. */
    get connections(): readonly peerConnections.PeerConnection[] {
        return [...this.openConnections];
    }

    /** Starts connecting to the wanted peers. */
    start(): void {
        const { context, replica } = this.options;
        this.disposables.add(replica.onVersion(() => this.broadcastHeartbeat()));
        this.disposables.add(clocks.every(context.clock, RECONCILE_INTERVAL_MS, () => this.reconcile()));
        this.reconcile();
    }

    /** Adds a connection that a peer opened, after the handshake. */
    accept(connection: peerConnections.PeerConnection): void {
        void this.serve(connection);
    }

    /** Closes all connections and stops all tasks. */
    dispose(): void {
        this.isDisposed = true;
        this.disposables.dispose();
        for (const task of this.tasks.values()) {
            task.abort();
        }
        this.tasks.clear();
        for (const connection of this.openConnections) {
            connection.dispose();
        }
    }

    private broadcastHeartbeat(): void {
        for (const connection of this.openConnections) {
            connection.send(this.options.context.heartbeat());
        }
    }

    private reconcile(): void {
        const wantedByKey = new Map(this.options.wanted().map(peer => [createPeerKey(peer), peer]));
        for (const [key, task] of this.tasks) {
            if (!wantedByKey.has(key) && !this.isBusy(task.signal)) {
                task.abort();
                this.tasks.delete(key);
            }
        }
        for (const [key, peer] of wantedByKey) {
            if (!this.tasks.has(key)) {
                const task = new AbortController();
                this.tasks.set(key, task);
                void this.keepConnected(peer, task.signal);
            }
        }
    }

    private isBusy(task: AbortSignal): boolean {
        const connection = this.connectionsByTask.get(task);
        return connection !== undefined && this.options.isBusy?.(connection) === true;
    }

    /** The task of one wanted peer: connects until aborted, with exponential backoff after failures. */
    private async keepConnected(peer: WantedPeer, signal: AbortSignal): Promise<void> {
        const { context, log } = this.options;
        let failureCount = 0;
        while (!signal.aborted) {
            const opened = await peerConnections.PeerConnection.open(peer.address, context);
            const openedAtMs = context.clock.now();
            failureCount++;
            if (opened.isOk) {
                await this.serveWhileWanted(opened.value, signal);
                failureCount = context.clock.now() - openedAtMs < STABLE_CONNECTION_MS ? failureCount : 0;
            }
            else {
                log.debug(
                    { peer: peer.instance, code: opened.error.code.code, detail: opened.error.detail },
                    "can't connect to peer",
                );
            }
            const backoffMs = Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** failureCount);
            await clocks.sleep(context.clock, backoffMs * (0.5 + this.random() / 2), signal);
        }
    }

    private async serveWhileWanted(
        connection: peerConnections.PeerConnection,
        signal: AbortSignal,
    ): Promise<void> {
        const close = () => void this.closeWhenIdle(connection);
        signal.addEventListener("abort", close, { once: true });
        if (signal.aborted) {
            close();
        }
        this.connectionsByTask.set(signal, connection);
        await this.serve(connection);
        this.connectionsByTask.delete(signal);
        signal.removeEventListener("abort", close);
    }

    /** A leaving instance is no longer wanted, but calls in progress must end on its connection before it is closed. */
    private async closeWhenIdle(connection: peerConnections.PeerConnection): Promise<void> {
        while (!this.isDisposed && !connection.isClosed && this.options.isBusy?.(connection)) {
            await clocks.sleep(this.options.context.clock, IDLE_POLL_INTERVAL_MS);
        }
        connection.dispose();
    }

    /** Reads a connection until it closes. */
    private async serve(connection: peerConnections.PeerConnection): Promise<void> {
        if (this.isDisposed) {
            connection.dispose();
            return;
        }
        const { context, replica, onEnvelope } = this.options;
        const send = (message: messages.Message) => connection.send(message);
        this.openConnections.add(connection);
        this.options.onConnected?.(connection);
        send(context.heartbeat());
        for (let envelope = await connection.next(); envelope !== undefined; envelope = await connection.next()) {
            replica.observe(envelope, send, connection.remote.instance);
            onEnvelope?.(connection, envelope);
        }
        this.openConnections.delete(connection);
        this.options.onLost?.(connection.remote.instance);
    }
}

function createPeerKey(peer: WantedPeer): string {
    return `${peer.instance} ${peer.address}`;
}
