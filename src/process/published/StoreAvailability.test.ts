import * as vitest from "vitest";
import * as availabilities from "./StoreAvailability";

interface Call {
    readonly atMs: number;
    readonly isAnswered: boolean;
}

function answered(atMs: number): Call {
    return { atMs, isAnswered: true };
}

function failed(atMs: number): Call {
    return { atMs, isAnswered: false };
}

function recordCalls(availability: availabilities.StoreAvailability, calls: readonly Call[]): void {
    for (const { atMs, isAnswered } of calls) {
        if (isAnswered) {
            availability.recordAnswer(atMs);
        }
        else {
            availability.recordFailure(atMs);
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
            calls: [answered(0), failed(300), failed(600), failed(5_000), answered(5_300)],
            atMs: 5_300,
            expectedMs: 2_000,
        },
        {
            name: "no less if a watch is cut after an outage",
            calls: [failed(300), failed(600), answered(5_000), failed(5_100), answered(5_110)],
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
        vitest.expect(availability.recordFailure(2_000)).toBe(expected);
    });
});
