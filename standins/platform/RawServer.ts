/**
 * A TCP server of a stand-in that writes its answers byte for byte.
 */
import * as net from "node:net";
import * as clocks from "../../src/common/Clock";
import * as listeners from "../../src/connection/Listener";

/** Called with the first bytes of the request on a new connection. */
export type RawAnswer = (socket: net.Socket, request: string) => void;

/** Listens on a loopback address, and keeps its open connections. */
export class RawServer implements clocks.Disposable {
    private readonly sockets = new Set<net.Socket>();
    private listener: listeners.Listener | undefined;

    constructor(private readonly answer: RawAnswer) {}

    get address(): string {
        return this.listener!.address;
    }

    get openConnections(): number {
        return this.sockets.size;
    }

    async listen(): Promise<void> {
        this.listener = await listeners.listen(net.createServer(socket => this.accept(socket)), "127.0.0.1:0");
    }

    dispose(): void {
        this.sockets.forEach(socket => socket.destroy());
        this.listener?.dispose();
    }

    private accept(socket: net.Socket): void {
        this.sockets.add(socket);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => this.sockets.delete(socket));
        socket.once("data", (request: Buffer) => this.answer(socket, request.toString("latin1")));
    }
}

/** The attempt that a request names; empty if it names none. */
export function readAttempt(request: string): string {
    return /^attempt-id: (\S+)/im.exec(request)?.[1] ?? "";
}
