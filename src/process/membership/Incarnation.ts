/**
 * Incarnation numbers: they rise across the restarts of an instance without a disk.
 */
import * as clocks from "../../common/Clock";

/** Random values within one millisecond, so that two starts in it differ most likely. */
const RANDOM_VALUES_PER_MS = 1_024;

/** A safe integer from the wall clock, with low random bits. `random` returns 0 to below 1. */
export function createIncarnation(clock: clocks.Clock, random: () => number): number {
    const lowBits = Math.min(RANDOM_VALUES_PER_MS - 1, Math.max(0, Math.floor(random() * RANDOM_VALUES_PER_MS)));
    return Math.floor(clock.wall()) * RANDOM_VALUES_PER_MS + lowBits;
}
