/**
 * Starts a server on an IP address and port, and closes it together with all its connections. An address that can't be
 * used yet is waited for, since a former process or a connection may still hold it.
 */
import * as net from "node:net";
import * as addresses from "../common/Address";
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as logs from "../common/Log";

/** Longest time for which an address is waited for. */
const ADDRESS_LIMIT_MS = 30_000;
const RETRY_INTERVAL_MS = 100;
const LOG_INTERVAL_MS = 1_000;
/** Errors that may end: an address in use or not configured on the machine yet, and want of descriptors or memory. */
const TRANSIENT_ERRORS: ReadonlySet<string | undefined> = new Set([
    "EADDRINUSE",
    "EADDRNOTAVAIL",
    "EMFILE",
    "ENFILE",
    "ENOBUFS",
    "ENOMEM",
]);

/** What a listener needs from its process. */
export interface ListenContext {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
}

const silentContext: ListenContext = { clock: clocks.systemClock, log: logs.silentLog };

/** A listening server. */
export interface Listener extends clocks.Disposable {
    /** IP address and port that the server is bound to; the operating system chooses the port if 0 was requested. */
    readonly address: string;
    /** Stops accepting connections; open connections stay open. */
    stopAccepting(): void;
}

/** Starts `server` on `address`; rejects if it can't listen there, for an address in use after 30 s. */
export async function listen(server: net.Server, address: string, context = silentContext): Promise<Listener> {
    const sockets = new Set<net.Socket>();
    server.on("connection", (socket: net.Socket) => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
    });
    await waitForAddress(server, address, context);
    logServerErrors(server, address, context);
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

async function waitForAddress(server: net.Server, address: string, context: ListenContext): Promise<void> {
    const { clock, log } = context;
    const startedMs = clock.now();
    let loggedMs = -Infinity;
    for (;;) {
        const error = await tryListen(server, address);
        if (error === undefined) {
            return;
        }
        const waitedMs = clock.now() - startedMs;
        if (!TRANSIENT_ERRORS.has(error.code) || waitedMs >= ADDRESS_LIMIT_MS) {
            throw error;
        }
        if (clock.now() - loggedMs >= LOG_INTERVAL_MS) {
            loggedMs = clock.now();
            const { code } = codes.codes.addressUnavailable;
            const waited = Math.round(waitedMs);
            log.warn(
                { decision: "wait-for-address", code, address, error: error.code, waitedMs: waited },
                "can't listen yet",
            );
        }
        await clocks.sleep(clock, RETRY_INTERVAL_MS);
    }
}

function tryListen(server: net.Server, address: string): Promise<NodeJS.ErrnoException | undefined> {
    return new Promise(resolve => {
        const finish = (error?: NodeJS.ErrnoException): void => {
            server.off("error", finish);
            server.off("listening", finish);
            resolve(error);
        };
        server.on("error", finish);
        server.on("listening", finish);
        server.listen(addresses.parseAddress(address));
    });
}

/** Logs errors of a listening server, such as a connection that couldn't be accepted; it goes on listening. */
function logServerErrors(server: net.Server, address: string, { clock, log }: ListenContext): void {
    let loggedMs = -Infinity;
    let unlogged = 0;
    server.on("error", (error: NodeJS.ErrnoException) => {
        unlogged++;
        if (clock.now() - loggedMs >= LOG_INTERVAL_MS) {
            log.warn(
                { decision: "accept-failed", address, error: error.code, count: unlogged },
                "can't accept a connection",
            );
            loggedMs = clock.now();
            unlogged = 0;
        }
    });
}
