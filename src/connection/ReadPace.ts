/**
 * Decides how many bytes of a peer are processed at once. What bytes cost depends on what they hold: a piece of 64 KB is
 * one chunk of a body, or ten thousand.
 */

/** Size of the first piece, before its cost is known. */
export const FIRST_PIECE_BYTES = 16 * 1024;
/** Largest piece: what Node.js reads at once. */
export const MAX_PIECE_BYTES = 64 * 1024;
/** Smallest piece; below this size most of the cost doesn't depend on the number of bytes. */
export const MIN_PIECE_BYTES = 1_024;
/** Longest time that a piece should take. */
const TARGET_MS = 2;
const GROWTH = 2;
/** Pieces that take less than this share of the time limit may grow. */
const CHEAP_SHARE = 0.5;
/** A single piece shrinks the next one by this factor at most, since other work may have delayed it. */
const MAX_SHRINKAGE = 4;

/** The size limit of the next piece, after a piece of `bytes` under the limit `limitBytes` took `tookMs`. */
export function nextLimitBytes(limitBytes: number, bytes: number, tookMs: number): number {
    if (tookMs > TARGET_MS && bytes > MIN_PIECE_BYTES) {
        const affordable = Math.max(bytes * TARGET_MS / tookMs, bytes / MAX_SHRINKAGE);
        return Math.round(Math.max(MIN_PIECE_BYTES, Math.min(limitBytes, affordable)));
    }
    const isCheap = tookMs <= TARGET_MS * CHEAP_SHARE;
    const isLarge = bytes * GROWTH >= limitBytes;
    return isCheap && isLarge ? Math.min(MAX_PIECE_BYTES, limitBytes * GROWTH) : limitBytes;
}
