import * as vitest from "vitest";
import * as transferLimits from "./TransferLimit";

const limits: transferLimits.TransferLimits = { silenceMs: 2_000, minBytesPerSecond: 16_000 };
const startedAtMs = 1_000;

vitest.describe("a transfer", () => {
    const cases: readonly {
        readonly name: string;
        readonly receivedAtMs: number;
        readonly receivedBytes: number;
        readonly nowMs: number;
        readonly remainingMs: number;
    }[] = [
        { name: "has just begun", receivedAtMs: 1_000, receivedBytes: 0, nowMs: 1_000, remainingMs: 2_000 },
        {
            name: "flows, whatever its size",
            receivedAtMs: 60_900,
            receivedBytes: 18e6,
            nowMs: 61_000,
            remainingMs: 1_900,
        },
        { name: "has stopped", receivedAtMs: 4_000, receivedBytes: 1e6, nowMs: 6_000, remainingMs: 0 },
        { name: "trickles", receivedAtMs: 10_900, receivedBytes: 16_000, nowMs: 11_000, remainingMs: -7_000 },
    ];
    vitest.it.each(cases)("that $name", ({ receivedAtMs, receivedBytes, nowMs, remainingMs }) => {
        const state = { startedAtMs, receivedAtMs, receivedBytes };
        vitest.expect(transferLimits.remainingMs(limits, state, nowMs)).toBe(remainingMs);
    });
});
