import * as vitest from "vitest";
import * as holds from "./InstanceHold";

vitest.describe("the hold of an instance", () => {
    const cases: readonly {
        readonly name: string;
        /** The ends of the holds in the order in which they are asked for. */
        readonly untilMs: readonly number[];
        readonly nowMs: number;
        readonly remainingMs: number;
    }[] = [
        { name: "is none before the first rejection", untilMs: [], nowMs: 0, remainingMs: 0 },
        { name: "lasts until its end", untilMs: [1_000], nowMs: 999, remainingMs: 1 },
        { name: "ends", untilMs: [1_000], nowMs: 1_000, remainingMs: 0 },
        { name: "is prolonged by a later end", untilMs: [1_000, 3_000], nowMs: 1_000, remainingMs: 2_000 },
        { name: "isn't shortened by an earlier end", untilMs: [3_000, 1_000], nowMs: 1_000, remainingMs: 2_000 },
        { name: "lasts for hours", untilMs: [7_200_000], nowMs: 3_600_000, remainingMs: 3_600_000 },
        { name: "may never end", untilMs: [Infinity], nowMs: 3_600_000, remainingMs: Infinity },
    ];
    vitest.it.each(cases)("$name", ({ untilMs, nowMs, remainingMs }) => {
        const hold = new holds.InstanceHold();
        untilMs.forEach(endMs => hold.extendTo(endMs));
        vitest.expect(hold.remainingMs(nowMs)).toBe(remainingMs);
        vitest.expect(hold.mayCall(nowMs)).toBe(remainingMs === 0);
    });
});

vitest.describe("the return from a hold", () => {
    type Step = "call" | "accept" | "end" | "hold" | "wait";
    const accepted: readonly Step[] = ["call", "accept", "end"];
    const cases: readonly {
        readonly name: string;
        /** Calls in flight at the rejection, including the rejected one, which ends then. */
        readonly inFlight: number;
        readonly steps: readonly Step[];
        /** Number of further calls that may be sent at once. */
        readonly allowed: number;
    }[] = [
        { name: "starts with one call", inFlight: 1, steps: [], allowed: 1 },
        { name: "waits for the first call's answer", inFlight: 1, steps: ["call"], allowed: 0 },
        { name: "tries again with one call after a failure", inFlight: 1, steps: ["call", "end"], allowed: 1 },
        { name: "goes on with two calls after an answer", inFlight: 1, steps: accepted, allowed: 2 },
        { name: "counts an answer once", inFlight: 1, steps: ["call", "accept", "accept", "end"], allowed: 2 },
        {
            name: "stops below the calls in flight that were rejected",
            inFlight: 11,
            steps: Array<readonly Step[]>(9).fill(accepted).flat(),
            allowed: 9, // 8 and a ninth, since the limit has grown.
        },
        { name: "counts streams that go on", inFlight: 11, steps: ["call", "accept", "call", "accept"], allowed: 3 },
        {
            name: "raises the limit by one in about ten rounds",
            inFlight: 11,
            steps: Array<readonly Step[]>(8 * 11).fill(accepted).flat(),
            allowed: 10,
        },
        { name: "starts anew after another hold", inFlight: 1, steps: [...accepted, "hold"], allowed: 1 },
        { name: "isn't limited after some time", inFlight: 1, steps: ["wait"], allowed: 100 },
    ];
    vitest.it.each(cases)("$name", ({ inFlight, steps, allowed }) => {
        const hold = new holds.InstanceHold();
        const earlierCalls = Array.from({ length: inFlight }, () => hold.startCall());
        hold.extendTo(1_000);
        earlierCalls.forEach(call => call.end());
        let nowMs = 1_000;
        const calls: holds.CountedCall[] = [];
        for (const step of steps) {
            switch (step) {
                case "hold":
                    hold.extendTo(nowMs += 1_000);
                    break;
                case "wait":
                    nowMs += 5_001;
                    break;
                case "call":
                    calls.push(hold.startCall());
                    break;
                case "accept":
                    calls.at(-1)!.accept();
                    break;
                case "end":
                    calls.pop()!.end();
            }
        }
        let count = 0;
        while (count < 100 && hold.mayCall(nowMs)) {
            hold.startCall();
            count++;
        }
        vitest.expect(count).toBe(allowed);
    });

    vitest.it.each([
        { entries: 1, spreadMs: 10 },
        { entries: 18, spreadMs: 180 },
        { entries: 3_000, spreadMs: 2_000 },
    ])("of $entries entries takes $spreadMs ms", ({ entries, spreadMs }) => {
        vitest.expect([0, 0.5, 1].map(fraction => holds.returnSpreadMs(entries, fraction)))
            .toEqual([0, spreadMs / 2, spreadMs]);
    });
});

vitest.describe("the retry delay of a caller", () => {
    vitest.it.each([
        { remainingMs: 100, earliestMs: 100, latestMs: 300 },
        { remainingMs: 2_000, earliestMs: 2_000, latestMs: 2_500 },
        { remainingMs: 8_000, earliestMs: 8_000, latestMs: 9_000 },
        { remainingMs: 7_200_000, earliestMs: 10_000, latestMs: 11_000 },
        { remainingMs: Infinity, earliestMs: 10_000, latestMs: 11_000 },
    ])("with $remainingMs ms left is spread", ({ remainingMs, earliestMs, latestMs }) => {
        vitest.expect(holds.callerRetryAfterMs(remainingMs, 0)).toBe(earliestMs);
        vitest.expect(holds.callerRetryAfterMs(remainingMs, 1)).toBe(latestMs);
    });
});
