import * as net from "node:net";
import * as vitest from "vitest";
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as messages from "../common/Messages";
import * as peerConnections from "./PeerConnection";

const MEGABYTE = 1024 * 1024;
const FRAME_BYTES = 2 * MEGABYTE;

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
