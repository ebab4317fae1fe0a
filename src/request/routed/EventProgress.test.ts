import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as eventIds from "../../common/EventId";
import * as progresses from "./EventProgress";
import * as splitters from "./EventSplitter";

interface SentEvent {
    readonly id?: eventIds.EventId;
    readonly isEmpty?: boolean;
}

interface ProgressCase {
    readonly name: string;
    readonly lastId: eventIds.EventId | undefined;
    readonly sent: readonly SentEvent[];
    readonly forwarded: readonly boolean[];
    readonly progress: readonly boolean[];
}

function event({ id, isEmpty = false }: SentEvent): splitters.StreamEvent {
    return { id, isEmpty, start: 0, end: 1 };
}

vitest.describe("an event", () => {
    vitest.it.each<ProgressCase>([
        { name: "is forwarded", lastId: undefined, sent: [{ id: 1 }], forwarded: [true], progress: [true] },
        { name: "without an id", lastId: 3, sent: [{}, {}], forwarded: [true, true], progress: [true, true] },
        { name: "that the caller has", lastId: 3, sent: [{ id: 3 }], forwarded: [false], progress: [true] },
        { name: "after it", lastId: 3, sent: [{ id: 4 }], forwarded: [true], progress: [true] },
        {
            name: "sent twice",
            lastId: 3,
            sent: [{ id: 4 }, { id: 4 }],
            forwarded: [true, false],
            progress: [true, false],
        },
        {
            name: "replayed",
            lastId: 3,
            sent: [{ id: 1 }, { id: 2 }],
            forwarded: [false, false],
            progress: [true, true],
        },
        {
            name: "with a long id that the caller has, or not",
            lastId: 9_007_199_254_740_992n,
            sent: [{ id: 7 }, { id: 9_007_199_254_740_992n }, { id: 9_007_199_254_740_993n }],
            forwarded: [false, false, true],
            progress: [true, true, true],
        },
        {
            name: "with a long id after one with a short one",
            lastId: 999_999_999_999_999,
            sent: [{ id: 1_000_000_000_000_000n }],
            forwarded: [true],
            progress: [true],
        },
        { name: "that is empty", lastId: 3, sent: [{ isEmpty: true }], forwarded: [true], progress: [false] },
    ])("$name", ({ lastId, sent, forwarded, progress }) => {
        const events = new progresses.EventProgress(new clocks.ManualClock(), lastId);
        events.beginAnswer();
        const recorded = sent.map(each => [events.record(event(each)), events.tryForward(event(each))]);
        vitest.expect(recorded).toEqual(sent.map((_, index) => [progress[index], forwarded[index]]));
    });
});

vitest.describe("a stream can go on in another answer", () => {
    const COMMENT = { isEmpty: true };
    // Guards against streams that begin anew in the middle of their answer.
    vitest.it.each<{ readonly name: string; readonly sent: readonly SentEvent[]; readonly expected: boolean }>([
        { name: "before its first event", sent: [], expected: true },
        { name: "after comments", sent: [COMMENT, COMMENT], expected: true },
        { name: "after an event with an id", sent: [{ id: 1 }], expected: true },
        { name: "after an event with an id and a comment", sent: [{ id: 1 }, COMMENT], expected: true },
        { name: "not after an event without an id", sent: [{}], expected: false },
        { name: "not after such an event and a comment", sent: [{}, COMMENT], expected: false },
        { name: "not after such an event behind one with an id", sent: [{ id: 1 }, {}], expected: false },
        { name: "after an event with an id behind such a one", sent: [{}, { id: 2 }], expected: true },
    ])("$name", ({ sent, expected }) => {
        const events = new progresses.EventProgress(new clocks.ManualClock(), undefined);
        events.beginAnswer();
        sent.forEach(each => events.tryForward(event(each)));
        vitest.expect(events.canContinue).toBe(expected);
    });
});

vitest.describe("an answer", () => {
    const COMMENT = { isEmpty: true };
    const BRIEF_MS = 1;
    vitest.it.each([
        // Guards against calls that hang beside an instance that sends such events without end.
        { name: "of comments", sent: () => COMMENT, intervalMs: 0, count: 1_001, isStuck: true },
        { name: "of the same event", sent: () => ({ id: 4 }), intervalMs: 0, count: 1_002, isStuck: true },
        { name: "of comments each millisecond", sent: () => COMMENT, intervalMs: 1, count: 1_200, isStuck: true },
        {
            name: "of events with no new id",
            sent: (n: number) => ({ id: n % 9 }),
            intervalMs: 0,
            count: 2_000,
            isStuck: true,
        },
        { name: "of a burst of comments", sent: () => COMMENT, intervalMs: 0, count: 1_000, isStuck: false },
        { name: "of comments for an hour", sent: () => COMMENT, intervalMs: 1_000, count: 3_600, isStuck: false },
        { name: "of 100 comments a second", sent: () => COMMENT, intervalMs: 10, count: 10_000, isStuck: false },
        { name: "that begins anew", sent: (n: number) => ({ id: n }), intervalMs: 0, count: 5_000, isStuck: false },
        {
            name: "of comments and events",
            sent: (n: number) => n % 900 === 0 ? { id: n } : COMMENT,
            intervalMs: 0,
            count: 9_000,
            isStuck: false,
        },
    ])("$name: given up $isStuck", ({ sent, intervalMs, count, isStuck }) => {
        const clock = new clocks.ManualClock();
        const events = new progresses.EventProgress(clock, 10_000);
        events.beginAnswer();
        let wasStuck = false;
        for (let index = 0; index < count; index++) {
            events.record(event(sent(index)));
            wasStuck ||= events.isStuck;
            clock.advance(intervalMs);
        }
        vitest.expect(wasStuck).toBe(isStuck);
        clock.advance(BRIEF_MS);
        events.beginAnswer();
        vitest.expect(events.isStuck).toBe(false);
    });
});
