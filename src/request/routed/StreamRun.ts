/**
 * Runs a call whose answer is a stream of events. Events are passed on as they come, whole and in order; a stream
 * that breaks goes on at another instance where the route allows it.
 */
import * as http from "node:http";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as splitters from "./EventSplitter";
import * as plainRuns from "./PlainRun";
import * as calls from "./RoutedCall";
import * as senders from "./UpstreamSender";

/** Silence of a stream after which it is taken to another instance. */
const STALL_TIMEOUT_MS = 1_500;
/** Part of the time to the goal after which a stream without any event is taken to another instance. */
const FIRST_EVENT_TIMEOUT_SHARE = 0.8;
const MIN_FIRST_EVENT_TIMEOUT_MS = 800;

/** Where a stream's events go. */
export interface EventSink {
    /** Whether the headers have been written. */
    readonly hasBegun: boolean;
    /** Whether the answer was begun as one that ends with its connection. */
    readonly isUnframed: boolean;
    begin(status: number, headers: readonly string[], isFramed: boolean): void;
    /** Resolves when the caller can take more. */
    write(bytes: Buffer): Promise<void>;
    end(): void;
    /** Ends the answer so that it doesn't look complete. */
    breakOff(): void;
}

/** What a stream needs beside sending. */
export interface StreamOptions {
    readonly inputs: () => readonly senders.CallInput[];
    /** Makes the inputs again after one was lost; false when that failed. */
    readonly recomputeInputs: () => Promise<boolean>;
    /** Called when the instance has read its inputs. */
    readonly onFirstEvent: () => void;
    readonly sink: EventSink;
}

type ForwardEnd = "complete" | "broken" | "stalled" | "gone" | "limit";
type AnswerEnd = Extract<senders.SendEnd, { kind: "answer" }>;

/** One stream on its way to its caller. */
export class StreamRun {
    private lastEventId: number | undefined;
    private readonly history = senders.createHistory();

    constructor(
        private readonly context: senders.SenderContext,
        private readonly call: calls.RoutedCall,
        private readonly options: StreamOptions,
    ) {
        this.lastEventId = call.metadata.lastEventId;
    }

    /** Sends the call, and again after a break, until the stream has ended. */
    async run(): Promise<plainRuns.RunEnd> {
        let latestFailure: plainRuns.RunEnd | undefined;
        for (;;) {
            const end = await senders.sendCall(this.context, this.call, this.history, {
                lastEventId: this.lastEventId,
                inputs: this.options.inputs(),
                answerTimeoutMs: this.firstEventTimeoutMs(),
            });
            if (end.kind === "not-run") {
                if (end.isInputGone && !await this.options.recomputeInputs()) {
                    return this.abortStream(latestFailure ?? plainRuns.createRejection(this.history));
                }
                continue;
            }
            const outcome = await this.handleEnd(end, latestFailure);
            if (outcome.isFinal || !this.canRetry()) {
                return outcome.end;
            }
            latestFailure = outcome.end;
        }
    }

    private async handleEnd(
        end: Exclude<senders.SendEnd, { kind: "not-run" }>,
        latestFailure: plainRuns.RunEnd | undefined,
    ): Promise<{ readonly end: plainRuns.RunEnd; readonly isFinal: boolean }> {
        switch (end.kind) {
            case "none":
                return {
                    end: this.abortStream(latestFailure ?? plainRuns.createRejection(this.history)),
                    isFinal: true,
                };
            case "cancelled":
                return { end: { kind: "gone" }, isFinal: true };
            case "unknown": {
                const failure = codes.failure(end.code, "no event");
                return { end: this.abortUnlessRetryable({ kind: "own", failure }), isFinal: false };
            }
            case "answer":
                return this.handleAnswer(end);
        }
    }

    private async handleAnswer(
        end: AnswerEnd,
    ): Promise<{ readonly end: plainRuns.RunEnd; readonly isFinal: boolean }> {
        if (end.answer.status !== 200) {
            const completed = await plainRuns.readCompleteAnswer(this.context, this.call, end);
            const isFinal = completed.kind === "gone" || (completed.kind === "whole" && completed.status < 500);
            return { end: this.abortUnlessRetryable(completed), isFinal };
        }
        const forwarded = await this.forward(end);
        end.ticket.end(
            forwarded === "complete" ? "ok" : forwarded === "gone" || forwarded === "limit" ? "cancelled" : "failed",
        );
        switch (forwarded) {
            case "complete":
                this.options.sink.end();
                return { end: { kind: "passed", isComplete: true }, isFinal: true };
            case "gone":
                return { end: { kind: "gone" }, isFinal: true };
            case "limit": {
                const failure = codes.failure(codes.codes.upstreamTimeout, "no whole stream in time");
                return { end: this.abortStream({ kind: "own", failure }), isFinal: true };
            }
            case "broken":
            case "stalled": {
                const failure = codes.failure(codes.codes.streamBroken, forwarded);
                return { end: this.abortUnlessRetryable({ kind: "own", failure }), isFinal: false };
            }
        }
    }

    /** Passes the events of one answer on until it ends. */
    private async forward(end: AnswerEnd): Promise<ForwardEnd> {
        const splitter = new splitters.EventSplitter();
        for (;;) {
            const chunk = await readChunk(end.answer.body, this.context.clock, this.chunkTimeoutMs());
            if (this.call.signal.aborted) {
                end.answer.cancel();
                return "gone";
            }
            if (chunk === "timeout") {
                end.answer.cancel();
                return this.context.clock.now() >= this.call.hardDeadlineAtMs ? "limit" : "stalled";
            }
            if (chunk === "end") {
                return this.isCompleteEnd(end) && !splitter.hasPartialEvent ? "complete" : "broken";
            }
            const events = splitter.push(chunk);
            if (events === undefined) {
                end.answer.cancel();
                return "broken";
            }
            await this.forwardEvents(events, end);
        }
    }

    /** An end without a frame proves nothing to a caller whose own answer has one. */
    private isCompleteEnd(end: AnswerEnd): boolean {
        return end.answer.isComplete() && (end.answer.isFramed || this.options.sink.isUnframed);
    }

    private async forwardEvents(events: readonly splitters.StreamEvent[], end: AnswerEnd): Promise<void> {
        const { sink } = this.options;
        for (const event of events) {
            if (event.id !== undefined && this.lastEventId !== undefined && event.id <= this.lastEventId) {
                continue;
            }
            if (!sink.hasBegun) {
                const headers = this.context.wire.answerHeaders(end.answer.rawHeaders);
                sink.begin(end.answer.status, headers, end.answer.isFramed);
            }
            this.lastEventId = event.id ?? this.lastEventId;
            this.call.progress.firstEventMs ??= this.context.clock.now() - this.call.arrivedMs;
            end.ticket.noteFirst();
            await sink.write(event.bytes);
            this.options.onFirstEvent();
        }
    }

    /** How long the next bytes may take. */
    private chunkTimeoutMs(): number {
        const remainingMs = this.call.hardDeadlineAtMs - this.context.clock.now();
        if (!calls.isRetryable(this.call.route)) {
            return remainingMs;
        }
        return Math.min(remainingMs, this.options.sink.hasBegun ? STALL_TIMEOUT_MS : this.firstEventTimeoutMs());
    }

    private firstEventTimeoutMs(): number {
        if (!calls.isRetryable(this.call.route)) {
            return Infinity;
        }
        const remainingMs = this.call.softDeadlineAtMs - this.context.clock.now();
        return Math.max(MIN_FIRST_EVENT_TIMEOUT_MS, remainingMs * FIRST_EVENT_TIMEOUT_SHARE);
    }

    private canRetry(): boolean {
        return calls.isRetryable(this.call.route)
            && this.history.possibleRuns < this.call.route.attempts
            && this.context.clock.now() < this.call.hardDeadlineAtMs;
    }

    /** Turns an end into one that fits what the caller has already got. */
    private abortUnlessRetryable(end: plainRuns.RunEnd): plainRuns.RunEnd {
        if (this.options.sink.hasBegun && !this.canRetry()) {
            return this.abortStream(end);
        }
        return end;
    }

    private abortStream(end: plainRuns.RunEnd): plainRuns.RunEnd {
        if (!this.options.sink.hasBegun) {
            return end;
        }
        this.options.sink.breakOff();
        return { kind: "passed", isComplete: false };
    }
}

/** The next bytes of a body; `end` when it has ended, whole or not. */
function readChunk(
    body: http.IncomingMessage,
    clock: clocks.Clock,
    timeoutMs: number,
): Promise<Buffer | "end" | "timeout"> {
    const ready = body.read() as Buffer | undefined;
    if (ready) {
        return Promise.resolve(ready);
    }
    if (body.readableEnded || body.destroyed) {
        return Promise.resolve("end");
    }
    return new Promise(resolve => {
        const timer = clock.schedule(timeoutMs, () => finish("timeout"));
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
        function finish(next: Buffer | "end" | "timeout"): void {
            timer.dispose();
            body.off("readable", readAvailable);
            body.off("end", finishBody);
            body.off("close", finishBody);
            resolve(next);
        }
    });
}
