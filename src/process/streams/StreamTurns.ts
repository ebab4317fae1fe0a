/**
 * Shares the event loop between streams that have many events at once. A stream handles its events in slices of about a
 * millisecond; one that needs more waits, and the waiting ones get a slice each in turn, a few in each turn of the loop.
 * Designed for faulty instances that send without end on many streams, beside calls whose timers and connections must
 * not wait for them.
 */
import * as clocks from "../../common/Clock";

/** Time for which a stream handles events before others get the event loop. */
const SLICE_MS = 1;
/** Slices of waiting streams in one turn of the event loop. */
const SLICES_PER_TURN = 4;

/** The turns of all streams of a process. */
export class StreamTurns implements clocks.Disposable {
    private readonly waiting = new Set<() => void>();
    private turn: clocks.Disposable | undefined;
    /** Number of streams given up since the start, as their instances sent nothing new. */
    stuckCount = 0;

    constructor(private readonly clock: clocks.Clock) {}

    /** Number of streams that wait for their next slice. */
    get waitingCount(): number {
        return this.waiting.size;
    }

    /** Begins to count the work of a stream. */
    open(): StreamSlices {
        return new StreamSlices(this.clock, () => this.wait());
    }

    dispose(): void {
        this.turn?.dispose();
    }

    /** Resolves in a later turn of the event loop, after those that have waited for longer. */
    private wait(): Promise<void> {
        return new Promise(resolve => {
            this.waiting.add(resolve);
            this.turn ??= this.clock.afterReads(() => this.startSlices());
        });
    }

    private startSlices(): void {
        let started = 0;
        for (const resume of this.waiting) {
            if (started === SLICES_PER_TURN) {
                break;
            }
            this.waiting.delete(resume);
            resume();
            started++;
        }
        this.turn = this.waiting.size > 0 ? this.clock.afterReads(() => this.startSlices()) : undefined;
    }
}

/** The slices of one stream. */
export class StreamSlices {
    /** When the present slice ends; undefined until the time is first asked for in it. */
    private endsAtMs: number | undefined;
    private isCostly = false;

    constructor(private readonly clock: clocks.Clock, private readonly wait: () => Promise<void>) {}

    /** Called while events are handled: whether the stream has to wait before it handles further ones. */
    checkSpent(): boolean {
        const nowMs = this.clock.now();
        this.endsAtMs ??= nowMs + SLICE_MS;
        return nowMs >= this.endsAtMs;
    }

    /** Called before a chunk is handled; undefined if that may begin at once, since the one before took one slice. */
    begin(): Promise<void> | undefined {
        this.endsAtMs = undefined;
        if (!this.isCostly) {
            return undefined;
        }
        this.isCostly = false;
        return this.wait();
    }

    /** Resolves when the stream may handle further events of the chunk. */
    next(): Promise<void> {
        this.endsAtMs = undefined;
        this.isCostly = true;
        return this.wait();
    }
}
