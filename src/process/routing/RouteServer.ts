/**
 * The HTTP server for callers of routed calls; runs one task for each request.
 */
import * as http from "node:http";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as logs from "../../common/Log";
import * as readTimers from "../../common/ReadTimer";
import * as routing from "../../common/Routing";
import * as settingsShapes from "../../common/Settings";
import * as answerFramings from "../../connection/AnswerFraming";
import * as listeners from "../../connection/Listener";
import * as requestLimits from "../../connection/RequestLimit";
import * as callDurations from "../../request/routed/CallDurations";
import * as plainRuns from "../../request/routed/PlainRun";
import * as calls from "../../request/routed/RoutedCall";
import * as routedRuns from "../../request/routed/RoutedRun";
import * as bufferAccounts from "../buffers/BufferAccount";
import * as pauseMonitors from "../membership/PauseMonitor";
import * as metrics from "../metrics/RouteMetrics";
import * as callerConnections from "../serving/CallerConnections";
import * as callerWatches from "../serving/CallerWatch";
import * as connectionEnds from "../serving/ConnectionEnds";
import * as descriptorLimits from "../serving/DescriptorLimit";
import * as idleConnections from "../serving/IdleConnections";
import * as answerRecords from "./AnswerRecord";
import * as bodies from "./CallerBody";
import * as callerRequests from "./CallerRequest";
import * as responses from "./CallerResponse";

/** Header size limit of the HTTP parser; the published limit is checked afterwards. */
const MAX_PARSED_HEADER_BYTES = 64 * 1024;
/** Added to the published idle time, so that the caller closes an idle connection first. */
const KEEP_ALIVE_MARGIN_MS = 1_500;
/** Requests in progress on a connection, beyond which its next one isn't read. */
const MAX_PIPELINED_REQUESTS = 4;
/** Time between two checks for connections whose headers time out. */
const CONNECTION_CHECK_INTERVAL_MS = 500;
/** Requests that are read within this time of a late turn may have arrived during it. */
const PAUSE_WINDOW_MS = 100;
const DEFAULT_LIMITS: routing.CallerLimits = {
    headerBytes: 16_384,
    bodyBytes: 4 * 1024 * 1024,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
};

/** What the server needs from its process. */
export interface RouteServerContext extends Omit<callerRequests.RequestContext, "durations"> {
    readonly log: logs.Log;
    readonly run: routedRuns.RunContext;
    readonly metrics: metrics.RouteMetrics;
    /** What the process may use. */
    readonly resources: Pick<settingsShapes.RouteEntrySettings, "memoryMegabytes" | "maxDescriptors">;
    /** Detects late turns of the event loop, which may have left requests unread. */
    readonly pauses: pauseMonitors.PauseMonitor;
}

/** A request without a complete answer. */
interface OpenRequest {
    readonly message: http.IncomingMessage;
    readonly response: http.ServerResponse;
    readonly arrivedMs: number;
    /** Aborts when the caller disconnects or the request is answered by the stop. */
    readonly abortController: AbortController;
    /** Accounts for the bytes of its body and of its answer. */
    readonly buffers: bufferAccounts.BufferHold;
    /** Undefined while the request is read, and once its answer has been written or is known. */
    call: calls.RoutedCall | undefined;
    /** Whether this process has written the whole answer; the rest of the request may still be discarded. */
    isAnswered: boolean;
}

/** Accepts routed calls and writes their answers. */
export class RouteServer implements clocks.Disposable {
    private readonly server: http.Server;
    private readonly idleConnections: idleConnections.IdleConnections;
    /** The callers' connections. */
    readonly connections: callerConnections.CallerConnections;
    /** The bytes of bodies and answers held. */
    readonly buffers: bufferAccounts.BufferAccount;
    private listener: listeners.Listener | undefined;
    private readonly records: answerRecords.AnswerRecord;
    private readonly requestContext: callerRequests.RequestContext;
    private limits = DEFAULT_LIMITS;
    private readonly ends = new connectionEnds.ConnectionEnds();
    /** Requests without a complete answer. */
    private readonly openRequests = new Set<OpenRequest>();

    constructor(private readonly context: RouteServerContext) {
        const durations = new callDurations.CallDurations(context.clock);
        this.records = new answerRecords.AnswerRecord(context, durations);
        this.requestContext = { ...context, durations };
        this.server = http.createServer({
            maxHeaderSize: MAX_PARSED_HEADER_BYTES,
            requestTimeout: 0,
            connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        }, (request, response) => void this.handleRequest(request, response));
        requestLimits.limitRequests(this.server, "caller", MAX_PIPELINED_REQUESTS);
        this.idleConnections = new idleConnections.IdleConnections(this.server);
        const { memoryMegabytes, maxDescriptors } = context.resources;
        const systemLimit = descriptorLimits.readDescriptorLimit();
        const descriptors = descriptorLimits.findDescriptorLimit(systemLimit, maxDescriptors);
        this.connections = new callerConnections.CallerConnections({
            ...context,
            server: this.server,
            idle: this.idleConnections,
            maxConnections: descriptorLimits.maxCallerConnections(descriptors),
        });
        const limitBytes = bufferAccounts.bufferLimitBytes(memoryMegabytes);
        this.buffers = new bufferAccounts.BufferAccount({ ...context, limitBytes });
        this.applyCallerLimits(DEFAULT_LIMITS);
    }

    /** Number of requests in progress. */
    get active(): number {
        return this.openRequests.size;
    }

    /** IP address and port in use; empty before `listen`. */
    get address(): string {
        return this.listener?.address ?? "";
    }

    /** Starts to accept connections; rejects when the address can't be used. */
    async listen(address: string): Promise<void> {
        this.listener = await listeners.listen(this.server, address, this.context);
    }

    /** Applies the time-outs of `limits`, to open connections too. */
    applyCallerLimits(limits: routing.CallerLimits): void {
        this.limits = limits;
        this.server.headersTimeout = limits.headerTimeoutMs;
        this.server.keepAliveTimeout = limits.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS;
    }

    /** From now on, the answer to the last request of each connection closes it. */
    beginDrain(): void {
        this.ends.begin();
    }

    /** Stops accepting connections and closes those without a request. */
    stopAccepting(): void {
        this.listener?.stopAccepting();
        this.idleConnections.close();
    }

    /** Sends a failure to every request without an answer, and aborts streams that have started. */
    failUnansweredRequests(): void {
        for (const open of this.openRequests) {
            const { abortController, call, response } = open;
            if (!response.headersSent && !response.destroyed) {
                const mayHaveRun = call?.progress.mayHaveRun === true;
                const code = mayHaveRun ? codes.codes.upstreamTimeout : codes.codes.draining;
                const detail = call === undefined ? "the process stops, request unread" : "the process stops";
                const retryAfterMs = mayHaveRun ? undefined : callerRequests.NOT_READY_RETRY_MS;
                this.answerFailure(open, codes.failure(code, detail, retryAfterMs));
                abortController.abort(); // A call reported as not run must not be sent any more.
            }
            else if (!response.writableEnded && !open.isAnswered) {
                new responses.CallerResponse(response).abort();
            }
        }
    }

    dispose(): void {
        this.listener?.dispose();
        this.buffers.dispose();
    }

    private async handleRequest(message: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        if (!this.ends.tryAdd(message.socket, response)) {
            this.dropRequest(message);
            return;
        }
        // The request may have waited unread for the whole pause, and its caller may have left since.
        const pauseMs = this.context.pauses.recentPauseMs(PAUSE_WINDOW_MS);
        const arrivedMs = this.context.clock.now() - pauseMs;
        const abortController = callerWatches.watchCaller(response);
        const buffers = this.buffers.open(this.context.run.wire.readAttempt(message.headers));
        const open: OpenRequest = {
            message,
            response,
            arrivedMs,
            abortController,
            buffers,
            call: undefined,
            isAnswered: false,
        };
        this.openRequests.add(open);
        response.on("error", () => response.destroy());
        response.on("close", () => {
            this.openRequests.delete(open);
            buffers.releaseAnswer();
        });
        try {
            await this.serveRequest(open, pauseMs);
        }
        catch (error) {
            this.handleException(open, error);
        }
        open.call = undefined; // Its body is no longer needed, while the caller may read the answer for long.
        buffers.releaseBody();
        if (response.destroyed) {
            buffers.releaseAnswer();
        }
    }

    /** Discards a request that crosses the end of its connection; the caller sees that it got no answer. */
    private dropRequest(message: http.IncomingMessage): void {
        message.resume();
        this.records.logCrossed(this.context.run.wire.readAttempt(message.headers));
    }

    /** Ends a request whose run failed with an exception, which is a defect of this program. */
    private handleException(open: OpenRequest, error: unknown): void {
        const { abortController, message, response } = open;
        const attempt = this.context.run.wire.readAttempt(message.headers);
        this.context.log.error({ decision: "exception", attempt, err: error }, "serving a request failed");
        abortController.abort();
        if (response.headersSent) {
            new responses.CallerResponse(response).abort();
            return;
        }
        this.answerFailure(open, codes.failure(codes.codes.internalError, String(error)));
    }

    private async serveRequest(open: OpenRequest, pauseMs: number): Promise<void> {
        const { abortController, message, response } = open;
        const accepted = await callerRequests.readRequest(
            this.requestContext,
            message,
            open.arrivedMs,
            open.buffers,
            abortController.signal,
        );
        if (pauseMs > 0) {
            // The end of the connection may have arrived with its last request.
            await new Promise<void>(resolve => readTimers.schedulePendingReads(this.context.clock, resolve));
        }
        if (response.headersSent) {
            return; // Already answered by `failUnansweredRequests`.
        }
        if (accepted.isErr) {
            this.answerFailure(open, accepted.error);
            return;
        }
        const call = accepted.value;
        if (abortController.signal.aborted) {
            this.records.recordEnd(call, "gone", {});
            return;
        }
        open.call = call;
        const sink = new responses.CallerResponse(response);
        const end = await routedRuns.runRouted(this.context.run, call, sink);
        if (response.writableEnded && end.kind !== "streamed") {
            return; // Already answered by `failUnansweredRequests`.
        }
        this.finishCall(open, call, end, sink);
    }

    private finishCall(
        open: OpenRequest,
        call: calls.RoutedCall,
        end: plainRuns.RunOutcome,
        sink: responses.CallerResponse,
    ): void {
        switch (end.kind) {
            case "buffered":
                open.buffers.beginWrite(() => sink.abort());
                if (end.body.length > bufferAccounts.SMALL_BYTES) {
                    this.limitWriting(open.response, call, sink);
                }
                sink.writeComplete(end.status, end.headers, end.body, this.framingOf(open, end.framing));
                this.records.recordEnd(call, String(end.status), { instance: end.instance });
                return;
            case "streamed":
                this.records.recordEnd(call, end.isComplete ? "200" : "broken-off", {});
                return;
            case "disconnected":
                open.response.destroy();
                this.records.recordEnd(call, "gone", {});
                return;
            case "local-failure":
                if (sink.hasBegun) {
                    sink.abort();
                    this.records.recordEnd(call, "broken-off", { code: end.failure.code.name });
                    return;
                }
                this.answerFailure(open, end.failure);
        }
    }

    /** An answer that others follow on its connection can't end with the connection. */
    private framingOf({ message, response }: OpenRequest, framing: answerFramings.Framing): answerFramings.Framing {
        return framing === "connection" && this.ends.hasLater(message.socket, response) ? "length" : framing;
    }

    /** Aborts an answer of which its caller reads nothing for the idle time, so that it doesn't keep its connection. */
    private limitWriting(response: http.ServerResponse, call: calls.RoutedCall, sink: responses.CallerResponse): void {
        const { socket } = response;
        const { idleTimeoutMs } = this.limits;
        response.setTimeout(idleTimeoutMs, () => {
            this.context.log.warn(
                { decision: "answer-stalled", attempt: call.metadata.attempt, idleTimeoutMs },
                "an answer of which its caller reads nothing is broken off",
            );
            sink.abort();
        });
        response.once("finish", () => {
            // Node.js sets the connection's next time-out only if no pipelined request waits for its answer.
            if (socket && this.idleConnections.hasOtherResponses(socket)) {
                socket.setTimeout(0);
            }
        });
    }

    private answerFailure(open: OpenRequest, failure: codes.Failure): void {
        const { arrivedMs, call, message, response } = open;
        const bodyEnd = message.complete ? undefined : bodies.discardCallerBody(message, this.context.clock);
        open.isAnswered = true;
        const attempt = this.context.run.wire.readAttempt(message.headers);
        const headers = this.context.run.wire.errorHeaders(attempt, failure.retryAfterMs);
        responses.writeLocalAnswer(response, failure.code.status, headers, failure.code, bodyEnd);
        this.records.recordFailure(attempt, call, arrivedMs, failure);
    }
}
