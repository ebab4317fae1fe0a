/**
 * Stand-in for a faulty engine whose answers don't end.
 */
import * as net from "node:net";
import * as clocks from "../../src/common/Clock";
import * as listeners from "../../src/connection/Listener";

/** An engine that answers with bytes that never end, until its caller closes the connection. */
export class EndlessEngine implements clocks.Disposable {
    private readonly sockets = new Set<net.Socket>();
    private listener: listeners.Listener | undefined;
    takenBytes = 0;
    arrivals = 0;

    /** `{attempt}` in the start is that of the request; `pause` calls back before each further write. */
    constructor(
        private readonly start: string,
        private readonly filler: string,
        private readonly pause: (callback: () => void) => void = callback => setTimeout(callback, 1),
    ) {}

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
        socket.once("data", (request: Buffer) => {
            this.arrivals++;
            const [, attempt] = /^attempt-id: (\S+)/im.exec(request.toString("latin1")) ?? [];
            socket.write(this.start.replace("{attempt}", attempt ?? ""));
            this.writeOn(socket);
        });
    }

    private writeOn(socket: net.Socket): void {
        if (socket.destroyed) {
            return;
        }
        this.takenBytes += this.filler.length;
        if (socket.write(this.filler)) {
            this.pause(() => this.writeOn(socket));
        }
        else {
            socket.once("drain", () => this.writeOn(socket));
        }
    }
}
