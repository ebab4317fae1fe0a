/**
 * Runs one dispatched call on the upstream. Its concurrency slot is released when the upstream has ended the call or
 * is expected to have ended it, which may be after the caller has stopped waiting.
 */
import * as result from "true-myth/result";
import * as pattern from "ts-pattern";
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as deadlines from "../common/Deadline";
import * as ports from "../common/Ports";
import * as limits from "../process/admission/AdmissionLimit";
import * as queues from "../process/admission/FairQueue";

/** Time within which an upstream notices a closed connection. */
const DISCONNECT_NOTICE_MS = 50;
/** The same for a stream, as a multiple of the longest gap between its parts; the longer time applies. */
const DISCONNECT_NOTICE_GAPS = 2;
/** Longest time that a cold upstream may continue an abandoned call. */
const MAX_ABANDONED_MS = 30_000;

/** State and dependencies that all dispatched calls of an agent share. */
export interface DispatchContext {
    readonly clock: clocks.Clock;
    readonly engine: ports.ModelEngine;
    readonly reportBoot: (boot: string) => void;
    /** Whether the admission limit is at the cold concurrency: after a cold start or a suspected restart. */
    readonly isCold: () => boolean;
    /** Aborts when the process ends. */
    readonly stopSignal: AbortSignal;
}

/** A call to dispatch. */
export interface DispatchedCall extends ports.UpstreamCall {
    /** Offset to start from and receiver of a stream's parts; undefined for a call without streaming. */
    readonly stream: { readonly offset: number; readonly onPart: (part: ports.UpstreamPart) => void } | undefined;
    /** Whether the call is abandoned at its deadline; otherwise its exchange with the upstream times out then. */
    readonly canAbandonAtDeadline: boolean;
}

/** Outcome of a dispatched call for its caller. */
export interface DispatchOutcome {
    readonly reply: result.Result<ports.UpstreamAnswer, codes.Failure>;
    readonly upstreamMs: number;
}

type Reply = DispatchOutcome["reply"];
/** The reply; `late` if the deadline passed first, `disconnected` if the caller disconnected first. */
type WaitOutcome = Reply | "late" | "disconnected";

/** Runs one call on the upstream; used once. */
export class UpstreamDispatch {
    private readonly exchangeAbort = new AbortController();
    private readonly startedMs: number;
    private firstTokenMs: number | undefined;
    private lastPartMs: number | undefined;
    private longestGapMs = 0;
    private isAbandoned = false;
    private onExpiry: (() => void) | undefined;
    private expiryTimer: clocks.Disposable | undefined;

    constructor(private readonly context: DispatchContext, private readonly permit: queues.Permit) {
        this.startedMs = context.clock.now();
    }

    /** Runs the call until it ends, its deadline passes or `signal` aborts. Never rejects. */
    async run(call: DispatchedCall, signal: AbortSignal): Promise<DispatchOutcome> {
        const pending = this.sendCall(call);
        const waitOutcome = await this.waitForReply(call, pending, signal);
        if (waitOutcome === "late" || waitOutcome === "disconnected") {
            return { reply: await this.abandon(pending, waitOutcome === "late"), upstreamMs: this.elapsedMs };
        }
        this.releaseNow(waitOutcome);
        return { reply: waitOutcome, upstreamMs: this.elapsedMs };
    }

    /** Waits for the reply, the deadline or the caller's disconnect, whichever is first. */
    private waitForReply(call: DispatchedCall, pending: Promise<Reply>, signal: AbortSignal): Promise<WaitOutcome> {
        return new Promise(resolve => {
            const stopWaiting = (waitOutcome: WaitOutcome): void => {
                this.expiryTimer?.dispose();
                this.onExpiry = undefined;
                signal.removeEventListener("abort", onCallerGone);
                resolve(waitOutcome);
            };
            const onCallerGone = (): void => stopWaiting("disconnected");
            this.onExpiry = call.canAbandonAtDeadline ? () => stopWaiting("late") : undefined;
            this.scheduleExpiry(call.remainingMs);
            signal.addEventListener("abort", onCallerGone);
            void pending.then(stopWaiting);
            if (signal.aborted) {
                onCallerGone();
            }
        });
    }

    /** Schedules the expiry: at the deadline, or for a stream that has begun, when its next part is overdue. */
    private scheduleExpiry(delayMs: number): void {
        this.expiryTimer?.dispose();
        this.expiryTimer = this.onExpiry === undefined || this.isAbandoned
            ? undefined
            : this.context.clock.schedule(delayMs, this.onExpiry);
    }

    private get elapsedMs(): number {
        return this.context.clock.now() - this.startedMs;
    }

    private sendCall(call: DispatchedCall): Promise<Reply> {
        const { engine, clock } = this.context;
        const { signal } = this.exchangeAbort;
        const timeoutMs = call.canAbandonAtDeadline ? call.remainingMs + MAX_ABANDONED_MS : call.remainingMs;
        const upstreamCall: ports.UpstreamCall = {
            request: call.request,
            operation: call.operation,
            model: call.model,
            priority: call.priority,
            key: call.key,
            remainingMs: call.remainingMs,
            timeoutMs,
            body: call.body,
            usesFreshConnection: call.usesFreshConnection,
        };
        if (call.stream === undefined) {
            return engine.call(upstreamCall, signal);
        }
        const { offset, onPart } = call.stream;
        return engine.stream(upstreamCall, offset, part => {
            this.firstTokenMs ??= clock.now() - this.startedMs;
            this.recordGap();
            this.scheduleExpiry(deadlines.STREAM_PROGRESS_TIMEOUT_MS);
            if (!this.isAbandoned) {
                onPart(part);
            }
        }, signal);
    }

    private recordGap(): void {
        const nowMs = this.context.clock.now();
        this.longestGapMs = Math.max(this.longestGapMs, nowMs - (this.lastPartMs ?? nowMs));
        this.lastPartMs = nowMs;
    }

    /** Reports the boot identity first, so that after a restart the slot is not reused under the previous limit. */
    private releaseNow(reply: Reply): void {
        if (reply.isOk && reply.value.boot !== undefined) {
            this.context.reportBoot(reply.value.boot);
        }
        this.permit.finish(describeCompletion(reply, this.elapsedMs, this.firstTokenMs));
    }

    /**
     * Called when nobody waits for the reply any more. Closes the connection if the upstream is warm or has begun to
     * stream, since it then notices the close soon, at the latest with the next part. Any other upstream is left to
     * finish: after a close it would continue for an unknown time, while the slot was already reused.
     */
    private async abandon(pending: Promise<Reply>, isLate: boolean): Promise<Reply> {
        this.isAbandoned = true;
        const lateFailure = codes.failure(codes.codes.upstreamTimeout, "deadline passed at the upstream");
        const completion: limits.Completion = isLate ? { kind: "failed" } : { kind: "neutral" };
        if (this.context.isCold() && this.lastPartMs === undefined) {
            void this.releaseAfterReply(pending, completion);
            return result.err(isLate ? lateFailure : codes.failure(codes.codes.cancelledRunning, "caller gone"));
        }
        this.exchangeAbort.abort();
        const reply = await pending;
        void this.releaseAfterNotice(completion);
        return isLate && reply.isErr ? result.err(lateFailure) : reply;
    }

    private async releaseAfterReply(pending: Promise<Reply>, completion: limits.Completion): Promise<void> {
        const { clock, stopSignal } = this.context;
        const timeoutAbort = new AbortController();
        const timeout = clocks.sleep(clock, MAX_ABANDONED_MS, AbortSignal.any([stopSignal, timeoutAbort.signal]));
        const reply = await Promise.race([pending, timeout.then(() => undefined)]);
        timeoutAbort.abort();
        this.exchangeAbort.abort();
        if (reply?.isOk && reply.value.boot !== undefined) {
            this.context.reportBoot(reply.value.boot);
        }
        this.permit.finish(completion);
    }

    private async releaseAfterNotice(completion: limits.Completion): Promise<void> {
        const noticeMs = Math.max(DISCONNECT_NOTICE_MS, DISCONNECT_NOTICE_GAPS * this.longestGapMs);
        await clocks.sleep(this.context.clock, noticeMs, this.context.stopSignal);
        this.permit.finish(completion);
    }
}

function describeCompletion(reply: Reply, latencyMs: number, firstTokenMs: number | undefined): limits.Completion {
    if (reply.isOk) {
        return { kind: "success", latencyMs, firstTokenMs };
    }
    return pattern.match(reply.error.code.code)
        .returnType<limits.Completion>()
        .with(codes.codes.connectFailed.code, () => ({ kind: "refused-connection" }))
        .with(codes.codes.cancelled.code, codes.codes.cancelledRunning.code, () => ({ kind: "neutral" }))
        .otherwise(() => ({ kind: "failed" }));
}
