/**
 * Faults of the stand-in of an engine.
 */

/** A pause of streams. */
export interface StreamPause {
    readonly afterEvent: number;
    readonly ms: number;
    readonly trickle?: string; // Sent every 300 ms during the pause.
}

/** A head that is broken off. */
export interface BrokenHead {
    /** Bytes that are sent; counted from the end of the head if negative. */
    readonly bytes: number;
    /** Whether the head states the length of the body, as its last line. */
    readonly hasLength: boolean;
}

/** Faults; each stays in effect until it is cleared. */
export interface EngineFaults {
    /** Rejects every call with the header `Not-Executed`. */
    shed?: boolean | undefined;
    /** Added to these rejections as `Retry-After`. */
    retryAfter?: string | undefined;
    /** Runs calls and resets the connection without an answer. */
    reset?: boolean | undefined;
    /** Answers with the attempt ID of another call. */
    otherAttempt?: boolean | undefined;
    /** Status of the answers to calls that were run, without events if it isn't 200; unframed answers have 200. */
    status?: number | undefined;
    /** Text of successes that aren't streams, in place of the events. */
    plainText?: string | undefined;
    /** ID of the event after which streams break, in the middle of the next event. */
    breakAfterEvent?: number | undefined;
    /** ID of the event with which streams are reset, so that the event and the reset can arrive at once. */
    resetAfterEvent?: number | undefined;
    /** Streams pause after the event with this ID; with 0, before their headers. */
    pause?: StreamPause | undefined;
    /** Answers without a length or chunked encoding, so that the end of the connection ends the answer. */
    unframed?: boolean | undefined;
    /** Each call on a kept connection gets an earlier refusal first, of the attempt given here; `unnamed` for none. */
    repeatsRefusals?: string | undefined;
    /** Whether each answer to a stage call is sent once more, when the next request arrives on its connection. */
    repeatsStageAnswers?: boolean | undefined;
    /** Whether answers to stage calls and releases have a head and nothing more. */
    stalledBody?: boolean | undefined;
    /** Answers are broken off in the middle of their head, after so many bytes, with a close. */
    brokenHead?: BrokenHead | undefined;
    /** Whether requests are never answered: all, or `"calls"` for those that aren't for the engine's own state. */
    hang?: boolean | "calls" | undefined;
}
