/**
 * Starts a server on an IP address and port, and closes it together with all its connections.
 */
import * as net from "node:net";
import * as addresses from "../common/Address";
import * as clocks from "../common/Clock";

/** A listening server. */
export interface Listener extends clocks.Disposable {
    /** IP address and port that the server is bound to; the operating system chooses the port if 0 was requested. */
    readonly address: string;
    /** Stops accepting connections; open connections stay open. */
    stopAccepting(): void;
}

/** Starts `server` on `address`; rejects if it can't listen there. */
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
        // `http.Server.close` would also close connections whose ended response has not been sent completely yet.
        stopAccepting: () => void net.Server.prototype.close.call(server),
        dispose() {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}
