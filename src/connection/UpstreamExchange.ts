/**
 * One HTTP exchange with an upstream instance; the content is not modified. Failures before the connection was
 * established, when no byte can have been sent, are distinguished from later ones.
 */
import * as http from "node:http";
import * as net from "node:net";
import * as result from "true-myth/result";
import * as addresses from "../common/Address";
import * as clocks from "../common/Clock";
import * as readTimers from "../common/ReadTimer";
import * as transferLimits from "../common/TransferLimit";
import * as answerFramings from "./AnswerFraming";
import * as answerLimits from "./AnswerLimits";
import * as bodyTimeouts from "./BodyTimeout";
import * as byteCollectors from "./ByteCollector";
import * as pacedSockets from "./PacedSocket";
import * as upstreamConnections from "./UpstreamConnections";

/** Time limit for establishing a new connection. */
const CONNECT_TIMEOUT_MS = 400;
const MAX_HEADER_BYTES = 32 * 1024;
/** Longest body that is read though it isn't used. */
const MAX_DISCARDED_BYTES = 64 * 1024;
/** Longest time in which such a body is read. */
const DISCARD_LIMIT_MS = 1_000;

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
    /** How the body is delimited, and once it has ended, whether it is whole. */
    readonly end: Pick<answerFramings.AnswerEnd, "framing" | "isWhole" | "connectionEnd" | "bodyBytes">;
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
    /** Set if the reason is `malformed`. */
    readonly fault?: answerLimits.AnswerFault;
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
    private readonly informationalCount = new answerLimits.InformationalCount();
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
            ...upstreamConnections.SOCKET_OPTIONS,
        });
    }

    start(): void {
        this.signal?.addEventListener("abort", this.failAsCancelled, { once: true });
        this.outgoing.on("socket", socket => this.watchConnect(socket));
        this.outgoing.on("error", error => this.fail(findFailureReason(error)));
        this.outgoing.on("close", () => this.fail("reset"));
        this.outgoing.on("information", () => this.countInformational());
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

    private countInformational(): void {
        if (!this.informationalCount.add()) {
            this.fail("malformed", "informational");
        }
    }

    private handleResponse(response: http.IncomingMessage): void {
        if (this.isSettled) {
            return;
        }
        const end = answerFramings.openEnd(this.request.method, response);
        if (end === undefined) {
            this.fail("malformed");
            return;
        }
        this.settle();
        response.on("error", () => undefined); // Code that reads the body checks `end`.
        this.signal?.addEventListener("abort", this.cancel, { once: true });
        response.once("close", () => this.signal?.removeEventListener("abort", this.cancel));
        this.resolve({
            kind: "answer",
            status: response.statusCode!,
            headers: response.headers,
            rawHeaders: response.rawHeaders,
            body: response,
            isReusedConnection: this.outgoing.reusedSocket,
            connection: response.socket,
            end,
            cancel: this.cancel,
        });
    }

    private readonly cancel = (): void => void this.outgoing.destroy();

    private fail(reason: FailedExchange["reason"], fault: answerLimits.AnswerFault = "malformed"): void {
        if (this.isSettled) {
            return;
        }
        this.settle();
        this.outgoing.destroy();
        const isStaleConnection = reason === "reset" && this.outgoing.reusedSocket;
        this.resolve({
            kind: "failed",
            isDispatched: this.isDispatched,
            isStaleConnection,
            reason,
            ...(reason === "malformed" ? { fault } : {}),
        });
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

/** Called with the bytes that a chunk adds to those held; if it returns false, reading pauses until it calls `resume`. */
export type ReadGate = (bytes: number, resume: () => void) => boolean;

/** Why a body couldn't be read; `incomplete` also if reading it was given up. */
export type BodyFailure = "incomplete" | answerLimits.AnswerFault;

/** Reads a body of at most `maxBytes` to its end. */
export function readWholeBody(
    answer: OpenAnswer,
    maxBytes: number,
    gate?: ReadGate,
): Promise<result.Result<Buffer, BodyFailure>> {
    const { body, connection } = answer;
    return new Promise(resolve => {
        const collector = new byteCollectors.ByteCollector(statedBytes(answer.headers));
        const chunkCount = new answerLimits.ChunkCount();
        const giveUp = (fault: answerLimits.AnswerFault): void => {
            resolve(result.err(fault));
            body.destroy();
        };
        body.on("data", (chunk: Buffer) => {
            if (body.destroyed) {
                return; // What has been parsed with the last chunk still arrives.
            }
            if (collector.size + chunk.length > maxBytes) {
                giveUp("too-large");
                return;
            }
            if (!chunkCount.add(chunk.length)) {
                giveUp("framing");
                return;
            }
            const heldBytes = collector.heldBytes;
            collector.add(chunk);
            answer.end.bodyBytes = collector.size;
            const addedBytes = collector.heldBytes - heldBytes;
            if (addedBytes > 0 && gate !== undefined) {
                // A paused body would hold the chunks that are being parsed, each as a buffer of its own.
                const canRead = gate(addedBytes, () => pacedSockets.setHeld(connection, false));
                pacedSockets.setHeld(connection, !canRead);
            }
        });
        body.on("end", () => {
            pacedSockets.setHeld(connection, false); // It may be used again.
            resolve(answer.end.isWhole ? result.ok(collector.take()) : result.err("incomplete"));
        });
        body.on("close", () => resolve(result.err("incomplete")));
    });
}

function statedBytes(headers: http.IncomingHttpHeaders): number {
    const bytes = Number(headers["content-length"] ?? Infinity);
    return bytes >= 0 ? bytes : Infinity;
}

/** Reads a body to its end; undefined if it is truncated, mostly framing or longer than `maxBytes`. */
export async function readBody(answer: OpenAnswer, maxBytes: number, gate?: ReadGate): Promise<Buffer | undefined> {
    return (await readWholeBody(answer, maxBytes, gate)).unwrapOr(undefined);
}

/** Reads a short body to its end; it fails also if it stops or trickles. */
export async function readShortBody(
    answer: OpenAnswer,
    maxBytes: number,
    clock: clocks.Clock,
): Promise<result.Result<Buffer, BodyFailure>> {
    const { body } = answer;
    const limits = transferLimits.BODY_LIMITS;
    const timeout = new bodyTimeouts.BodyTimeout({ clock, limits, onTimeout: () => body.destroy() });
    body.on("data", (chunk: Buffer) => timeout.receive(chunk.length));
    const content = await readWholeBody(answer, maxBytes);
    timeout.dispose();
    return content;
}

/**
 * Reads a body that isn't used, so that its connection can be used again; closes the connection if the body is long or
 * slow.
 */
export function discardBody({ body }: OpenAnswer, clock: clocks.Clock): void {
    let size = 0;
    const timer = clock.schedule(DISCARD_LIMIT_MS, () => body.destroy());
    body.on("data", (chunk: Buffer) => {
        size += chunk.length;
        if (size > MAX_DISCARDED_BYTES) {
            body.destroy();
        }
    });
    body.on("close", () => timer.dispose());
}
