/**
 * The HTTP server for callers of routed calls; runs one task for each request.
 */
import * as http from "node:http";
import * as result from "true-myth/result";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as logs from "../../common/Log";
import * as routing from "../../common/Routing";
import * as expectedTimes from "../../request/routed/ExpectedTime";
import * as plainRuns from "../../request/routed/PlainRun";
import * as calls from "../../request/routed/RoutedCall";
import * as routedRuns from "../../request/routed/RoutedRun";
import * as tables from "../../version/RouteTable";
import * as pauseMonitors from "../membership/PauseMonitor";
import * as callerWatches from "../serving/CallerWatch";
import * as idleConnections from "../serving/IdleConnections";
import * as listeners from "../serving/Listener";
import * as bodies from "./CallerBody";
import * as responses from "./CallerResponse";
import * as metrics from "./RouteMetrics";
import * as targets from "./TargetChoice";

/** Header size limit of the HTTP parser; the published limit is checked afterwards. */
const MAX_PARSED_HEADER_BYTES = 64 * 1024;
/** Added to the published idle time, so that the caller closes an idle connection first. */
const KEEP_ALIVE_MARGIN_MS = 1_500;
/** Time between two checks for connections whose headers time out. */
const CONNECTION_CHECK_INTERVAL_MS = 500;
/** The hard deadline is at least this long before the caller stops waiting, so that the answer still arrives. */
const ANSWER_MARGIN_MS = 25;
/** Retry delay sent by a process that isn't ready or is stopping. */
const NOT_READY_RETRY_MS = 500;
/** Requests that are read within this time of a late turn may have arrived during it. */
const PAUSE_WINDOW_MS = 100;
/** Time in which the end of a connection is read that arrived with its last request. */
const PENDING_READ_MS = 10;
const DEFAULT_LIMITS: routing.CallerLimits = {
    headerBytes: 16_384,
    bodyBytes: 4 * 1024 * 1024,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
};

/** What the server needs from its process. */
export interface RouteServerContext {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly random: () => number;
    readonly run: routedRuns.RunContext;
    readonly table: () => tables.RouteTable | undefined;
    /** Whether the process rejects new requests while it completes those in progress. */
    readonly isClosing: () => boolean;
    /** When requests still in progress are aborted; undefined while the process isn't stopping. */
    readonly stopDeadlineMs: () => number | undefined;
    readonly metrics: metrics.RouteMetrics;
    /** Detects late turns of the event loop, which may have left requests unread. */
    readonly pauses: pauseMonitors.PauseMonitor;
}

/** Accepts routed calls and writes their answers. */
export class RouteServer implements clocks.Disposable {
    private readonly server: http.Server;
    private readonly idleConnections: idleConnections.IdleConnections;
    private listener: listeners.Listener | undefined;
    private isDraining = false;
    private readonly openResponses = new Set<http.ServerResponse>();
    /** Calls in progress by their response. */
    private readonly callsByResponse = new Map<
        http.ServerResponse,
        {
            readonly call: calls.RoutedCall;
            readonly message: http.IncomingMessage;
            readonly abortController: AbortController;
        }
    >();

    constructor(private readonly context: RouteServerContext) {
        this.server = http.createServer({
            maxHeaderSize: MAX_PARSED_HEADER_BYTES,
            requestTimeout: 0,
            connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        }, (request, response) => void this.handleRequest(request, response));
        this.idleConnections = new idleConnections.IdleConnections(this.server);
        this.applyCallerLimits(DEFAULT_LIMITS);
    }

    /** Number of requests in progress. */
    get active(): number {
        return this.openResponses.size;
    }

    /** IP address and port in use; empty before `listen`. */
    get address(): string {
        return this.listener?.address ?? "";
    }

    /** Starts to accept connections; rejects when the address can't be used. */
    async listen(address: string): Promise<void> {
        this.listener = await listeners.listen(this.server, address);
    }

    /** Applies the time-outs of `limits`, to open connections too. */
    applyCallerLimits(limits: routing.CallerLimits): void {
        this.server.headersTimeout = limits.headerTimeoutMs;
        this.server.keepAliveTimeout = limits.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS;
    }

    /** Every answer that starts from now on closes its connection. */
    beginDrain(): void {
        this.isDraining = true;
        this.openResponses.forEach(response => response.shouldKeepAlive = false);
    }

    /** Stops accepting connections and closes those without a request. */
    stopAccepting(): void {
        this.listener?.stopAccepting();
        this.idleConnections.close();
    }

    /** Sends a failure to every call without an answer, and aborts streams that have started. */
    failUnansweredCalls(): void {
        for (const [response, { call, message, abortController }] of this.callsByResponse) {
            if (!response.headersSent && !response.destroyed) {
                const code = call.progress.mayHaveRun ? codes.codes.upstreamTimeout : codes.codes.draining;
                const retryAfterMs = call.progress.mayHaveRun ? undefined : NOT_READY_RETRY_MS;
                const failure = codes.failure(code, "the process stops", retryAfterMs);
                this.answerFailure(message, response, failure, call, call.arrivedMs);
                abortController.abort(); // A call reported as not run must not be sent any more.
            }
            else if (!response.writableEnded) {
                new responses.CallerResponse(response).abort();
            }
        }
    }

    dispose(): void {
        this.listener?.dispose();
    }

    private async handleRequest(message: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        try {
            await this.serveRequest(message, response);
        }
        catch (error) {
            this.handleException(message, response, error);
        }
    }

    /** Ends a request whose run failed with an exception, which is a defect of this program. */
    private handleException(message: http.IncomingMessage, response: http.ServerResponse, error: unknown): void {
        const { call, abortController } = this.callsByResponse.get(response) ?? {};
        const attempt = this.context.run.wire.readAttempt(message.headers);
        this.context.log.error({ decision: "exception", attempt, err: error }, "serving a request failed");
        abortController?.abort();
        if (response.headersSent) {
            new responses.CallerResponse(response).abort();
            return;
        }
        const failure = codes.failure(codes.codes.internalError, String(error));
        this.answerFailure(message, response, failure, call, call?.arrivedMs ?? this.context.clock.now());
    }

    private async serveRequest(message: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        this.openResponses.add(response);
        response.shouldKeepAlive &&= !this.isDraining;
        response.on("error", () => response.destroy());
        response.on("close", () => {
            this.openResponses.delete(response);
            this.callsByResponse.delete(response);
        });
        // The request may have waited unread for the whole pause, and its caller may have left since.
        const pauseMs = this.context.pauses.recentPauseMs(PAUSE_WINDOW_MS);
        const arrivedMs = this.context.clock.now() - pauseMs;
        const abortController = callerWatches.watchCaller(response);
        const accepted = await this.readRequest(message, response, arrivedMs, abortController.signal);
        if (pauseMs > 0) {
            await clocks.sleep(this.context.clock, PENDING_READ_MS);
            await new Promise<void>(resolve => this.context.clock.afterReads(resolve));
        }
        if (accepted.isErr) {
            this.answerFailure(message, response, accepted.error, undefined, arrivedMs);
            return;
        }
        const call = accepted.value;
        if (abortController.signal.aborted) {
            this.recordAnswer(call, "gone", {});
            return;
        }
        this.callsByResponse.set(response, { call, message, abortController });
        const sink = new responses.CallerResponse(response);
        const end = await routedRuns.runRouted(this.context.run, call, sink);
        if (response.writableEnded && end.kind !== "streamed") {
            return; // Already answered by `failUnansweredCalls`.
        }
        this.finishCall(message, response, call, end, sink);
    }

    private finishCall(
        message: http.IncomingMessage,
        response: http.ServerResponse,
        call: calls.RoutedCall,
        end: plainRuns.RunOutcome,
        sink: responses.CallerResponse,
    ): void {
        switch (end.kind) {
            case "buffered":
                sink.writeComplete(end.status, end.headers, end.body, end.isFramed);
                this.recordAnswer(call, String(end.status), { instance: end.instance });
                return;
            case "streamed":
                this.recordAnswer(call, end.isComplete ? "200" : "broken-off", {});
                return;
            case "disconnected":
                response.destroy();
                this.recordAnswer(call, "gone", {});
                return;
            case "local-failure":
                if (sink.hasBegun) {
                    sink.abort();
                    this.recordAnswer(call, "broken-off", { code: end.failure.code.name });
                    return;
                }
                this.answerFailure(message, response, end.failure, call, call.arrivedMs);
        }
    }

    /** Reads a request and finds its route, team and service in the published configuration. */
    private async readRequest(
        message: http.IncomingMessage,
        response: http.ServerResponse,
        arrivedMs: number,
        signal: AbortSignal,
    ): Promise<result.Result<calls.RoutedCall, codes.Failure>> {
        const table = this.context.table();
        if (table === undefined || this.context.isClosing()) {
            response.shouldKeepAlive &&= !this.context.isClosing();
            return result.err(codes.failure(codes.codes.notReady, "not taking requests", NOT_READY_RETRY_MS));
        }
        const { limits } = table.configuration;
        if (headerBytes(message) > limits.headerBytes) {
            return result.err(codes.failure(codes.codes.headersTooLarge, "headers"));
        }
        const path = message.url ?? "";
        const callMetadata = this.context.run.wire.readCall(message.headers);
        const route = table.findRoute(message.headers.host ?? "", pathOf(path));
        if (route === undefined) {
            return result.err(codes.failure(codes.codes.unknownPath, "no route"));
        }
        if (callMetadata.isErr) {
            return result.err(callMetadata.error);
        }
        const team = table.findTeam(callMetadata.value.apiKey);
        if (table.needsKeys && !route.isPublic && team === undefined) {
            return result.err(codes.failure(codes.codes.unknownKey, route.name));
        }
        const stopDeadlineMs = this.context.stopDeadlineMs() ?? Infinity;
        if (arrivedMs + expectedTimes.expectedMs(route, callMetadata.value) > stopDeadlineMs) {
            return result.err(codes.failure(codes.codes.draining, "can't end before the stop", NOT_READY_RETRY_MS));
        }
        const body = await bodies.readCallerBody(
            message,
            { maxBytes: limits.bodyBytes, idleMs: limits.idleTimeoutMs },
            this.context.clock,
        );
        if (body.isErr) {
            return result.err(body.error);
        }
        const hasBody = body.value.length > 0 || message.headers["content-length"] !== undefined;
        const callerWaitMs = (callMetadata.value.remainingMs ?? Infinity) - ANSWER_MARGIN_MS;
        return result.ok({
            metadata: callMetadata.value,
            route,
            team,
            service: targets.pickService(route, this.context.random),
            method: message.method ?? "GET",
            path,
            headers: message.rawHeaders,
            body: hasBody ? body.value : undefined,
            arrivedMs,
            softDeadlineAtMs: arrivedMs + route.goalMs,
            hardDeadlineAtMs: arrivedMs + Math.min(callerWaitMs, route.timeoutMs),
            progress: { mayHaveRun: false },
            signal,
        });
    }

    private answerFailure(
        message: http.IncomingMessage,
        response: http.ServerResponse,
        failure: codes.Failure,
        call: calls.RoutedCall | undefined,
        arrivedMs: number,
    ): void {
        const bodyEnd = message.complete ? undefined : bodies.discardCallerBody(message, this.context.clock);
        const attempt = this.context.run.wire.readAttempt(message.headers);
        const headers = this.context.run.wire.errorHeaders(attempt, failure.retryAfterMs);
        responses.writeLocalAnswer(response, failure.code.status, headers, failure.code, bodyEnd);
        this.context.metrics.countEnd(call?.route.name ?? "none", String(failure.code.status));
        this.context.log.info({
            decision: "answer",
            attempt,
            route: call?.route.name,
            team: call?.team?.name,
            version: this.context.table()?.configuration.version,
            status: failure.code.status,
            code: failure.code.code,
            name: failure.code.name,
            detail: failure.detail,
            retryAfterMs: failure.retryAfterMs,
            elapsedMs: Math.round(this.context.clock.now() - arrivedMs),
        }, "answered by this process");
    }

    private recordAnswer(call: calls.RoutedCall, end: string, extraFields: Record<string, unknown>): void {
        const elapsedMs = this.context.clock.now() - call.arrivedMs;
        this.context.metrics.countEnd(call.route.name, end);
        this.context.metrics.recordDuration(call.route.name, elapsedMs);
        this.context.log.info({
            decision: "answer",
            attempt: call.metadata.attempt,
            route: call.route.name,
            team: call.team?.name,
            version: this.context.table()?.configuration.version,
            end,
            ...extraFields,
            stagesMs: roundMs(call.progress.stagesMs),
            firstEventMs: roundMs(call.progress.firstEventMs),
            elapsedMs: Math.round(elapsedMs),
        }, "call ended");
    }
}

function pathOf(url: string): string {
    const query = url.indexOf("?");
    return query < 0 ? url : url.slice(0, query);
}

function headerBytes(message: http.IncomingMessage): number {
    return message.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

function roundMs(ms: number | undefined): number | undefined {
    return ms === undefined ? undefined : Math.round(ms);
}
