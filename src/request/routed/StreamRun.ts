/**
 * Runs a call whose answer is a stream of events. Complete events are forwarded as they arrive, in order; a stream
 * that breaks is resumed on another instance where the route allows it.
 */
import * as http from "node:http";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as silenceLimits from "../../process/routing/SilenceLimit";
import * as splitters from "./EventSplitter";
import * as plainRuns from "./PlainRun";
import * as calls from "./RoutedCall";
import * as senders from "./UpstreamSender";

/** Destination of the events of a stream. */
export interface EventSink {
    /** Whether the headers have been written. */
    readonly hasBegun: boolean;
    /** Whether the answer is close-delimited: its body ends with the connection. */
    readonly isCloseDelimited: boolean;
    begin(status: number, headers: readonly string[], isFramed: boolean): void;
    /** Resolves when further bytes can be written without unbounded buffering. */
    write(bytes: Buffer): Promise<void>;
    end(): void;
    /** Aborts the answer so that the caller sees it as incomplete. */
    abort(): void;
}

/** What a stream needs in addition to the sender's context. */
export interface StreamOptions {
    readonly inputs: () => readonly senders.CallInput[];
    /** Computes the inputs again after one was lost; resolves to false on failure. */
    readonly recomputeInputs: () => Promise<boolean>;
    /** The version of the software that began the stream in an earlier attempt; undefined if any will do. */
    readonly softwareVersion: string | undefined;
    /** Called before the first event of this answer is forwarded, with the version of the instance that sent it. */
    readonly onFirstEvent: (softwareVersion: string) => void;
    /** Called after each forwarded event: the instance has read its inputs by then. */
    readonly onEventForwarded: () => void;
    readonly sink: EventSink;
}

type ForwardOutcome = "complete" | "broken" | "stalled" | "disconnected" | "deadline";
type AnsweredSend = Extract<senders.SendOutcome, { kind: "answer" }>;

/** Forwards one stream to its caller; used once. */
export class StreamRun {
    private lastEventId: number | undefined;
    private readonly history = senders.createHistory();

    constructor(
        private readonly context: senders.SenderContext,
        private readonly call: calls.RoutedCall,
        private readonly options: StreamOptions,
    ) {
        this.lastEventId = call.metadata.lastEventId;
        this.history.softwareVersion = options.softwareVersion;
    }

    /** Sends the call and resumes it after interruptions, until the stream has ended or may not be resumed. */
    async run(): Promise<plainRuns.RunOutcome> {
        let latestFailure: plainRuns.RunOutcome | undefined;
        for (;;) {
            const sendOutcome = await senders.sendCall(this.context, this.call, this.history, {
                lastEventId: this.lastEventId,
                inputs: this.options.inputs(),
                answerWaitMs: sent => this.waitMs(sent, sent.sentAtMs),
            });
            if (sendOutcome.kind === "not-run") {
                if (sendOutcome.isInputLost && !await this.options.recomputeInputs()) {
                    return this.abortIfBegun(latestFailure ?? plainRuns.createRejection(this.history));
                }
                continue;
            }
            const step = await this.handleSendOutcome(sendOutcome, latestFailure);
            if (step.isFinal || !this.canRetry()) {
                return step.outcome;
            }
            latestFailure = step.outcome;
        }
    }

    private async handleSendOutcome(
        sendOutcome: Exclude<senders.SendOutcome, { kind: "not-run" }>,
        latestFailure: plainRuns.RunOutcome | undefined,
    ): Promise<{ readonly outcome: plainRuns.RunOutcome; readonly isFinal: boolean }> {
        switch (sendOutcome.kind) {
            case "none":
                return {
                    outcome: this.abortIfBegun(latestFailure ?? plainRuns.createRejection(this.history)),
                    isFinal: true,
                };
            case "cancelled":
                return { outcome: { kind: "disconnected" }, isFinal: true };
            case "unknown": {
                const failure = codes.failure(sendOutcome.code, "no event");
                return { outcome: this.abortUnlessRetryable({ kind: "local-failure", failure }), isFinal: false };
            }
            case "answer":
                return this.handleAnswer(sendOutcome);
        }
    }

    private async handleAnswer(
        answered: AnsweredSend,
    ): Promise<{ readonly outcome: plainRuns.RunOutcome; readonly isFinal: boolean }> {
        if (answered.answer.status !== 200) {
            const outcome = await plainRuns.readCompleteAnswer(this.context, this.call, answered);
            const isFinal = outcome.kind === "disconnected" || (outcome.kind === "buffered" && outcome.status < 500);
            return { outcome: this.abortUnlessRetryable(outcome), isFinal };
        }
        const forwarded = await this.forward(answered);
        answered.sent.ticket.end(
            forwarded === "complete"
                ? "ok"
                : forwarded === "disconnected" || forwarded === "deadline"
                ? "cancelled"
                : "failed",
        );
        switch (forwarded) {
            case "complete":
                this.begin(answered);
                this.options.sink.end();
                return { outcome: { kind: "streamed", isComplete: true }, isFinal: true };
            case "disconnected":
                return { outcome: { kind: "disconnected" }, isFinal: true };
            case "deadline": {
                const failure = codes.failure(codes.codes.upstreamTimeout, "no whole stream in time");
                return { outcome: this.abortIfBegun({ kind: "local-failure", failure }), isFinal: true };
            }
            case "broken":
            case "stalled": {
                const failure = codes.failure(codes.codes.streamBroken, forwarded);
                return { outcome: this.abortUnlessRetryable({ kind: "local-failure", failure }), isFinal: false };
            }
        }
    }

    /** Forwards the events of one answer until it ends. */
    private async forward(answered: AnsweredSend): Promise<ForwardOutcome> {
        const splitter = new splitters.EventSplitter();
        const { sent } = answered;
        let lastBytesAtMs = sent.sentAtMs;
        for (;;) {
            const waitMs = (): number => this.waitMs(sent, lastBytesAtMs);
            const chunk = await readChunk(answered.answer.body, this.context.clock, waitMs);
            lastBytesAtMs = this.context.clock.now();
            if (this.call.signal.aborted) {
                answered.answer.cancel();
                return "disconnected";
            }
            if (chunk === "timeout") {
                answered.answer.cancel();
                return this.context.clock.now() >= this.call.hardDeadlineAtMs ? "deadline" : "stalled";
            }
            if (chunk === "end") {
                return this.isStreamComplete(answered) && !splitter.hasPartialEvent ? "complete" : "broken";
            }
            const events = splitter.push(chunk);
            if (events === undefined) {
                answered.answer.cancel();
                return "broken";
            }
            await this.forwardEvents(events, answered);
        }
    }

    /**
     * Whether the answer is known to be complete. A close-delimited one is accepted only if the caller's answer is
     * close-delimited too: a framed answer would present a possibly truncated stream as complete.
     */
    private isStreamComplete(answered: AnsweredSend): boolean {
        return answered.answer.isComplete() && (answered.answer.isFramed || this.options.sink.isCloseDelimited);
    }

    private async forwardEvents(events: readonly splitters.StreamEvent[], answered: AnsweredSend): Promise<void> {
        const { sink } = this.options;
        for (const event of events) {
            if (event.id !== undefined && this.lastEventId !== undefined && event.id <= this.lastEventId) {
                continue;
            }
            if (!sink.hasBegun) {
                this.options.onFirstEvent(answered.softwareVersion);
                this.begin(answered);
            }
            this.lastEventId = event.id ?? this.lastEventId;
            this.history.softwareVersion ??= answered.softwareVersion;
            this.call.progress.firstEventMs ??= this.context.clock.now() - this.call.arrivedMs;
            answered.sent.ticket.recordEvent();
            await sink.write(event.bytes);
            this.options.onEventForwarded();
        }
    }

    /** Writes the headers of the instance's answer, unless those of an earlier one have been written. */
    private begin({ answer }: AnsweredSend): void {
        if (!this.options.sink.hasBegun) {
            this.options.sink.begin(
                answer.status,
                this.context.wire.answerHeaders(answer.rawHeaders),
                answer.isFramed,
            );
        }
    }

    /** Time to wait for the next bytes of a send before asking again; 0 to give up. */
    private waitMs(sent: senders.SentCall, lastBytesAtMs: number): number {
        const nowMs = this.context.clock.now();
        const remainingMs = Math.max(0, this.call.hardDeadlineAtMs - nowMs);
        if (!calls.isRetryable(this.call.route)) {
            return remainingMs;
        }
        const silentCall = {
            waitedMs: nowMs - lastBytesAtMs,
            expectedMs: sent.ticket.expectedFirstEventMs,
            quietMs: sent.traffic.quietMs,
            remainingMs,
            elsewhereMs: sent.elsewhereMs,
        };
        const hasReadPrompt = lastBytesAtMs > sent.sentAtMs; // An instance that resumes a stream reads it again.
        return hasReadPrompt
            ? silenceLimits.nextEventWaitMs(silentCall)
            : silenceLimits.firstEventWaitMs(silentCall);
    }

    private canRetry(): boolean {
        return calls.isRetryable(this.call.route)
            && this.history.possibleRuns < this.call.route.attempts
            && this.context.clock.now() < this.call.hardDeadlineAtMs;
    }

    /** Aborts a stream that has begun and cannot be resumed; otherwise returns the outcome unchanged. */
    private abortUnlessRetryable(outcome: plainRuns.RunOutcome): plainRuns.RunOutcome {
        if (this.options.sink.hasBegun && !this.canRetry()) {
            return this.abortIfBegun(outcome);
        }
        return outcome;
    }

    private abortIfBegun(outcome: plainRuns.RunOutcome): plainRuns.RunOutcome {
        if (!this.options.sink.hasBegun) {
            return outcome;
        }
        this.options.sink.abort();
        return { kind: "streamed", isComplete: false };
    }
}

/** Reads the next bytes of a body; `end` once it has ended, complete or not. Asks how long to wait, until it is 0. */
function readChunk(
    body: http.IncomingMessage,
    clock: clocks.Clock,
    waitMs: () => number,
): Promise<Buffer | "end" | "timeout"> {
    const ready = body.read() as Buffer | undefined;
    if (ready) {
        return Promise.resolve(ready);
    }
    if (body.readableEnded || body.destroyed) {
        return Promise.resolve("end");
    }
    return new Promise(resolve => {
        let timer: clocks.Disposable;
        const waitFurther = (): void => {
            const furtherMs = waitMs();
            if (furtherMs <= 0) {
                finish("timeout");
                return;
            }
            timer = clock.schedule(furtherMs, waitFurther);
        };
        const readAvailable = (): void => {
            const chunk = body.read() as Buffer | undefined;
            if (chunk) {
                finish(chunk);
            }
        };
        const finishBody = (): void => finish("end");
        body.on("readable", readAvailable);
        body.on("end", finishBody);
        body.on("close", finishBody);
        waitFurther();
        function finish(next: Buffer | "end" | "timeout"): void {
            timer?.dispose();
            body.off("readable", readAvailable);
            body.off("end", finishBody);
            body.off("close", finishBody);
            resolve(next);
        }
    });
}
