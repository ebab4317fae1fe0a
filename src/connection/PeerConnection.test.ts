import * as net from "node:net";
import * as vitest from "vitest";
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as messages from "../common/Messages";
import * as frames from "./FrameCodec";
import * as partialFrames from "./PartialFrames";
import * as peerConnections from "./PeerConnection";

const MEGABYTE = 1024 * 1024;
const FRAME_BYTES = 2 * MEGABYTE;
const POLL_INTERVAL_MS = 5;

function createHello(instance: string): messages.Hello {
    return {
        kind: "hello",
        protocol: messages.PROTOCOL_VERSION,
        role: "entry",
        instance,
        failureDomain: "zone-a",
        incarnation: 1,
    };
}

const peerContext: peerConnections.PeerContext = {
    clock: clocks.systemClock,
    hello: () => createHello("entry-2"),
    version: () => 1,
    heartbeat: () => ({ kind: "heartbeat" }),
};

/** An accepted connection, with the raw socket of its peer. */
interface RawPeer {
    readonly socket: net.Socket;
    readonly accepted: Promise<peerConnections.PeerConnection | undefined>;
    readonly server: net.Server;
}

async function connectRawPeer(context: peerConnections.PeerContext): Promise<RawPeer> {
    let accept: (connection: peerConnections.PeerConnection | undefined) => void;
    const accepted = new Promise<peerConnections.PeerConnection | undefined>(resolve => accept = resolve);
    const server = net.createServer(socket => {
        void peerConnections.PeerConnection.accept(socket, context).then(opened =>
            accept(opened.isOk ? opened.value : undefined)
        );
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const socket = net.connect((server.address() as net.AddressInfo).port, "127.0.0.1");
    socket.on("error", () => undefined);
    return { socket, accepted, server };
}

function encodePrefix(length: number): Buffer {
    const prefix = Buffer.alloc(4);
    prefix.writeUInt32BE(length);
    return prefix;
}

const rawHello = frames.encodeFrame({ version: 1, message: createHello("entry-1") });

vitest.describe("a peer that sends without end", { timeout: 20_000 }, () => {
    // Guards against a closed connection that goes on to keep what arrives: its peer reads nothing, so that its own messages
    // were never written, and it was never ended.
    vitest.it("after a malformed frame, while it reads nothing, is disconnected", async () => {
        const { socket, accepted, server } = await connectRawPeer(peerContext);
        socket.pause();
        socket.write(rawHello);
        const connection = (await accepted)!;
        for (let sent = 0; sent < 16 * MEGABYTE; sent += FRAME_BYTES) {
            connection.send({ kind: "parts", request: 1, contents: [new Uint8Array(FRAME_BYTES)] });
        }
        socket.write(encodePrefix(0xffffffff));
        let mostBytes = 0;
        const filler = Buffer.alloc(MEGABYTE);
        const closed = new Promise<void>(resolve => socket.once("close", resolve));
        const writer = setInterval(() => {
            mostBytes = Math.max(mostBytes, connection.partialFrameBytes);
            socket.write(filler);
        }, 10);
        await closed;
        clearInterval(writer);
        server.close();
        vitest.expect(connection.isClosed).toBe(true);
        vitest.expect(mostBytes).toBeLessThan(MEGABYTE);
    });

    vitest.it("a first frame that is too long for a hello is disconnected", async () => {
        const { socket, accepted, server } = await connectRawPeer(peerContext);
        socket.resume();
        socket.write(encodePrefix(messages.MAX_FRAME_BYTES));
        socket.write(Buffer.alloc(MEGABYTE));
        vitest.expect(await accepted).toBeUndefined();
        server.close();
    });

    vitest.it("a hello and a large frame at once keeps its connection", async () => {
        const { socket, accepted, server } = await connectRawPeer(peerContext);
        const contents = [new Uint8Array(FRAME_BYTES)];
        const large = frames.encodeFrame({ version: 1, message: { kind: "parts", request: 1, contents } });
        socket.resume();
        socket.write(Buffer.concat([rawHello, large]));
        const connection = (await accepted)!;
        vitest.expect((await connection.next())?.message.kind).toBe("parts");
        connection.destroy();
        server.close();
    });

    vitest.it(
        "together with others on which frames stay incomplete, those with the most are disconnected",
        async () => {
            const account = new partialFrames.PartialFrames(4 * MEGABYTE);
            const peers = await Promise.all(
                [1, 2, 3].map(() => connectRawPeer({ ...peerContext, partialFrames: account })),
            );
            const connections: peerConnections.PeerConnection[] = [];
            for (const [index, megabytes] of [0.4, 1.2, 3.6].entries()) {
                const { socket, accepted } = peers[index]!;
                socket.resume();
                socket.write(rawHello);
                const connection = (await accepted)!;
                connections.push(connection);
                const part = Buffer.alloc(megabytes * MEGABYTE);
                socket.write(Buffer.concat([encodePrefix(messages.MAX_FRAME_BYTES), part]));
                while (!connection.isClosed && connection.partialFrameBytes < part.length) {
                    await clocks.sleep(clocks.systemClock, POLL_INTERVAL_MS);
                }
            }
            vitest.expect(connections.map(connection => connection.isClosed)).toEqual([false, false, true]);
            vitest.expect(account.heldBytes).toBeLessThan(4 * MEGABYTE);
            connections.forEach(connection => connection.destroy());
            vitest.expect(account.heldBytes).toBe(0);
            peers.forEach(({ server }) => server.close());
        },
    );
});

vitest.describe("a peer that reads nothing", () => {
    // Guards against a process that holds 64 MB for each of its peers.
    vitest.it.each([
        { maxMegabytes: 8, sentMegabytes: 6, isClosed: false },
        { maxMegabytes: 8, sentMegabytes: 32, isClosed: true },
        { maxMegabytes: 48, sentMegabytes: 32, isClosed: false },
    ])("with room for $maxMegabytes MB, sent $sentMegabytes MB", async ({ maxMegabytes, sentMegabytes, isClosed }) => {
        const accepted: peerConnections.PeerConnection[] = [];
        const context: peerConnections.PeerContext = {
            clock: clocks.systemClock,
            hello: () => createHello("entry-2"),
            version: () => 1,
            heartbeat: () => ({ kind: "heartbeat" }) as messages.Heartbeat,
        };
        const server = net.createServer(socket => {
            void peerConnections.PeerConnection.accept(socket, context).then(connection => {
                accepted.push(connection.unwrapOr(undefined as never));
                socket.pause();
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as net.AddressInfo;
        const opened = await peerConnections.PeerConnection.open(`127.0.0.1:${port}`, {
            ...context,
            hello: () => createHello("entry-1"),
            maxUnsentBytes: () => maxMegabytes * MEGABYTE,
        });
        if (opened.isErr) {
            throw new Error(opened.error.detail);
        }
        const reasons: codes.Failure[] = [];
        opened.value.onClose(reason => reasons.push(reason));
        for (let sent = 0; sent < sentMegabytes * MEGABYTE; sent += FRAME_BYTES) {
            opened.value.send({ kind: "parts", request: 1, contents: [new Uint8Array(FRAME_BYTES)] });
        }
        vitest.expect(reasons.map(({ code }) => code)).toEqual(isClosed ? [codes.codes.peerSlow] : []);
        [opened.value, ...accepted].forEach(connection => connection.destroy());
        server.close();
    });
});
