import * as vitest from "vitest";
import * as availabilities from "./StoreAvailability";

interface Call {
    readonly atMs: number;
    readonly isAnswered: boolean;
    readonly call: availabilities.StoreCall;
}

function answered(atMs: number, call: availabilities.StoreCall = "watch"): Call {
    return { atMs, isAnswered: true, call };
}

function failed(atMs: number, call: availabilities.StoreCall = "watch"): Call {
    return { atMs, isAnswered: false, call };
}

function recordCalls(availability: availabilities.StoreAvailability, calls: readonly Call[]): void {
    for (const { atMs, isAnswered, call } of calls) {
        if (isAnswered) {
            availability.recordAnswer(call, atMs);
        }
        else {
            availability.recordFailure(call, atMs);
        }
    }
}

/** The delay of a deletion that arrives at `atMs`, after calls with these ends. */
function graceMs(calls: readonly Call[], atMs: number): number {
    const availability = new availabilities.StoreAvailability();
    recordCalls(availability, calls);
    return availability.deletionGraceMs(atMs);
}

vitest.describe("a deletion of an instance waits", () => {
    // Guards against calls to instances that have left, and against the loss of sound ones whose records expired.
    vitest.it.each([
        { name: "0 ms without a failure", calls: [answered(0)], atMs: 10, expectedMs: 0 },
        {
            name: "up to 1 s after a cut watch",
            calls: [answered(0), failed(900), answered(910)],
            atMs: 910,
            expectedMs: 1_000,
        },
        {
            name: "the rest of it later",
            calls: [answered(0), failed(900), answered(910)],
            atMs: 1_710,
            expectedMs: 200,
        },
        { name: "0 ms after that", calls: [answered(0), failed(900), answered(910)], atMs: 1_910, expectedMs: 0 },
        {
            name: "up to 1 s after watches that are cut again and again",
            calls: [answered(0), failed(300), answered(310), failed(600), answered(610), failed(900), answered(910)],
            atMs: 910,
            expectedMs: 1_000,
        },
        {
            name: "up to 2 s after an outage",
            calls: [
                ...[answered(0), failed(300), failed(310), failed(600, "check")],
                ...[failed(5_000, "check"), answered(5_300, "check"), answered(5_310)],
            ],
            atMs: 5_310,
            expectedMs: 1_990,
        },
        {
            name: "up to 2 s after an outage in which all was to be listed",
            calls: [failed(0, "list"), failed(300, "list"), answered(600, "list")],
            atMs: 600,
            expectedMs: 2_000,
        },
        {
            name: "up to 1 s after two watches in succession were cut",
            calls: [answered(0), failed(900), failed(910), answered(1_200, "check"), answered(1_210)],
            atMs: 1_210,
            expectedMs: 1_000,
        },
        {
            name: "up to 1 s after all watches were cut for long",
            calls: [
                ...[answered(0), failed(900), failed(910), answered(1_200, "check"), failed(1_210)],
                ...[answered(1_500, "check"), failed(1_510), answered(9_000, "check"), answered(9_010)],
            ],
            atMs: 9_010,
            expectedMs: 1_000,
        },
        {
            name: "no less if a watch is cut after an outage",
            calls: [
                ...[failed(300), failed(310), failed(600, "check"), answered(5_000, "check"), answered(5_010)],
                ...[failed(5_100), answered(5_110)],
            ],
            atMs: 5_110,
            expectedMs: 1_890,
        },
    ])("$name", ({ calls, atMs, expectedMs }) => {
        vitest.expect(graceMs(calls, atMs)).toBe(expectedMs);
    });
});

vitest.describe("the call after a failed one", () => {
    // Guards against changes that are noticed late after a cut, and against a busy loop at a store that cuts each watch.
    vitest.it.each([
        { name: "is due at once after an answer", calls: [answered(0)], expected: true },
        { name: "is delayed after two failures", calls: [answered(0), failed(1_900)], expected: false },
        {
            name: "is delayed if an earlier call failed shortly before",
            calls: [failed(1_500), answered(1_600)],
            expected: false,
        },
        { name: "is due at once if that was long before", calls: [failed(500), answered(510)], expected: true },
    ])("$name", ({ calls, expected }) => {
        const availability = new availabilities.StoreAvailability();
        recordCalls(availability, calls);
        vitest.expect(availability.recordFailure("watch", 2_000)).toBe(expected);
    });
});

vitest.describe("the store is checked", () => {
    // Guards against watches alone, which can't tell cuts from an outage; and against checks while watches are answered.
    vitest.it.each([
        { name: "not at first", calls: [], isCheckDue: false, state: "available" },
        { name: "not after one failed watch", calls: [failed(0)], isCheckDue: false, state: "doubtful" },
        { name: "after two", calls: [failed(0), failed(10)], isCheckDue: true, state: "doubtful" },
        {
            name: "not once the check is answered",
            calls: [failed(0), failed(10), answered(300, "check")],
            isCheckDue: false,
            state: "unwatched",
        },
        {
            name: "again after the next failed watch",
            calls: [failed(0), failed(10), answered(300, "check"), failed(310)],
            isCheckDue: true,
            state: "unwatched",
        },
        {
            name: "until it is answered",
            calls: [failed(0), failed(10), failed(300, "check"), failed(600, "check")],
            isCheckDue: true,
            state: "unavailable",
        },
        {
            name: "not after a watch that is answered",
            calls: [failed(0), failed(10), failed(300, "check"), answered(600, "check"), answered(610)],
            isCheckDue: false,
            state: "available",
        },
    ])("$name", ({ calls, isCheckDue, state }) => {
        const availability = new availabilities.StoreAvailability();
        recordCalls(availability, calls);
        vitest.expect(availability.isCheckDue).toBe(isCheckDue);
        vitest.expect(availability.state).toBe(state);
    });
});
