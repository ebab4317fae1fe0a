/**
 * One HTTP exchange with an upstream instance; the content is not modified. Failures before the connection was
 * established, when no byte can have been sent, are distinguished from later ones.
 */
import * as http from "node:http";
import * as net from "node:net";
import * as addresses from "../common/Address";
import * as clocks from "../common/Clock";
import * as readTimers from "../common/ReadTimer";
import * as transferLimits from "../common/TransferLimit";
import * as bodyTimeouts from "./BodyTimeout";
import * as pacedSockets from "./PacedSocket";
import * as upstreamConnections from "./UpstreamConnections";

/** Time limit for establishing a new connection. */
const CONNECT_TIMEOUT_MS = 400;
const MAX_HEADER_BYTES = 32 * 1024;
/** Statuses of answers without a body. */
const NO_BODY_STATUSES: ReadonlySet<number> = new Set([204, 304]);
/** Lower statuses aren't those of an answer. */
const MIN_FINAL_STATUS = 200;

/** The request to send. */
export interface ExchangeRequest {
    readonly address: string;
    readonly method: string;
    readonly path: string;
    /** Alternating names and values. */
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
    /**
     * Whether to open a connection for this request alone, since a reset of a reused one proves nothing: it may be
     * reset just because it was idle.
     */
    readonly isNewConnection: boolean;
    /** Time limit for the headers of the answer. */
    readonly answerTimeoutMs: number;
    /** Asked when the time limit has passed: further time to wait, or 0 to give up. Without it, the limit is final. */
    readonly extendTimeoutMs?: () => number;
    /** Called when the connection is established, so that the request is about to arrive. */
    readonly onDispatched?: (() => void) | undefined;
    /** Whether the instance holds off. Asked once more when the connection is established, before the first byte. */
    readonly isHeld?: () => boolean;
}

/** An answer whose headers have arrived and whose body has yet to be read. */
export interface OpenAnswer {
    readonly kind: "answer";
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly rawHeaders: readonly string[];
    readonly body: http.IncomingMessage;
    /** Whether the connection had been used before, so that the answer may belong to an earlier request. */
    readonly isReusedConnection: boolean;
    /** The connection on which the answer arrived. */
    readonly connection: net.Socket;
    /**
     * Whether a body that has ended is complete. A close-delimited one is complete only if the connection was closed
     * with a FIN; Node.js reports a reset as the end of such a body too.
     */
    readonly isComplete: () => boolean;
    /** Whether a length or chunked encoding delimits the body, or there is none; otherwise it is close-delimited. */
    readonly isFramed: boolean;
    /** Aborts the exchange and closes its connection. */
    readonly cancel: () => void;
}

/** An exchange without an answer. */
export interface FailedExchange {
    readonly kind: "failed";
    /** Whether any byte of the request may have been sent. */
    readonly isDispatched: boolean;
    /** Whether a reused connection was reset, possibly because it was closed while idle; a new one may work. */
    readonly isStaleConnection: boolean;
    /** `invalid`: the request can't be made, since its address or a header is malformed. */
    readonly reason: "timeout" | "connect" | "reset" | "malformed" | "cancelled" | "held" | "invalid";
}

/** Sends a request and waits for the headers of the answer; `signal` aborts the exchange. Never rejects. */
export function openExchange(
    connections: upstreamConnections.UpstreamConnections,
    clock: clocks.Clock,
    request: ExchangeRequest,
    signal?: AbortSignal,
): Promise<OpenAnswer | FailedExchange> {
    if (signal?.aborted === true) {
        return Promise.resolve({ kind: "failed", isDispatched: false, isStaleConnection: false, reason: "cancelled" });
    }
    return new Promise(resolve => {
        try {
            new Exchange(connections, clock, request, signal, resolve).start();
        }
        catch {
            // The caller logs the reason. Addresses and headers are partly data of other processes.
            resolve({ kind: "failed", isDispatched: false, isStaleConnection: false, reason: "invalid" });
        }
    });
}

class Exchange {
    private readonly outgoing: http.ClientRequest;
    private isDispatched = false;
    private isSettled = false;
    private answerTimer: clocks.Disposable | undefined;
    private connectTimer: clocks.Disposable | undefined;
    private readonly failAsCancelled = (): void => this.fail("cancelled");

    constructor(
        connections: upstreamConnections.UpstreamConnections,
        private readonly clock: clocks.Clock,
        private readonly request: ExchangeRequest,
        private readonly signal: AbortSignal | undefined,
        private readonly resolve: (outcome: OpenAnswer | FailedExchange) => void,
    ) {
        const { host, port } = addresses.parseAddress(request.address);
        this.outgoing = http.request({
            host,
            port,
            method: request.method,
            path: request.path,
            headers: request.headers,
            setHost: false,
            agent: request.isNewConnection ? false : connections,
            maxHeaderSize: MAX_HEADER_BYTES,
        });
    }

    start(): void {
        this.signal?.addEventListener("abort", this.failAsCancelled, { once: true });
        this.outgoing.on("socket", socket => this.watchConnect(socket));
        this.outgoing.on("error", error => this.fail(findFailureReason(error)));
        this.outgoing.on("close", () => this.fail("reset"));
        this.outgoing.on("response", response => this.handleResponse(response));
        this.scheduleTimeout(this.request.answerTimeoutMs);
        this.outgoing.end(this.request.body);
    }

    private scheduleTimeout(timeoutMs: number): void {
        this.answerTimer = readTimers.scheduleAfterReads(this.clock, timeoutMs, () => {
            const extensionMs = this.request.extendTimeoutMs?.() ?? 0;
            if (extensionMs > 0) {
                this.scheduleTimeout(extensionMs);
            }
            else {
                this.fail("timeout");
            }
        });
    }

    private watchConnect(socket: net.Socket): void {
        socket.setNoDelay(true);
        pacedSockets.paceOpened(socket, { kind: "instance", address: this.request.address });
        if (!socket.connecting) {
            this.dispatch();
            return;
        }
        this.connectTimer = readTimers.scheduleAfterReads(this.clock, CONNECT_TIMEOUT_MS, () => this.fail("connect"));
        socket.once("connect", () => this.dispatch());
    }

    /** Lets the first byte be sent, unless the instance has begun to hold off since the request was made. */
    private dispatch(): void {
        this.connectTimer?.dispose();
        if (this.request.isHeld?.() === true) {
            this.fail("held");
            return;
        }
        this.isDispatched = true;
        this.request.onDispatched?.();
    }

    private handleResponse(response: http.IncomingMessage): void {
        if (this.isSettled) {
            return;
        }
        const status = response.statusCode ?? 0;
        if (status < MIN_FINAL_STATUS) {
            this.fail("malformed"); // Node.js parses such a status, but refuses to write it.
            return;
        }
        this.settle();
        const isFramed = response.headers["content-length"] !== undefined
            || response.headers["transfer-encoding"] !== undefined
            || NO_BODY_STATUSES.has(status)
            || this.request.method === "HEAD";
        let isCleanClose = false;
        if (!isFramed) {
            response.socket.once("end", () => isCleanClose = true);
        }
        response.on("error", () => undefined); // Code that reads the body checks `isComplete`.
        this.signal?.addEventListener("abort", this.cancel, { once: true });
        response.once("close", () => this.signal?.removeEventListener("abort", this.cancel));
        this.resolve({
            kind: "answer",
            status,
            headers: response.headers,
            rawHeaders: response.rawHeaders,
            body: response,
            isReusedConnection: this.outgoing.reusedSocket,
            connection: response.socket,
            isComplete: () => response.complete && (isFramed || isCleanClose),
            isFramed,
            cancel: this.cancel,
        });
    }

    private readonly cancel = (): void => void this.outgoing.destroy();

    private fail(reason: FailedExchange["reason"]): void {
        if (this.isSettled) {
            return;
        }
        this.settle();
        this.outgoing.destroy();
        const isStaleConnection = reason === "reset" && this.outgoing.reusedSocket;
        this.resolve({ kind: "failed", isDispatched: this.isDispatched, isStaleConnection, reason });
    }

    private settle(): void {
        this.isSettled = true;
        this.signal?.removeEventListener("abort", this.failAsCancelled);
        this.answerTimer?.dispose();
        this.connectTimer?.dispose();
    }
}

function findFailureReason(error: NodeJS.ErrnoException): FailedExchange["reason"] {
    if (error.code?.startsWith("HPE_") === true) {
        return "malformed";
    }
    return error.syscall === "connect" ? "connect" : "reset";
}

/** Called with the size of each chunk; if it returns false, reading pauses until it calls `resume`. */
export type ReadGate = (bytes: number, resume: () => void) => boolean;

/** Reads a body to its end; undefined if it is truncated or longer than `maxBytes`. */
export function readBody(answer: OpenAnswer, maxBytes: number, gate?: ReadGate): Promise<Buffer | undefined> {
    const { body } = answer;
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let size = 0;
        body.on("data", (chunk: Buffer) => {
            size += chunk.length;
            if (size > maxBytes) {
                resolve(undefined);
                body.destroy();
                return;
            }
            chunks.push(chunk);
            if (gate?.(chunk.length, () => body.resume()) === false) {
                body.pause();
            }
        });
        body.on("end", () => resolve(answer.isComplete() ? Buffer.concat(chunks, size) : undefined));
        body.on("close", () => resolve(undefined));
    });
}

/** Reads a short body to its end; undefined also if it stops or trickles. */
export async function readShortBody(
    answer: OpenAnswer,
    maxBytes: number,
    clock: clocks.Clock,
): Promise<Buffer | undefined> {
    const { body } = answer;
    const limits = transferLimits.BODY_LIMITS;
    const timeout = new bodyTimeouts.BodyTimeout({ clock, limits, onTimeout: () => body.destroy() });
    body.on("data", (chunk: Buffer) => timeout.receive(chunk.length));
    const content = await readBody(answer, maxBytes);
    timeout.dispose();
    return content;
}
