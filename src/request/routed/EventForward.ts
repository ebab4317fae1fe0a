/**
 * Forwards the events of one answer to the caller, byte for byte and in order. Events that follow each other in a chunk
 * are written at once; a chunk of many is handled in slices, between which other work gets the event loop.
 */
import * as clocks from "../../common/Clock";
import * as bufferAccounts from "../../process/buffers/BufferAccount";
import * as streamTurns from "../../process/streams/StreamTurns";
import * as progresses from "./EventProgress";
import * as sinks from "./EventSink";
import * as splitters from "./EventSplitter";

/** Events after which the time is read. */
const EVENTS_PER_CHECK = 16;

/**
 * How the forwarding of a chunk ended. `unread`: the caller doesn't read; `nothing-new`: too many events bring nothing;
 * `too-long`: the content is no event stream; `buffers-full`: there is no room for a large incomplete event.
 */
export type ChunkOutcome = "forwarded" | "unread" | "nothing-new" | "too-long" | "buffers-full";

/** What forwarding needs. */
export interface ForwardOptions {
    readonly clock: clocks.Clock;
    readonly sink: sinks.EventSink;
    readonly progress: progresses.EventProgress;
    readonly slices: streamTurns.StreamSlices;
    readonly buffers: Pick<bufferAccounts.BufferHold, "holdEvent">;
    /** Called when events have shown that the instance makes progress. */
    readonly onProgress: () => void;
    /** Called before events are written. */
    readonly onEvents: () => void;
    /** Called when events have been written. */
    readonly onWritten: () => void;
    /** Time that the caller has to read what was written. */
    readonly readLimitMs: () => number;
}

/** Events that are written at once, from one position of the chunk to another one. */
interface Run {
    readonly start: number;
    readonly end: number;
    readonly hasProgress: boolean;
    /** Whether no further event is complete. */
    readonly isLast: boolean;
}

/** Forwards the events of one answer. */
export class EventForward implements clocks.Disposable {
    private readonly splitter = new splitters.EventSplitter();

    constructor(private readonly options: ForwardOptions) {}

    /** Whether the answer, if it ended now, would end in the middle of an event. */
    get hasPartialEvent(): boolean {
        return this.splitter.hasPartialEvent;
    }

    /** Forwards the events that the chunk completes. */
    async forward(chunk: Buffer): Promise<ChunkOutcome> {
        const { buffers, clock, progress, slices } = this.options;
        const begin = slices.begin();
        if (begin !== undefined) {
            await begin;
        }
        this.splitter.push(chunk);
        for (;;) {
            const run = this.takeRun();
            if (run.hasProgress) {
                this.options.onProgress();
            }
            const room = run.end > run.start ? this.write(run) : undefined;
            if (room !== undefined && !await sinks.waitForRoom(clock, room, this.options.readLimitMs())) {
                return "unread";
            }
            if (progress.isStuck) {
                return "nothing-new";
            }
            if (run.isLast) {
                break;
            }
            if (slices.checkSpent()) {
                await slices.next();
            }
        }
        if (this.splitter.isTooLong) {
            return "too-long";
        }
        return buffers.holdEvent(this.splitter.partialBytes) ? "forwarded" : "buffers-full";
    }

    /** Releases the incomplete event. */
    dispose(): void {
        this.options.buffers.holdEvent(0);
    }

    /** Waits until what was written has left the process, before the caller's answer may be aborted. */
    async flush(): Promise<void> {
        await this.options.slices.next();
    }

    /** Takes events up to one that isn't forwarded, or to the end of the slice. */
    private takeRun(): Run {
        const { progress, slices } = this.options;
        let start = 0;
        let end = 0;
        let hasProgress = false;
        for (let count = 1;; count++) {
            const event = this.splitter.next();
            if (event === undefined) {
                return { start, end, hasProgress, isLast: true };
            }
            hasProgress = progress.record(event) || hasProgress;
            const isForwarded = progress.tryForward(event);
            if (isForwarded) {
                start = end === 0 ? event.start : start;
                end = event.end;
            }
            const isInterrupted = !isForwarded && end > 0;
            if (isInterrupted || progress.isStuck || (count % EVENTS_PER_CHECK === 0 && slices.checkSpent())) {
                return { start, end, hasProgress, isLast: false };
            }
        }
    }

    /** Resolves when the caller has read enough; undefined if it has. */
    private write({ start, end }: Run): Promise<void> | undefined {
        this.options.onEvents();
        const room = this.options.sink.write(this.splitter.bytes(start, end));
        this.options.onWritten();
        return room;
    }
}
