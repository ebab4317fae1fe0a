/**
 * Splits the bytes of an event stream into complete events. The bytes of an incomplete event are held back, so that
 * nothing of it is forwarded if the stream breaks in the middle. Events are found one at a time, so that a chunk of many
 * can be handled in parts; each byte is examined once, however it arrives.
 */
import * as eventIds from "../../common/EventId";

/** A complete event; its position is valid until the next chunk is pushed. */
export interface StreamEvent {
    /** Value of the event's `id` line; undefined if it has none, or one that can't be read. */
    readonly id: eventIds.EventId | undefined;
    /** Whether it holds only comments and blank lines, which an instance may send while it makes no progress. */
    readonly isEmpty: boolean;
    /** Position of its first byte. */
    readonly start: number;
    /** Position after its last byte, which ends a blank line. */
    readonly end: number;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;
const SPACE = 0x20;
const TAB = 0x09;
const LETTER_I = 0x69;
const LETTER_D = 0x64;
const ID_PREFIX_LENGTH = "id:".length;
/** Largest incomplete event that is held; larger content is not treated as an event stream. */
const MAX_EVENT_BYTES = 1024 * 1024;
const MIN_HELD_BYTES = 256;
const NO_BYTES = Buffer.alloc(0);

/** Collects chunks and returns the events that they complete. */
export class EventSplitter {
    /** The incomplete event and what follows it; a chunk as received, or a buffer of this splitter. */
    private content: Buffer = NO_BYTES;
    /** Memory for an incomplete event in several chunks, at the beginning of which `content` is then. */
    private held: Buffer = NO_BYTES;
    private eventStart = 0;
    private lineStart = 0;
    private scannedTo = 0;
    private id: eventIds.EventId | undefined;
    private isEmpty = true;

    /** Whether bytes of an incomplete event are held. */
    get hasPartialEvent(): boolean {
        return this.partialBytes > 0;
    }

    /** Number of bytes of an incomplete event. */
    get partialBytes(): number {
        return this.content.length - this.eventStart;
    }

    /** Whether an incomplete event is so large that the content is not an event stream. */
    get isTooLong(): boolean {
        return this.partialBytes > MAX_EVENT_BYTES;
    }

    /** Adds bytes, once all events of the former ones have been taken. */
    push(chunk: Buffer): void {
        const { partialBytes } = this;
        if (partialBytes === 0) {
            this.moveToStart();
            this.content = chunk;
            this.held = NO_BYTES;
            return;
        }
        this.holdPartialEvent(partialBytes, chunk.length);
        chunk.copy(this.held, partialBytes);
        this.content = this.held.subarray(0, partialBytes + chunk.length);
    }

    /** The next complete event; undefined if there is none in what was pushed. */
    next(): StreamEvent | undefined {
        const { content } = this;
        for (;;) {
            const lineFeed = content.indexOf(LINE_FEED, this.scannedTo);
            if (lineFeed === -1) {
                this.scannedTo = content.length;
                return undefined;
            }
            const isBlank = this.isBlankLine(lineFeed);
            if (isBlank && this.lineStart > this.eventStart) {
                return this.completeEvent(lineFeed + 1);
            }
            if (!isBlank) {
                this.readLine(lineFeed);
            }
            this.lineStart = lineFeed + 1;
            this.scannedTo = this.lineStart;
        }
    }

    /** All bytes between two positions of the content. They aren't changed afterwards. */
    bytes(start: number, end: number): Buffer {
        return this.content.subarray(start, end);
    }

    /** Makes sure that the incomplete event is at the beginning of `held`, with room for further bytes. */
    private holdPartialEvent(partialBytes: number, furtherBytes: number): void {
        const neededBytes = partialBytes + furtherBytes;
        const isHeld = this.held.length > 0 && this.eventStart === 0;
        if (isHeld && neededBytes <= this.held.length) {
            return;
        }
        // The former memory isn't used again: events in it may not have been written yet.
        const held = Buffer.allocUnsafe(Math.max(MIN_HELD_BYTES, neededBytes, partialBytes * 2));
        this.content.copy(held, 0, this.eventStart);
        this.held = held;
        this.moveToStart();
    }

    /** Makes the start of the incomplete event position 0. */
    private moveToStart(): void {
        this.lineStart -= this.eventStart;
        this.scannedTo -= this.eventStart;
        this.eventStart = 0;
    }

    private completeEvent(end: number): StreamEvent {
        const event = { id: this.id, isEmpty: this.isEmpty, start: this.eventStart, end };
        this.eventStart = end;
        this.lineStart = end;
        this.scannedTo = end;
        this.id = undefined;
        this.isEmpty = true;
        return event;
    }

    /** Whether the line that ends with the line feed is blank. The first line of an event needs another one to end it. */
    private isBlankLine(lineFeed: number): boolean {
        const length = lineFeed - this.lineStart;
        return length === 0 || (length === 1 && this.content[this.lineStart] === CARRIAGE_RETURN);
    }

    private readLine(lineFeed: number): void {
        const first = this.content[this.lineStart];
        this.isEmpty &&= first === COLON;
        if (first === LETTER_I && this.id === undefined) {
            this.id = readId(this.content, this.lineStart, lineFeed);
        }
    }
}

/** The id in an `id` line that ends with a line feed; undefined if it isn't such a line. */
function readId(content: Buffer, lineStart: number, lineFeed: number): eventIds.EventId | undefined {
    if (content[lineStart + 1] !== LETTER_D || content[lineStart + 2] !== COLON) {
        return undefined;
    }
    let index = lineStart + ID_PREFIX_LENGTH;
    while (content[index] === SPACE || content[index] === TAB) {
        index++;
    }
    const end = content[lineFeed - 1] === CARRIAGE_RETURN ? lineFeed - 1 : lineFeed;
    return eventIds.parseBytes(content, index, end);
}
