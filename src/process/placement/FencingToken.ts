/**
 * Fencing tokens of orders to an engine. An incarnation sends the same token with all its orders.
 */

/**
 * The token of an incarnation: at least its start time in milliseconds since 1970, and above the highest
 * number that the engine reports. It rises across incarnations without a disk, also when the clock was set back.
 */
export function nextFencingToken(incarnation: number, highestReported: number): number {
    return Math.max(incarnation, highestReported + 1);
}
