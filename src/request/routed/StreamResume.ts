/**
 * Binds a call that resumes a stream to the service and software version that began it, and records which version began
 * a stream.
 */
import * as result from "true-myth/result";
import * as codes from "../../common/Codes";
import * as entryMessages from "../../common/EntryMessages";
import * as streamExchanges from "../../process/streams/StreamOriginExchange";
import * as calls from "./RoutedCall";
import * as senders from "./UpstreamSender";

/** A caller comes back to a stream within this many times its route's timeout. */
const RETURN_FACTOR = 2;
/** Retry delay after which an entry that knows the stream may be connected again. */
const UNKNOWN_RETRY_MS = 300;
/** Retry delay in which a lost instance may have a successor of its version. */
const GONE_RETRY_MS = 1_000;

/** Dependencies for resuming a stream. */
export interface ResumeContext extends senders.SenderContext {
    readonly streamOrigins: streamExchanges.StreamOriginExchange;
}

/** A stream's call, and the software version that it may be sent to; undefined if any will do. */
export interface BoundStream {
    readonly call: calls.RoutedCall;
    readonly softwareVersion: string | undefined;
}

/** Binds a call to the origin of the stream that it resumes, if it resumes one; fails if it can't be resumed now. */
export async function bindStream(
    context: ResumeContext,
    call: calls.RoutedCall,
): Promise<result.Result<BoundStream, codes.Failure>> {
    const { isResumption, resumedAttempt } = call.metadata;
    if (!isResumption) {
        return result.ok({ call, softwareVersion: undefined });
    }
    const outcome = await context.streamOrigins.resolve({
        attempt: resumedAttempt,
        targets: call.route.targets.map(target => target.service),
        service: call.service,
        lifetimeMs: lifetimeMs(call),
    });
    logResume(context, call, outcome);
    switch (outcome.decision.kind) {
        case "unknown":
            return result.err(codes.failure(codes.codes.originUnknown, resumedAttempt ?? "", UNKNOWN_RETRY_MS));
        case "free":
            return result.ok({ call, softwareVersion: undefined });
        case "bound": {
            const { service, softwareVersion } = outcome.decision.origin;
            return context.pool.usableInstances(service, softwareVersion).length === 0
                ? result.err(createUnusableFailure(context, service, softwareVersion))
                : result.ok({ call: { ...call, service }, softwareVersion });
        }
    }
}

/** Why no instance of a version can be used: all of them hold off for a known time, or none is in service. */
function createUnusableFailure(context: ResumeContext, service: string, softwareVersion: string): codes.Failure {
    const retryAfterMs = context.pool.holds.callerRetryAfterMs(service, softwareVersion);
    return retryAfterMs === undefined
        ? codes.failure(codes.codes.versionGone, softwareVersion, GONE_RETRY_MS)
        : codes.failure(codes.codes.overloaded, `all instances of ${softwareVersion} hold off`, retryAfterMs);
}

/** Records which version sent the first event of an answer, if its caller may come back to the stream. */
export function recordFirstEvent(context: ResumeContext, call: calls.RoutedCall, softwareVersion: string): void {
    const { attempt, isResumption, resumedAttempt } = call.metadata;
    const firstAttempt = isResumption ? resumedAttempt : attempt;
    if (call.route.isResumable && firstAttempt !== undefined) {
        context.streamOrigins.recordFirstEvent({
            attempt: firstAttempt,
            service: call.service,
            softwareVersion,
            lifetimeMs: lifetimeMs(call),
        });
    }
}

/** Longest time for which a caller may come back to a stream. */
function lifetimeMs({ route, metadata }: calls.RoutedCall): number {
    const longestMs = Math.max(RETURN_FACTOR * route.timeoutMs, metadata.remainingMs ?? 0);
    return Math.min(longestMs, entryMessages.MAX_STREAM_LIFETIME_MS);
}

function logResume(context: ResumeContext, call: calls.RoutedCall, outcome: streamExchanges.ResumeOutcome): void {
    const { decision, learntFrom } = outcome;
    const { attempt, lastEventId, resumedAttempt } = call.metadata;
    context.log.info({
        decision: "resume",
        attempt,
        resumes: resumedAttempt,
        lastEventId,
        outcome: decision.kind,
        ...(decision.kind === "bound" ? decision.origin : {}),
        learntFrom,
        ...context.position(),
    }, "caller resumes a stream");
}
