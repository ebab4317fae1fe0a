/**
 * One HTTP exchange with an outside system: bounded, timed, and resolved to a result. It tells apart what
 * failed before a connection stood, when no byte can have been sent, from what failed after.
 */
import * as http from "node:http";
import * as net from "node:net";
import * as result from "true-myth/result";
import * as addresses from "../../common/Address";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as emitters from "../../common/Emitter";
import * as ports from "../../common/Ports";

/** Time for a new connection to stand. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Idle time after which a pooled connection is closed. */
const IDLE_SOCKET_TIMEOUT_MS = 15_000;
const MAX_IDLE_SOCKETS = 64;
/** Largest answer accepted when the request says nothing else. */
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;
const MAX_HEADER_BYTES = 16 * 1024;

/** An address and its pool of connections. */
export interface Client {
    readonly host: string;
    readonly port: number;
    readonly agent: http.Agent;
    /** Fires when the outside system ended a pooled connection, in use or not. */
    readonly onDisconnect: emitters.Event<void>;
    /** Watches a pooled connection until it ends. */
    readonly watch: (socket: net.Socket) => void;
}

/** What to ask. */
export interface Request {
    readonly method: "GET" | "POST" | "PUT";
    readonly path: string;
    readonly headers?: Record<string, string>;
    /** Sent as JSON; undefined sends an empty body. */
    readonly body?: unknown;
    /** Time for the whole exchange. */
    readonly timeoutMs: number;
    /** Whether to use a connection of its own. */
    readonly freshConnection?: boolean;
    readonly maxAnswerBytes?: number;
    /** A header of the request that the answer repeats; one with another value answers another request. */
    readonly echoedHeader?: string;
    /** Longest time between two chunks of a streamed answer; replaces `timeoutMs` from the first chunk on. */
    readonly progressMs?: number;
    /** Takes the chunks of a 2xx body in place of collecting them; a failure ends the exchange. */
    readonly onChunk?: (chunk: Buffer) => codes.Failure | undefined;
}

/** What came back. */
export interface Answer {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    /** Empty when chunks went to `onChunk`. */
    readonly body: Buffer;
}

/** Makes a client for `address`, an IP number and a port. */
export function createClient(address: string): Client {
    const { host, port } = addresses.parseAddress(address);
    const agent = new http.Agent({
        keepAlive: true,
        timeout: IDLE_SOCKET_TIMEOUT_MS,
        maxFreeSockets: MAX_IDLE_SOCKETS,
        scheduling: "lifo",
    });
    const disconnects = new emitters.Emitter<void>();
    const watched = new WeakSet<net.Socket>();
    return {
        host,
        port,
        agent,
        onDisconnect: disconnects.event,
        watch(socket) {
            if (!watched.has(socket)) {
                watched.add(socket);
                watchDisconnect(socket, () => disconnects.fire());
            }
        },
    };
}

/** Calls back once when the other side ends an established connection; this side's own end doesn't count. */
function watchDisconnect(socket: net.Socket, callback: () => void): void {
    const report = (): void => {
        socket.removeListener("end", report);
        socket.removeListener("error", report);
        callback();
    };
    socket.once("end", report);
    socket.once("error", report);
}

/**
 * Runs one exchange. Failures: `connect-failed` and `cancelled` before the connection stood, `expired`
 * without time left, and `invalid-request` for what can't be encoded; everything later has an unknown outcome.
 */
export function send(client: Client, request: Request, signal: AbortSignal): ports.Reply<Answer> {
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

type Resolve = (reply: result.Result<Answer, codes.Failure>) => void;

/** The state of one exchange. */
class Exchange {
    private readonly outgoing: http.ClientRequest;
    private readonly content: Buffer;
    private readonly timers = new Set<clocks.Disposable>();
    private readonly chunks: Buffer[] = [];
    private received = 0;
    private isDispatched = false;
    private isSettled = false;
    private hasAnswerStarted = false;
    private limit: clocks.Disposable | undefined;
    private readonly abort = () => this.cancel();

    constructor(
        private readonly client: Client,
        private readonly request: Request,
        private readonly signal: AbortSignal,
        private readonly resolve: Resolve,
    ) {
        this.content = encodeBody(request.body);
        this.outgoing = http.request({
            host: client.host,
            port: client.port,
            method: request.method,
            path: request.path,
            agent: request.freshConnection === true ? false : client.agent,
            maxHeaderSize: MAX_HEADER_BYTES,
            headers: {
                "content-type": "application/json",
                "content-length": String(this.content.length),
                ...request.headers,
            },
        });
    }

    /** Sends the request; the promise of `send` resolves at the end. */
    start(): void {
        const timeoutMs = this.request.timeoutMs;
        this.signal.addEventListener("abort", this.abort, { once: true });
        this.outgoing.on("socket", socket => this.watchConnect(socket));
        this.outgoing.on("error", error => this.fail(codeOf(error), error.message));
        this.outgoing.on("response", response => this.receive(response));
        this.outgoing.on("close", () => this.fail(codes.codes.upstreamReset, "closed"));
        this.limitTime(timeoutMs);
        this.outgoing.end(this.content);
    }

    private watchConnect(socket: net.Socket): void {
        if (!socket.connecting) {
            this.isDispatched = true;
            this.watchPooled(socket);
            return;
        }
        const timer = this.schedule(CONNECT_TIMEOUT_MS, () => this.fail(codes.codes.connectFailed, "connect timeout"));
        socket.once("connect", () => {
            this.isDispatched = true;
            timer.dispose();
            this.watchPooled(socket);
        });
    }

    private watchPooled(socket: net.Socket): void {
        if (this.request.freshConnection !== true) {
            this.client.watch(socket);
        }
    }

    private receive(response: http.IncomingMessage): void {
        this.hasAnswerStarted = true;
        if (!this.isEchoed(response)) {
            this.fail(codes.codes.malformedAnswer, "an answer to another request");
            return;
        }
        response.on("data", (chunk: Buffer) => this.take(response, chunk));
        response.on("error", error => this.fail(codeOf(error), error.message));
        response.on("end", () => this.finish(response));
    }

    /** Whether the answer repeats the agreed header, or leaves it out. */
    private isEchoed(response: http.IncomingMessage): boolean {
        const name = this.request.echoedHeader;
        const value = name === undefined ? undefined : response.headers[name];
        return name === undefined || value === undefined || value === this.request.headers?.[name];
    }

    private take(response: http.IncomingMessage, chunk: Buffer): void {
        if (this.isSettled) {
            return;
        }
        if (this.request.onChunk !== undefined && isSuccess(response.statusCode ?? 0)) {
            this.limitTime(this.request.progressMs);
            const problem = this.request.onChunk(chunk);
            if (problem !== undefined) {
                this.fail(problem.code, problem.detail);
            }
            return;
        }
        this.received += chunk.length;
        if (this.received > (this.request.maxAnswerBytes ?? MAX_ANSWER_BYTES)) {
            this.fail(codes.codes.malformedAnswer, `more than ${this.received} bytes`);
            return;
        }
        this.chunks.push(chunk);
    }

    private finish(response: http.IncomingMessage): void {
        if (!response.complete) {
            this.fail(codes.codes.upstreamReset, "answer cut short");
            return;
        }
        this.settle(result.ok({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(this.chunks),
        }));
    }

    private cancel(): void {
        this.fail(codes.codes.cancelledRunning, "aborted");
    }

    /** Ends the exchange with `code`, or with what is true before the connection stood. */
    private fail(code: codes.ResultCode, detail: string): void {
        if (this.isSettled) {
            return;
        }
        this.settle(result.err(codes.failure(this.isDispatched ? this.refine(code) : undispatched(code), detail)));
        this.outgoing.destroy();
    }

    /** A connection lost in the middle of a streamed answer is a broken stream. */
    private refine(code: codes.ResultCode): codes.ResultCode {
        const isStream = this.hasAnswerStarted && this.request.onChunk !== undefined;
        return isStream && code === codes.codes.upstreamReset ? codes.codes.streamBroken : code;
    }

    private settle(reply: result.Result<Answer, codes.Failure>): void {
        this.isSettled = true;
        this.signal.removeEventListener("abort", this.abort);
        for (const timer of this.timers) {
            timer.dispose();
        }
        this.resolve(reply);
    }

    /** Replaces the time limit; undefined keeps it. */
    private limitTime(limitMs: number | undefined): void {
        if (limitMs !== undefined && !this.isSettled) {
            if (this.limit !== undefined) {
                this.limit.dispose();
                this.timers.delete(this.limit);
            }
            this.limit = this.schedule(
                limitMs,
                () => this.fail(codes.codes.upstreamTimeout, `silent for ${limitMs} ms`),
            );
        }
    }

    private schedule(delayMs: number, callback: () => void): clocks.Disposable {
        const timer = clocks.systemClock.schedule(delayMs, callback);
        this.timers.add(timer);
        return timer;
    }
}

function undispatched(code: codes.ResultCode): codes.ResultCode {
    return code === codes.codes.cancelledRunning ? codes.codes.cancelled : codes.codes.connectFailed;
}

function codeOf(error: NodeJS.ErrnoException): codes.ResultCode {
    return error.code?.startsWith("HPE_") === true ? codes.codes.malformedAnswer : codes.codes.upstreamReset;
}

function encodeBody(body: unknown): Buffer {
    return body === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(body));
}

/** Whether `status` is in the range 200 to 299. */
export function isSuccess(status: number): boolean {
    return status >= 200 && status < 300;
}

/** Parses a JSON body; an empty one is undefined. Failure: `malformed-answer`. */
export function parseJson(body: Buffer): result.Result<unknown, codes.Failure> {
    if (body.length === 0) {
        return result.ok(undefined);
    }
    try {
        return result.ok(JSON.parse(body.toString("utf8")));
    }
    catch (error) {
        return result.err(codes.failure(codes.codes.malformedAnswer, String(error)));
    }
}

/** Time from a `retry-after` header in seconds; undefined when there is none or it is no number. */
export function readRetryAfterMs(answer: Answer): number | undefined {
    const seconds = Number(answer.headers["retry-after"]);
    return Number.isFinite(seconds) && seconds >= 0 ? Math.ceil(seconds * 1_000) : undefined;
}

/** Value of a header as one string of bounded length. */
export function readHeader(answer: Answer, name: string): string | undefined {
    const value = answer.headers[name];
    return typeof value === "string" && value.length > 0 && value.length <= 200 ? value : undefined;
}
