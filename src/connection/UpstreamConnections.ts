/**
 * Keep-alive connections to upstream instances. An idle connection on which bytes arrive is closed: they belong to
 * no request, and the next request would read them as its answer.
 */
import * as http from "node:http";
import * as stream from "node:stream";

/** Idle time after which a connection is closed; shorter than the usual idle timeout of upstreams. */
const IDLE_TIMEOUT_MS = 4_000;
/** Maximum number of idle connections to each upstream instance. */
const MAX_IDLE_PER_INSTANCE = 16;

const idleDataListeners = new WeakMap<stream.Duplex, () => void>();

/** The connection pool of one process. */
export class UpstreamConnections extends http.Agent {
    constructor() {
        super({
            keepAlive: true,
            timeout: IDLE_TIMEOUT_MS,
            maxFreeSockets: MAX_IDLE_PER_INSTANCE,
            scheduling: "lifo",
        });
    }

    /** Called by Node.js before a connection becomes idle; false closes it. */
    override keepSocketAlive(socket: stream.Duplex): boolean {
        const isKept = super.keepSocketAlive(socket) as unknown as boolean;
        if (!isKept || socket.readableLength > 0) {
            return false;
        }
        const closeOnData = (): void => void socket.destroy();
        idleDataListeners.set(socket, closeOnData);
        socket.on("data", closeOnData);
        return true;
    }

    /** Called by Node.js before an idle connection is reused for a request. */
    override reuseSocket(socket: stream.Duplex, request: http.ClientRequest): void {
        const closeOnData = idleDataListeners.get(socket);
        if (closeOnData !== undefined) {
            idleDataListeners.delete(socket);
            socket.removeListener("data", closeOnData);
        }
        super.reuseSocket(socket, request);
    }
}
