import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as callDurations from "./CallDurations";

const route: routing.Route = {
    name: "r",
    host: "h",
    prefix: "/",
    kind: "stream",
    timeoutMs: 15_000,
    goalMs: 1_000,
    priority: 0,
    targets: [],
    attempts: 1,
    isResumable: true,
    isPublic: false,
    stages: [{ service: "archive", after: [], resultBytes: 1 }],
};
const metadata: routingPorts.RoutedCallMetadata = {
    attempt: "a",
    remainingMs: undefined,
    apiKey: undefined,
    promptParts: [],
    promptTokens: 600,
    outputTokens: 280,
    isResumption: false,
    lastEventId: undefined,
    resumedAttempt: undefined,
    pieces: [3],
    pieceKey: "k",
};
/**
 * Time left to the limit of a planned stop when an entry without a successor takes its last calls and closes; its stop
 * deadline is earlier.
 */
const REMAINING_MS = 3_500;

const cases: readonly {
    readonly name: string;
    readonly route?: Partial<routing.Route>;
    readonly metadata?: Partial<routingPorts.RoutedCallMetadata>;
    readonly isAccepted: boolean;
}[] = [
    { name: "a long stream with stages", isAccepted: false },
    { name: "a long stream", metadata: { pieces: [0] }, isAccepted: false },
    { name: "a short stream with stages", metadata: { outputTokens: 24 }, isAccepted: true },
    { name: "a stream with a short route timeout", route: { timeoutMs: 2_000 }, isAccepted: true },
    {
        name: "a plain call",
        route: { kind: "idempotent", timeoutMs: 5_000 },
        metadata: { outputTokens: 0 },
        isAccepted: true,
    },
];

vitest.describe("the expected duration of a call", () => {
    vitest.it.each(cases)("decides whether a stopping entry accepts $name", item => {
        const durations = new callDurations.CallDurations(new clocks.ManualClock());
        const durationMs = durations.expectedMs({ ...route, ...item.route }, { ...metadata, ...item.metadata });
        vitest.expect(durationMs <= REMAINING_MS).toBe(item.isAccepted);
    });
});

vitest.describe("the expected duration of a call after earlier ones", () => {
    const plain: routing.Route = {
        ...route,
        kind: "non-idempotent",
        timeoutMs: 4_000,
        targets: [{ service: "desk", weight: 1 }],
    };
    vitest.it.each([
        { name: "that were short", elapsedMs: Array<number>(40).fill(50), expectedMs: 1_000 },
        { name: "that took long", elapsedMs: Array<number>(5).fill(2_500), expectedMs: 2_500 },
        {
            name: "of which one in twenty took long",
            elapsedMs: [...Array<number>(19).fill(50), 3_000],
            expectedMs: 1_000,
        },
        {
            name: "of which one in ten took long",
            elapsedMs: [...Array<number>(18).fill(50), 3_000, 3_000],
            expectedMs: 3_000,
        },
        { name: "that took longer than the route allows now", elapsedMs: [9_000], expectedMs: 4_000 },
        { name: "that took long a while ago", elapsedMs: [2_500], laterMs: 60_001, expectedMs: 1_000 },
        {
            name: "that took long, but for the latest ones",
            elapsedMs: [2_500, ...Array<number>(40).fill(50)],
            expectedMs: 1_000,
        },
    ])("is $expectedMs ms after calls $name", ({ elapsedMs, laterMs = 0, expectedMs }) => {
        const clock = new clocks.ManualClock();
        const durations = new callDurations.CallDurations(clock);
        elapsedMs.forEach(ms => durations.record("desk", plain, metadata, ms));
        clock.advance(laterMs);
        vitest.expect(durations.expectedMs(plain, metadata)).toBe(expectedMs);
    });
});
