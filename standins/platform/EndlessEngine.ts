/**
 * Stand-in for a faulty engine whose answers don't end.
 */
import * as net from "node:net";
import * as clocks from "../../src/common/Clock";
import * as rawServers from "./RawServer";

/** An engine that answers with bytes that never end, until its caller closes the connection. */
export class EndlessEngine implements clocks.Disposable {
    private readonly server = new rawServers.RawServer((socket, request) => this.answer(socket, request));
    takenBytes = 0;
    arrivals = 0;

    /** `{attempt}` in the start is that of the request; `pause` calls back before each further write. */
    constructor(
        private readonly start: string,
        private readonly filler: string,
        private readonly pause: (callback: () => void) => void = callback => setTimeout(callback, 1),
    ) {}

    get address(): string {
        return this.server.address;
    }

    get openConnections(): number {
        return this.server.openConnections;
    }

    listen(): Promise<void> {
        return this.server.listen();
    }

    dispose(): void {
        this.server.dispose();
    }

    private answer(socket: net.Socket, request: string): void {
        this.arrivals++;
        socket.write(this.start.replace("{attempt}", rawServers.readAttempt(request)));
        this.writeOn(socket);
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
