/**
 * Finds pauses of the process: stretches in which neither its timer nor a check ran for longer than a bound.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";

const CHECK_INTERVAL_MS = 50;

/** What a pause monitor needs. */
export interface PauseMonitorOptions {
    readonly clock: clocks.Clock;
    /** Stretches longer than this are pauses; must exceed the tick period of 50 ms with some margin. */
    readonly thresholdMs: number;
}

/** Watches for pauses by a timer and by synchronous checks. */
export class PauseMonitor implements clocks.Disposable {
    private lastCheckMs: number;
    private lastPauseMs = 0;
    private lastPauseEndMs = -Infinity;
    private readonly timer: clocks.Disposable;
    private readonly pauseEmitter = new emitters.Emitter<number>();

    /** Fires with the length of a pause in milliseconds when it is found. */
    readonly onPause: emitters.Event<number> = this.pauseEmitter.event;

    constructor(private readonly options: PauseMonitorOptions) {
        this.lastCheckMs = options.clock.now();
        this.timer = clocks.every(options.clock, CHECK_INTERVAL_MS, () => this.check());
    }

    /** Length of a pause that is found now, in milliseconds, or 0. Call it right before a dispatch. */
    check(): number {
        const nowMs = this.options.clock.now();
        const gapMs = nowMs - this.lastCheckMs;
        this.lastCheckMs = nowMs;
        if (gapMs <= this.options.thresholdMs) {
            return 0;
        }
        this.lastPauseMs = gapMs;
        this.lastPauseEndMs = nowMs;
        this.pauseEmitter.fire(gapMs);
        return gapMs;
    }

    /** Length of the last pause in milliseconds if it ended at most `windowMs` ago, or 0. */
    recentPauseMs(windowMs: number): number {
        this.check();
        return this.options.clock.now() - this.lastPauseEndMs <= windowMs ? this.lastPauseMs : 0;
    }

    dispose(): void {
        this.timer.dispose();
        this.pauseEmitter.dispose();
    }
}
