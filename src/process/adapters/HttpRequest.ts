/**
 * HTTP exchanges with external systems, with bounded time and response size. Failures before the connection was
 * established, when no byte can have been sent, are distinguished from later ones.
 */
import * as http from "node:http";
import * as net from "node:net";
import * as result from "true-myth/result";
import * as addresses from "../../common/Address";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as emitters from "../../common/Emitter";
import * as jsonSizes from "../../common/JsonSize";
import * as ports from "../../common/Ports";
import * as readTimers from "../../common/ReadTimer";
import * as transferLimits from "../../common/TransferLimit";
import * as answerFramings from "../../connection/AnswerFraming";
import * as answerLimits from "../../connection/AnswerLimits";
import * as bodyTimeouts from "../../connection/BodyTimeout";
import * as pacedSockets from "../../connection/PacedSocket";
import * as accounts from "../../connection/ReadAccount";
import * as upstreamConnections from "../../connection/UpstreamConnections";
import * as responseBodies from "./ResponseBody";

/** Time to establish a new connection. */
const CONNECT_TIMEOUT_MS = 1_000;
const IDLE_LIMITS: upstreamConnections.IdleLimits = { timeoutMs: 15_000, maxPerAddress: 64 };
const MAX_HEADER_BYTES = 16 * 1024;

/** The address of an external system and a pool of keep-alive connections to it. */
export interface Client {
    readonly host: string;
    readonly port: number;
    /** The external system as its cost is accounted for. */
    readonly peer: accounts.Peer;
    readonly agent: http.Agent;
    /** Fires when a pooled connection, idle or in use, fails or is closed by the external system. */
    readonly onDisconnect: emitters.Event<void>;
    /** Makes `onDisconnect` fire when `socket`, a pooled connection, fails or is closed by the external system. */
    readonly watchSocket: (socket: net.Socket) => void;
}

/** An HTTP request with its limits. */
export interface Request extends responseBodies.ResponseBodyLimits {
    readonly method: "GET" | "POST" | "PUT";
    readonly path: string;
    readonly headers?: Record<string, string>;
    /** Sent as JSON; undefined for an empty body. */
    readonly body?: unknown;
    /** Time-out of the complete exchange; with `bodyLimits`, until the body begins. */
    readonly timeoutMs: number;
    /** Limits of a body of any size. */
    readonly bodyLimits?: transferLimits.TransferLimits;
    /** Whether to use a new connection, outside the pool. */
    readonly usesFreshConnection?: boolean;
    /** A request header that the response may repeat; a different value shows a response to another request. */
    readonly echoedHeader?: string;
    /** Maximum time between two chunks of a streamed response; replaces `timeoutMs` from the first chunk on. */
    readonly progressTimeoutMs?: number;
    /** Receives the chunks of a 2xx body, which are then not buffered; a returned failure ends the exchange. */
    readonly onChunk?: (chunk: Buffer) => codes.Failure | undefined;
}

/** A complete response. */
export interface Response {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    /** Empty if the chunks were passed to `onChunk`. */
    readonly body: Buffer;
}

/** Creates a client for `address`, an IP address and a port. */
export function createClient(address: string, kind: accounts.PeerKind = "store"): Client {
    const { host, port } = addresses.parseAddress(address);
    const agent = new upstreamConnections.UpstreamConnections(IDLE_LIMITS);
    const disconnectEmitter = new emitters.Emitter<void>();
    const watchedSockets = new WeakSet<net.Socket>();
    return {
        host,
        port,
        peer: { kind, address },
        agent,
        onDisconnect: disconnectEmitter.event,
        watchSocket(socket) {
            if (!watchedSockets.has(socket)) {
                watchedSockets.add(socket);
                watchDisconnect(socket, () => disconnectEmitter.fire());
            }
        },
    };
}

/** Calls back once when the other side closes the connection or it fails, not when this side closes it. */
function watchDisconnect(socket: net.Socket, callback: () => void): void {
    const reportOnce = (): void => {
        socket.removeListener("end", reportOnce);
        socket.removeListener("error", reportOnce);
        callback();
    };
    socket.once("end", reportOnce);
    socket.once("error", reportOnce);
}

/**
 * Runs one exchange. Failures: `connect-failed` and `cancelled` before the connection was established, `expired` if
 * no time is left, and `invalid-request` if the request can't be encoded. All other failures leave it unknown
 * whether the request was processed.
 */
export function send(client: Client, request: Request, signal: AbortSignal): ports.Reply<Response> {
    if (signal.aborted) {
        return Promise.resolve(result.err(codes.failure(codes.codes.cancelled, "aborted before dispatch")));
    }
    if (request.timeoutMs <= 0) {
        return Promise.resolve(result.err(codes.failure(codes.codes.expired, "no time left before dispatch")));
    }
    return new Promise(resolve => {
        try {
            new Exchange(client, request, signal, resolve).start();
        }
        catch (error) {
            resolve(result.err(codes.failure(codes.codes.invalidRequest, String(error))));
        }
    });
}

type Resolve = (reply: result.Result<Response, codes.Failure>) => void;

/** The state of one exchange. */
class Exchange {
    private readonly clientRequest: http.ClientRequest;
    private readonly requestBody: Buffer;
    private readonly timers = new Set<clocks.Disposable>();
    private readonly body: responseBodies.ResponseBody;
    private readonly informationalCount = new answerLimits.InformationalCount();
    private isDispatched = false;
    private isSettled = false;
    private hasResponseStarted = false;
    private exchangeTimeout: clocks.Disposable | undefined;
    private bodyTimeout: bodyTimeouts.BodyTimeout | undefined;
    private readonly onAbort = () => this.cancel();

    constructor(
        private readonly client: Client,
        private readonly request: Request,
        private readonly signal: AbortSignal,
        private readonly resolve: Resolve,
    ) {
        this.requestBody = encodeBody(request.body);
        this.body = new responseBodies.ResponseBody(request);
        this.clientRequest = http.request({
            host: client.host,
            port: client.port,
            method: request.method,
            path: request.path,
            agent: request.usesFreshConnection === true ? false : client.agent,
            maxHeaderSize: MAX_HEADER_BYTES,
            headers: {
                "content-type": "application/json",
                "content-length": String(this.requestBody.length),
                ...request.headers,
            },
        });
    }

    /** Sends the request; `resolve` is called when the exchange has ended. */
    start(): void {
        const timeoutMs = this.request.timeoutMs;
        this.signal.addEventListener("abort", this.onAbort, { once: true });
        this.clientRequest.on("socket", socket => this.watchConnecting(socket));
        this.clientRequest.on("error", error => this.fail(mapErrorCode(error), error.message));
        this.clientRequest.on("information", () => this.countInformational());
        this.clientRequest.on("response", response => this.receiveResponse(response));
        this.clientRequest.on("close", () => this.fail(codes.codes.upstreamReset, "closed"));
        this.exchangeTimeout = this.schedule(
            timeoutMs,
            () => this.fail(codes.codes.upstreamTimeout, `silent for ${timeoutMs} ms`),
        );
        this.clientRequest.end(this.requestBody);
    }

    private watchConnecting(socket: net.Socket): void {
        pacedSockets.paceOpened(socket, this.client.peer);
        if (!socket.connecting) {
            this.isDispatched = true;
            this.watchIfPooled(socket);
            return;
        }
        const timer = this.schedule(CONNECT_TIMEOUT_MS, () => this.fail(codes.codes.connectFailed, "connect timeout"));
        socket.once("connect", () => {
            this.isDispatched = true;
            timer.dispose();
            this.watchIfPooled(socket);
        });
    }

    private watchIfPooled(socket: net.Socket): void {
        if (this.request.usesFreshConnection !== true) {
            this.client.watchSocket(socket);
        }
    }

    private countInformational(): void {
        if (!this.informationalCount.add()) {
            this.fail(codes.codes.malformedAnswer, "too many informational heads");
        }
    }

    private receiveResponse(response: http.IncomingMessage): void {
        this.hasResponseStarted = true;
        const end = answerFramings.openEnd(this.request.method, response);
        if (end === undefined) {
            this.fail(codes.codes.malformedAnswer, "the head isn't that of an answer");
            return;
        }
        if (!this.hasMatchingEcho(response)) {
            this.fail(codes.codes.malformedAnswer, "an answer to another request");
            return;
        }
        if (this.request.bodyLimits !== undefined) {
            this.startBodyTimeout(this.request.bodyLimits);
        }
        response.on("data", (chunk: Buffer) => this.receiveChunk(response, chunk));
        response.on("error", error => this.fail(mapErrorCode(error), error.message));
        response.on("end", () => this.completeResponse(response, end));
    }

    /** Whether the response repeats the value of `echoedHeader`, or omits the header. */
    private hasMatchingEcho(response: http.IncomingMessage): boolean {
        const name = this.request.echoedHeader;
        const value = name === undefined ? undefined : response.headers[name];
        return name === undefined || value === undefined || value === this.request.headers?.[name];
    }

    private receiveChunk(response: http.IncomingMessage, chunk: Buffer): void {
        if (this.isSettled) {
            return;
        }
        const onChunk = isSuccess(response.statusCode ?? 0) ? this.request.onChunk : undefined;
        const { progressTimeoutMs } = this.request;
        if (onChunk !== undefined && progressTimeoutMs !== undefined && this.bodyTimeout === undefined) {
            this.startBodyTimeout({ silenceMs: progressTimeoutMs, minBytesPerSecond: 0 });
        }
        this.bodyTimeout?.receive(chunk.length);
        const failure = this.body.count(chunk) ?? (onChunk === undefined ? this.body.add(chunk) : onChunk(chunk));
        if (failure !== undefined) {
            this.fail(failure.code, failure.detail);
        }
    }

    /** Replaces the time-out of the exchange by the limits of its body. */
    private startBodyTimeout(limits: transferLimits.TransferLimits): void {
        this.exchangeTimeout?.dispose();
        this.bodyTimeout = new bodyTimeouts.BodyTimeout({
            clock: clocks.systemClock,
            limits,
            onTimeout: (bytes, elapsedMs) =>
                this.fail(codes.codes.upstreamTimeout, `${bytes} bytes of the body in ${Math.round(elapsedMs)} ms`),
        });
        this.timers.add(this.bodyTimeout);
    }

    private completeResponse(response: http.IncomingMessage, end: answerFramings.AnswerEnd): void {
        if (!end.isWhole) {
            this.fail(codes.codes.upstreamReset, `answer cut short (${end.framing}, ${end.connectionEnd})`);
            return;
        }
        this.settle(result.ok({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: this.body.take(),
        }));
    }

    private cancel(): void {
        this.fail(codes.codes.cancelledRunning, "aborted");
    }

    /** Ends the exchange with a failure; `code` is mapped to one that fits the progress of the exchange. */
    private fail(code: codes.ResultCode, detail: string): void {
        if (this.isSettled) {
            return;
        }
        this.settle(
            result.err(codes.failure(this.isDispatched ? this.refineCode(code) : mapUndispatched(code), detail)),
        );
        this.clientRequest.destroy();
    }

    /** Maps a connection lost during a streamed response to a broken stream. */
    private refineCode(code: codes.ResultCode): codes.ResultCode {
        const isStream = this.hasResponseStarted && this.request.onChunk !== undefined;
        return isStream && code === codes.codes.upstreamReset ? codes.codes.streamBroken : code;
    }

    private settle(reply: result.Result<Response, codes.Failure>): void {
        this.isSettled = true;
        this.signal.removeEventListener("abort", this.onAbort);
        for (const timer of this.timers) {
            timer.dispose();
        }
        this.resolve(reply);
    }

    private schedule(delayMs: number, callback: () => void): clocks.Disposable {
        const timer = readTimers.scheduleAfterReads(clocks.systemClock, delayMs, callback);
        this.timers.add(timer);
        return timer;
    }
}

function mapUndispatched(code: codes.ResultCode): codes.ResultCode {
    return code === codes.codes.cancelledRunning ? codes.codes.cancelled : codes.codes.connectFailed;
}

function mapErrorCode(error: NodeJS.ErrnoException): codes.ResultCode {
    return error.code?.startsWith("HPE_") === true ? codes.codes.malformedAnswer : codes.codes.upstreamReset;
}

function encodeBody(body: unknown): Buffer {
    return body === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(body));
}

/** Whether `status` is in the range 200 to 299. */
export function isSuccess(status: number): boolean {
    return status >= 200 && status < 300;
}

/** Parses a JSON body; an empty body gives undefined. Fails with `malformed-answer`. */
export function parseJson(body: Buffer): result.Result<unknown, codes.Failure> {
    if (body.length === 0) {
        return result.ok(undefined);
    }
    if (!jsonSizes.isParsable(body)) {
        return result.err(codes.failure(codes.codes.malformedAnswer, "too many objects and arrays"));
    }
    try {
        return result.ok(JSON.parse(body.toString("utf8")));
    }
    catch (error) {
        return result.err(codes.failure(codes.codes.malformedAnswer, String(error)));
    }
}
