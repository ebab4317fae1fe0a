/**
 * The HTTP server that callers connect to: one task per request runs a pipeline or a single operation.
 */
import * as http from "node:http";
import * as result from "true-myth/result";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as configurations from "../../common/Configuration";
import * as deadlines from "../../common/Deadline";
import * as logs from "../../common/Log";
import * as listeners from "../../connection/Listener";
import * as requestLimits from "../../connection/RequestLimit";
import * as answers from "../../request/CallerAnswer";
import * as callerRequests from "../../request/CallerRequest";
import * as pipelineRuns from "../../request/PipelineRun";
import * as entryMetrics from "../metrics/EntryMetrics";
import * as callerWatches from "./CallerWatch";

const HEADERS_TIMEOUT_MS = 5_000;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
const MAX_HEADER_BYTES = 16_384;
/** Requests in progress on a connection, beyond which its next one isn't read. */
const MAX_PIPELINED_REQUESTS = 4;
/** Time after which an answer is dropped if the caller reads no byte of it. */
const UNREAD_ANSWER_TIMEOUT_MS = 30_000;
const DEFAULT_OPERATION_DEADLINE_MS = 4_000;

/** Dependencies of the server. */
export interface CallerServerContext {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly metrics: entryMetrics.EntryMetrics;
    readonly pipeline: pipelineRuns.PipelineContext;
    /** Why no request is accepted now; undefined when requests are accepted. */
    readonly findRejection: () => codes.Failure | undefined;
    readonly configuration: () => configurations.Configuration | undefined;
    /** Why a request is rejected for its priority or deadline before any work is done; undefined if it is admitted. */
    readonly checkAdmission: (request: PreparedRequest) => codes.Failure | undefined;
    readonly maxBodyBytes: number;
    readonly requestTimeoutMs: number;
}

/** A request whose team and target are in the configuration. */
export interface PreparedRequest {
    readonly team: string;
    readonly priority: number;
    /** Whether the caller wants the last stage's tokens streamed. */
    readonly isStream: boolean;
    readonly configuration: configurations.Configuration;
    readonly pipeline: string;
    readonly stages: readonly configurations.Stage[];
    readonly deadline: deadlines.Deadline;
}

/** Accepts callers' requests and writes their answers. */
export class CallerServer implements clocks.Disposable {
    private readonly server: http.Server;
    private listener: listeners.Listener | undefined;
    private activeCount = 0;
    private drainWaiters: (() => void)[] = [];

    constructor(private readonly context: CallerServerContext) {
        this.server = http.createServer({
            requestTimeout: context.requestTimeoutMs,
            headersTimeout: HEADERS_TIMEOUT_MS,
            keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
            maxHeaderSize: MAX_HEADER_BYTES,
        }, (request, response) => void this.serve(request, response));
        requestLimits.limitRequests(this.server, "caller", MAX_PIPELINED_REQUESTS);
    }

    /** Number of requests in progress. */
    get active(): number {
        return this.activeCount;
    }

    /** IP address and port that the server listens on; empty before `listen`. */
    get address(): string {
        return this.listener?.address ?? "";
    }

    /** Starts accepting connections; rejects if the server can't listen on `address`. */
    async listen(address: string): Promise<void> {
        this.listener = await listeners.listen(this.server, address, this.context);
    }

    /** Stops accepting connections; resolves when all requests have ended and their answers were sent or dropped. */
    async drain(): Promise<void> {
        this.listener?.stopAccepting();
        while (this.activeCount > 0) {
            await new Promise<void>(resolve => this.drainWaiters.push(resolve));
        }
    }

    dispose(): void {
        this.listener?.dispose();
    }

    private async serve(httpRequest: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        this.activeCount++;
        response.on("error", () => response.destroy());
        try {
            await this.serveRequest(httpRequest, response);
        }
        catch (error) {
            // A defect of this program; whether the request ran isn't known.
            this.context.log.error({ decision: "exception", err: error }, "serving a request failed");
            response.destroy();
        }
        finally {
            await waitUntilSent(response);
            this.activeCount--;
            if (this.activeCount === 0) {
                this.drainWaiters.splice(0).forEach(resolve => resolve());
            }
        }
    }

    private async serveRequest(httpRequest: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const startedMs = this.context.clock.now();
        const request = await callerRequests.readCallerRequest(httpRequest, this.context.maxBodyBytes);
        if (request.isErr) {
            response.setHeader("connection", "close");
            answers.writeAnswer(response, request.error.code.status, answers.createFailureBody(request.error));
            return;
        }
        const prepared = this.prepare(request.value);
        if (prepared.isErr) {
            const body = answers.createFailureBody(prepared.error, request.value.request);
            this.recordRejection(request.value, prepared.error.code, startedMs);
            answers.writeAnswer(response, prepared.error.code.status, body);
            return;
        }
        const { code, isInTime } = await this.runRequest(request.value, prepared.value, response);
        const { pipeline, team } = prepared.value;
        this.context.metrics.recordRequest(pipeline, team, code, this.context.clock.now() - startedMs, isInTime);
    }

    private async runRequest(
        request: callerRequests.CallerRequest,
        prepared: PreparedRequest,
        response: http.ServerResponse,
    ): Promise<{ readonly code: codes.ResultCode; readonly isInTime: boolean }> {
        const disconnectController = callerWatches.watchCaller(response);
        const eventStream = new answers.EventStream(response);
        let isFirstTokenInTime: boolean | undefined;
        const writeToken = (offset: number, token: string): void => {
            isFirstTokenInTime ??= !prepared.deadline.isExpired;
            eventStream.writeToken(offset, token);
        };
        const outcome = await pipelineRuns.runPipeline(this.context.pipeline, prepared.configuration, prepared.stages, {
            request: request.request,
            pipeline: prepared.pipeline,
            team: request.team,
            priority: request.priority,
            key: request.key,
            prefix: request.prefix,
            input: request.input,
            deadline: prepared.deadline,
            signal: disconnectController.signal,
            onToken: request.isStream ? writeToken : undefined,
        });
        const body = answers.createOutcomeBody(request.request, outcome);
        if (eventStream.hasBegun || (request.isStream && outcome.code.outcome === "completed")) {
            eventStream.writeEnd(body);
        }
        else {
            answers.writeAnswer(response, outcome.code.status, body);
        }
        return { code: outcome.code, isInTime: isFirstTokenInTime ?? !prepared.deadline.isExpired };
    }

    private prepare(request: callerRequests.CallerRequest): result.Result<PreparedRequest, codes.Failure> {
        const currentRejection = this.context.findRejection();
        const configuration = this.context.configuration();
        if (currentRejection !== undefined || configuration === undefined) {
            return result.err(currentRejection ?? codes.failure(codes.codes.notReady, "no configuration", 1_000));
        }
        if (!Object.hasOwn(configuration.teams, request.team)) {
            return result.err(codes.failure(codes.codes.unknownTeam, request.team));
        }
        const target = resolveTarget(configuration, request.target);
        if (target.isErr) {
            return result.err(target.error);
        }
        const { pipeline, stages, deadlineMs, maxDeadlineMs } = target.value;
        const effectiveDeadlineMs = Math.min(request.deadlineMs ?? deadlineMs, maxDeadlineMs);
        const deadline = new deadlines.Deadline(this.context.clock, effectiveDeadlineMs);
        const { team, priority, isStream } = request;
        const prepared = { team, priority, isStream, configuration, pipeline, stages, deadline };
        const admissionFailure = this.context.checkAdmission(prepared);
        return admissionFailure === undefined ? result.ok(prepared) : result.err(admissionFailure);
    }

    private recordRejection(request: callerRequests.CallerRequest, code: codes.ResultCode, startedMs: number): void {
        // Labels for names outside the configuration would let callers create any number of metric series.
        const configuration = this.context.configuration();
        const { target } = request;
        const isKnownPipeline = target.kind === "pipeline"
            && Object.hasOwn(configuration?.pipelines ?? {}, target.pipeline);
        const pipeline = isKnownPipeline ? target.pipeline : "other";
        const team = Object.hasOwn(configuration?.teams ?? {}, request.team) ? request.team : "other";
        this.context.metrics.recordRequest(pipeline, team, code, this.context.clock.now() - startedMs, false);
    }
}

/** Waits until the answer was sent completely, or the caller has disconnected or stopped reading. */
function waitUntilSent(response: http.ServerResponse): Promise<void> {
    return new Promise(resolve => {
        if (response.closed || response.destroyed) {
            resolve();
            return;
        }
        response.once("close", resolve);
        response.setTimeout(UNREAD_ANSWER_TIMEOUT_MS, () => response.destroy());
    });
}

interface ResolvedTarget {
    readonly pipeline: string;
    readonly stages: readonly configurations.Stage[];
    readonly deadlineMs: number;
    /** Upper bound for the caller's deadline. For a pipeline, a caller may only shorten the configured deadline. */
    readonly maxDeadlineMs: number;
}

/** Looks up a pipeline, or creates one of a single stage for an operation called directly. */
function resolveTarget(
    configuration: configurations.Configuration,
    target: callerRequests.Target,
): result.Result<ResolvedTarget, codes.Failure> {
    if (target.kind === "pipeline") {
        if (!Object.hasOwn(configuration.pipelines, target.pipeline)) {
            return result.err(codes.failure(codes.codes.unknownPipeline, target.pipeline));
        }
        const { stages, deadlineMs } = configuration.pipelines[target.pipeline]!;
        return result.ok({ pipeline: target.pipeline, stages, deadlineMs, maxDeadlineMs: deadlineMs });
    }
    const { service, operation } = target;
    if (configurations.findOperation(configuration, service, operation) === undefined) {
        return result.err(codes.failure(codes.codes.unknownOperation, `${service}/${operation}`));
    }
    const pipeline = `${service}.${operation}`;
    const stages = [{ name: operation, service, operation }];
    const deadlineMs = DEFAULT_OPERATION_DEADLINE_MS;
    return result.ok({ pipeline, stages, deadlineMs, maxDeadlineMs: Infinity });
}
