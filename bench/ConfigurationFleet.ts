/**
 * Many replicas in one process, with real peer connections over loopback, for the experiment `configuration`.
 */
import * as net from "node:net";
import * as result from "true-myth/result";
import * as clocks from "../src/common/Clock";
import * as codes from "../src/common/Codes";
import * as logs from "../src/common/Log";
import * as messages from "../src/common/Messages";
import * as ports from "../src/common/Ports";
import * as randoms from "../src/common/Random";
import * as peerConnections from "../src/connection/PeerConnection";
import * as readers from "../src/process/configuration/ConfigurationReader";
import * as replicas from "../src/process/configuration/ConfigurationReplica";
import * as meshes from "../src/process/membership/PeerMesh";

/** Peers that each replica dials; as many dial it. */
const DIALLED_PEERS_PER_REPLICA = 2;

/** Options shared by the replicas of a fleet. */
export interface FleetOptions {
    readonly size: number;
    readonly clock: clocks.Clock;
    readonly random: randoms.Random;
    readonly source: ports.ConfigurationSource;
    /** Called for each version that comes into force. */
    readonly onVersion: (replica: FleetReplica, version: replicas.VersionInForce) => void;
}

/** One replica with its listener, peer mesh and configuration reader. */
export class FleetReplica {
    readonly replica: replicas.ConfigurationReplica;
    readonly startedMs: number;
    private readonly mesh: meshes.PeerMesh;
    private readonly reader: readers.ConfigurationReader;
    private readonly server: net.Server;
    private readonly context: peerConnections.PeerContext;

    constructor(private readonly fleet: Fleet, readonly index: number) {
        const { clock, random, onVersion } = fleet.options;
        const log = logs.silentLog;
        this.startedMs = clock.now();
        this.replica = new replicas.ConfigurationReplica({ clock, log });
        this.replica.onVersion(version => onVersion(this, version));
        this.context = {
            clock,
            hello: () => this.hello(),
            version: () => this.replica.version,
            heartbeat: () => this.heartbeat(),
        };
        const wanted = () => fleet.findWantedPeers(index);
        this.mesh = new meshes.PeerMesh({ context: this.context, replica: this.replica, wanted, log, random });
        this.reader = new readers.ConfigurationReader({
            clock,
            random,
            source: fleet.createSource(index),
            replica: this.replica,
            self: formatName(index),
            instances: () => fleet.names,
            log,
        });
        this.server = net.createServer(socket => void this.accept(socket));
    }

    /** Starts to listen; resolves to the port. */
    listen(): Promise<number> {
        return new Promise(resolve =>
            this.server.listen(0, "127.0.0.1", () => resolve((this.server.address() as net.AddressInfo).port))
        );
    }

    start(): void {
        this.mesh.start();
        this.reader.start();
    }

    /** Closes the connections that cross the partition. */
    closePartitionedConnections(): void {
        for (const connection of this.mesh.connections) {
            if (!this.fleet.canReach(this.index, parseIndex(connection.remote.instance))) {
                connection.destroy();
            }
        }
    }

    dispose(): void {
        this.reader.dispose();
        this.mesh.dispose();
        this.server.close();
        this.replica.dispose();
    }

    private hello(): messages.Hello {
        return {
            kind: "hello",
            protocol: messages.PROTOCOL_VERSION,
            role: "agent",
            instance: formatName(this.index),
            failureDomain: "west",
            incarnation: Math.round(this.startedMs),
        };
    }

    private heartbeat(): messages.Heartbeat {
        const { unconfirmedMs, current } = this.replica;
        return { kind: "heartbeat", unconfirmedMs, digest: current?.digest };
    }

    private async accept(socket: net.Socket): Promise<void> {
        this.fleet.countBytes(socket);
        const accepted = await peerConnections.PeerConnection.accept(socket, this.context);
        if (accepted.isErr) {
            return;
        }
        if (this.fleet.canReach(this.index, parseIndex(accepted.value.remote.instance))) {
            this.mesh.accept(accepted.value);
        }
        else {
            accepted.value.destroy();
        }
    }
}

/** The replicas, the graph of their peers, and the partition between them. */
export class Fleet {
    readonly names: readonly string[];
    readonly replicas: FleetReplica[] = [];
    /** Whether the second half of the replicas is cut off from the first half and from the service. */
    isPartitioned = false;
    private readonly dialledPeers: readonly (readonly number[])[];
    private readonly listenPorts: number[] = [];
    private readonly sockets = new Set<net.Socket>();
    private closedSocketBytes = 0;
    private readonly counters: replicas.ConfigurationCounters[] = [];

    constructor(readonly options: FleetOptions) {
        this.names = Array.from({ length: options.size }, (_, index) => formatName(index));
        this.dialledPeers = chooseDialledPeers(options.size, options.random);
    }

    async start(): Promise<void> {
        for (let index = 0; index < this.options.size; index++) {
            await this.createReplica(index);
        }
        this.replicas.forEach(replica => replica.start());
    }

    /** Replaces the replica at `index` with a new, empty one on another port. */
    async replace(index: number): Promise<void> {
        this.replicas[index]!.dispose();
        await this.createReplica(index);
        this.replicas[index]!.start();
    }

    setPartitioned(isPartitioned: boolean): void {
        this.isPartitioned = isPartitioned;
        this.replicas.forEach(replica => replica.closePartitionedConnections());
    }

    /** Whether the partition lets two replicas connect to each other. */
    canReach(left: number, right: number): boolean {
        return !this.isPartitioned || this.isSecondHalf(left) === this.isSecondHalf(right);
    }

    isSecondHalf(index: number): boolean {
        return index >= this.options.size / 2;
    }

    findWantedPeers(index: number): readonly meshes.WantedPeer[] {
        return this.dialledPeers[index]!.map(peer => ({
            instance: formatName(peer),
            address: `127.0.0.1:${this.listenPorts[peer]}`,
        }));
    }

    /** The service as the replica at `index` sees it: unavailable while the partition cuts off the replica. */
    createSource(index: number): ports.ConfigurationSource {
        const { source } = this.options;
        const failIfPartitioned = (send: () => ports.Reply<unknown>): ports.Reply<unknown> =>
            this.isPartitioned && this.isSecondHalf(index)
                ? Promise.resolve(result.err(codes.failure(codes.codes.sourceUnavailable, "partition")))
                : send();
        return {
            read: signal => failIfPartitioned(() => source.read(signal)),
            watch: (version, signal) => failIfPartitioned(() => source.watch(version, signal)),
        };
    }

    /** Counts the bytes of an accepted connection in both directions. */
    countBytes(socket: net.Socket): void {
        this.sockets.add(socket);
        socket.on("close", () => {
            this.sockets.delete(socket);
            this.closedSocketBytes += socket.bytesRead + socket.bytesWritten;
        });
    }

    /** Bytes transferred so far between replicas, each counted once. */
    get transferredBytes(): number {
        return [...this.sockets].reduce(
            (sum, socket) => sum + socket.bytesRead + socket.bytesWritten,
            this.closedSocketBytes,
        );
    }

    /** Sum of a counter over all replicas, including those that were replaced. */
    sumCounter(name: keyof replicas.ConfigurationCounters): number {
        return this.counters.reduce((sum, counters) => sum + counters[name], 0);
    }

    dispose(): void {
        this.replicas.forEach(replica => replica.dispose());
    }

    private async createReplica(index: number): Promise<void> {
        const replica = new FleetReplica(this, index);
        this.counters.push(replica.replica.counters);
        this.listenPorts[index] = await replica.listen();
        this.replicas[index] = replica;
    }
}

function formatName(index: number): string {
    return `replica-${index}`;
}

function parseIndex(name: string): number {
    return Number(name.slice("replica-".length));
}

/** Creates a random regular graph: each replica dials its successor on each of several random cycles. */
function chooseDialledPeers(size: number, random: randoms.Random): number[][] {
    const peersByReplica = Array.from({ length: size }, (): number[] => []);
    for (let cycle = 0; cycle < DIALLED_PEERS_PER_REPLICA; cycle++) {
        const cycleOrder = Array.from({ length: size }, (_, index) => ({ index, rank: random() }))
            .sort((left, right) => left.rank - right.rank)
            .map(({ index }) => index);
        cycleOrder.forEach((index, position) => peersByReplica[index]!.push(cycleOrder[(position + 1) % size]!));
    }
    return peersByReplica;
}
