/**
 * Keep-alive connections to upstream instances and other systems. An idle connection on which bytes arrive is closed:
 * they belong to no request, and the next request would read them as its answer.
 */
import * as http from "node:http";
import * as stream from "node:stream";
import * as pacedSockets from "./PacedSocket";

/** Idle connections that are kept. */
export interface IdleLimits {
    /** Idle time after which a connection is closed. */
    readonly timeoutMs: number;
    /** Maximum number of idle connections to each address. */
    readonly maxPerAddress: number;
}

/** The time is shorter than the usual idle timeout of upstreams. */
const INSTANCE_LIMITS: IdleLimits = { timeoutMs: 4_000, maxPerAddress: 16 };

/**
 * Options of each connection. Node.js gives a body the limit of its connection, and holds a body that isn't read as the
 * chunks in which it came, each of which costs far more than its bytes.
 */
export const SOCKET_OPTIONS = { readableHighWaterMark: 1_024 };

const idleDataListeners = new WeakMap<stream.Duplex, () => void>();

/** The connection pool of one process. */
export class UpstreamConnections extends http.Agent {
    constructor({ timeoutMs, maxPerAddress } = INSTANCE_LIMITS) {
        super({
            keepAlive: true,
            timeout: timeoutMs,
            maxFreeSockets: maxPerAddress,
            scheduling: "lifo",
        });
    }

    /** Called by Node.js before a connection becomes idle; false closes it. */
    override keepSocketAlive(socket: stream.Duplex): boolean {
        const isKept = super.keepSocketAlive(socket) as unknown as boolean;
        if (!isKept || socket.readableLength > 0 || pacedSockets.hasUnreadPieces(socket)) {
            return false;
        }
        pacedSockets.setIdle(socket, true);
        const closeOnData = (): void => void socket.destroy();
        idleDataListeners.set(socket, closeOnData);
        socket.on("data", closeOnData);
        return true;
    }

    /** Called by Node.js before an idle connection is reused for a request. */
    override reuseSocket(socket: stream.Duplex, request: http.ClientRequest): void {
        pacedSockets.setIdle(socket, false);
        const closeOnData = idleDataListeners.get(socket);
        if (closeOnData !== undefined) {
            idleDataListeners.delete(socket);
            socket.removeListener("data", closeOnData);
        }
        super.reuseSocket(socket, request);
    }
}
