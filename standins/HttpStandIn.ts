/**
 * The base of every stand-in: an HTTP server on 127.0.0.1 with the faults that all of them share.
 */
import * as http from "node:http";
import * as net from "node:net";
import * as clocks from "../src/common/Clock";

/** Above the idle time of clients, so that only faults cut a connection. */
const KEEP_ALIVE_MS = 60_000;

/** Faults of every stand-in; each holds until it is cleared. */
export interface Faults {
    /** Time before each answer. */
    delayMs?: number | undefined;
    /** Whether connections are accepted and destroyed; see `stop` for refusing them. */
    down?: boolean | undefined;
    /** Whether requests are read and never answered. */
    hang?: boolean | undefined;
    /** Whether answers are cut JSON. */
    malformed?: boolean | undefined;
    /** Bytes of JSON to answer with. */
    oversizedBytes?: number | undefined;
    /** Raw bytes, base64, to answer with before the connection is closed. */
    rawBase64?: string | undefined;
    /** Whether answers name another request than their own. */
    otherRequest?: boolean | undefined;
    /** Whether the health check says that no new work is taken; work is done all the same. */
    leaving?: boolean | undefined;
    /** HTTP status of every answer. */
    status?: number | undefined;
}

/** A request with its body read. */
export interface IncomingRequest {
    readonly method: string;
    readonly path: string;
    readonly query: URLSearchParams;
    readonly headers: http.IncomingHttpHeaders;
    /** Parsed JSON; undefined for an empty body. */
    readonly body: unknown;
}

/** Options of every stand-in. */
export interface ListenOptions {
    /** Port to listen on; 0 or undefined takes a free one. */
    readonly port?: number | undefined;
}

/** An HTTP server with counters and faults. */
export abstract class HttpStandIn implements clocks.Disposable {
    faults: Faults = {};
    /** Requests received. */
    calls = 0;
    /** Connections accepted. */
    connections = 0;
    private port = 0;
    private readonly server = http.createServer((request, response) => {
        this.serve(request, response).catch(() => response.destroy());
    });

    protected constructor() {
        this.server.keepAliveTimeout = KEEP_ALIVE_MS;
        this.server.on("connection", (socket: net.Socket) => {
            this.connections++;
            socket.setNoDelay(true);
            if (this.faults.down === true) {
                socket.destroy();
            }
        });
    }

    /** IP number and port. */
    get address(): string {
        return `127.0.0.1:${this.port}`;
    }

    /** Counters and log for reading from another process. */
    abstract describe(): Record<string, unknown>;

    /** Answers one request that no common fault took. */
    protected abstract handle(incoming: IncomingRequest, response: http.ServerResponse): Promise<void>;

    /** Starts listening on the given port, or again on the port of before. */
    async start(port = this.port): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, "127.0.0.1", () => {
                this.server.removeListener("error", reject);
                resolve();
            });
        });
        this.port = (this.server.address() as net.AddressInfo).port;
    }

    /** Stops listening and cuts every connection, so that connecting is refused. */
    stop(): void {
        this.server.close();
        this.cutConnections();
    }

    /** Cuts every connection, as a killed process would. */
    cutConnections(): void {
        this.server.closeAllConnections();
    }

    dispose(): void {
        this.stop();
    }

    private async serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        this.calls++;
        const body = await readBody(request);
        const { faults } = this;
        if (faults.down === true) {
            request.socket.destroy();
            return;
        }
        if (faults.hang === true) {
            return;
        }
        if (faults.delayMs !== undefined) {
            await clocks.sleep(clocks.systemClock, faults.delayMs);
        }
        const requestId = request.headers["x-request"];
        if (requestId !== undefined) {
            response.setHeader("x-request", faults.otherRequest === true ? "other" : requestId);
        }
        if (!sendFaultyAnswer(faults, request, response)) {
            await this.handle(parseIncoming(request, body), response);
        }
    }
}

/** Answers with JSON; an undefined body is an empty one. */
export function sendJson(
    response: http.ServerResponse,
    status: number,
    body?: unknown,
    headers: Record<string, string> = {},
): void {
    const content = body === undefined ? "" : JSON.stringify(body);
    response.writeHead(status, { ...headers, "content-type": "application/json" });
    response.end(content);
}

/** The value of a header that adapters percent-encode; undefined when absent. */
export function readEncodedHeader(headers: http.IncomingHttpHeaders, name: string): string | undefined {
    const value = headers[name];
    return typeof value === "string" ? decodeURIComponent(value) : undefined;
}

/** Whether a common fault has given the answer. */
function sendFaultyAnswer(faults: Faults, request: http.IncomingMessage, response: http.ServerResponse): boolean {
    if (faults.rawBase64 !== undefined) {
        request.socket.end(Buffer.from(faults.rawBase64, "base64"));
        return true;
    }
    if (faults.status !== undefined) {
        sendJson(response, faults.status, { error: "fault" });
        return true;
    }
    if (faults.malformed === true) {
        response.end("{\"broken\": [");
        return true;
    }
    if (faults.oversizedBytes !== undefined) {
        response.end(JSON.stringify("x".repeat(faults.oversizedBytes)));
        return true;
    }
    return false;
}

function parseIncoming(request: http.IncomingMessage, body: Buffer): IncomingRequest {
    const url = new URL(request.url ?? "/", "http://stand-in");
    return {
        method: request.method ?? "GET",
        path: url.pathname,
        query: url.searchParams,
        headers: request.headers,
        body: body.length === 0 ? undefined : JSON.parse(body.toString("utf8")),
    };
}

async function readBody(request: http.IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks);
}
