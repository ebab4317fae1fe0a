/**
 * Fixture: counts what arrived in windows at any offset.
 */

/** Number of times, which ascend, from `startMs` on and before `endMs`. */
export function countBetween(times: readonly number[], startMs: number, endMs: number): number {
    return findFirst(times, endMs) - findFirst(times, startMs);
}

/** Most times, which ascend, in any window of this length. */
export function mostWithin(times: readonly number[], windowMs: number): number {
    return times.reduce((most, startMs) => Math.max(most, countBetween(times, startMs, startMs + windowMs)), 0);
}

function findFirst(times: readonly number[], sinceMs: number): number {
    let low = 0;
    let high = times.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        if (times[middle]! < sinceMs) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}
