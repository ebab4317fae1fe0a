/**
 * Bounds the memory that a JSON text takes once it is parsed, which may be many times its size.
 */

/** Number of objects and arrays, more than any configuration or listing has. */
const MAX_CONTAINERS = 500_000;
const OPENING_BRACE = 0x7b;
const OPENING_BRACKET = 0x5b;

/** Whether a JSON text has few enough objects and arrays to be parsed. Those within strings are counted too. */
export function isParsable(text: Uint8Array): boolean {
    let containers = 0;
    for (const byte of text) {
        if (byte === OPENING_BRACE || byte === OPENING_BRACKET) {
            containers++;
        }
    }
    return containers <= MAX_CONTAINERS;
}
