import * as fc from "fast-check";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as streamTurns from "../../process/streams/StreamTurns";
import * as forwards from "./EventForward";
import * as progresses from "./EventProgress";
import * as sinks from "./EventSink";

const READ_LIMIT_MS = 1_000;
const CHUNK_BYTES = 64 * 1024;

/** A caller that reads at once, or never. */
class Reader implements sinks.EventSink {
    readonly hasBegun = true;
    readonly writes: Buffer[] = [];

    constructor(private readonly reads: boolean) {}

    get text(): string {
        return Buffer.concat(this.writes).toString();
    }

    begin(): void {
        // The head isn't checked here.
    }

    write(bytes: Buffer): Promise<void> | undefined {
        this.writes.push(bytes);
        return this.reads ? undefined : new Promise(() => undefined);
    }

    end(): void {
        // The end isn't checked here.
    }

    abort(): void {
        // The same.
    }
}

interface Forwarding {
    readonly clock: clocks.ManualClock;
    readonly reader: Reader;
    readonly forward: forwards.EventForward;
    /** The number of calls by which progress was reported. */
    readonly progressCount: () => number;
    /** The last size of the incomplete event. */
    readonly heldBytes: () => number;
}

interface ForwardCase {
    readonly lastEventId?: number;
    readonly reads?: boolean;
    readonly hasRoom?: boolean;
}

function createForward({ lastEventId, reads = true, hasRoom = true }: ForwardCase): Forwarding {
    const clock = new clocks.ManualClock();
    const reader = new Reader(reads);
    let progressCount = 0;
    let heldBytes = 0;
    const progress = new progresses.EventProgress(clock, lastEventId);
    progress.beginAnswer();
    const forward = new forwards.EventForward({
        clock,
        sink: reader,
        progress,
        slices: new streamTurns.StreamTurns(clock).open(),
        buffers: {
            holdEvent: bytes => {
                heldBytes = bytes;
                return hasRoom;
            },
        },
        onProgress: () => progressCount++,
        onEvents: () => undefined,
        onWritten: () => undefined,
        readLimitMs: () => READ_LIMIT_MS,
    });
    return { clock, reader, forward, progressCount: () => progressCount, heldBytes: () => heldBytes };
}

function events(...ids: readonly number[]): string {
    return ids.map(id => `id: ${id}\ndata: text ${id}\n\n`).join("");
}

/** Text of at least a number of bytes. */
function repeat(text: string, bytes = CHUNK_BYTES): string {
    return text.repeat(Math.ceil(bytes / text.length));
}

vitest.describe("the events of a chunk", () => {
    vitest.it.each([
        { name: "new ones", lastEventId: undefined, chunk: events(1, 2, 3), written: events(1, 2, 3), writes: 1 },
        {
            name: "some that the caller has",
            lastEventId: 2,
            chunk: events(1, 2, 3, 4),
            written: events(3, 4),
            writes: 1,
        },
        { name: "one twice", lastEventId: 0, chunk: events(1, 2, 2, 3), written: events(1, 2, 3), writes: 2 },
        { name: "an earlier one", lastEventId: 0, chunk: events(1, 2, 1, 3), written: events(1, 2, 3), writes: 2 },
        { name: "only earlier ones", lastEventId: 9, chunk: events(1, 2), written: "", writes: 0 },
        {
            name: "a comment between",
            lastEventId: 0,
            chunk: `${events(1)}: c\n\n${events(2)}`,
            written: undefined,
            writes: 1,
        },
        { name: "one that is incomplete", lastEventId: 0, chunk: `${events(1)}id: 2\n`, written: events(1), writes: 1 },
    ])("$name", async ({ lastEventId, chunk, written, writes }) => {
        const { reader, forward } = createForward(lastEventId === undefined ? {} : { lastEventId });
        vitest.expect(await forward.forward(Buffer.from(chunk))).toBe("forwarded");
        vitest.expect(reader.text).toBe(written ?? chunk);
        vitest.expect(reader.writes).toHaveLength(writes);
    });

    vitest.it("are written in order, each once, whatever the chunks and the repetitions", async () => {
        const ids = fc.array(fc.integer({ min: 1, max: 30 }), { maxLength: 60 });
        const cuts = fc.array(fc.nat({ max: 900 }), { maxLength: 30 });
        await fc.assert(
            fc.asyncProperty(ids, cuts, async (sent, offsets) => {
                const text = events(...sent);
                const { reader, forward } = createForward({});
                const ends = [...offsets.filter(end => end < text.length).sort((a, b) => a - b), text.length];
                for (const [index, end] of ends.entries()) {
                    await forward.forward(Buffer.from(text.slice(ends[index - 1] ?? 0, end)));
                }
                let last = 0;
                const expected = sent.filter(id => id > last && (last = id) > 0);
                vitest.expect(reader.text).toBe(events(...expected));
            }),
            { numRuns: 500, seed: 54 },
        );
    });
});

vitest.describe("a chunk", () => {
    vitest.it.each([
        // Guards against calls that hang beside an instance that sends such events without end.
        { name: "of comments", chunk: repeat(": c\n\n"), outcome: "nothing-new" },
        { name: "of blank lines", chunk: repeat("\n"), outcome: "nothing-new" },
        { name: "of the same event", chunk: repeat("id: 7\ndata: a\n\n"), outcome: "nothing-new" },
        { name: "of comments in one event", chunk: repeat(": c\n"), outcome: "forwarded" },
        { name: "of an event that is too long", chunk: repeat("x", 1024 * 1024 + 1), outcome: "too-long" },
        { name: "that doesn't fit", chunk: repeat("x"), hasRoom: false, outcome: "buffers-full" },
        { name: "that the caller doesn't read", chunk: events(8), reads: false, outcome: "unread" },
    ])("$name: $outcome", async ({ chunk, outcome, ...forwardCase }) => {
        const { clock, forward } = createForward({ lastEventId: 6, ...forwardCase });
        const forwarding = forward.forward(Buffer.from(chunk));
        await Promise.resolve();
        clock.advance(READ_LIMIT_MS);
        vitest.expect(await forwarding).toBe(outcome);
    });

    vitest.it.each([
        { name: "a comment", chunk: ": c\n\n", progress: 0, held: 0 },
        { name: "an event", chunk: events(1), progress: 1, held: 0 },
        { name: "an event that the caller has, again", chunk: "id: 1\n\nid: 1\n\n", progress: 1, held: 0 },
        { name: "the beginning of one", chunk: "data: ", progress: 0, held: 6 },
    ])("reports progress and what is held: $name", async ({ chunk, progress, held }) => {
        const { forward, progressCount, heldBytes } = createForward({});
        await forward.forward(Buffer.from(chunk));
        vitest.expect([progressCount(), heldBytes()]).toEqual([progress, held]);
        forward.dispose();
        vitest.expect(heldBytes()).toBe(0);
    });
});

vitest.it("a chunk of many events is handled in slices, and all of it is written", async () => {
    const EVENT_MS = 0.02;
    const ids = Array.from({ length: 2_000 }, (_, index) => index + 1);
    const { clock, reader, forward } = createForward({});
    let reads = 0;
    const now = clock.now.bind(clock);
    clock.now = () => {
        clock.skip(reads++ > 0 ? EVENT_MS * 16 : 0);
        return now();
    };
    const forwarding = forward.forward(Buffer.from(events(...ids)));
    let outcome: string | undefined;
    void forwarding.then(end => outcome = end);
    let turns = 0;
    for (; outcome === undefined && turns < 10_000; turns++) {
        await new Promise(resolve => setImmediate(resolve));
        clock.advance(0);
    }
    vitest.expect(outcome).toBe("forwarded");
    vitest.expect(reader.text).toBe(events(...ids));
    vitest.expect(reader.writes.length).toBeGreaterThan(10);
});
