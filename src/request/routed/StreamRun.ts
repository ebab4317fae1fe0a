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
const STALL_MS = 1_500;
/** Part of the time to the goal after which a stream without any event is taken to another instance. */
const FIRST_EVENT_SHARE = 0.8;
const MIN_FIRST_EVENT_MS = 800;

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
    readonly remakeInputs: () => Promise<boolean>;
    /** Called when the instance has read its inputs. */
    readonly onFirstEvent: () => void;
    readonly sink: EventSink;
}

type PassEnd = "complete" | "broken" | "stalled" | "gone" | "limit";
type Answered = Extract<senders.SendEnd, { kind: "answer" }>;

/** One stream on its way to its caller. */
export class StreamRun {
    private lastEventId: number | undefined;
    private readonly history = senders.newHistory();

    constructor(
        private readonly context: senders.SenderContext,
        private readonly call: calls.RoutedCall,
        private readonly options: StreamOptions,
    ) {
        this.lastEventId = call.facts.lastEventId;
    }

    /** Sends the call, and again after a break, until the stream has ended. */
    async run(): Promise<plainRuns.RunEnd> {
        let latest: plainRuns.RunEnd | undefined;
        for (;;) {
            const end = await senders.sendCall(this.context, this.call, this.history, {
                lastEventId: this.lastEventId,
                inputs: this.options.inputs(),
                answerTimeoutMs: this.firstEventMs(),
            });
            if (end.kind === "not-run") {
                if (end.isInputGone && !await this.options.remakeInputs()) {
                    return this.giveUp(latest ?? plainRuns.refuse(this.history));
                }
                continue;
            }
            const outcome = await this.conclude(end, latest);
            if (outcome.isFinal || !this.mayRepeat()) {
                return outcome.end;
            }
            latest = outcome.end;
        }
    }

    private async conclude(
        end: Exclude<senders.SendEnd, { kind: "not-run" }>,
        latest: plainRuns.RunEnd | undefined,
    ): Promise<{ readonly end: plainRuns.RunEnd; readonly isFinal: boolean }> {
        switch (end.kind) {
            case "none":
                return { end: this.giveUp(latest ?? plainRuns.refuse(this.history)), isFinal: true };
            case "cancelled":
                return { end: { kind: "gone" }, isFinal: true };
            case "unknown": {
                const failure = codes.failure(end.code, "no event");
                return { end: this.settle({ kind: "own", failure }), isFinal: false };
            }
            case "answer":
                return this.concludeAnswer(end);
        }
    }

    private async concludeAnswer(
        end: Answered,
    ): Promise<{ readonly end: plainRuns.RunEnd; readonly isFinal: boolean }> {
        if (end.answer.status !== 200) {
            const whole = await plainRuns.readWhole(this.context, this.call, end);
            const isFinal = whole.kind === "gone" || (whole.kind === "whole" && whole.status < 500);
            return { end: this.settle(whole), isFinal };
        }
        const passed = await this.pass(end);
        end.ticket.end(passed === "complete" ? "ok" : passed === "gone" || passed === "limit" ? "cancelled" : "failed");
        switch (passed) {
            case "complete":
                this.options.sink.end();
                return { end: { kind: "passed", isWhole: true }, isFinal: true };
            case "gone":
                return { end: { kind: "gone" }, isFinal: true };
            case "limit": {
                const failure = codes.failure(codes.codes.upstreamTimeout, "no whole stream in time");
                return { end: this.giveUp({ kind: "own", failure }), isFinal: true };
            }
            case "broken":
            case "stalled": {
                const failure = codes.failure(codes.codes.streamBroken, passed);
                return { end: this.settle({ kind: "own", failure }), isFinal: false };
            }
        }
    }

    /** Passes the events of one answer on until it ends. */
    private async pass(end: Answered): Promise<PassEnd> {
        const splitter = new splitters.EventSplitter();
        for (;;) {
            const chunk = await nextChunk(end.answer.body, this.context.clock, this.patienceMs());
            if (this.call.signal.aborted) {
                end.answer.cancel();
                return "gone";
            }
            if (chunk === "timeout") {
                end.answer.cancel();
                return this.context.clock.now() >= this.call.limitAtMs ? "limit" : "stalled";
            }
            if (chunk === "end") {
                return this.isWholeEnd(end) && !splitter.hasPartial ? "complete" : "broken";
            }
            const events = splitter.push(chunk);
            if (events === undefined) {
                end.answer.cancel();
                return "broken";
            }
            await this.passEvents(events, end);
        }
    }

    /** An end without a frame proves nothing to a caller whose own answer has one. */
    private isWholeEnd(end: Answered): boolean {
        return end.answer.isWhole() && (end.answer.isFramed || this.options.sink.isUnframed);
    }

    private async passEvents(events: readonly splitters.StreamEvent[], end: Answered): Promise<void> {
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
            end.ticket.recordFirstEvent();
            await sink.write(event.bytes);
            this.options.onFirstEvent();
        }
    }

    /** How long the next bytes may take. */
    private patienceMs(): number {
        const leftMs = this.call.limitAtMs - this.context.clock.now();
        if (!calls.isRepeatable(this.call.route)) {
            return leftMs;
        }
        return Math.min(leftMs, this.options.sink.hasBegun ? STALL_MS : this.firstEventMs());
    }

    private firstEventMs(): number {
        if (!calls.isRepeatable(this.call.route)) {
            return Infinity;
        }
        const toGoalMs = this.call.goalAtMs - this.context.clock.now();
        return Math.max(MIN_FIRST_EVENT_MS, toGoalMs * FIRST_EVENT_SHARE);
    }

    private mayRepeat(): boolean {
        return calls.isRepeatable(this.call.route)
            && this.history.runs < this.call.route.attempts
            && this.context.clock.now() < this.call.limitAtMs;
    }

    /** Turns an end into one that fits what the caller has already got. */
    private settle(end: plainRuns.RunEnd): plainRuns.RunEnd {
        if (this.options.sink.hasBegun && !this.mayRepeat()) {
            return this.giveUp(end);
        }
        return end;
    }

    private giveUp(end: plainRuns.RunEnd): plainRuns.RunEnd {
        if (!this.options.sink.hasBegun) {
            return end;
        }
        this.options.sink.breakOff();
        return { kind: "passed", isWhole: false };
    }
}

/** The next bytes of a body; `end` when it has ended, whole or not. */
function nextChunk(
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
        const take = (): void => {
            const chunk = body.read() as Buffer | undefined;
            if (chunk) {
                finish(chunk);
            }
        };
        const endBody = (): void => finish("end");
        body.on("readable", take);
        body.on("end", endBody);
        body.on("close", endBody);
        function finish(next: Buffer | "end" | "timeout"): void {
            timer.dispose();
            body.off("readable", take);
            body.off("end", endBody);
            body.off("close", endBody);
            resolve(next);
        }
    });
}
