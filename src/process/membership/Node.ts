/**
 * What an entry and an agent have in common: the peer listener and mesh, the configuration replica and its
 * reader, the view of the instances, and the detection of pauses.
 */
import * as net from "node:net";
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as messages from "../../common/Messages";
import * as ports from "../../common/Ports";
import * as peerConnections from "../../connection/PeerConnection";
import * as readers from "../configuration/ConfigurationReader";
import * as replicas from "../configuration/ConfigurationReplica";
import * as listeners from "../serving/Listener";
import * as instanceListReaders from "./InstanceListReader";
import * as memberships from "./Membership";
import * as pauseMonitors from "./PauseMonitor";
import * as meshes from "./PeerMesh";

/** Peers that each process holds for configuration, beside the connections that carry work. */
const MAX_GOSSIP_PEERS = 4;
/** A late event loop of this length is treated as a pause of the process. */
const PAUSE_THRESHOLD_MS = 1_000;
/** Frames read this soon after a pause may have waited for all of it. */
const RECENT_PAUSE_WINDOW_MS = 500;
/** Peers whose word on the version a new process waits for. */
const STARTUP_PEERS = 2;
/** A new process that reaches too few peers goes on with what it has after this time. */
const STARTUP_PEERS_TIMEOUT_MS = 3_000;
const CONFIRM_TIMEOUT_MS = 2_000;
/** After a pause, work waits this long at most for a peer's newer version. */
const REFRESH_TIMEOUT_MS = 1_500;

/** What a node needs from its owner. */
export interface NodeOptions {
    readonly settings: {
        readonly instance: string;
        readonly failureDomain: string;
        readonly region: string;
        readonly peerListen: string;
    };
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly random: () => number;
    readonly source: ports.ConfigurationSource;
    readonly instanceList: ports.InstanceList;
    readonly hello: messages.Hello;
    readonly load: () => messages.Load | undefined;
    /** Version since which the slots of an agent's service are the same in its view; undefined for none. */
    readonly slotsVersion?: () => number | undefined;
    /** Services whose agents the process connects to. */
    readonly agentServices: () => readonly string[];
    /** Most agents of one service that the process connects to. */
    readonly subsetSize?: number;
    /** Whether calls are under way on a connection. */
    readonly isBusy: (connection: peerConnections.PeerConnection) => boolean;
    readonly onConnected?: (connection: peerConnections.PeerConnection) => void;
    readonly onMessage: (connection: peerConnections.PeerConnection, envelope: messages.Envelope) => void;
}

/** One process of the system among the others. */
export class Node implements clocks.Disposable {
    readonly replica: replicas.ConfigurationReplica;
    readonly membership: memberships.Membership;
    readonly pauseMonitor: pauseMonitors.PauseMonitor;
    readonly mesh: meshes.PeerMesh;
    readonly listReader: instanceListReaders.InstanceListReader;
    private readonly configurationReader: readers.ConfigurationReader;
    private readonly store = new emitters.DisposableStore();
    private listener: listeners.Listener | undefined;
    private startedMs = 0;
    private refreshToken = 0;
    /** Peers that have sent a frame. */
    private readonly heardPeers = new Set<string>();
    private refreshUntilMs = 0;

    constructor(private readonly options: NodeOptions) {
        const { clock, log, random, settings } = options;
        this.replica = this.store.add(new replicas.ConfigurationReplica({ clock, log }));
        this.membership = this.store.add(
            new memberships.Membership({
                clock,
                self: settings.instance,
                failureDomain: settings.failureDomain,
                region: settings.region,
                regionOf: domain => this.replica.current?.configuration.failureDomains[domain]?.region,
                ...(options.subsetSize === undefined ? {} : { subsetSize: options.subsetSize }),
            }),
        );
        this.pauseMonitor = this.store.add(new pauseMonitors.PauseMonitor({ clock, thresholdMs: PAUSE_THRESHOLD_MS }));
        this.mesh = this.store.add(
            new meshes.PeerMesh({
                context: this.createPeerContext(),
                replica: this.replica,
                wanted: () => this.findWantedPeers(),
                onConnected: connection => this.handleConnected(connection),
                onLost: instance => this.handleLost(instance),
                isBusy: connection => options.isBusy(connection),
                onEnvelope: (connection, envelope) => this.handleEnvelope(connection, envelope),
                log,
            }),
        );
        const { instanceList } = options;
        this.listReader = this.store.add(
            new instanceListReaders.InstanceListReader({ clock, log, instanceList, self: settings.instance }),
        );
        this.store.add(this.listReader.onList(({ rows }) => this.membership.updateList(rows)));
        this.configurationReader = this.store.add(
            new readers.ConfigurationReader({
                clock,
                random,
                source: options.source,
                replica: this.replica,
                self: settings.instance,
                instances: () => this.membership.instances,
                log,
            }),
        );
        this.store.add(this.pauseMonitor.onPause(pausedMs => this.refresh(pausedMs)));
    }

    /** Opens the peer listener and starts the tasks. */
    async start(): Promise<void> {
        const server = net.createServer(socket => void this.accept(socket));
        this.listener = this.store.add(await listeners.listen(server, this.options.settings.peerListen));
        this.startedMs = this.options.clock.now();
        this.mesh.start();
        void this.startReaders();
    }

    /** IP number and port of the peer listener, once started. */
    get peerAddress(): string {
        return this.listener?.address ?? "";
    }

    /**
     * Whether the process has a configuration, the list, and the word of several peers on the version, so that a
     * stale configuration service alone can't make it act on an old one.
     */
    get isReady(): boolean {
        return this.replica.current !== undefined && this.listReader.hasReadList && this.hasHeardFromPeers;
    }

    private get hasHeardFromPeers(): boolean {
        const waitedMs = this.options.clock.now() - this.startedMs;
        const expectedPeers = this.membership.peers(MAX_GOSSIP_PEERS).length;
        return this.heardPeers.size >= Math.min(STARTUP_PEERS, expectedPeers) || waitedMs > STARTUP_PEERS_TIMEOUT_MS;
    }

    /** Whether the process woke from a pause and hasn't heard from a peer since; it dispatches nothing. */
    get isRefreshing(): boolean {
        if (this.pauseMonitor.check() > 0) {
            return true;
        }
        return this.options.clock.now() < this.refreshUntilMs;
    }

    /** Time that a frame read now may have waited while the process was paused, in milliseconds. */
    get recentPauseMs(): number {
        return this.pauseMonitor.recentPauseMs(RECENT_PAUSE_WINDOW_MS);
    }

    /** Waits until a version is in force; resolves to whether it came in time. */
    async waitForVersion(version: number, timeoutMs: number): Promise<boolean> {
        if (this.replica.version >= version) {
            return true;
        }
        const wake = new AbortController();
        const listener = this.replica.onVersion(() => this.replica.version >= version && wake.abort());
        await clocks.sleep(this.options.clock, timeoutMs, wake.signal);
        listener.dispose();
        return this.replica.version >= version;
    }

    /** Tells every peer at once what the next heartbeat would say. */
    broadcastHeartbeat(): void {
        const heartbeat = this.createPeerContext().heartbeat();
        this.mesh.connections.forEach(connection => connection.send(heartbeat));
    }

    /** Part of what the process tells operators. */
    status(): Record<string, unknown> {
        const current = this.replica.current;
        return {
            instance: this.options.settings.instance,
            failureDomain: this.options.settings.failureDomain,
            incarnation: this.options.hello.incarnation,
            version: this.replica.version,
            preset: current?.configuration.preset,
            unconfirmedMs: this.replica.unconfirmedMs,
            listAgeMs: this.membership.listAgeMs,
            rejected: this.replica.rejected,
            out: findOutOfService(current),
            peers: this.mesh.connections.map(connection => connection.remote.instance),
        };
    }

    dispose(): void {
        this.store.dispose();
    }

    /** What the connections of this process tell their peers. */
    createPeerContext(): peerConnections.PeerContext {
        return {
            clock: this.options.clock,
            hello: () => this.options.hello,
            version: () => this.replica.version,
            heartbeat: () => ({
                kind: "heartbeat",
                load: this.options.load(),
                unconfirmedMs: this.replica.unconfirmedMs,
                digest: this.replica.current?.digest,
            }),
        };
    }

    private async accept(socket: net.Socket): Promise<void> {
        const accepted = await peerConnections.PeerConnection.accept(socket, this.createPeerContext());
        if (accepted.isErr) {
            this.options.log.warn({ code: accepted.error.code.code, detail: accepted.error.detail }, "peer refused");
            return;
        }
        this.mesh.accept(accepted.value);
    }

    private handleConnected(connection: peerConnections.PeerConnection): void {
        this.membership.noteConnected(connection.remote);
        this.options.onConnected?.(connection);
    }

    private handleEnvelope(connection: peerConnections.PeerConnection, envelope: messages.Envelope): void {
        const { message } = envelope;
        this.heardPeers.add(connection.remote.instance);
        if (message.kind === "heartbeat" && message.load !== undefined) {
            this.updateDraining(connection.remote.instance, message.load.draining);
        }
        else if (message.kind === "confirm") {
            void this.answerConfirm(connection, message.token, message.version);
        }
        else if (message.kind === "confirmed" && message.token === this.refreshToken) {
            void this.endRefresh(envelope.version);
        }
        this.options.onMessage(connection, envelope);
    }

    private updateDraining(instance: string, isDraining: boolean): void {
        if (isDraining) {
            this.membership.noteDraining(instance);
        }
        else {
            this.membership.noteServing(instance);
        }
    }

    private async answerConfirm(
        connection: peerConnections.PeerConnection,
        token: number,
        version: number,
    ): Promise<void> {
        await this.waitForVersion(version, CONFIRM_TIMEOUT_MS);
        connection.send({ kind: "confirmed", token, slotsVersion: this.options.slotsVersion?.() });
    }

    /** Asks every peer for its version; the first answer that was asked for after the pause ends the refresh. */
    private refresh(pausedMs: number): void {
        this.options.log.warn({ pausedMs }, "woke from a pause");
        this.refreshUntilMs = this.options.clock.now() + REFRESH_TIMEOUT_MS;
        this.refreshToken++;
        const request = { kind: "confirm" as const, token: this.refreshToken, version: this.replica.version };
        this.mesh.connections.forEach(connection => connection.send(request));
    }

    private async endRefresh(version: number): Promise<void> {
        if (await this.waitForVersion(version, REFRESH_TIMEOUT_MS)) {
            this.refreshUntilMs = 0;
        }
    }

    /** The reader of the configuration spreads its first read by the size of the fleet, which only the list tells. */
    private async startReaders(): Promise<void> {
        await this.listReader.start();
        this.configurationReader.start();
    }

    private handleLost(instance: string): void {
        if (!this.mesh.connections.some(connection => connection.remote.instance === instance)) {
            this.membership.noteLost(instance);
        }
    }

    private findWantedPeers(): { instance: string; address: string }[] {
        const wanted = new Map<string, string>();
        for (const member of this.membership.peers(MAX_GOSSIP_PEERS)) {
            wanted.set(member.instance, member.address);
        }
        for (const service of this.options.agentServices()) {
            for (const member of this.membership.agents(service)) {
                wanted.set(member.instance, member.address);
            }
        }
        return [...wanted].map(([instance, address]) => ({ instance, address }));
    }
}

function findOutOfService(current: replicas.VersionInForce | undefined): Record<string, readonly string[]> {
    if (current === undefined) {
        return {};
    }
    const { failureDomains, services } = current.configuration;
    const upstreams = Object.values(services).flatMap(service => Object.entries(service.slots));
    return {
        failureDomains: Object.entries(failureDomains).filter(([, domain]) => domain.state === "out").map(([name]) =>
            name
        ),
        upstreams: upstreams.filter(([, slot]) => slot.state === "out").map(([name]) => name),
    };
}
