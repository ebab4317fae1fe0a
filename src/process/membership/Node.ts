/**
 * The parts that entries and agents share: the peer listener and mesh, the configuration replica and its reader,
 * the membership view, and the detection of process pauses.
 */
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as messages from "../../common/Messages";
import * as ports from "../../common/Ports";
import * as peerConnections from "../../connection/PeerConnection";
import * as peerListeners from "../../connection/PeerListener";
import * as readers from "../configuration/ConfigurationReader";
import * as replicas from "../configuration/ConfigurationReplica";
import * as instanceListReaders from "./InstanceListReader";
import * as memberships from "./Membership";
import * as pauseMonitors from "./PauseMonitor";
import * as meshes from "./PeerMesh";

/** Maximum number of peers to exchange configurations with, in addition to the connections that carry calls. */
const MAX_GOSSIP_PEERS = 4;
/** An event loop blocked for longer than this counts as a pause of the process. */
const PAUSE_THRESHOLD_MS = 1_000;
/** A frame read within this time after a pause may have been waiting for the entire pause. */
const RECENT_PAUSE_WINDOW_MS = 500;
/** Number of peers from which a new process waits for a frame, to learn their versions. */
const MIN_STARTUP_PEERS = 2;
/** Time after which a new process stops waiting for those peers and becomes ready without them. */
const STARTUP_PEERS_TIMEOUT_MS = 3_000;
/** Longest wait for the version that a peer's confirm request names, before the request is answered. */
const CONFIRM_TIMEOUT_MS = 2_000;
/** Maximum duration of the refresh after a pause, during which nothing is dispatched. */
const REFRESH_TIMEOUT_MS = 1_500;

/** Dependencies and settings of a node. */
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
    /** Connections that others may have opened to this process. */
    readonly maxPeerConnections: number;
    readonly load: () => messages.Load | undefined;
    /** Version since which the slots of this agent's service are unchanged; undefined if there is none. */
    readonly slotsVersion?: () => number | undefined;
    /** Names of the services whose agents this process connects to. */
    readonly findWantedServices: () => readonly string[];
    /** Maximum number of agents per service that this process connects to. */
    readonly subsetSize?: number;
    /** Whether calls are in progress on a connection. */
    readonly isBusy: (connection: peerConnections.PeerConnection) => boolean;
    readonly onConnected?: (connection: peerConnections.PeerConnection) => void;
    readonly onMessage: (connection: peerConnections.PeerConnection, envelope: messages.Envelope) => void;
}

/** Connects an entry or agent process to the other processes. */
export class Node implements clocks.Disposable {
    readonly replica: replicas.ConfigurationReplica;
    readonly membership: memberships.Membership;
    readonly pauseMonitor: pauseMonitors.PauseMonitor;
    readonly mesh: meshes.PeerMesh;
    readonly listReader: instanceListReaders.InstanceListReader;
    private readonly configurationReader: readers.ConfigurationReader;
    private readonly store = new emitters.DisposableStore();
    /** The connections that others have opened. */
    readonly accepted: peerListeners.PeerListener;
    private startedMs = 0;
    private confirmToken = 0;
    /** Names of the peers that have sent a frame. */
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
        this.accepted = this.store.add(
            new peerListeners.PeerListener({
                clock,
                log,
                maxConnections: options.maxPeerConnections,
                context: () => this.createPeerContext(),
                onConnection: connection => this.mesh.accept(connection),
                onFailure: failure => this.logFailure(failure),
            }),
        );
        this.store.add(this.pauseMonitor.onPause(pausedMs => this.refresh(pausedMs)));
    }

    /** Opens the peer listener and starts the mesh, the list reader and the configuration reader. */
    async start(): Promise<void> {
        await this.accepted.listen(this.options.settings.peerListen);
        this.startedMs = this.options.clock.now();
        this.mesh.start();
        void this.startReaders();
    }

    /** IP address and port of the peer listener; empty before the start. */
    get peerAddress(): string {
        return this.accepted.address;
    }

    /**
     * Whether the process has a configuration and the instance list, and has learned the versions of a few peers or
     * waited long enough for them: if possible, it should not act on an old version from a stale configuration service.
     */
    get isReady(): boolean {
        return this.replica.current !== undefined && this.listReader.hasReadList && this.isPeerWaitOver;
    }

    private get isPeerWaitOver(): boolean {
        const waitedMs = this.options.clock.now() - this.startedMs;
        const expectedPeers = this.membership.peers(MAX_GOSSIP_PEERS).length;
        return this.heardPeers.size >= Math.min(MIN_STARTUP_PEERS, expectedPeers)
            || waitedMs > STARTUP_PEERS_TIMEOUT_MS;
    }

    /** Whether the refresh after a pause is still in progress; nothing may be dispatched until it ends. */
    get isRefreshing(): boolean {
        if (this.pauseMonitor.check() > 0) {
            return true;
        }
        return this.options.clock.now() < this.refreshUntilMs;
    }

    /** Longest time that a frame read now may have waited during a pause of the process; 0 without a recent pause. */
    get recentPauseMs(): number {
        return this.pauseMonitor.recentPauseMs(RECENT_PAUSE_WINDOW_MS);
    }

    /** Waits until `version` or a higher one is in force; resolves to false after the timeout. */
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

    /** Sends a heartbeat to all peers at once, without waiting for the heartbeat interval. */
    broadcastHeartbeat(): void {
        const heartbeat = this.createPeerContext().heartbeat();
        this.mesh.connections.forEach(connection => connection.send(heartbeat));
    }

    /** The node's part of the process status for operators. */
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

    /** The hello, version and heartbeat that this process sends on its peer connections. */
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

    private logFailure({ code: { code }, detail }: codes.Failure): void {
        this.options.log.warn({ code, detail }, "handshake with a connecting peer failed");
    }

    private handleConnected(connection: peerConnections.PeerConnection): void {
        this.membership.noteConnected(connection.remote);
        this.options.onConnected?.(connection);
    }

    /** An exception in a handler, which is a defect of this program, costs the message alone. */
    private handleEnvelope(connection: peerConnections.PeerConnection, envelope: messages.Envelope): void {
        try {
            this.dispatchEnvelope(connection, envelope);
        }
        catch (error) {
            const fields = { peer: connection.remote.instance, message: envelope.message.kind, err: error };
            this.options.log.error({ decision: "exception", ...fields }, "handling a message failed");
        }
    }

    private dispatchEnvelope(connection: peerConnections.PeerConnection, envelope: messages.Envelope): void {
        const { message } = envelope;
        this.heardPeers.add(connection.remote.instance);
        if (message.kind === "heartbeat" && message.load !== undefined) {
            this.updateDraining(connection.remote.instance, message.load.draining);
        }
        else if (message.kind === "confirm") {
            void this.answerConfirm(connection, message.token, message.version);
        }
        else if (message.kind === "confirmed" && message.token === this.confirmToken) {
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

    /**
     * Asks every peer for its version. The refresh ends once the version in one of the answers, which were requested
     * after the pause, is in force.
     */
    private refresh(pausedMs: number): void {
        this.options.log.warn({ pausedMs }, "process was paused; asking peers for their version");
        this.refreshUntilMs = this.options.clock.now() + REFRESH_TIMEOUT_MS;
        this.confirmToken++;
        const request = { kind: "confirm" as const, token: this.confirmToken, version: this.replica.version };
        this.mesh.connections.forEach(connection => connection.send(request));
    }

    private async endRefresh(version: number): Promise<void> {
        if (await this.waitForVersion(version, REFRESH_TIMEOUT_MS)) {
            this.refreshUntilMs = 0;
        }
    }

    /** The configuration reader delays its first read by the fleet size, which is unknown before the first list. */
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
        for (const service of this.options.findWantedServices()) {
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
