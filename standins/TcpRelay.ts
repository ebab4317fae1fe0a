/**
 * Simulates the network between two processes: relays TCP connections to one target, and can delay or hold back
 * data or close the connections. What ends one side of a connection, a FIN or a reset, ends the other one.
 */
import * as net from "node:net";
import * as clocks from "../src/common/Clock";
import * as pacedSockets from "../src/connection/PacedSocket";

/**
 * `hold` holds bytes back until the mode is `pass` again, `hold-requests` and `hold-answers` only those of one
 * direction; `cut` closes existing and new connections, `reset` resets them.
 */
export type RelayMode = "pass" | "hold" | "hold-requests" | "hold-answers" | "cut" | "reset";

/** A relayed connection: the socket of the client and the one to the target. */
interface RelayedConnection {
    readonly client: net.Socket;
    readonly target: net.Socket;
    /** Whether one side was reset, so that the other one is as well. */
    wasReset: boolean;
    /** Directions in which it forwards nothing any more, whatever the mode. */
    silent: SilentDirections | undefined;
}

/** Errors of a socket whose other side was reset, and of a write to such a one. */
const RESET_CODES: ReadonlySet<string> = new Set(["ECONNRESET", "EPIPE"]);

/** Directions of a connection. */
export type SilentDirections = "requests" | "answers" | "both";

/** Relays connections to one port on 127.0.0.1. */
export class TcpRelay implements clocks.Disposable {
    private readonly connections = new Set<RelayedConnection>();
    private readonly server: net.Server;
    private relayMode: RelayMode = "pass";
    /** Delay before each received chunk, or the end of a connection, is forwarded. */
    delayMs = 0;
    private port = 0;

    private constructor(private readonly targetPort: number) {
        this.server = net.createServer({ allowHalfOpen: true }, socket => this.accept(socket));
    }

    /** Listens on a free port. */
    static async listen(targetPort: number): Promise<TcpRelay> {
        const relay = new TcpRelay(targetPort);
        await new Promise<void>(resolve => relay.server.listen(0, "127.0.0.1", resolve));
        relay.port = (relay.server.address() as net.AddressInfo).port;
        return relay;
    }

    /** IP address and port. */
    get address(): string {
        return `127.0.0.1:${this.port}`;
    }

    set mode(mode: RelayMode) {
        this.relayMode = mode;
        for (const connection of [...this.connections]) {
            this.applyMode(connection);
        }
    }

    /** Lets the open connections go silent for good, without an end or a reset; new ones aren't affected. */
    silenceOpen(directions: SilentDirections): void {
        for (const connection of this.connections) {
            connection.silent = directions;
            this.applyMode(connection);
        }
    }

    /** Refuses connections and ends those that are open, as when nothing listens there. */
    refuse(): void {
        this.mode = "cut";
        this.server.close();
    }

    /** Accepts connections again after `refuse`. */
    acceptAgain(): void {
        this.mode = "pass";
        this.server.listen(this.port, "127.0.0.1");
    }

    dispose(): void {
        this.mode = "cut";
        this.server.close();
    }

    private accept(client: net.Socket): void {
        const target = net.connect({ host: "127.0.0.1", port: this.targetPort, allowHalfOpen: true });
        const connection: RelayedConnection = { client, target, wasReset: false, silent: undefined };
        this.connections.add(connection);
        client.setNoDelay(true);
        target.setNoDelay(true);
        this.forward(connection, client, target);
        this.forward(connection, target, client);
        this.applyMode(connection);
    }

    private forward(connection: RelayedConnection, from: net.Socket, to: net.Socket): void {
        const delayedActions: (() => void)[] = [];
        const runDelayed = (action: () => void): void => {
            if (this.delayMs === 0 && delayedActions.length === 0) {
                action();
                return;
            }
            // Each timer runs the oldest pending action, so that chunks keep their order if the delay is shortened.
            delayedActions.push(action);
            setTimeout(() => delayedActions.shift()!(), this.delayMs);
        };
        from.on("data", chunk => runDelayed(() => to.write(chunk)));
        from.on("end", () => {
            connection.wasReset ||= pacedSockets.isReset(from); // An end is also reported after bytes and a reset at once.
            runDelayed(() => connection.wasReset ? this.close(connection) : to.end());
        });
        from.on("error", (error: NodeJS.ErrnoException) => {
            connection.wasReset ||= RESET_CODES.has(error.code ?? "");
            this.close(connection);
        });
        from.on("close", () => this.close(connection));
    }

    private applyMode(connection: RelayedConnection): void {
        if (this.relayMode === "cut" || this.relayMode === "reset") {
            this.close(connection);
            return;
        }
        const { silent } = connection;
        const isSilent = (directions: SilentDirections): boolean => silent === "both" || silent === directions;
        const holdsRequests = this.relayMode === "hold" || this.relayMode === "hold-requests";
        const holdsAnswers = this.relayMode === "hold" || this.relayMode === "hold-answers";
        setReading(connection.client, !holdsRequests && !isSilent("requests"));
        setReading(connection.target, !holdsAnswers && !isSilent("answers"));
    }

    private close(connection: RelayedConnection): void {
        if (!this.connections.delete(connection)) {
            return;
        }
        for (const socket of [connection.client, connection.target]) {
            if (this.relayMode === "reset" || connection.wasReset) {
                socket.resetAndDestroy();
            }
            else {
                socket.destroySoon();
            }
        }
    }
}

function setReading(socket: net.Socket, isReading: boolean): void {
    if (isReading) {
        socket.resume();
    }
    else {
        socket.pause();
    }
}
