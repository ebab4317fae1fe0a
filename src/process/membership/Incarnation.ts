/**
 * Incarnation numbers: without stored state, they increase with each restart unless the wall clock was set back.
 */
import * as clocks from "../../common/Clock";

/** Random values per millisecond, so that two starts in the same millisecond most likely differ. */
const RANDOM_VALUES_PER_MS = 1_024;

/** A safe integer from the wall clock with random low bits. `random` returns numbers in [0, 1). */
export function createIncarnation(clock: clocks.Clock, random: () => number): number {
    const lowBits = Math.min(RANDOM_VALUES_PER_MS - 1, Math.max(0, Math.floor(random() * RANDOM_VALUES_PER_MS)));
    return Math.floor(clock.wall()) * RANDOM_VALUES_PER_MS + lowBits;
}
