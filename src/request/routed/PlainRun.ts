/**
 * Runs a call whose answer is passed on as a whole.
 */
import * as codes from "../../common/Codes";
import * as calls from "./RoutedCall";
import * as exchanges from "./UpstreamExchange";
import * as senders from "./UpstreamSender";

/** Largest answer that is passed on as a whole, in bytes. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/** Statuses that promise that a call hasn't run; an instance that has run a call may not use them here. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** When to come back after a refusal without a better estimate. */
export const DEFAULT_RETRY_AFTER_MS = 300;

/** An instance's whole answer. */
export interface CompleteAnswer {
    readonly kind: "whole";
    readonly status: number;
    readonly headers: readonly string[];
    readonly body: Buffer;
    /** Whether the instance said where the body ends. */
    readonly isFramed: boolean;
    readonly instance: string;
}

/** The end of a call that this system answers itself. */
export interface LocalAnswer {
    readonly kind: "own";
    readonly failure: codes.Failure;
}

/** The end of a call. `passed` was written to the caller already; `gone` has no caller any more. */
export type RunEnd = CompleteAnswer | LocalAnswer | { readonly kind: "passed"; readonly isComplete: boolean } | {
    readonly kind: "gone";
};

/** Sends the call until an answer can be passed on. */
export async function runPlain(context: senders.SenderContext, call: calls.RoutedCall): Promise<RunEnd> {
    const history = senders.createHistory();
    let latestFailure: RunEnd | undefined;
    for (;;) {
        const end = await senders.sendCall(context, call, history, {
            lastEventId: call.metadata.lastEventId,
            inputs: [],
            answerTimeoutMs: Infinity,
        });
        const outcome = await handleSendEnd(context, call, end);
        if (outcome === "not-run") {
            continue;
        }
        if (outcome === "none") {
            return latestFailure ?? createRejection(history);
        }
        if (outcome.kind === "gone" || !canRetry(call, history, outcome)) {
            return outcome;
        }
        latestFailure = outcome;
    }
}

/** A refusal of a call that hasn't run anywhere. */
export function createRejection(history: senders.CallHistory): LocalAnswer {
    const code = history.isBudgetSpent
        ? codes.codes.retryBudgetSpent
        : history.sends === 0
        ? codes.codes.noInstance
        : codes.codes.overloaded;
    return { kind: "own", failure: codes.failure(code, `${history.sends} sends`, DEFAULT_RETRY_AFTER_MS) };
}

/** Reads the answer of a send, if it has one. */
async function handleSendEnd(
    context: senders.SenderContext,
    call: calls.RoutedCall,
    end: senders.SendEnd,
): Promise<RunEnd | "not-run" | "none"> {
    switch (end.kind) {
        case "none":
        case "not-run":
            return end.kind;
        case "cancelled":
            return { kind: "gone" };
        case "unknown":
            return { kind: "own", failure: codes.failure(end.code, "no answer") };
        case "answer":
            return readCompleteAnswer(context, call, end);
    }
}

/** Reads an instance's answer; one that is cut short or promises what isn't true becomes a failure. */
export async function readCompleteAnswer(
    context: senders.SenderContext,
    call: calls.RoutedCall,
    end: Extract<senders.SendEnd, { kind: "answer" }>,
): Promise<RunEnd> {
    const deadlineTimer = context.clock.schedule(call.hardDeadlineAtMs - context.clock.now(), end.answer.cancel);
    const body = await exchanges.readBody(end.answer, MAX_ANSWER_BYTES);
    deadlineTimer.dispose();
    if (call.signal.aborted) {
        end.ticket.end("cancelled");
        return { kind: "gone" };
    }
    const { status, rawHeaders } = end.answer;
    end.ticket.end(body !== undefined && status < 500 ? "ok" : "failed");
    if (body === undefined) {
        const isLate = context.clock.now() >= call.hardDeadlineAtMs;
        const code = isLate ? codes.codes.upstreamTimeout : codes.codes.upstreamReset;
        return { kind: "own", failure: codes.failure(code, "answer cut short") };
    }
    if (NOT_RUN_STATUSES.has(status)) {
        return { kind: "own", failure: codes.failure(codes.codes.upstreamFailed, `status ${status} after a run`) };
    }
    const headers = context.wire.answerHeaders(rawHeaders);
    return { kind: "whole", status, headers, body, isFramed: end.answer.isFramed, instance: end.instance };
}

/** Whether a failure may be tried again at another instance. */
function canRetry(call: calls.RoutedCall, history: senders.CallHistory, end: RunEnd): boolean {
    const hasFailed = end.kind === "own" || (end.kind === "whole" && end.status >= 500);
    return hasFailed && calls.isRetryable(call.route) && history.possibleRuns < call.route.attempts;
}
