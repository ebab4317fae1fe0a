import * as vitest from "vitest";
import * as progresses from "./EventProgress";
import * as splitters from "./EventSplitter";

interface SentEvent {
    readonly id?: number;
    readonly isEmpty?: boolean;
}

function event({ id, isEmpty = false }: SentEvent): splitters.StreamEvent {
    return { id, isEmpty, start: 0, end: 1 };
}

vitest.describe("an event", () => {
    vitest.it.each([
        { name: "is forwarded", lastId: undefined, sent: [{ id: 1 }], forwarded: [true], progress: [true] },
        { name: "without an id", lastId: 3, sent: [{}, {}], forwarded: [true, true], progress: [true, true] },
        { name: "that the caller has", lastId: 3, sent: [{ id: 3 }], forwarded: [false], progress: [true] },
        { name: "after it", lastId: 3, sent: [{ id: 4 }], forwarded: [true], progress: [true] },
        {
            name: "sent twice",
            lastId: 3,
            sent: [{ id: 4 }, { id: 4 }],
            forwarded: [true, false],
            progress: [true, true],
        },
        {
            name: "replayed",
            lastId: 3,
            sent: [{ id: 1 }, { id: 2 }],
            forwarded: [false, false],
            progress: [true, true],
        },
        { name: "that is empty", lastId: 3, sent: [{ isEmpty: true }], forwarded: [true], progress: [false] },
    ])("$name", ({ lastId, sent, forwarded, progress }) => {
        const events = new progresses.EventProgress(lastId);
        const recorded = sent.map(each => [events.hasProgress(event(each)), events.tryForward(event(each))]);
        vitest.expect(recorded).toEqual(sent.map((_, index) => [progress[index], forwarded[index]]));
    });
});
