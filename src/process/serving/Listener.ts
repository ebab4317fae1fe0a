/**
 * Listening sockets: starts a server on an IP number and port, and ends it with all its connections.
 */
import * as net from "node:net";
import * as addresses from "../../common/Address";
import * as clocks from "../../common/Clock";

/** A server that listens. */
export interface Listener extends clocks.Disposable {
    /** The address in use, with the port that the system chose when port 0 was asked for. */
    readonly address: string;
    /** Stops accepting; open connections go on. */
    stopAccepting(): void;
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
        server.listen(addresses.parseAddress(address), resolve);
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
