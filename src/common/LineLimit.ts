/**
 * Bounds the log lines about one kind of event that others can cause as often as they like.
 */
import * as clocks from "./Clock";

/** Allows a number of lines in each interval and counts the rest. */
export class LineLimit {
    private intervalStartMs = -Infinity;
    private allowed = 0;
    private omitted = 0;

    constructor(
        private readonly clock: clocks.Clock,
        private readonly maxLines: number,
        private readonly intervalMs: number,
    ) {}

    /** The number of lines omitted since the previous one if another line may be written now, else undefined. */
    tryWrite(): number | undefined {
        const nowMs = this.clock.now();
        if (nowMs - this.intervalStartMs >= this.intervalMs) {
            this.intervalStartMs = nowMs;
            this.allowed = 0;
        }
        if (this.allowed >= this.maxLines) {
            this.omitted++;
            return undefined;
        }
        this.allowed++;
        const { omitted } = this;
        this.omitted = 0;
        return omitted;
    }
}
