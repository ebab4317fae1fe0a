import * as vitest from "vitest";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as expectedTimes from "./ExpectedTime";

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
        const durationMs = expectedTimes.expectedMs({ ...route, ...item.route }, { ...metadata, ...item.metadata });
        vitest.expect(durationMs <= REMAINING_MS).toBe(item.isAccepted);
    });
});
