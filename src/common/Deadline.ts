/**
 * The deadline of a request, shared by all its stages.
 */
import * as clocks from "./Clock";

/** Longest gap between two parts of a stream; replaces the deadline from the first token on. */
export const STREAM_PROGRESS_TIMEOUT_MS = 2_000;

/** The time by which a request must be answered. */
export class Deadline {
    /** Expiry time, on the scale of the clock's `now`. */
    readonly atMs: number;

    constructor(private readonly clock: clocks.Clock, totalMs: number) {
        this.atMs = clock.now() + totalMs;
    }

    /** Creates the deadline of received work; processes exchange the time left, since their clocks differ. */
    static fromRemaining(clock: clocks.Clock, remainingMs: number): Deadline {
        return new Deadline(clock, remainingMs);
    }

    /** Time left; 0 once expired. */
    get remainingMs(): number {
        return Math.max(0, this.atMs - this.clock.now());
    }

    get isExpired(): boolean {
        return this.clock.now() >= this.atMs;
    }
}
