import * as fc from "fast-check";
import * as vitest from "vitest";
import * as eventIds from "../../common/EventId";
import * as splitters from "./EventSplitter";

const STREAM = "id: 1\ndata: a\n\nweight-versions: 3\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n";
const EVENTS = ["id: 1\ndata: a\n\n", "weight-versions: 3\nid: 2\ndata: b\n\n", "id: 3\r\ndata: c\r\n\r\n"];
const LONG_EVENT_BYTES = 256 * 1024;
/** Bytes copied for each byte that arrives. */
const MAX_COPIES = 4;

interface SplitEvent {
    readonly id: eventIds.EventId | undefined;
    readonly isEmpty: boolean;
    readonly text: string;
}

interface SplitStream {
    readonly events: readonly SplitEvent[];
    readonly hasPartial: boolean;
    readonly isTooLong: boolean;
}

/** Splits chunks, and keeps the bytes of all events to the end, as a slow reader does. */
function split(chunks: readonly Buffer[]): SplitStream {
    const splitter = new splitters.EventSplitter();
    const kept: (Omit<SplitEvent, "text"> & { readonly bytes: Buffer })[] = [];
    for (const chunk of chunks) {
        splitter.push(chunk);
        for (let event = splitter.next(); event !== undefined; event = splitter.next()) {
            kept.push({ id: event.id, isEmpty: event.isEmpty, bytes: splitter.bytes(event.start, event.end) });
        }
    }
    const events = kept.map(({ id, isEmpty, bytes }) => ({ id, isEmpty, text: bytes.toString("latin1") }));
    return { events, hasPartial: splitter.hasPartialEvent, isTooLong: splitter.isTooLong };
}

/** Cuts a text into chunks at the offsets. */
function cut(text: string, offsets: readonly number[]): Buffer[] {
    const ends = [...offsets.filter(offset => offset <= text.length).sort((a, b) => a - b), text.length];
    return ends.map((end, index) => Buffer.from(text.slice(ends[index - 1] ?? 0, end), "latin1"));
}

/** The events of a whole text, found with regular expressions. */
function findEvents(text: string): SplitEvent[] {
    const events: SplitEvent[] = [];
    let lines = "";
    for (const line of text.match(/[^\n]*\n/g) ?? []) {
        const isEnd = lines !== "" && /^\r?\n$/.test(line);
        lines += line;
        if (isEnd) {
            const id = /(?:^|\n)id:[ \t]*(\d{1,1000})\r?\n/.exec(lines)?.[1];
            const isEmpty = lines.split("\n").every(each => /^(:|\r?$)/.test(each));
            events.push({ id: eventIds.parse(id ?? ""), isEmpty, text: lines });
            lines = "";
        }
    }
    return events;
}

vitest.describe("EventSplitter", () => {
    vitest.it("returns the same complete events for any chunk boundaries", () => {
        fc.assert(fc.property(fc.array(fc.nat({ max: STREAM.length }), { maxLength: 8 }), cuts => {
            const offsets = [0, ...cuts.sort((a, b) => a - b), STREAM.length];
            const chunks = offsets.slice(1).map((end, index) => Buffer.from(STREAM.slice(offsets[index], end)));
            const { events, hasPartial } = split(chunks.filter(chunk => chunk.length > 0));
            vitest.expect(events.map(event => event.text)).toEqual(EVENTS);
            vitest.expect(events.map(event => event.id)).toEqual([1, 2, 3]);
            vitest.expect(hasPartial).toBe(false);
        }));
    });

    vitest.it("finds the events of any lines, whatever the chunks", () => {
        const parts = [
            "\n",
            "\n",
            "\r\n",
            "\r",
            ":",
            ": c\n",
            "id: 7\n",
            "id:8\r\n",
            "id",
            "id: x\n",
            "data: a\n",
            " ",
        ];
        const digits = ["id: 123456789012345\n", "id: 1234567890123456\n", "id: 1 \n", "\tid: 2\n", "id:\t3\n"];
        const texts = fc.array(fc.constantFrom(...parts, ...digits), { maxLength: 40 }).map(list => list.join(""));
        fc.assert(
            fc.property(texts, fc.array(fc.nat({ max: 200 }), { maxLength: 30 }), (text, cuts) => {
                const { events, hasPartial } = split(cut(text, cuts));
                const expected = findEvents(text);
                vitest.expect(events).toEqual(expected);
                vitest.expect(hasPartial).toBe(expected.map(event => event.text).join("") !== text);
            }),
            { numRuns: 2_000, seed: 54 },
        );
    });

    vitest.it.each([
        { text: ": alive\n\n", isEmpty: true },
        { text: ":\r\n: alive\r\n\r\n", isEmpty: true },
        { text: "\n\n", isEmpty: true },
        { text: "\r\n\r\n", isEmpty: true },
        { text: ": alive\ndata: a\n\n", isEmpty: false },
        { text: "data: a\n\n", isEmpty: false },
        { text: "\ndata: a\n\n", isEmpty: false },
    ])("tells whether $text brings nothing", ({ text, isEmpty }) => {
        vitest.expect(split([Buffer.from(text)]).events.map(event => event.isEmpty)).toEqual([isEmpty]);
    });

    vitest.it.each([
        { name: "an incomplete event", text: "id: 1\ndata: a\n\nid: 2\nda", events: 1, hasPartial: true },
        { name: "an event without an id", text: "data: a\n\n", events: 1, hasPartial: false },
        { name: "an empty chunk", text: "", events: 0, hasPartial: false },
    ])("splits $name", ({ text, events, hasPartial }) => {
        const found = split([Buffer.from(text)]);
        vitest.expect(found.events).toHaveLength(events);
        vitest.expect(found.hasPartial).toBe(hasPartial);
    });

    vitest.it.each([
        { name: "the largest event", bytes: 1024 * 1024, isTooLong: false },
        { name: "a larger one", bytes: 1024 * 1024 + 1, isTooLong: true },
    ])("holds $name while it is incomplete", ({ bytes, isTooLong }) => {
        vitest.expect(split([Buffer.alloc(bytes, "x")]).isTooLong).toBe(isTooLong);
    });

    // Guards against processes whose other calls wait while a long event in small chunks is copied again and again.
    vitest.it.each([
        { name: "one event in chunks of a byte", chunk: "x", end: "\n\n" },
        { name: "lines without a blank one, a line a chunk", chunk: "data: a\n", end: "\n" },
        { name: "an event begun in each chunk", chunk: "ata: a\n\nd", end: "" },
    ])("copies each byte a few times at most: $name", ({ chunk, end }) => {
        let copiedBytes = 0;
        const { concat } = Buffer;
        const { copy } = Buffer.prototype;
        vitest.vi.spyOn(Buffer, "concat").mockImplementation((list, length) => {
            const joined = concat(list, length);
            copiedBytes += joined.length;
            return joined;
        });
        vitest.vi.spyOn(Buffer.prototype, "copy").mockImplementation(function(this: Buffer, ...options) {
            const count = copy.apply(this, options);
            copiedBytes += count;
            return count;
        });
        const count = Math.floor(LONG_EVENT_BYTES / chunk.length);
        const chunks = Array.from({ length: count }, () => Buffer.from(chunk));
        const { events } = split([...chunks, Buffer.from(end)]);
        vitest.vi.restoreAllMocks();
        vitest.expect(events.length).toBeGreaterThan(0);
        vitest.expect(copiedBytes / (count * chunk.length)).toBeLessThanOrEqual(MAX_COPIES);
    });
});
