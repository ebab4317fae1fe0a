/**
 * Listening sockets: starts a server on an IP number and port, and ends it with all its connections.
 */
import * as net from "node:net";
import * as clocks from "../common/Clock";

/** A server that listens. */
export interface Listener extends clocks.Disposable {
    /** The address in use, with the port that the system chose when port 0 was asked for. */
    readonly address: string;
    /** Stops accepting; open connections go on. */
    stopAccepting(): void;
}

/** Splits an address into an IP number and a port. */
export function parseAddress(address: string): { host: string; port: number } {
    const separator = address.lastIndexOf(":");
    return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}

/** Starts `server` on `address`; rejects when the address can't be used. */
export async function listen(server: net.Server, address: string): Promise<Listener> {
    const sockets = new Set<net.Socket>();
    server.on("connection", (socket: net.Socket) => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(parseAddress(address), resolve);
    });
    const bound = server.address() as net.AddressInfo;
    return {
        address: `${bound.address}:${bound.port}`,
        // The close of an HTTP server would also cut connections whose ended answer still waits to be taken.
        stopAccepting: () => void net.Server.prototype.close.call(server),
        dispose() {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}
