import * as net from "node:net";
import * as vitest from "vitest";
import * as listeners from "../src/connection/Listener";
import * as pacedSockets from "../src/connection/PacedSocket";
import * as relays from "./TcpRelay";

const CONNECTIONS = 50;
const TEXT = "the first part";

type End = "fin" | "reset";

/** How the server ends a connection on which it has read something; `at once` in the same turn as its last bytes. */
const endings: readonly { readonly name: string; readonly end: (socket: net.Socket) => void; readonly seen: End }[] = [
    { name: "a FIN with the last bytes", end: socket => socket.end(TEXT), seen: "fin" },
    {
        name: "a reset at once after the last bytes",
        end: socket => {
            socket.write(TEXT);
            process.nextTick(() => socket.resetAndDestroy());
        },
        seen: "reset",
    },
    {
        name: "a reset some time after the last bytes",
        end: socket => {
            socket.write(TEXT);
            setTimeout(() => socket.resetAndDestroy(), 5);
        },
        seen: "reset",
    },
];

/** Sends a request and resolves to what the connection brings, and how it ends. */
function request(address: string): Promise<{ readonly text: string; readonly end: End }> {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const socket = net.connect({ host, port: Number(port), allowHalfOpen: true });
        let text = "";
        socket.write("request");
        socket.on("data", chunk => text += chunk.toString());
        socket.on("end", () => {
            resolve({ text, end: pacedSockets.isReset(socket) ? "reset" : "fin" });
            socket.destroy();
        });
        socket.on("error", () => resolve({ text, end: "reset" }));
    });
}

vitest.describe("TcpRelay", () => {
    // Guards against soaks whose entries can't tell that an engine has reset an answer: the relay passed it on as a FIN.
    vitest.it.each(endings)("passes on $name", async ({ end, seen }) => {
        const server = net.createServer(socket => {
            socket.on("error", () => undefined);
            socket.once("data", () => end(socket));
        });
        const listener = await listeners.listen(server, "127.0.0.1:0");
        const relay = await relays.TcpRelay.listen((server.address() as net.AddressInfo).port);
        const results = await Promise.all(Array.from({ length: CONNECTIONS }, () => request(relay.address)));
        vitest.expect(results.map(result => result.end)).toEqual(results.map(() => seen));
        vitest.expect(results.filter(result => result.text !== TEXT)).toEqual([]);
        relay.dispose();
        listener.dispose();
    });
});
