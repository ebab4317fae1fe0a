/**
 * Ids of the events of a stream: whole numbers of any size that increase within the stream. One that a number can't hold
 * exactly is a bigint; both kinds compare with each other.
 */

export type EventId = number | bigint;

const DIGIT_0 = 0x30;
const DIGIT_9 = 0x39;
/** Longest number of digits that a number holds exactly, whatever they are. */
const MAX_NUMBER_DIGITS = 15;
/** Bounds the time that reading an id takes, which grows faster than its length. */
const MAX_DIGITS = 1_000;

/** Reads an id that is written in decimal digits; undefined if the text isn't one. */
export function parse(text: string): EventId | undefined {
    return parseBytes(Buffer.from(text), 0, text.length);
}

/** Reads the id between two positions; undefined if the bytes aren't decimal digits. */
export function parseBytes(bytes: Buffer, start: number, end: number): EventId | undefined {
    const digits = end - start;
    if (digits < 1 || digits > MAX_DIGITS) {
        return undefined;
    }
    let id = 0;
    for (let index = start; index < end; index++) {
        const byte = bytes[index]!;
        if (byte < DIGIT_0 || byte > DIGIT_9) {
            return undefined;
        }
        id = id * 10 + byte - DIGIT_0;
    }
    return digits > MAX_NUMBER_DIGITS ? BigInt(bytes.toString("latin1", start, end)) : id;
}
