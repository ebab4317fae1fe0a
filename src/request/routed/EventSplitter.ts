/**
 * Splits the bytes of an event stream into complete events. The bytes of an incomplete event are held back, so that
 * nothing of it is forwarded if the stream breaks in the middle.
 */

/** A complete event, byte for byte as received. */
export interface StreamEvent {
    /** Value of the event's `id` line; undefined if it has none or not a number. */
    readonly id: number | undefined;
    /** Whether it holds nothing but comments, which an instance may send while it makes no progress. */
    readonly isComment: boolean;
    /** All bytes, including the blank line that ends the event. */
    readonly bytes: Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;
/** Largest incomplete event that is buffered; larger content is not treated as an event stream. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** Collects chunks and returns the events that they complete. */
export class EventSplitter {
    private buffered: Buffer = Buffer.alloc(0);
    private scannedTo = 0;

    /** Whether bytes of an incomplete event are buffered. */
    get hasPartialEvent(): boolean {
        return this.buffered.length > 0;
    }

    /** Adds bytes and returns the events completed by them; undefined if the content is not an event stream. */
    push(chunk: Buffer): StreamEvent[] | undefined {
        this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
        const events: StreamEvent[] = [];
        let start = 0;
        for (let index = Math.max(this.scannedTo, 0); index < this.buffered.length; index++) {
            if (this.buffered[index] === LINE_FEED && this.isBlankLine(start, index)) {
                const bytes = this.buffered.subarray(start, index + 1);
                events.push({ id: readId(bytes), isComment: isComment(bytes), bytes });
                start = index + 1;
            }
        }
        this.buffered = this.buffered.subarray(start);
        this.scannedTo = this.buffered.length;
        return this.buffered.length > MAX_EVENT_BYTES ? undefined : events;
    }

    /** Whether the line feed at `index` ends a blank line of the event that begins at `start`. */
    private isBlankLine(start: number, index: number): boolean {
        let previous = index - 1;
        if (previous > start && this.buffered[previous] === CARRIAGE_RETURN) {
            previous--;
        }
        return previous >= start && this.buffered[previous] === LINE_FEED;
    }
}

function isComment(event: Buffer): boolean {
    return event[0] === COLON && event.toString("latin1").split("\n").every(line => /^(:|\r?$)/.test(line));
}

function readId(event: Buffer): number | undefined {
    const match = /(?:^|\n)id:[ \t]*(\d{1,15})\r?\n/.exec(event.toString("latin1"));
    return match ? Number(match[1]) : undefined;
}
