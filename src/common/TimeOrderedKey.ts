/**
 * Idempotency keys that contain their creation time: version 7 UUIDs (RFC 9562).
 */

/** Largest tolerated difference between the clocks of callers and agents. */
export const CLOCK_SKEW_MS = 5_000;

const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Creation time of `key`, in milliseconds since 1970; undefined if it contains none. */
export function readCreationTime(key: string): number | undefined {
    const [, high, low] = UUID_V7.exec(key) ?? [];
    return high === undefined || low === undefined ? undefined : Number.parseInt(high + low, 16);
}
