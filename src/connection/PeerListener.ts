/**
 * Accepts connections of other processes of the system, as many as there is room for. At the bound, the connection that
 * has waited for longest without a hello makes room for a new one; if all have sent theirs, the new one is closed.
 */
import * as net from "node:net";
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as lineLimits from "../common/LineLimit";
import * as logs from "../common/Log";
import * as listeners from "./Listener";
import * as peerConnections from "./PeerConnection";

const MAX_LINES = 5;
const LINE_INTERVAL_MS = 1_000;

/** What a listener needs from its process. */
export interface PeerListenerOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly maxConnections: number;
    readonly context: () => peerConnections.PeerContext;
    /** Takes over a connection whose hello has arrived. */
    readonly onConnection: (connection: peerConnections.PeerConnection) => void;
    /** Learns why a connection ended before its hello. */
    readonly onFailure?: (failure: codes.Failure) => void;
}

/** The connections that other processes have opened. */
export class PeerListener implements clocks.Disposable {
    private readonly open = new Set<net.Socket>();
    /** Those without a hello, the one that has waited for longest first. */
    private readonly unidentified = new Set<net.Socket>();
    private readonly lines: lineLimits.LineLimit;
    private listener: listeners.Listener | undefined;
    /** Connections closed since the start, since there were too many. */
    closedForRoom = 0;

    constructor(private readonly options: PeerListenerOptions) {
        this.lines = new lineLimits.LineLimit(options.clock, MAX_LINES, LINE_INTERVAL_MS);
    }

    /** Starts to accept connections at an IP address and port; rejects if it can't be used. */
    async listen(address: string): Promise<void> {
        const server = net.createServer(socket => void this.accept(socket));
        this.listener = await listeners.listen(server, address, this.options);
    }

    /** The IP address and port that it is bound to; empty before. */
    get address(): string {
        return this.listener?.address ?? "";
    }

    /** Number of open connections. */
    get count(): number {
        return this.open.size;
    }

    /** Largest number of open connections. */
    get max(): number {
        return this.options.maxConnections;
    }

    dispose(): void {
        this.listener?.dispose();
    }

    private async accept(socket: net.Socket): Promise<void> {
        if (!this.makeRoom()) {
            this.close(socket, "new");
            return;
        }
        this.open.add(socket);
        this.unidentified.add(socket);
        socket.on("close", () => this.remove(socket));
        const accepted = await peerConnections.PeerConnection.accept(socket, this.options.context());
        this.unidentified.delete(socket);
        accepted.match({ Ok: this.options.onConnection, Err: failure => this.options.onFailure?.(failure) });
    }

    /** Whether there is room for one more connection, if need be in place of one without a hello. */
    private makeRoom(): boolean {
        if (this.open.size < this.max) {
            return true;
        }
        const [longest] = this.unidentified;
        if (longest !== undefined) {
            this.remove(longest);
            this.close(longest, "unidentified");
        }
        return longest !== undefined;
    }

    private remove(socket: net.Socket): void {
        this.open.delete(socket);
        this.unidentified.delete(socket);
    }

    private close(socket: net.Socket, closed: "new" | "unidentified"): void {
        this.closedForRoom++;
        socket.destroy();
        const omitted = this.lines.tryWrite();
        if (omitted !== undefined) {
            this.options.log.warn(
                { decision: "peer-connection-closed", closed, connections: this.count, max: this.max, omitted },
                "too many connections are open at the address for other processes",
            );
        }
    }
}
