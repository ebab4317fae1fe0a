import * as net from "node:net";
import * as vitest from "vitest";
import * as clocks from "../common/Clock";
import * as logs from "../common/Log";
import * as messages from "../common/Messages";
import * as peerConnections from "./PeerConnection";
import * as peerListeners from "./PeerListener";

const MAX_CONNECTIONS = 10;

function createContext(instance: string): peerConnections.PeerContext {
    return {
        clock: clocks.systemClock,
        hello: () => ({
            kind: "hello",
            protocol: messages.PROTOCOL_VERSION,
            role: "entry",
            instance,
            failureDomain: "zone-a",
            incarnation: 1,
        }),
        version: () => 1,
        heartbeat: () => ({ kind: "heartbeat" }),
    };
}

interface Case {
    readonly name: string;
    /** Connections that send their hello, and later ones that never do. */
    readonly peers: number;
    readonly silent: number;
    /** Whether one more process can connect. */
    readonly isAdmitted: boolean;
    readonly closedForRoom: number;
    readonly closed: readonly string[];
}

const cases: readonly Case[] = [
    { name: "few connections", peers: 2, silent: 3, isAdmitted: true, closedForRoom: 0, closed: [] },
    {
        name: "many without a hello",
        peers: 0,
        silent: 30,
        isAdmitted: true,
        closedForRoom: 21,
        closed: ["unidentified"],
    },
    {
        name: "peers and many without",
        peers: 9,
        silent: 20,
        isAdmitted: true,
        closedForRoom: 20,
        closed: ["unidentified"],
    },
    {
        name: "as many peers as there may be",
        peers: 10,
        silent: 0,
        isAdmitted: false,
        closedForRoom: 1,
        closed: ["new"],
    },
];

vitest.describe(`of at most ${MAX_CONNECTIONS} connections`, () => {
    // Guards against a process whose descriptors are all held by connections that nobody uses.
    vitest.it.each(cases)("beside $name, a peer gets one: $isAdmitted", async testCase => {
        const { peers, silent, isAdmitted, closedForRoom, closed } = testCase;
        const lines: Record<string, unknown>[] = [];
        const accepted: peerConnections.PeerConnection[] = [];
        const listener = new peerListeners.PeerListener({
            clock: clocks.systemClock,
            log: logs.createLog("entry-1", "info", line => lines.push(JSON.parse(line) as Record<string, unknown>)),
            maxConnections: MAX_CONNECTIONS,
            context: () => createContext("entry-1"),
            onConnection: connection => accepted.push(connection),
        });
        await listener.listen("127.0.0.1:0");
        const opened: peerConnections.PeerConnection[] = [];
        const open = async (instance: string): Promise<boolean> => {
            const connection = await peerConnections.PeerConnection.open(listener.address, createContext(instance));
            opened.push(...connection.isOk ? [connection.value] : []);
            return connection.isOk;
        };
        for (let index = 0; index < peers; index++) {
            vitest.expect(await open(`entry-${index + 2}`)).toBe(true);
        }
        await vitest.vi.waitUntil(() => accepted.length === peers);
        const [host, port] = listener.address.split(":");
        const sockets: net.Socket[] = [];
        for (let index = 0; index < silent; index++) {
            const socket = net.connect(Number(port), host);
            socket.on("error", () => undefined);
            sockets.push(socket);
            await new Promise(resolve => socket.once("connect", resolve));
            vitest.expect(listener.count).toBeLessThanOrEqual(MAX_CONNECTIONS);
        }
        vitest.expect(await open("entry-99")).toBe(isAdmitted);
        await vitest.vi.waitUntil(() => accepted.length === peers + (isAdmitted ? 1 : 0));
        vitest.expect(accepted.filter(({ isClosed }) => isClosed)).toEqual([]);
        vitest.expect(listener.closedForRoom).toBe(closedForRoom);
        vitest.expect([...new Set(lines.map(line => line["closed"]))]).toEqual(closed);
        vitest.expect(new Set(lines.map(line => line["decision"])).size).toBeLessThanOrEqual(1);
        [...opened, ...accepted].forEach(connection => connection.destroy());
        sockets.forEach(socket => socket.destroy());
        listener.dispose();
    });
});
