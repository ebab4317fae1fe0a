/**
 * Serves health, readiness, metrics and status of a process over HTTP, for the platform's balancer and operators.
 */
import * as http from "node:http";
import * as prom from "prom-client";
import * as listeners from "../../connection/Listener";
import * as requestLimits from "../../connection/RequestLimit";
import * as renderings from "./SharedRendering";

/** Further connections are closed at once, so that they take no descriptors from the process's work. */
const MAX_CONNECTIONS = 32;
/** Requests in progress on a connection, beyond which its next one isn't read. */
const MAX_PIPELINED_REQUESTS = 2;

/** Connections that send nothing give way soon, since their number is bounded. */
const TIME_LIMITS: http.ServerOptions = {
    headersTimeout: 2_000,
    requestTimeout: 5_000,
    connectionsCheckingInterval: 500,
};

/** The process that the admin server reports on. */
export interface AdminSource {
    /** Whether the balancer may send work to this process. */
    isReady(): boolean;
    /** State of the process; served as JSON. */
    status(): unknown;
    readonly registry: prom.Registry;
}

/** Starts the admin server on `address`, an IP address and a port; the balancer polls `readyPath`. */
export async function listenAdmin(
    address: string,
    source: AdminSource,
    context: listeners.ListenContext,
    readyPath = "/readyz",
): Promise<listeners.Listener> {
    const metrics = new renderings.SharedRendering(context.clock, () => source.registry.metrics());
    const status = new renderings.SharedRendering(
        context.clock,
        () => Promise.resolve(JSON.stringify(source.status(), undefined, 2) + "\n"),
    );
    const server = http.createServer(TIME_LIMITS, (request, response) => {
        handleRequest({ source, metrics, status, readyPath }, request, response).catch((error: unknown) => {
            // Whoever asked sees the cause; the work of the process doesn't depend on it.
            if (!response.headersSent) {
                send(response, 500, "text/plain", `${String(error)}\n`);
            }
        });
    });
    requestLimits.limitRequests(server, "admin", MAX_PIPELINED_REQUESTS);
    server.maxConnections = MAX_CONNECTIONS;
    return listeners.listen(server, address, context);
}

/** What the server answers with. */
interface AdminContents {
    readonly source: AdminSource;
    readonly metrics: renderings.SharedRendering;
    readonly status: renderings.SharedRendering;
    readonly readyPath: string;
}

async function handleRequest(
    { source, metrics, status, readyPath }: AdminContents,
    request: http.IncomingMessage,
    response: http.ServerResponse,
): Promise<void> {
    request.resume();
    switch (request.url ?? "") {
        case "/healthz":
            return send(response, 200, "text/plain", "ok\n");
        case readyPath:
            return source.isReady()
                ? send(response, 200, "text/plain", "ready\n")
                : send(response, 503, "text/plain", "not ready\n");
        case "/metrics":
            return send(response, 200, source.registry.contentType, await metrics.next());
        case "/status":
            return send(response, 200, "application/json", await status.next());
        default:
            return send(response, 404, "text/plain", "not found\n");
    }
}

function send(response: http.ServerResponse, status: number, contentType: string, body: string): void {
    response.writeHead(status, { "content-type": contentType });
    response.end(body);
}
