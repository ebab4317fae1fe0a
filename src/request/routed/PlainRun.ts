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
export type RunOutcome = CompleteAnswer | LocalAnswer | { readonly kind: "passed"; readonly isComplete: boolean } | {
    readonly kind: "gone";
};

/** Sends the call until an answer can be passed on. */
export async function runPlain(context: senders.SenderContext, call: calls.RoutedCall): Promise<RunOutcome> {
    const history = senders.createHistory();
    let latestFailure: RunOutcome | undefined;
    for (;;) {
        const sendOutcome = await senders.sendCall(context, call, history, {
            lastEventId: call.metadata.lastEventId,
            inputs: [],
            answerTimeoutMs: Infinity,
        });
        const runOutcome = await handleSendOutcome(context, call, sendOutcome);
        if (runOutcome === "not-run") {
            continue;
        }
        if (runOutcome === "none") {
            return latestFailure ?? createRejection(history);
        }
        if (runOutcome.kind === "gone" || !canRetry(call, history, runOutcome)) {
            return runOutcome;
        }
        latestFailure = runOutcome;
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
            return { kind: "gone" };
        case "unknown":
            return { kind: "own", failure: codes.failure(sendOutcome.code, "no answer") };
        case "answer":
            return readCompleteAnswer(context, call, sendOutcome);
    }
}

/** Reads an instance's answer; one that is cut short or promises what isn't true becomes a failure. */
export async function readCompleteAnswer(
    context: senders.SenderContext,
    call: calls.RoutedCall,
    answered: Extract<senders.SendOutcome, { kind: "answer" }>,
): Promise<RunOutcome> {
    const deadlineTimer = context.clock.schedule(call.hardDeadlineAtMs - context.clock.now(), answered.answer.cancel);
    const body = await exchanges.readBody(answered.answer, MAX_ANSWER_BYTES);
    deadlineTimer.dispose();
    if (call.signal.aborted) {
        answered.ticket.end("cancelled");
        return { kind: "gone" };
    }
    const { status, rawHeaders } = answered.answer;
    answered.ticket.end(body !== undefined && status < 500 ? "ok" : "failed");
    if (body === undefined) {
        const isLate = context.clock.now() >= call.hardDeadlineAtMs;
        const code = isLate ? codes.codes.upstreamTimeout : codes.codes.upstreamReset;
        return { kind: "own", failure: codes.failure(code, "answer cut short") };
    }
    if (NOT_RUN_STATUSES.has(status)) {
        return { kind: "own", failure: codes.failure(codes.codes.upstreamFailed, `status ${status} after a run`) };
    }
    const headers = context.wire.answerHeaders(rawHeaders);
    return { kind: "whole", status, headers, body, isFramed: answered.answer.isFramed, instance: answered.instance };
}

/** Whether a failure may be tried again at another instance. */
function canRetry(call: calls.RoutedCall, history: senders.CallHistory, runOutcome: RunOutcome): boolean {
    const hasFailed = runOutcome.kind === "own" || (runOutcome.kind === "whole" && runOutcome.status >= 500);
    return hasFailed && calls.isRetryable(call.route) && history.possibleRuns < call.route.attempts;
}
