/**
 * Replays a burst that the stage scheduler has to handle: one kind of call at 2.4 times its usual rate for six seconds.
 */
import * as vitest from "vitest";
import * as randoms from "../../common/Random";
import * as stageOrders from "../../common/StageOrder";
import * as batching from "./StageBatching";
import * as estimates from "./StageEstimate";
import * as fixtures from "./StageFixtures";
import * as schedulers from "./StageScheduler";

interface Arrival {
    readonly atMs: number;
    readonly order: stageOrders.StageOrder;
}

interface ReplayResult {
    readonly inTime: number;
    readonly late: number;
    readonly rejected: number;
    readonly longestRejectionMs: number;
}

/** Replays arrivals against instances whose calls take exactly the published time. */
function replay(arrivals: readonly Arrival[], endMs: number): ReplayResult {
    const scheduler = new schedulers.StageScheduler(fixtures.services);
    const running: { batch: batching.StageBatch; endMs: number }[] = [];
    const counts = { inTime: 0, late: 0, rejected: 0, longestRejectionMs: 0 };
    let next = 0;
    for (let nowMs = 0; nowMs < endMs; nowMs++) {
        while (next < arrivals.length && arrivals[next]!.atMs <= nowMs) {
            counts.rejected += scheduler.submit(arrivals[next++]!.order, nowMs).job === undefined ? 1 : 0;
        }
        for (const ended of running.filter(call => call.endMs <= nowMs)) {
            running.splice(running.indexOf(ended), 1);
            scheduler.endBatch(ended.batch, fixtures.resultsOf(ended.batch), nowMs);
        }
        scheduler.expire(nowMs);
        for (let batch = scheduler.nextBatch(nowMs); batch !== undefined; batch = scheduler.nextBatch(nowMs)) {
            running.push({ batch, endMs: nowMs + batch.expectedMs });
        }
        for (const outcome of scheduler.takeOutcomes()) {
            counts.inTime += outcome.reason === "done" && nowMs <= outcome.job.softDeadlineAtMs ? 1 : 0;
            counts.late += outcome.reason === "done" && nowMs > outcome.job.softDeadlineAtMs ? 1 : 0;
            scheduler.recordReleased(outcome.handles ?? []);
        }
        scheduler.recordReleased(scheduler.takeReleasable());
    }
    return counts;
}

/** Counts the orders that would be in time if each had its own call, in order of arrival. */
function replayUnshared(arrivals: readonly Arrival[]): number {
    const freeAtMs = fixtures.INSTANCES.map(() => 0);
    const callMs = estimates.callTimeMs(fixtures.CAPACITY, 16);
    let inTime = 0;
    for (const arrival of arrivals) {
        const index = freeAtMs.indexOf(Math.min(...freeAtMs));
        freeAtMs[index] = Math.max(freeAtMs[index]!, arrival.atMs) + callMs;
        inTime += freeAtMs[index]! - arrival.atMs <= arrival.order.goalMs ? 1 : 0;
    }
    return inTime;
}

/** Poisson arrivals with the rate `perSecond` at each time. */
function generateArrivals(seed: number, endMs: number, perSecond: (atMs: number) => number): Arrival[] {
    const random = randoms.createRandom(seed);
    const arrivals: Arrival[] = [];
    for (let atMs = 0; atMs < endMs; atMs -= Math.log(1 - random()) * 1_000 / perSecond(atMs)) {
        arrivals.push({ atMs, order: fixtures.createOrder(`attempt-${arrivals.length}`) });
    }
    return arrivals;
}

vitest.describe("a burst of 2.4 times the usual rate for six seconds", () => {
    const arrivals = generateArrivals(7, 14_000, atMs => atMs > 4_000 && atMs < 10_000 ? 23 : 9.7);

    vitest.it("completes over 20 % more orders in time than unshared calls, and over 75 % of all", () => {
        const shared = replay(arrivals, 20_000);
        const unshared = replayUnshared(arrivals);
        vitest.expect(shared.inTime).toBeGreaterThan(unshared * 1.2);
        // Full calls sustain 300 pieces a second: 18.7 orders.
        vitest.expect(shared.inTime).toBeGreaterThan(0.75 * arrivals.length);
    });

    vitest.it("ends every order", () => {
        const shared = replay(arrivals, 20_000);
        vitest.expect(shared.inTime + shared.late + shared.rejected).toBe(arrivals.length);
    });
});
