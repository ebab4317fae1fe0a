/**
 * The one deadline of a request over all its stages.
 */
import * as clocks from "../common/Clock";

/** Longest time between two parts of a stream that has begun; from its first token on, this replaces the deadline. */
export const STREAM_PROGRESS_TIMEOUT_MS = 2_000;

/** A point on the clock's scale by which a request must be answered. */
export class Deadline {
    /** The point in time, on the scale of the clock's `now`. */
    readonly atMs: number;

    constructor(private readonly clock: clocks.Clock, totalMs: number) {
        this.atMs = clock.now() + totalMs;
    }

    /** The deadline of work that arrived with `remainingMs` left, as deadlines travel between processes. */
    static fromRemaining(clock: clocks.Clock, remainingMs: number): Deadline {
        return new Deadline(clock, remainingMs);
    }

    /** Time left in milliseconds; 0 once expired. */
    get remainingMs(): number {
        return Math.max(0, this.atMs - this.clock.now());
    }

    /** Whether the point in time has passed. */
    get isExpired(): boolean {
        return this.clock.now() >= this.atMs;
    }
}
