/**
 * Runs a call whose answer is a stream of events. Complete events are forwarded as they arrive, in order; a stream
 * that breaks is resumed on another instance where the route allows it.
 */
import * as codes from "../../common/Codes";
import * as chunks from "../../connection/ChunkReader";
import * as answerStarts from "./AnswerStart";
import * as answerWaits from "./AnswerWait";
import * as histories from "./CallHistory";
import * as forwards from "./EventForward";
import * as progresses from "./EventProgress";
import * as plainRuns from "./PlainRun";
import * as calls from "./RoutedCall";
import * as silenceWaits from "./SilenceWait";
import * as moves from "./StreamMove";
import * as streamOptions from "./StreamOptions";
import * as senders from "./UpstreamSender";

/** How the forwarding of one answer ended. `moved`: the call was sent to another instance, with the outcome `next`. */
type ForwardOutcome =
    | { readonly kind: "complete" | "disconnected" | "deadline" }
    | { readonly kind: "broken"; readonly reason: "broken" | "nothing-new" | "buffers-full" }
    | { readonly kind: "moved"; readonly next: senders.SendOutcome };
/** Result of one send; `next` is the outcome of a further one that has already been made. */
interface Step {
    readonly outcome: plainRuns.RunOutcome;
    readonly isFinal: boolean;
    readonly next?: senders.SendOutcome;
}
const ticketOutcomes = {
    complete: "ok",
    broken: "failed",
    moved: "failed",
    disconnected: "cancelled",
    deadline: "cancelled",
} as const;
type AnsweredSend = Extract<senders.SendOutcome, { kind: "answer" }>;

/** Forwards one stream to its caller; used once. */
export class StreamRun {
    private readonly progress: progresses.EventProgress;
    /** Media type of the answer that began the stream. */
    private mediaType: string | undefined;
    private readonly history = histories.createHistory();
    private readonly silence: silenceWaits.SilenceWait;

    constructor(
        private readonly context: senders.SenderContext,
        private readonly call: calls.RoutedCall,
        private readonly options: streamOptions.StreamOptions,
    ) {
        this.progress = new progresses.EventProgress(context.clock, call.metadata.lastEventId);
        this.silence = new silenceWaits.SilenceWait(context.clock, call, {
            hasBegun: () => options.sink.hasBegun,
            canMove: () => this.canSendAgain,
        });
        this.history.softwareVersion = options.softwareVersion;
    }

    /** Sends the call and resumes it after interruptions, until the stream has ended or may not be resumed. */
    async run(): Promise<plainRuns.RunOutcome> {
        let latestFailure: plainRuns.RunOutcome | undefined;
        let sendOutcome = await this.send(this.call.signal);
        for (;;) {
            if (sendOutcome.kind === "not-run") {
                if (sendOutcome.isInputLost) {
                    this.options.releaseInputs();
                }
                sendOutcome = await this.send(this.call.signal);
                continue;
            }
            const step = await this.handleSendOutcome(sendOutcome, latestFailure);
            if (step.isFinal || (step.next === undefined && !this.canRetry())) {
                return this.conclude(step.outcome);
            }
            latestFailure = step.outcome;
            sendOutcome = step.next ?? await this.send(this.call.signal);
        }
    }

    /** Sends the call with its inputs, which are computed first unless they are held. */
    private async send(signal: AbortSignal, onDispatched?: () => void): Promise<senders.SendOutcome> {
        const hasInputs = this.options.inputs() !== undefined
            || (senders.canSend(this.context, this.call, this.history) && await this.options.computeInputs(signal));
        if (!hasInputs) {
            return { kind: signal.aborted ? "cancelled" : "none" };
        }
        return answerWaits.sendUntilAnswered({
            send: (sendSignal, answerWaitMs) =>
                senders.sendCall(this.context, this.call, this.history, {
                    lastEventId: this.progress.lastEventId,
                    inputs: this.options.inputs() ?? [],
                    answerWaitMs,
                    signal: sendSignal,
                    onDispatched,
                }),
            waitMs: sent => this.silence.answerWaitMs(sent),
            isLate: () => this.silence.isLate,
            move: (continuation, leave) => this.move(continuation, leave, signal),
            signal,
        });
    }

    private async handleSendOutcome(
        sendOutcome: Exclude<senders.SendOutcome, { kind: "not-run" }>,
        latestFailure: plainRuns.RunOutcome | undefined,
    ): Promise<Step> {
        switch (sendOutcome.kind) {
            case "none":
                return { outcome: latestFailure ?? plainRuns.createFailure(this.history), isFinal: true };
            case "cancelled":
                return { outcome: { kind: "disconnected" }, isFinal: true };
            case "unknown": {
                const failure = codes.failure(sendOutcome.code, "no event");
                return { outcome: { kind: "local-failure", failure }, isFinal: false };
            }
            case "answer":
                return this.handleAnswer(sendOutcome);
        }
    }

    private async handleAnswer(answered: AnsweredSend): Promise<Step> {
        if (answered.answer.status !== 200 || !this.continuesStream(answered)) {
            const outcome = await plainRuns.readCompleteAnswer(this.context, this.call, answered);
            const isRejected = outcome.kind === "buffered" && outcome.status < 500 && answered.answer.status !== 200;
            return { outcome, isFinal: isRejected || outcome.kind === "disconnected" };
        }
        const forwarded = await this.forward(answered);
        if (forwarded.kind === "broken") {
            this.logInterruption(answered, forwarded.reason);
        }
        answered.sent.ticket.end(ticketOutcomes[forwarded.kind]);
        switch (forwarded.kind) {
            case "complete":
                this.begin(answered);
                this.options.sink.end();
                return { outcome: { kind: "streamed", isComplete: true }, isFinal: true };
            case "disconnected":
                return { outcome: { kind: "disconnected" }, isFinal: true };
            case "deadline": {
                const failure = codes.failure(codes.codes.upstreamTimeout, "no whole stream in time");
                return { outcome: { kind: "local-failure", failure }, isFinal: true };
            }
            case "broken": {
                const failure = codes.failure(codes.codes.streamBroken, "broken");
                return { outcome: { kind: "local-failure", failure }, isFinal: false };
            }
            case "moved": {
                const failure = codes.failure(codes.codes.streamBroken, "silent");
                return { outcome: { kind: "local-failure", failure }, isFinal: false, next: forwarded.next };
            }
        }
    }

    /** Whether an answer has the type of the one that began the stream, if one did; otherwise its text is no event. */
    private continuesStream({ answer }: AnsweredSend): boolean {
        return !this.options.sink.hasBegun || mediaTypeOf(answer) === this.mediaType;
    }

    /** Forwards the events of one answer until it ends. */
    private async forward(answered: AnsweredSend): Promise<ForwardOutcome> {
        const { sent } = answered;
        const start = new answerStarts.AnswerStart(this.context.clock, this.context.crashes, this.call, sent);
        const events = this.createForward(answered, start);
        this.silence.recordAnswer(sent);
        this.progress.beginAnswer();
        try {
            return await this.forwardChunks(answered, start, events);
        }
        finally {
            events.dispose();
        }
    }

    private async forwardChunks(
        answered: AnsweredSend,
        start: answerStarts.AnswerStart,
        events: forwards.EventForward,
    ): Promise<ForwardOutcome> {
        for (;;) {
            const waitMs = (): number => this.silence.nextBytesWaitMs(answered.sent);
            const chunk = await chunks.readChunk(answered.answer.body, this.context.clock, waitMs);
            if (this.call.signal.aborted) {
                answered.answer.cancel();
                return { kind: "disconnected" };
            }
            if (chunk === "timeout") {
                if (this.silence.isLate) {
                    return this.endAtDeadline(answered, "deadline");
                }
                this.logInterruption(answered, "silent");
                const continuation = new moves.BodyContinuation(answered.answer.body);
                const next = await this.move(continuation, answered.answer.cancel, this.call.signal);
                if (next !== undefined) {
                    return { kind: "moved", next };
                }
                continue;
            }
            if (chunk === "end") {
                const isComplete = answered.answer.end.isWhole && !events.hasPartialEvent;
                start.recordEnd(isComplete);
                if (!isComplete) {
                    this.recordCut(answered);
                }
                return isComplete ? { kind: "complete" } : { kind: "broken", reason: "broken" };
            }
            answered.answer.end.bodyBytes += chunk.length;
            this.silence.recordBytes(chunk.length);
            const outcome = await events.forward(chunk);
            if (outcome === "unread") {
                return this.endAtDeadline(answered, "unread");
            }
            if (outcome !== "forwarded") {
                return this.giveUp(answered, events, outcome);
            }
            if (this.silence.checkOverrun()) {
                return this.endAtDeadline(answered, "deadline");
            }
        }
    }

    /** Gives up an answer that doesn't go on as a stream of events, or for which there is no room. */
    private async giveUp(
        { answer, sent }: AnsweredSend,
        events: forwards.EventForward,
        outcome: "nothing-new" | "too-long" | "buffers-full",
    ): Promise<ForwardOutcome> {
        answer.cancel();
        await events.flush();
        if (outcome !== "buffers-full") {
            const fault = outcome === "too-long" ? "too-large" : outcome;
            this.context.pool.faults.record(sent.instance, fault, [this.call.metadata.attempt]);
        }
        return { kind: "broken", reason: outcome === "too-long" ? "broken" : outcome };
    }

    private createForward(answered: AnsweredSend, start: answerStarts.AnswerStart): forwards.EventForward {
        const { sink, turns } = this.options;
        const { clock } = this.context;
        return new forwards.EventForward({
            clock,
            sink,
            progress: this.progress,
            slices: turns.open(),
            buffers: this.call.buffers,
            onProgress: () => {
                this.silence.recordEvents();
                start.recordEvents();
            },
            onEvents: () => this.recordEvents(answered),
            onWritten: () => this.options.releaseInputs(),
            readLimitMs: () => this.call.hardDeadlineAtMs - clock.now(),
        });
    }

    private endAtDeadline(answered: AnsweredSend, reason: string): ForwardOutcome {
        this.logInterruption(answered, reason);
        answered.answer.cancel();
        return { kind: "deadline" };
    }

    /** Moves the call to another instance; undefined if it stays at the silent one. */
    private async move(
        continuation: moves.Continuation,
        leave: () => void,
        signal: AbortSignal,
    ): Promise<senders.SendOutcome | undefined> {
        const next = await moves.moveStream({
            clock: this.context.clock,
            continuation,
            leave,
            prepare: async moveSignal => this.options.inputs() !== undefined || this.options.computeInputs(moveSignal),
            send: (moveSignal, onDispatched) => this.send(moveSignal, onDispatched),
            signal,
        });
        this.silence.recordMove();
        this.context.log.info(
            { decision: "stream-move", attempt: this.call.metadata.attempt, end: next?.kind ?? "stayed" },
            "move of a silent stream ended",
        );
        return next;
    }

    /** Records events that are about to be written. */
    private recordEvents(answered: AnsweredSend): void {
        if (!this.options.sink.hasBegun) {
            this.options.onFirstEvent(answered.softwareVersion);
            this.begin(answered);
        }
        this.history.softwareVersion ??= answered.softwareVersion;
        this.call.progress.firstEventMs ??= this.context.clock.now() - this.call.arrivedMs;
        answered.sent.ticket.recordEvent();
    }

    /** Writes the headers of the instance's answer, unless those of an earlier one have been written. */
    private begin({ answer }: AnsweredSend): void {
        if (!this.options.sink.hasBegun) {
            this.mediaType = mediaTypeOf(answer);
            this.options.sink.begin(answer.status, this.context.wire.answerHeaders(answer.rawHeaders));
        }
    }

    private recordCut({ answer, sent }: AnsweredSend): void {
        this.context.pool.cuts.record(sent.instance, answer.end, [this.call.metadata.attempt]);
    }

    private logInterruption(answered: AnsweredSend, reason: string): void {
        const { quietMs } = answered.sent.traffic;
        this.context.log.info({
            decision: "stream-interrupted",
            attempt: this.call.metadata.attempt,
            instance: answered.instance,
            reason,
            begun: this.options.sink.hasBegun,
            lastEventId: this.progress.lastEventId,
            continuable: this.progress.canContinue,
            silentMs: Math.round(this.silence.silentMs),
            quietMs: quietMs === undefined ? undefined : Math.round(quietMs),
            inputs: this.options.inputs()?.length,
            resumable: this.canRetry(),
        }, "stream interrupted");
    }

    private canRetry(): boolean {
        return this.canSendAgain
            && this.history.possibleRuns < this.call.route.attempts
            && !this.silence.isLate;
    }

    /** Whether the route allows another instance to run the call, and that one's answer can go on where this one ends. */
    private get canSendAgain(): boolean {
        return calls.isRetryable(this.call.route) && this.progress.canContinue;
    }

    /** The outcome of the call; whatever ends a stream that has begun, none of its text reaches the caller. */
    private conclude(outcome: plainRuns.RunOutcome): plainRuns.RunOutcome {
        const isOwnAnswer = outcome.kind === "buffered" || outcome.kind === "local-failure";
        if (!isOwnAnswer || !this.options.sink.hasBegun) {
            return outcome;
        }
        this.options.sink.abort();
        return { kind: "streamed", isComplete: false };
    }
}

/** The media type of an answer, without its parameters. */
function mediaTypeOf({ headers }: AnsweredSend["answer"]): string | undefined {
    return headers["content-type"]?.split(";")[0]!.trim().toLowerCase();
}
