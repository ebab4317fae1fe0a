/**
 * Detects pauses of the process: periods above a threshold in which neither the timer nor a call ran the check.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";

const CHECK_INTERVAL_MS = 50;

/** Dependencies and settings of a pause monitor. */
export interface PauseMonitorOptions {
    readonly clock: clocks.Clock;
    /** Longer periods without a check are pauses; must exceed the check interval of 50 ms with some margin. */
    readonly thresholdMs: number;
}

/** Detects pauses by a timer and by synchronous checks. */
export class PauseMonitor implements clocks.Disposable {
    private lastCheckAtMs: number;
    private pauseStartedAtMs = 0;
    /** When what arrived during the last pause had been read. */
    private pauseEndedAtMs = -Infinity;
    private lastPauseMs = 0;
    /** Set after a pause, until what arrived during it has been read. */
    private pendingReads: clocks.Disposable | undefined;
    private readonly timer: clocks.Disposable;
    private readonly pauseEmitter = new emitters.Emitter<number>();

    /** Fires with the length of a pause in milliseconds when it is detected. */
    readonly onPause: emitters.Event<number> = this.pauseEmitter.event;

    constructor(private readonly options: PauseMonitorOptions) {
        this.lastCheckAtMs = options.clock.now();
        this.timer = clocks.every(options.clock, CHECK_INTERVAL_MS, () => this.check());
    }

    /** Returns the length in milliseconds of a pause that has just ended, or 0. Call this right before a dispatch. */
    check(): number {
        const nowMs = this.options.clock.now();
        const gapMs = nowMs - this.lastCheckAtMs;
        this.lastCheckAtMs = nowMs;
        if (gapMs <= this.options.thresholdMs) {
            return 0;
        }
        this.recordPause(nowMs - gapMs);
        this.pauseEmitter.fire(gapMs);
        return gapMs;
    }

    /**
     * Length in milliseconds of the last pause if it ended at most `windowMs` ago, or 0. It lasts until what arrived
     * meanwhile has been read.
     */
    recentPauseMs(windowMs: number): number {
        this.check();
        const nowMs = this.options.clock.now();
        if (this.pendingReads !== undefined) {
            return nowMs - this.pauseStartedAtMs;
        }
        return nowMs - this.pauseEndedAtMs <= windowMs ? this.lastPauseMs : 0;
    }

    /** A pause that begins while reads of an earlier one are pending continues it. */
    private recordPause(startedAtMs: number): void {
        if (this.pendingReads === undefined) {
            this.pauseStartedAtMs = startedAtMs;
        }
        this.pendingReads?.dispose();
        this.pendingReads = this.options.clock.afterReads(() => {
            this.pendingReads = undefined;
            this.pauseEndedAtMs = this.options.clock.now();
            this.lastPauseMs = this.pauseEndedAtMs - this.pauseStartedAtMs;
        });
    }

    dispose(): void {
        this.timer.dispose();
        this.pendingReads?.dispose();
        this.pauseEmitter.dispose();
    }
}
