import * as fc from "fast-check";
import * as vitest from "vitest";
import * as splitters from "./EventSplitter";

const STREAM = "id: 1\ndata: a\n\nweight-versions: 3\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n";
const EVENTS = ["id: 1\ndata: a\n\n", "weight-versions: 3\nid: 2\ndata: b\n\n", "id: 3\r\ndata: c\r\n\r\n"];

function split(chunks: readonly Buffer[]): { readonly events: splitters.StreamEvent[]; readonly hasPartial: boolean } {
    const splitter = new splitters.EventSplitter();
    const events = chunks.flatMap(chunk => splitter.push(chunk)!);
    return { events, hasPartial: splitter.hasPartialEvent };
}

vitest.describe("EventSplitter", () => {
    vitest.it("returns the same complete events for any chunk boundaries", () => {
        fc.assert(fc.property(fc.array(fc.nat({ max: STREAM.length }), { maxLength: 8 }), cuts => {
            const offsets = [0, ...cuts.sort((a, b) => a - b), STREAM.length];
            const chunks = offsets.slice(1).map((end, index) => Buffer.from(STREAM.slice(offsets[index], end)));
            const { events, hasPartial } = split(chunks.filter(chunk => chunk.length > 0));
            vitest.expect(events.map(event => event.bytes.toString())).toEqual(EVENTS);
            vitest.expect(events.map(event => event.id)).toEqual([1, 2, 3]);
            vitest.expect(hasPartial).toBe(false);
        }));
    });

    vitest.it.each([
        { text: ": alive\n\n", isComment: true },
        { text: ":\r\n: alive\r\n\r\n", isComment: true },
        { text: ": alive\ndata: a\n\n", isComment: false },
        { text: "data: a\n\n", isComment: false },
    ])("tells whether $text is a comment", ({ text, isComment }) => {
        vitest.expect(split([Buffer.from(text)]).events.map(event => event.isComment)).toEqual([isComment]);
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
});
