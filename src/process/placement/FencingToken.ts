/**
 * Fencing tokens of orders to an engine. An incarnation keeps its token until the engine requires a higher one.
 */

/**
 * The token of an incarnation: at least its start time in milliseconds since 1970, and above the highest
 * number that the engine reports. It rises across incarnations without a disk, also when the clock was set back.
 */
export function nextFencingToken(incarnation: number, highestReported: number): number {
    return Math.max(incarnation, highestReported + 1);
}
