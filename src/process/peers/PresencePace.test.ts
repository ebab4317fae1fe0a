import * as vitest from "vitest";
import * as paces from "./PresencePace";

vitest.describe("ordinaryIntervalMs", () => {
    vitest.it.each([
        { peers: 3, intervalMs: 300, timeoutMs: 1_000, silenceMs: 1_500 },
        { peers: 30, intervalMs: 750, timeoutMs: 2_350, silenceMs: 2_250 },
        { peers: 300, intervalMs: 4_000, timeoutMs: 12_100, silenceMs: 12_000 },
    ])("with $peers peers", ({ peers, intervalMs, timeoutMs, silenceMs }) => {
        vitest.expect(paces.ordinaryIntervalMs(peers)).toBe(intervalMs);
        vitest.expect(paces.timeoutMs(intervalMs)).toBe(timeoutMs);
        vitest.expect(paces.connectionSilenceMs(intervalMs)).toBe(silenceMs);
    });

    vitest.it.each([10, 30, 68, 100, 160])("limits the messages of an entry with %d peers to 40 a second", peers => {
        const messagesPerSecond = peers * 1_000 / paces.ordinaryIntervalMs(peers);
        vitest.expect(messagesPerSecond).toBeLessThanOrEqual(40);
    });
});
