/**
 * Many replicas with real peer connections over loopback in one process, for the experiment `configuration`.
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

/** Peers that each replica connects to; as many connect to it. */
const DIALLED_PEERS = 2;

/** What the replicas of a fleet share. */
export interface FleetOptions {
    readonly size: number;
    readonly clock: clocks.Clock;
    readonly random: randoms.Random;
    readonly source: ports.ConfigurationSource;
    /** Called for each version that comes into force. */
    readonly onVersion: (replica: FleetReplica, version: replicas.VersionInForce) => void;
}

/** One replica with its listener, mesh and reader. */
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
        const wanted = () => fleet.wantedBy(index);
        this.mesh = new meshes.PeerMesh({ context: this.context, replica: this.replica, wanted, log, random });
        this.reader = new readers.ConfigurationReader({
            clock,
            random,
            source: fleet.sourceFor(index),
            replica: this.replica,
            self: nameReplica(index),
            instances: () => fleet.names,
            log,
        });
        this.server = net.createServer(socket => void this.accept(socket));
    }

    /** Listens, and returns the port. */
    listen(): Promise<number> {
        return new Promise(resolve =>
            this.server.listen(0, "127.0.0.1", () => resolve((this.server.address() as net.AddressInfo).port))
        );
    }

    start(): void {
        this.mesh.start();
        this.reader.start();
    }

    /** Cuts connections that the partition doesn't allow. */
    cutPartitioned(): void {
        for (const connection of this.mesh.connections) {
            if (!this.fleet.canReach(this.index, readIndex(connection.remote.instance))) {
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
            instance: nameReplica(this.index),
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
        if (this.fleet.canReach(this.index, readIndex(accepted.value.remote.instance))) {
            this.mesh.accept(accepted.value);
        }
        else {
            accepted.value.destroy();
        }
    }
}

/** The replicas, their graph of peers, and the partition between them. */
export class Fleet {
    readonly names: readonly string[];
    readonly replicas: FleetReplica[] = [];
    /** Whether the second half is cut off from the first half and from the service. */
    partitioned = false;
    private readonly dialled: readonly (readonly number[])[];
    private readonly ports: number[] = [];
    private readonly sockets = new Set<net.Socket>();
    private closedBytes = 0;
    private readonly counters: replicas.ConfigurationCounters[] = [];

    constructor(readonly options: FleetOptions) {
        this.names = Array.from({ length: options.size }, (_, index) => nameReplica(index));
        this.dialled = chooseDialled(options.size, options.random);
    }

    /** Starts all replicas. */
    async start(): Promise<void> {
        for (let index = 0; index < this.options.size; index++) {
            await this.create(index);
        }
        this.replicas.forEach(replica => replica.start());
    }

    /** Ends the replica at `index` and starts a new one, on another port, that knows nothing. */
    async replace(index: number): Promise<void> {
        this.replicas[index]!.dispose();
        await this.create(index);
        this.replicas[index]!.start();
    }

    setPartitioned(partitioned: boolean): void {
        this.partitioned = partitioned;
        this.replicas.forEach(replica => replica.cutPartitioned());
    }

    /** Whether the partition lets two replicas talk. */
    canReach(left: number, right: number): boolean {
        return !this.partitioned || this.isSecondHalf(left) === this.isSecondHalf(right);
    }

    isSecondHalf(index: number): boolean {
        return index >= this.options.size / 2;
    }

    wantedBy(index: number): readonly meshes.WantedPeer[] {
        return this.dialled[index]!.map(peer => ({
            instance: nameReplica(peer),
            address: `127.0.0.1:${this.ports[peer]}`,
        }));
    }

    /** The service as the replica at `index` reaches it. */
    sourceFor(index: number): ports.ConfigurationSource {
        const { source } = this.options;
        const guard = (ask: () => ports.Reply<unknown>): ports.Reply<unknown> =>
            this.partitioned && this.isSecondHalf(index)
                ? Promise.resolve(result.err(codes.failure(codes.codes.sourceUnavailable, "partition")))
                : ask();
        return {
            read: signal => guard(() => source.read(signal)),
            watch: (version, signal) => guard(() => source.watch(version, signal)),
        };
    }

    /** Counts the bytes of an accepted connection in both directions. */
    countBytes(socket: net.Socket): void {
        this.sockets.add(socket);
        socket.on("close", () => {
            this.sockets.delete(socket);
            this.closedBytes += socket.bytesRead + socket.bytesWritten;
        });
    }

    /** Bytes carried so far between all replicas, each counted once. */
    get carriedBytes(): number {
        return [...this.sockets].reduce(
            (sum, socket) => sum + socket.bytesRead + socket.bytesWritten,
            this.closedBytes,
        );
    }

    /** The sum of one counter over all replicas, those that were replaced included. */
    sumCounter(name: keyof replicas.ConfigurationCounters): number {
        return this.counters.reduce((sum, counters) => sum + counters[name], 0);
    }

    dispose(): void {
        this.replicas.forEach(replica => replica.dispose());
    }

    private async create(index: number): Promise<void> {
        const replica = new FleetReplica(this, index);
        this.counters.push(replica.replica.counters);
        this.ports[index] = await replica.listen();
        this.replicas[index] = replica;
    }
}

function nameReplica(index: number): string {
    return `replica-${index}`;
}

function readIndex(name: string): number {
    return Number(name.slice("replica-".length));
}

/** A random regular graph: the successor of each replica on as many random cycles as it has peers to dial. */
function chooseDialled(size: number, random: randoms.Random): number[][] {
    const dialled = Array.from({ length: size }, (): number[] => []);
    for (let cycle = 0; cycle < DIALLED_PEERS; cycle++) {
        const order = Array.from({ length: size }, (_, index) => ({ index, rank: random() }))
            .sort((left, right) => left.rank - right.rank)
            .map(({ index }) => index);
        order.forEach((index, position) => dialled[index]!.push(order[(position + 1) % size]!));
    }
    return dialled;
}
