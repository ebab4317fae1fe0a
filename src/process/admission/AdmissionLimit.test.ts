import * as fc from "fast-check";
import * as vitest from "vitest";
import * as limits from "./AdmissionLimit";

const { describe, expect, it } = vitest;

const SEED = 21;
const bounds = { coldConcurrency: 2, warmConcurrency: 32 };
const success: limits.Completion = { kind: "success", latencyMs: 50, firstTokenMs: 10 };

function complete(limit: limits.AdmissionLimit, completion: limits.Completion, times = 1): void {
    for (let index = 0; index < times; index++) {
        limit.release(limit.tryAcquire()!, completion);
    }
}

function createWarmLimit(): limits.AdmissionLimit {
    const limit = new limits.AdmissionLimit(() => bounds);
    complete(limit, success, 500);
    expect(limit.limit).toBe(bounds.warmConcurrency);
    return limit;
}

describe("AdmissionLimit", () => {
    const outcomeCases: [string, (limit: limits.AdmissionLimit) => void, number, boolean][] = [
        ["a failure", limit => complete(limit, { kind: "failed" }), 22, false],
        ["a refused connection", limit => complete(limit, { kind: "refused-connection" }), 2, true],
        ["a restart", limit => limit.becomeCold("boot identity changed"), 2, true],
        ["a late first token", limit => complete(limit, { ...success, firstTokenMs: 900 }), 2, true],
        ["a slow answer", limit => complete(limit, { ...success, latencyMs: 9_000 }), 32, false],
        ["an invalid latency", limit => complete(limit, { ...success, latencyMs: Number.NaN }), 32, false],
        ["a cancelled call", limit => complete(limit, { kind: "neutral" }), 32, false],
    ];
    it.each(outcomeCases)("has the expected limit after %s", (_name, act, expected, isCold) => {
        const limit = createWarmLimit();
        const reasons: string[] = [];
        limit.onCold(reason => reasons.push(reason));
        act(limit);
        expect([limit.limit, limit.isCold, reasons.length]).toEqual([expected, isCold, isCold ? 1 : 0]);
    });

    it.each([[1, 2], [2, 3], [4, 3], [5, 4], [9, 6]])("after %d successes has a limit of %d", (successes, expected) => {
        const limit = new limits.AdmissionLimit(() => bounds);
        complete(limit, success, successes);
        expect(limit.limit).toBe(expected);
    });

    it.each([[7, 2], [8, 3], [11, 4]])(
        "with 8 cold calls, after %d successes has a limit of %d",
        (successes, expected) => {
            const limit = new limits.AdmissionLimit(() => ({ ...bounds, coldCalls: 8 }));
            complete(limit, success, successes);
            expect(limit.limit).toBe(expected);
        },
    );

    const suspicionCases: [string, (limit: limits.AdmissionLimit) => void, number][] = [
        ["nothing", () => undefined, 32],
        ["successes", limit => complete(limit, success, 20), 32],
        ["a failure", limit => complete(limit, { kind: "failed" }), 22],
        ["a restart", limit => limit.becomeCold("boot identity changed"), 2],
    ];
    it.each(suspicionCases)(
        "holds the cold concurrency while a restart is suspected, with %s",
        (_name, act, expected) => {
            const limit = createWarmLimit();
            limit.setRestartSuspected(true);
            act(limit);
            expect([limit.limit, limit.isCold]).toEqual([2, true]);
            limit.setRestartSuspected(false);
            expect(limit.limit).toBe(expected);
        },
    );

    it("releases each call only once", () => {
        const limit = new limits.AdmissionLimit(() => bounds);
        const ticket = limit.tryAcquire()!;
        for (let index = 0; index < 5; index++) {
            limit.release(ticket, success);
        }
        expect([limit.active, limit.limit]).toEqual([0, 2]);
    });

    it("lowers the limit once for calls admitted under the same limit", () => {
        const limit = createWarmLimit();
        const tickets = Array.from({ length: 10 }, () => limit.tryAcquire()!);
        tickets.forEach(ticket => limit.release(ticket, { kind: "failed" }));
        expect(limit.limit).toBe(22);
    });

    it("ignores the outcome of calls admitted before a restart, but counts them until they are released", () => {
        const limit = createWarmLimit();
        const tickets = Array.from({ length: 10 }, () => limit.tryAcquire()!);
        limit.becomeCold("restart");
        expect(limit.tryAcquire()).toBeUndefined();
        tickets.slice(0, 8).forEach(ticket => limit.release(ticket, success));
        expect([limit.limit, limit.active, limit.tryAcquire()]).toEqual([2, 2, undefined]);
        limit.release(tickets[8]!, success);
        expect(limit.tryAcquire()).toBeDefined();
    });

    const boundsCases: [number, number, number][] = [[2, 32, 2], [0, 0, 1], [Number.NaN, 5, 1], [9, 4, 4], [2.7, 9, 2]];
    it.each(boundsCases)(
        "with bounds of %d and %d starts at a limit of %d",
        (coldConcurrency, warmConcurrency, expected) => {
            expect(new limits.AdmissionLimit(() => ({ coldConcurrency, warmConcurrency })).limit).toBe(expected);
        },
    );

    it("admits calls only below the limit and raises it only on a success", () => {
        const step = fc.record({
            act: fc.constantFrom("acquire", "acquire", "success", "success", "failed", "neutral", "refused", "cold"),
            pick: fc.nat(100),
        });
        fc.assert(
            fc.property(fc.array(step, { maxLength: 400 }), steps => {
                const limit = new limits.AdmissionLimit(() => bounds);
                const held: { ticket: limits.Ticket; epoch: number }[] = [];
                let epoch = 0;
                for (const { act, pick } of steps) {
                    const before = limit.limit;
                    const activeBefore = limit.active;
                    let canRise = false;
                    if (act === "cold") {
                        limit.becomeCold("restart");
                        epoch += 1;
                    }
                    else if (act === "acquire") {
                        const ticket = limit.tryAcquire();
                        expect(ticket !== undefined).toBe(activeBefore < before);
                        held.push(...(ticket === undefined ? [] : [{ ticket, epoch }]));
                    }
                    else if (held.length > 0) {
                        const [released] = held.splice(pick % held.length, 1);
                        const kind = act === "refused" ? "refused-connection" : act as "failed" | "neutral";
                        canRise = act === "success" && released!.epoch === epoch;
                        epoch += act === "refused" ? 1 : 0;
                        limit.release(released!.ticket, act === "success" ? success : { kind });
                    }
                    expect(limit.active).toBe(held.length);
                    expect(limit.limit <= before || canRise).toBe(true);
                    expect(limit.limit).toBeLessThanOrEqual(bounds.warmConcurrency);
                    expect(limit.limit).toBeGreaterThanOrEqual(bounds.coldConcurrency);
                }
            }),
            { seed: SEED, numRuns: 200 },
        );
    });
});
