import * as vitest from "vitest";
import * as fixtures from "./StageFixtures";
import * as schedulers from "./StageScheduler";

/** Time of a call with the 16 pieces of the sample order. */
const CALL_MS = 250;

/** A scheduler of the sample service, whose instances may all hold off. */
function createScheduler(state: { holdMs: number }): schedulers.StageScheduler {
    return new schedulers.StageScheduler({
        ...fixtures.services,
        instances: () => state.holdMs > 0 ? [] : fixtures.INSTANCES,
        holdMs: () => state.holdMs,
    });
}

vitest.describe("an order while all instances of a stage hold off", () => {
    vitest.it.each([
        { name: "is accepted if it can be in time after the hold", holdMs: 1_000, admission: "in-time" },
        { name: "is accepted as late if it still has time then", holdMs: 1_500, admission: "late" },
        { name: "is rejected at once otherwise", holdMs: 4_400, admission: "refused" },
        { name: "is rejected at once by a hold of hours", holdMs: 7_200_000, admission: "refused" },
        { name: "is rejected at once by an endless hold", holdMs: Infinity, admission: "refused" },
    ])("$name", ({ holdMs, admission }) => {
        const scheduler = createScheduler({ holdMs });
        vitest.expect(scheduler.submit(fixtures.createOrder("a"), 0).kind).toBe(admission);
        vitest.expect(scheduler.nextBatch(0)).toBeUndefined();
    });

    vitest.it.each([
        { name: "waits if its limit can be met", holdMs: 4_500 - CALL_MS - 10, outcomes: 0 },
        { name: "ends at once if it can't", holdMs: 4_500 - CALL_MS + 10, outcomes: 1 },
    ])("that was accepted before $name", ({ holdMs, outcomes }) => {
        const state = { holdMs: 0 };
        const scheduler = createScheduler(state);
        scheduler.submit(fixtures.createOrder("a"), 0);
        state.holdMs = holdMs;
        scheduler.expire(0);
        vitest.expect(scheduler.takeOutcomes()).toHaveLength(outcomes);
    });

    vitest.it("counts in the backlog", () => {
        vitest.expect(createScheduler({ holdMs: 0 }).backlogMs).toBe(0);
        const scheduler = createScheduler({ holdMs: 1_000 });
        scheduler.submit(fixtures.createOrder("a"), 0);
        vitest.expect(scheduler.backlogMs).toBeGreaterThan(1_000);
    });
});

vitest.it("pieces that an instance rejects with a hold go to another one, however often", () => {
    let held: readonly string[] = [];
    const scheduler = new schedulers.StageScheduler({
        ...fixtures.services,
        instances: () => fixtures.INSTANCES.filter(instance => !held.includes(instance.id)),
    });
    scheduler.submit(fixtures.createOrder("a"), 0);
    for (let nowMs = 0; nowMs < 1_000; nowMs += 100) {
        const batch = scheduler.nextBatch(nowMs)!;
        vitest.expect(held).not.toContain(batch.instance.id);
        held = [batch.instance.id];
        scheduler.returnBatch(batch, nowMs);
    }
    vitest.expect(scheduler.takeOutcomes()).toEqual([]);
    vitest.expect(scheduler.nextBatch(1_000)!.pieces).toHaveLength(16);
});
