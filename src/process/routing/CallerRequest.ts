/**
 * Reads a caller's request and finds what it is to be served with.
 */
import * as http from "node:http";
import * as result from "true-myth/result";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as callDurations from "../../request/routed/CallDurations";
import * as calls from "../../request/routed/RoutedCall";
import * as routedRuns from "../../request/routed/RoutedRun";
import * as bufferAccounts from "../buffers/BufferAccount";
import * as bodies from "./CallerBody";
import * as callTargets from "./CallTarget";
import * as stopAdmissions from "./StopAdmission";
import * as targets from "./TargetChoice";

/** The hard deadline is at least this long before the caller stops waiting, so that the answer still arrives. */
const ANSWER_MARGIN_MS = 25;
/** Retry delay sent by a process that isn't ready or is stopping. */
export const NOT_READY_RETRY_MS = 500;

/** What reading a request needs from its process. */
export interface RequestContext extends callTargets.TargetContext {
    readonly clock: clocks.Clock;
    readonly random: () => number;
    readonly run: Pick<routedRuns.RunContext, "wire">;
    /** Whether the process rejects new requests while it completes those in progress. */
    readonly isClosing: () => boolean;
    /** How long calls have taken of late. */
    readonly durations: Pick<callDurations.CallDurations, "expectedMs">;
    /** Undefined while the process isn't stopping. */
    readonly plannedStop: () => stopAdmissions.PlannedStop | undefined;
}

/** Reads a request and finds its route, team and service in the published configuration. */
export async function readRequest(
    context: RequestContext,
    message: http.IncomingMessage,
    arrivedMs: number,
    buffers: bufferAccounts.BufferHold,
    signal: AbortSignal,
): Promise<result.Result<calls.RoutedCall, codes.Failure>> {
    const table = context.table();
    if (table === undefined || context.isClosing()) {
        return result.err(codes.failure(codes.codes.notReady, "not taking requests", NOT_READY_RETRY_MS));
    }
    const { limits } = table.configuration;
    if (headerBytes(message) > limits.headerBytes) {
        return result.err(codes.failure(codes.codes.headersTooLarge, "headers"));
    }
    const path = message.url ?? "";
    const callMetadata = context.run.wire.readCall(message.headers);
    if (callMetadata.isErr) {
        const route = table.findRoute(message.headers.host ?? "", pathOf(path));
        const noRoute = codes.failure(codes.codes.unknownPath, "no route");
        return result.err(route === undefined ? noRoute : callMetadata.error);
    }
    const target = await callTargets.findTarget(context, {
        host: message.headers.host ?? "",
        path: pathOf(path),
        apiKey: callMetadata.value.apiKey,
        remainingMs: callMetadata.value.remainingMs,
    }, signal);
    if (target.isErr) {
        return result.err(target.error);
    }
    const { route, team } = target.value;
    const callerWaitMs = (callMetadata.value.remainingMs ?? Infinity) - ANSWER_MARGIN_MS;
    const hardDeadlineAtMs = arrivedMs + Math.min(callerWaitMs, route.timeoutMs);
    const stop = context.plannedStop();
    const arrived: stopAdmissions.ArrivedCall = {
        arrivedMs,
        expectedMs: () => context.durations.expectedMs(route, callMetadata.value),
        hardDeadlineAtMs,
        isStream: route.kind === "stream",
    };
    if (stop !== undefined && !stopAdmissions.isTaken(stop, arrived)) {
        return result.err(codes.failure(codes.codes.draining, "can't end before the stop", NOT_READY_RETRY_MS));
    }
    const body = await bodies.readCallerBody(
        message,
        { maxBytes: limits.bodyBytes, idleMs: limits.idleTimeoutMs },
        buffers,
        context.clock,
    );
    if (body.isErr) {
        return result.err(body.error);
    }
    const hasBody = body.value.length > 0 || message.headers["content-length"] !== undefined;
    return result.ok({
        metadata: callMetadata.value,
        route,
        team,
        service: targets.pickService(route, context.random),
        method: message.method ?? "GET",
        path,
        headers: message.rawHeaders,
        body: hasBody ? body.value : undefined,
        buffers,
        arrivedMs,
        softDeadlineAtMs: arrivedMs + route.goalMs,
        hardDeadlineAtMs,
        progress: { mayHaveRun: false },
        signal,
    });
}

function pathOf(url: string): string {
    const query = url.indexOf("?");
    return query < 0 ? url : url.slice(0, query);
}

function headerBytes(message: http.IncomingMessage): number {
    return message.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}
