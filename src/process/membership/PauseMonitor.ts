/**
 * Finds pauses of the process: stretches in which neither its timer nor a check ran for longer than a bound.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";

const TICK_PERIOD_MS = 50;

/** What a pause monitor needs. */
export interface PauseMonitorOptions {
    readonly clock: clocks.Clock;
    /** Stretches longer than this are pauses; must exceed the tick period of 50 ms with some margin. */
    readonly boundMs: number;
}

/** Watches for pauses by a timer and by synchronous checks. */
export class PauseMonitor implements clocks.Disposable {
    private seenMs: number;
    private lastPauseMs = 0;
    private lastWakeMs = -Infinity;
    private readonly timer: clocks.Disposable;
    private readonly wakeEmitter = new emitters.Emitter<number>();

    /** Fires with the length of a pause in milliseconds when it is found. */
    readonly onWake: emitters.Event<number> = this.wakeEmitter.event;

    constructor(private readonly options: PauseMonitorOptions) {
        this.seenMs = options.clock.now();
        this.timer = clocks.every(options.clock, TICK_PERIOD_MS, () => this.check());
    }

    /** Length of a pause that is found now, in milliseconds, or 0. Call it right before a dispatch. */
    check(): number {
        const nowMs = this.options.clock.now();
        const gapMs = nowMs - this.seenMs;
        this.seenMs = nowMs;
        if (gapMs <= this.options.boundMs) {
            return 0;
        }
        this.lastPauseMs = gapMs;
        this.lastWakeMs = nowMs;
        this.wakeEmitter.fire(gapMs);
        return gapMs;
    }

    /** Length of the last pause in milliseconds if it ended at most `windowMs` ago, or 0. */
    pausedWithin(windowMs: number): number {
        this.check();
        return this.options.clock.now() - this.lastWakeMs <= windowMs ? this.lastPauseMs : 0;
    }

    dispose(): void {
        this.timer.dispose();
        this.wakeEmitter.dispose();
    }
}
