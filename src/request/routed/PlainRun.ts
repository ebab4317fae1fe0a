/**
 * Runs a call whose answer is buffered and forwarded only once it is complete.
 */
import * as codes from "../../common/Codes";
import * as answerFramings from "../../connection/AnswerFraming";
import * as exchanges from "../../connection/UpstreamExchange";
import * as histories from "./CallHistory";
import * as requestDigests from "./RequestDigest";
import * as calls from "./RoutedCall";
import * as senders from "./UpstreamSender";

/** Largest answer that is buffered. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/** Statuses that tell the caller that the call has not run; never forwarded from an instance that ran it. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Retry-after of a rejection for which there is no better estimate. */
export const DEFAULT_RETRY_AFTER_MS = 300;

/** Retry-after of a call that is held back because it, or a part of its prompt, crashes instances; it may be cleared. */
const PARTS_RETRY_AFTER_MS = 60_000;
const MAX_DETAIL_LENGTH = 200;

/** A complete answer from an instance, buffered. */
export interface CompleteAnswer {
    readonly kind: "buffered";
    readonly status: number;
    readonly headers: readonly string[];
    readonly body: Buffer;
    readonly framing: answerFramings.Framing;
    readonly instance: string;
}

/** An answer that this system generates itself instead of forwarding one. */
export interface LocalAnswer {
    readonly kind: "local-failure";
    readonly failure: codes.Failure;
}

/** How a call ended. `streamed`: the answer was streamed, maybe in part; `disconnected`: the caller disconnected. */
export type RunOutcome = CompleteAnswer | LocalAnswer | { readonly kind: "streamed"; readonly isComplete: boolean } | {
    readonly kind: "disconnected";
};

/** Sends the call, with retries where the route allows them, until there is an answer for the caller. */
export async function runPlain(context: senders.SenderContext, call: calls.RoutedCall): Promise<RunOutcome> {
    const history = histories.createHistory();
    let latestFailure: RunOutcome | undefined;
    for (;;) {
        const sendOutcome = await senders.sendCall(context, call, history, {
            lastEventId: call.metadata.lastEventId,
            inputs: [],
            answerWaitMs: () => Infinity,
            signal: call.signal,
        });
        const runOutcome = await handleSendOutcome(context, call, sendOutcome);
        if (runOutcome === "not-run") {
            continue;
        }
        if (runOutcome === "none") {
            return latestFailure ?? createFailure(history);
        }
        if (runOutcome.kind === "disconnected" || !canRetry(call, history, runOutcome)) {
            return runOutcome;
        }
        latestFailure = runOutcome;
    }
}

/** Creates the answer to a call that no instance answered: a rejection unless an instance may have run it. */
export function createFailure(history: histories.CallHistory): LocalAnswer {
    if (history.possibleRuns > 0) {
        return { kind: "local-failure", failure: codes.failure(codes.codes.upstreamTimeout, "no answer") };
    }
    if (history.heldParts !== undefined) {
        return createPartsRejection(history.heldParts);
    }
    if (history.heldRetryAfterMs !== undefined) {
        return createHoldRejection(history.heldRetryAfterMs);
    }
    const code = history.isBudgetSpent
        ? codes.codes.retryBudgetSpent
        : history.sends + history.unreached === 0
        ? codes.codes.noInstance
        : codes.codes.overloaded;
    return { kind: "local-failure", failure: codes.failure(code, `${history.sends} sends`, DEFAULT_RETRY_AFTER_MS) };
}

/** Creates the rejection of a call to a service of which all instances hold off or are at their limits. */
export function createHoldRejection(retryAfterMs: number): LocalAnswer {
    const failure = codes.failure(
        codes.codes.overloaded,
        "all instances hold off or are at their limits",
        retryAfterMs,
    );
    return { kind: "local-failure", failure };
}

/** Creates the rejection of a call that crashes instances, or whose prompt has parts that do. */
export function createPartsRejection(parts: ReadonlySet<string>): LocalAnswer {
    const detail = [...parts].join(",").slice(0, MAX_DETAIL_LENGTH);
    return { kind: "local-failure", failure: codes.failure(codes.codes.partsHeldBack, detail, PARTS_RETRY_AFTER_MS) };
}

/** Turns the outcome of one send into the outcome of the run; reads the answer if there is one. */
async function handleSendOutcome(
    context: senders.SenderContext,
    call: calls.RoutedCall,
    sendOutcome: senders.SendOutcome,
): Promise<RunOutcome | "not-run" | "none"> {
    switch (sendOutcome.kind) {
        case "none":
        case "not-run":
            return sendOutcome.kind;
        case "cancelled":
            return { kind: "disconnected" };
        case "unknown":
            return { kind: "local-failure", failure: codes.failure(sendOutcome.code, "no answer") };
        case "answer":
            return readCompleteAnswer(context, call, sendOutcome);
    }
}

/** Buffers an instance's answer. A truncated or oversized one, or one whose status falsely says "not run", fails. */
export async function readCompleteAnswer(
    context: senders.SenderContext,
    call: calls.RoutedCall,
    answered: Extract<senders.SendOutcome, { kind: "answer" }>,
): Promise<RunOutcome> {
    const deadlineTimer = context.clock.schedule(call.hardDeadlineAtMs - context.clock.now(), answered.answer.cancel);
    const gate: exchanges.ReadGate = (bytes, resume) => call.buffers.addAnswer(bytes, resume);
    const read = await exchanges.readWholeBody(answered.answer, MAX_ANSWER_BYTES, gate);
    const body = read.unwrapOr(undefined);
    deadlineTimer.dispose();
    call.buffers.endRead();
    if (call.signal.aborted) {
        answered.sent.ticket.end("cancelled");
        return { kind: "disconnected" };
    }
    const { status, rawHeaders } = answered.answer;
    answered.sent.ticket.end(body !== undefined && status < 500 ? "ok" : "failed");
    const fault = read.isErr && read.error !== "incomplete" ? read.error : undefined;
    const isLate = context.clock.now() >= call.hardDeadlineAtMs;
    observeEnd(context, call, answered.sent, body !== undefined, isLate || fault !== undefined);
    if (fault !== undefined) {
        context.pool.faults.record(answered.sent.instance, fault, [call.metadata.attempt]);
        return { kind: "local-failure", failure: codes.failure(codes.codes.malformedAnswer, fault) };
    }
    if (body === undefined) {
        const code = isLate ? codes.codes.upstreamTimeout : codes.codes.upstreamReset;
        context.pool.cuts.record(answered.sent.instance, answered.answer.end, [call.metadata.attempt]);
        return { kind: "local-failure", failure: codes.failure(code, "answer cut short") };
    }
    if (NOT_RUN_STATUSES.has(status)) {
        return {
            kind: "local-failure",
            failure: codes.failure(codes.codes.upstreamFailed, `status ${status} after a run`),
        };
    }
    const headers = context.wire.answerHeaders(rawHeaders);
    return {
        kind: "buffered",
        status,
        headers,
        body,
        framing: answered.answer.end.framing,
        instance: answered.instance,
    };
}

/** Records whether an instance has answered a call, unless this process has cut the answer. */
function observeEnd(
    context: senders.SenderContext,
    call: calls.RoutedCall,
    { instance, sentAtMs }: senders.SentCall,
    isComplete: boolean,
    isCut: boolean,
): void {
    const observed = requestDigests.observedCall(call);
    if (isComplete) {
        context.crashes.observeAnswer(observed);
    }
    else if (!isCut) {
        context.crashes.observeInterruption(instance, observed, sentAtMs);
    }
}

/** Whether the outcome is a failure that may be retried on another instance. */
function canRetry(call: calls.RoutedCall, history: histories.CallHistory, runOutcome: RunOutcome): boolean {
    const hasFailed = runOutcome.kind === "local-failure"
        || (runOutcome.kind === "buffered" && runOutcome.status >= 500);
    return hasFailed && calls.isRetryable(call.route) && history.possibleRuns < call.route.attempts;
}
