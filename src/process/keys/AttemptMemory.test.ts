import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as messages from "../../common/Messages";
import * as memories from "./AttemptMemory";

const { describe, expect, it } = vitest;

const id = { request: "r", stage: "book", attempt: 0 };
const otherId = { ...id, attempt: 1 };
const answer = { kind: "answer", call: 1, code: 0 } as messages.Answer;

function advance(clock: clocks.ManualClock, byMs: number): void {
    for (let passedMs = 0; passedMs < byMs; passedMs += 1_000) {
        clock.advance(1_000);
    }
}

describe("AttemptMemory", () => {
    const cases: [string, (memory: memories.AttemptMemory, clock: clocks.ManualClock) => unknown, unknown][] = [
        ["an attempt that never arrived", memory => memory.query(id, 10).kind, "not-run"],
        ["a late arrival after a query", memory => [memory.query(id, 10).kind, memory.begin(id)], ["not-run", false]],
        ["a duplicate", memory => [memory.begin(id), memory.begin(id)], [true, false]],
        ["another attempt of the request", memory => [memory.begin(id), memory.begin(otherId)], [true, true]],
        ["a running attempt", memory => [memory.begin(id), memory.query(id, 10).kind], [true, "running"]],
        ["an answer without an attempt", memory => {
            memory.finish(id, answer);
            return memory.size;
        }, 0],
        ["an attempt older than the retention", memory => [
            memory.query(id, memories.ATTEMPT_RETENTION_MS).kind,
            memory.begin(id),
        ], ["forgotten", true]],
        ["an age of NaN", memory => memory.query(id, Number.NaN).kind, "forgotten"],
        ["a full memory", memory => {
            memory.begin(id);
            memory.begin(otherId);
            const third = { ...id, attempt: 2 };
            return [memory.begin(third), memory.query(third, 10).kind, memory.query(id, 10).kind];
        }, [false, "forgotten", "running"]],
        ["an answer within the retention", (memory, clock) => {
            memory.begin(id);
            advance(clock, memories.ATTEMPT_RETENTION_MS);
            memory.finish(id, answer);
            advance(clock, memories.ATTEMPT_RETENTION_MS - 2_000);
            return memory.query(id, 10);
        }, { kind: "answered", answer }],
        ["an answer past the retention", (memory, clock) => {
            memory.begin(id);
            memory.finish(id, answer);
            advance(clock, memories.ATTEMPT_RETENTION_MS + 2_000);
            return [memory.size, memory.query(id, memories.ATTEMPT_RETENTION_MS).kind];
        }, [0, "forgotten"]],
        ["a tombstone after a long pause", (memory, clock) => {
            memory.query(id, 10);
            clock.skip(memories.ATTEMPT_RETENTION_MS + 5_000);
            advance(clock, 3_000);
            return memory.begin(id);
        }, false],
    ];
    it.each(cases)("handles %s", (_name, act, expected) => {
        const clock = new clocks.ManualClock();
        expect(act(new memories.AttemptMemory({ clock, capacity: 2 }), clock)).toEqual(expected);
    });

    it("resolves queries of a running attempt", async () => {
        const memory = new memories.AttemptMemory({ clock: new clocks.ManualClock(), capacity: 2 });
        memory.begin(id);
        const state = memory.query(id, 10);
        memory.finish(id, answer);
        expect(state.kind === "running" && await state.settled).toBe(answer);
    });
});
