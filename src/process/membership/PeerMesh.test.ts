import * as net from "node:net";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as logs from "../../common/Log";
import * as messages from "../../common/Messages";
import * as peerConnections from "../../connection/PeerConnection";
import * as samples from "../../version/SampleConfiguration";
import * as replicas from "../configuration/ConfigurationReplica";
import * as meshes from "./PeerMesh";

const { afterEach, describe, expect, it } = vitest;

class MeshNode {
    readonly replica = new replicas.ConfigurationReplica({ clock: clocks.systemClock, log: logs.silentLog });
    readonly receivedMessages: string[] = [];
    readonly mesh: meshes.PeerMesh;
    readonly context: peerConnections.PeerContext;
    wantedPeers: meshes.WantedPeer[] = [];
    private readonly server: net.Server;
    private port = 0;

    constructor(readonly instance: string) {
        this.context = {
            clock: clocks.systemClock,
            hello: () => ({ kind: "hello", protocol: 1, role: "entry", instance, failureDomain: "a", incarnation: 1 }),
            version: () => this.replica.version,
            heartbeat: () => this.heartbeat(),
        };
        this.mesh = new meshes.PeerMesh({
            context: this.context,
            replica: this.replica,
            wanted: () => this.wantedPeers,
            onEnvelope: (connection, { message }) =>
                this.receivedMessages.push(`${connection.remote.instance} ${message.kind}`),
            log: logs.silentLog,
        });
        this.server = net.createServer(socket => void this.accept(socket));
    }

    get asWantedPeer(): meshes.WantedPeer {
        return { instance: this.instance, address: `127.0.0.1:${this.port}` };
    }

    listen(): Promise<void> {
        return new Promise(resolve =>
            this.server.listen(this.port, "127.0.0.1", () => {
                this.port = (this.server.address() as net.AddressInfo).port;
                resolve();
            })
        );
    }

    close(): void {
        this.mesh.dispose();
        this.server.close();
    }

    private heartbeat(): messages.Heartbeat {
        const { unconfirmedMs, current } = this.replica;
        return { kind: "heartbeat", unconfirmedMs, digest: current?.digest };
    }

    private async accept(socket: net.Socket): Promise<void> {
        const accepted = await peerConnections.PeerConnection.accept(socket, this.context);
        if (accepted.isOk) {
            this.mesh.accept(accepted.value);
        }
    }
}

async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await clocks.sleep(clocks.systemClock, 10);
    }
}

describe("PeerMesh", () => {
    const nodes: MeshNode[] = [];

    async function createNodes(count: number): Promise<MeshNode[]> {
        for (let index = 0; index < count; index++) {
            const node = new MeshNode(`node-${index}`);
            nodes.push(node);
            await node.listen();
        }
        return nodes;
    }

    afterEach(() => nodes.splice(0).forEach(node => node.close()));

    it("propagates versions along a chain in both directions", async () => {
        const chain = await createNodes(4);
        chain.slice(1).forEach((node, index) => node.wantedPeers = [chain[index]!.asWantedPeer]);
        chain.forEach(node => node.mesh.start());
        chain[0]!.replica.offer(samples.sampleConfiguration(1), "service");
        await waitUntil(() => chain[3]!.replica.version === 1);
        chain[3]!.replica.offer(samples.sampleConfiguration(2), "service");
        await waitUntil(() => chain[0]!.replica.version === 2);
        chain[3]!.replica.confirm(0);
        await waitUntil(() => chain[0]!.replica.unconfirmedMs !== undefined);
        expect(chain.map(node => node.replica.counters.deltasSent)).toEqual([0, 1, 1, 1]);
        expect(chain[1]!.receivedMessages).toContain("node-0 heartbeat");
    });

    it("reconnects after a lost connection and closes unwanted connections", async () => {
        const [left, right] = await createNodes(2);
        left!.wantedPeers = [right!.asWantedPeer, { instance: "gone", address: "127.0.0.1:1" }];
        left!.mesh.start();
        await waitUntil(() => right!.mesh.connections.length === 1);
        right!.mesh.connections[0]!.destroy();
        await waitUntil(() => right!.mesh.connections.length === 0);
        await waitUntil(() => right!.mesh.connections.length === 1);
        left!.wantedPeers = [];
        await waitUntil(() => right!.mesh.connections.length === 0);
        expect(left!.mesh.connections).toEqual([]);
    });

    it("closes its connections when disposed", async () => {
        const [left, right] = await createNodes(2);
        left!.wantedPeers = [right!.asWantedPeer];
        left!.mesh.start();
        await waitUntil(() => right!.mesh.connections.length === 1);
        left!.mesh.dispose();
        await waitUntil(() => right!.mesh.connections.length === 0);
        expect(left!.mesh.connections).toEqual([]);
    });
});
