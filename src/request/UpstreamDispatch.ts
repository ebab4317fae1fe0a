/**
 * One dispatched call: runs it on the upstream and gives its place back when the upstream no longer holds the
 * work, which may be later than the moment at which nobody waits for the answer any more.
 */
import * as result from "true-myth/result";
import * as pattern from "ts-pattern";
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as ports from "../common/Ports";
import * as limits from "../process/admission/AdmissionLimit";
import * as queues from "../process/admission/FairQueue";
import * as deadlines from "./Deadline";

/** Time that an upstream needs at most to notice that a connection was closed. */
const DISCONNECT_NOTICE_MS = 50;
/** Gaps between the parts of a stream within which its upstream notices a closed connection. */
const DISCONNECT_NOTICE_GAPS = 2;
/** Longest time that a cold upstream may go on with an abandoned call. */
const MAX_ABANDONED_MS = 30_000;

/** What the dispatched calls of an agent share. */
export interface DispatchContext {
    readonly clock: clocks.Clock;
    readonly engine: ports.ModelEngine;
    readonly reportBoot: (boot: string) => void;
    /** Whether the upstream bears only its cold concurrency by the last word. */
    readonly isCold: () => boolean;
    /** Aborts when the process ends. */
    readonly stopped: AbortSignal;
}

/** What to dispatch. */
export interface DispatchedCall extends ports.UpstreamCall {
    /** Offset and taker of a stream's tokens; undefined for a call. */
    readonly stream: { readonly offset: number; readonly onPart: (part: ports.UpstreamPart) => void } | undefined;
    /** Whether the call may be given up at its deadline. */
    readonly canAbandonAtDeadline: boolean;
}

/** How a dispatched call ended for the one who waits. */
export interface DispatchOutcome {
    readonly reply: result.Result<ports.UpstreamAnswer, codes.Failure>;
    readonly upstreamMs: number;
}

type Reply = DispatchOutcome["reply"];
/** A reply, or that the deadline passed or the caller went away before it. */
type WaitOutcome = Reply | "late" | "gone";

/** A call at the upstream; used once. */
export class UpstreamDispatch {
    private readonly exchange = new AbortController();
    private readonly startedMs: number;
    private firstTokenMs: number | undefined;
    private lastPartMs: number | undefined;
    private longestGapMs = 0;
    private isAbandoned = false;
    private expire: (() => void) | undefined;
    private expiry: clocks.Disposable | undefined;

    constructor(private readonly context: DispatchContext, private readonly permit: queues.Permit) {
        this.startedMs = context.clock.now();
    }

    /** Runs the call until it ends or `signal` aborts. Never rejects. */
    async run(call: DispatchedCall, signal: AbortSignal): Promise<DispatchOutcome> {
        const pending = this.start(call);
        const waitOutcome = await this.waitForReply(call, pending, signal);
        if (waitOutcome === "late" || waitOutcome === "gone") {
            return { reply: await this.abandon(pending, waitOutcome === "late"), upstreamMs: this.elapsedMs };
        }
        this.finish(waitOutcome);
        return { reply: waitOutcome, upstreamMs: this.elapsedMs };
    }

    /** The reply, or why nobody waits for it any more. */
    private waitForReply(call: DispatchedCall, pending: Promise<Reply>, signal: AbortSignal): Promise<WaitOutcome> {
        return new Promise(resolve => {
            const stopWaiting = (waitOutcome: WaitOutcome): void => {
                this.expiry?.dispose();
                this.expire = undefined;
                signal.removeEventListener("abort", onCallerGone);
                resolve(waitOutcome);
            };
            const onCallerGone = (): void => stopWaiting("gone");
            this.expire = call.canAbandonAtDeadline ? () => stopWaiting("late") : undefined;
            this.scheduleExpiry(call.remainingMs);
            signal.addEventListener("abort", onCallerGone);
            void pending.then(stopWaiting);
            if (signal.aborted) {
                onCallerGone();
            }
        });
    }

    /** A call ends at its deadline; a stream that has begun ends when its next part takes too long. */
    private scheduleExpiry(delayMs: number): void {
        this.expiry?.dispose();
        this.expiry = this.expire === undefined || this.isAbandoned
            ? undefined
            : this.context.clock.schedule(delayMs, this.expire);
    }

    private get elapsedMs(): number {
        return this.context.clock.now() - this.startedMs;
    }

    private start(call: DispatchedCall): Promise<Reply> {
        const { engine, clock } = this.context;
        const { signal } = this.exchange;
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
            freshConnection: call.freshConnection,
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

    /** Takes in the restart first, so that the place isn't granted anew under the limit of before. */
    private finish(reply: Reply): void {
        if (reply.isOk && reply.value.boot !== undefined) {
            this.context.reportBoot(reply.value.boot);
        }
        this.permit.finish(describeCompletion(reply, this.elapsedMs, this.firstTokenMs));
    }

    /**
     * Nobody waits any more. A warm upstream, and one that streams already, is told so by the closed connection,
     * and notices it at its next part. A cold one works on to the end otherwise, since it would still hold the work
     * for an unknown time in which its place were granted anew.
     */
    private async abandon(pending: Promise<Reply>, isLate: boolean): Promise<Reply> {
        this.isAbandoned = true;
        const lateFailure = codes.failure(codes.codes.upstreamTimeout, "deadline passed at the upstream");
        const completion: limits.Completion = isLate ? { kind: "failed" } : { kind: "neutral" };
        if (this.context.isCold() && this.lastPartMs === undefined) {
            void this.releaseAfterReply(pending, completion);
            return result.err(isLate ? lateFailure : codes.failure(codes.codes.cancelledRunning, "caller gone"));
        }
        this.exchange.abort();
        const reply = await pending;
        void this.releaseAfterNotice(completion);
        return isLate && reply.isErr ? result.err(lateFailure) : reply;
    }

    private async releaseAfterReply(pending: Promise<Reply>, completion: limits.Completion): Promise<void> {
        const { clock, stopped } = this.context;
        const ended = new AbortController();
        const timeout = clocks.sleep(clock, MAX_ABANDONED_MS, AbortSignal.any([stopped, ended.signal]));
        const reply = await Promise.race([pending, timeout.then(() => undefined)]);
        ended.abort();
        this.exchange.abort();
        if (reply?.isOk && reply.value.boot !== undefined) {
            this.context.reportBoot(reply.value.boot);
        }
        this.permit.finish(completion);
    }

    private async releaseAfterNotice(completion: limits.Completion): Promise<void> {
        const noticeMs = Math.max(DISCONNECT_NOTICE_MS, DISCONNECT_NOTICE_GAPS * this.longestGapMs);
        await clocks.sleep(this.context.clock, noticeMs, this.context.stopped);
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
