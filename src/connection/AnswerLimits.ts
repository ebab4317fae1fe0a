/**
 * Limits on what an answer consists of beside its content. Its sender can repeat it at will, and each repetition costs
 * its reader far more than its bytes.
 */

/** Heads with a 1xx status before that of the answer. */
const MAX_INFORMATIONAL_HEADS = 16;
/** Chunks of a body beyond one for each `MIN_MEAN_CHUNK_BYTES`. */
const MAX_EXCESS_CHUNKS = 16_384;
const MIN_MEAN_CHUNK_BYTES = 16;

/**
 * Why an answer isn't one in the protocol, whatever its sender's load or state: `malformed`: its head can't be parsed;
 * `informational`: too many heads with a 1xx status; `framing`: chunks that carry next to nothing; `too-large`.
 */
export type AnswerFault = "malformed" | "informational" | "framing" | "too-large";

/** Counts the heads with a 1xx status before one answer: no time limit acts while they are being parsed. */
export class InformationalCount {
    private heads = 0;

    /** Counts a head; false if there are too many. */
    add(): boolean {
        this.heads++;
        return this.heads <= MAX_INFORMATIONAL_HEADS;
    }
}

/** Counts the chunks of one body. */
export class ChunkCount {
    private excess = 0;

    /** Counts a chunk; false if the body is mostly framing. */
    add(bytes: number): boolean {
        this.excess = Math.max(0, this.excess + 1 - bytes / MIN_MEAN_CHUNK_BYTES);
        return this.excess <= MAX_EXCESS_CHUNKS;
    }
}
