/**
 * Cuts the bytes of an event stream into whole events. Bytes of an event that hasn't ended are kept back, so that
 * a stream that breaks in the middle of an event passes nothing of it.
 */

/** A whole event as it came. */
export interface StreamEvent {
    /** From the event's `id` line; undefined when it has none. */
    readonly id: number | undefined;
    /** All bytes, with the blank line that ends the event. */
    readonly bytes: Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Largest event that is kept back; a larger one is no event stream. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** Collects chunks and hands out the events that they complete. */
export class EventSplitter {
    private buffered: Buffer = Buffer.alloc(0);
    private scannedTo = 0;

    /** Whether bytes of an unfinished event are kept back. */
    get hasPartialEvent(): boolean {
        return this.buffered.length > 0;
    }

    /** Takes in bytes; undefined when they are no event stream. */
    push(chunk: Buffer): StreamEvent[] | undefined {
        this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
        const events: StreamEvent[] = [];
        let start = 0;
        for (let index = Math.max(this.scannedTo, 0); index < this.buffered.length; index++) {
            if (this.buffered[index] === LINE_FEED && this.isBlankLine(start, index)) {
                const bytes = this.buffered.subarray(start, index + 1);
                events.push({ id: readId(bytes), bytes });
                start = index + 1;
            }
        }
        this.buffered = this.buffered.subarray(start);
        this.scannedTo = this.buffered.length;
        return this.buffered.length > MAX_EVENT_BYTES ? undefined : events;
    }

    /** Whether the line feed at `index` ends an empty line within the event that begins at `start`. */
    private isBlankLine(start: number, index: number): boolean {
        let previous = index - 1;
        if (previous > start && this.buffered[previous] === CARRIAGE_RETURN) {
            previous--;
        }
        return previous >= start && this.buffered[previous] === LINE_FEED;
    }
}

function readId(event: Buffer): number | undefined {
    const match = /(?:^|\n)id:[ \t]*(\d{1,15})\r?\n/.exec(event.toString("latin1"));
    return match ? Number(match[1]) : undefined;
}
