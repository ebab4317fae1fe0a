/**
 * Estimates when the first event of a stream arrives: the instance reads the prompts that arrived before it, then those
 * parts of its own prompt that aren't cached.
 */

/** Prompt tokens that an engine reads in a millisecond while it also works on other calls. */
export const PROMPT_TOKENS_PER_MS = 36;
/** Time from sending a call to its first event, excluding the reading of prompts. */
const FIRST_EVENT_OVERHEAD_MS = 90;

/** Time in which an instance reads `tokens` prompt tokens. */
export function readingMs(tokens: number): number {
    return tokens / PROMPT_TOKENS_PER_MS;
}

/** Time from sending a call to its first event when the instance has to read `tokens` prompt tokens before. */
export function firstEventMs(tokens: number): number {
    return FIRST_EVENT_OVERHEAD_MS + readingMs(tokens);
}
