/**
 * The HTTP server that callers of routed calls connect to: one task for each request.
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
import * as callerWatches from "../serving/CallerWatch";
import * as listeners from "../serving/Listener";
import * as bodies from "./CallerBody";
import * as responses from "./CallerResponse";
import * as metrics from "./RouteMetrics";

/** Largest header that the parser takes; the published limit is applied after it. */
const PARSER_HEADER_BYTES = 64 * 1024;
/** Idle connections outlive the published idle time by this, so that the caller closes first. */
const KEEP_ALIVE_SLACK_MS = 1_500;
/** Time between two looks for connections that are too slow. */
const CONNECTION_CHECK_MS = 500;
/** An answer of this system's own leaves so long before the caller stops waiting. */
const ANSWER_MARGIN_MS = 25;
/** When to come back to a process that isn't ready. */
const NOT_READY_RETRY_MS = 500;
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
    /** Whether the process no longer takes requests, though it still answers. */
    readonly isClosing: () => boolean;
    /** When the process ends at the latest; undefined while it isn't stopping. */
    readonly endsAtMs: () => number | undefined;
    readonly metrics: metrics.RouteMetrics;
}

/** Accepts routed calls. */
export class RouteServer implements clocks.Disposable {
    private readonly server: http.Server;
    private listener: listeners.Listener | undefined;
    private isDraining = false;
    private readonly open = new Set<http.ServerResponse>();
    /** Calls under way by their response. */
    private readonly calls = new Map<
        http.ServerResponse,
        { readonly call: calls.RoutedCall; readonly message: http.IncomingMessage; readonly leave: AbortController }
    >();

    constructor(private readonly context: RouteServerContext) {
        this.server = http.createServer({
            maxHeaderSize: PARSER_HEADER_BYTES,
            requestTimeout: 0,
            connectionsCheckingInterval: CONNECTION_CHECK_MS,
        }, (request, response) => void this.serve(request, response));
        this.applyLimits(DEFAULT_LIMITS);
    }

    /** Requests under way. */
    get active(): number {
        return this.open.size;
    }

    /** IP number and port in use; empty before `listen`. */
    get address(): string {
        return this.listener?.address ?? "";
    }

    /** Starts to accept; rejects when the address can't be used. */
    async listen(address: string): Promise<void> {
        this.listener = await listeners.listen(this.server, address);
    }

    /** Puts published limits in force for connections from now on. */
    applyLimits(limits: routing.CallerLimits): void {
        this.server.headersTimeout = limits.headerTimeoutMs;
        this.server.keepAliveTimeout = limits.idleTimeoutMs + KEEP_ALIVE_SLACK_MS;
    }

    /** From now on every answer closes its connection. */
    beginDrain(): void {
        this.isDraining = true;
        this.open.forEach(response => response.shouldKeepAlive = false);
    }

    /** Stops accepting and closes connections without a request. */
    closeIdle(): void {
        this.listener?.stopAccepting();
        this.server.closeIdleConnections();
    }

    /** Gives every call that has no answer yet its final one; streams that have begun are cut by the end. */
    answerAll(): void {
        for (const [response, { call, message, leave }] of this.calls) {
            if (!response.headersSent && !response.destroyed) {
                const code = call.progress.mayHaveRun ? codes.codes.upstreamTimeout : codes.codes.draining;
                const retryAfterMs = call.progress.mayHaveRun ? undefined : NOT_READY_RETRY_MS;
                const failure = codes.failure(code, "the process stops", retryAfterMs);
                this.refuse(message, response, failure, call, call.arrivedMs);
                leave.abort(); // What was called not run mustn't be sent any more.
            }
        }
    }

    dispose(): void {
        this.listener?.dispose();
    }

    private async serve(message: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        this.open.add(response);
        response.shouldKeepAlive &&= !this.isDraining;
        response.on("error", () => response.destroy());
        response.on("close", () => {
            this.open.delete(response);
            this.calls.delete(response);
        });
        const arrivedMs = this.context.clock.now();
        const leave = callerWatches.watchCaller(response);
        const accepted = await this.accept(message, response, arrivedMs, leave.signal);
        if (accepted.isErr) {
            this.refuse(message, response, accepted.error, undefined, arrivedMs);
            return;
        }
        const call = accepted.value;
        this.calls.set(response, { call, message, leave });
        const sink = new responses.CallerResponse(response);
        const end = await routedRuns.runRouted(this.context.run, call, sink);
        if (response.writableEnded && end.kind !== "passed") {
            return; // The stop of the process has answered it.
        }
        this.answer(message, response, call, end, sink);
    }

    private answer(
        message: http.IncomingMessage,
        response: http.ServerResponse,
        call: calls.RoutedCall,
        end: plainRuns.RunOutcome,
        sink: responses.CallerResponse,
    ): void {
        switch (end.kind) {
            case "whole":
                sink.writeWhole(end.status, end.headers, end.body, end.isFramed);
                this.record(call, String(end.status), { instance: end.instance });
                return;
            case "passed":
                this.record(call, end.isComplete ? "200" : "broken-off", {});
                return;
            case "gone":
                response.destroy();
                this.record(call, "gone", {});
                return;
            case "own":
                if (sink.hasBegun) {
                    sink.breakOff();
                    this.record(call, "broken-off", { code: end.failure.code.name });
                    return;
                }
                this.refuse(message, response, end.failure, call, call.arrivedMs);
        }
    }

    /** Reads a request and finds what is published for it. */
    private async accept(
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
        const facts = this.context.run.wire.readCall(message.headers);
        const route = table.findRoute(message.headers.host ?? "", pathOf(path));
        if (route === undefined) {
            return result.err(codes.failure(codes.codes.unknownPath, "no route"));
        }
        if (facts.isErr) {
            return result.err(facts.error);
        }
        const team = table.findTeam(facts.value.apiKey);
        if (table.needsKeys && !route.isOpen && team === undefined) {
            return result.err(codes.failure(codes.codes.unknownKey, route.name));
        }
        const endsAtMs = this.context.endsAtMs() ?? Infinity;
        if (arrivedMs + expectedTimes.expectedMs(route, facts.value) > endsAtMs) {
            return result.err(codes.failure(codes.codes.draining, "can't end before the stop", NOT_READY_RETRY_MS));
        }
        const body = await bodies.readCallerBody(
            message,
            { bytes: limits.bodyBytes, idleMs: limits.idleTimeoutMs },
            this.context.clock,
        );
        if (body.isErr) {
            return result.err(body.error);
        }
        const hasBody = body.value.length > 0 || message.headers["content-length"] !== undefined;
        const waitMs = (facts.value.remainingMs ?? Infinity) - ANSWER_MARGIN_MS;
        return result.ok({
            metadata: facts.value,
            route,
            team,
            service: pickTarget(route, this.context.random),
            method: message.method ?? "GET",
            path,
            headers: message.rawHeaders,
            body: hasBody ? body.value : undefined,
            arrivedMs,
            softDeadlineAtMs: arrivedMs + route.goalMs,
            hardDeadlineAtMs: arrivedMs + Math.min(waitMs, route.timeoutMs),
            progress: { mayHaveRun: false },
            signal,
        });
    }

    private refuse(
        message: http.IncomingMessage,
        response: http.ServerResponse,
        failure: codes.Failure,
        call: calls.RoutedCall | undefined,
        arrivedMs: number,
    ): void {
        if (!message.complete) {
            response.shouldKeepAlive = false; // What is left of the body can't be told from a next request.
        }
        const attempt = this.context.run.wire.attemptOf(message.headers);
        const headers = this.context.run.wire.refusalHeaders(attempt, failure.retryAfterMs);
        responses.writeOwn(response, failure.code.status, headers, failure.code);
        this.context.metrics.recordEnd(call?.route.name ?? "none", String(failure.code.status));
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

    private record(call: calls.RoutedCall, end: string, more: Record<string, unknown>): void {
        const elapsedMs = this.context.clock.now() - call.arrivedMs;
        this.context.metrics.recordEnd(call.route.name, end);
        this.context.metrics.recordTime(call.route.name, elapsedMs);
        this.context.log.info({
            decision: "answer",
            attempt: call.metadata.attempt,
            route: call.route.name,
            team: call.team?.name,
            version: this.context.table()?.configuration.version,
            end,
            ...more,
            stagesMs: rounded(call.progress.stagesMs),
            firstEventMs: rounded(call.progress.firstEventMs),
            elapsedMs: Math.round(elapsedMs),
        }, "answered");
    }
}

/** Draws a service by the route's weights. */
function pickTarget(route: routing.Route, random: () => number): string {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let drawn = random() * total;
    for (const target of route.targets) {
        drawn -= target.weight;
        if (drawn < 0) {
            return target.service;
        }
    }
    return route.targets[0]?.service ?? "";
}

function pathOf(url: string): string {
    const query = url.indexOf("?");
    return query < 0 ? url : url.slice(0, query);
}

function headerBytes(message: http.IncomingMessage): number {
    return message.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

function rounded(ms: number | undefined): number | undefined {
    return ms === undefined ? undefined : Math.round(ms);
}
