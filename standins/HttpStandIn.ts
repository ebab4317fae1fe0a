/**
 * Base class of the stand-ins: an HTTP server on 127.0.0.1 with the faults that all stand-ins share.
 */
import * as http from "node:http";
import * as net from "node:net";
import * as clocks from "../src/common/Clock";

/** Longer than the idle time-out of clients, so that only faults close a connection. */
const KEEP_ALIVE_MS = 60_000;

/** Faults of every stand-in; each stays in effect until it is cleared. */
export interface Faults {
    /** Delay before each answer. */
    delayMs?: number | undefined;
    /** Whether connections are accepted and then closed at once; `stop` refuses them instead. */
    down?: boolean | undefined;
    /** Whether requests are read and never answered. */
    hang?: boolean | undefined;
    /** Whether answers are truncated JSON. */
    malformed?: boolean | undefined;
    /** Length of the JSON string that answers consist of. */
    oversizedBytes?: number | undefined;
    /** Raw bytes, in base64, that are sent instead of an HTTP answer before the connection is closed. */
    rawBase64?: string | undefined;
    /** Whether answers carry the ID of another request. */
    otherRequest?: boolean | undefined;
    /** Whether the health check reports that no new work is accepted; calls are served nevertheless. */
    leaving?: boolean | undefined;
    /** HTTP status of every answer. */
    status?: number | undefined;
}

/** A request whose body has been read. */
export interface IncomingRequest {
    readonly method: string;
    readonly path: string;
    readonly query: URLSearchParams;
    readonly headers: http.IncomingHttpHeaders;
    /** Parsed JSON, or undefined if the body is empty. */
    readonly body: unknown;
}

/** Options of every stand-in. */
export interface ListenOptions {
    /** Port to listen on; 0 or undefined selects a free one. */
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

    /** IP address and port. */
    get address(): string {
        return `127.0.0.1:${this.port}`;
    }

    /** Counters and logs, as JSON for other processes. */
    abstract describe(): Record<string, unknown>;

    /** Answers a request to which no shared fault applies. */
    protected abstract handle(incoming: IncomingRequest, response: http.ServerResponse): Promise<void>;

    /** Starts listening on the given port, by default the previous one. */
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

    /** Stops listening and closes all connections; new ones are refused. */
    stop(): void {
        this.server.close();
        this.cutConnections();
    }

    /** Closes all connections, as if the process had been killed. */
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

/** Answers with JSON, or with an empty body if `body` is undefined. */
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

/** Decodes a header that the adapters percent-encode; undefined if it is absent. */
export function readEncodedHeader(headers: http.IncomingHttpHeaders, name: string): string | undefined {
    const value = headers[name];
    return typeof value === "string" ? decodeURIComponent(value) : undefined;
}

/** Answers according to a shared fault; returns whether there was one. */
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
