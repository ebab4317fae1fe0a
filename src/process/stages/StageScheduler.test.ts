import * as vitest from "vitest";
import * as stageOrders from "../../common/StageOrder";
import * as batching from "./StageBatching";
import * as estimates from "./StageEstimate";
import * as fixtures from "./StageFixtures";
import * as schedulers from "./StageScheduler";

vitest.describe("calls", () => {
    vitest.it("are shared by pieces of different orders", () => {
        const scheduler = new schedulers.StageScheduler(fixtures.services);
        for (let index = 0; index < 6; index++) {
            scheduler.submit(fixtures.createOrder(`attempt-${index}`), 0);
        }
        const batches = fixtures.INSTANCES.map(() => scheduler.nextBatch(0)!);
        vitest.expect(scheduler.nextBatch(0)).toBeUndefined();
        vitest.expect(batches.every(batch => batch.pieces.length <= fixtures.CAPACITY.batch)).toBe(true);
        vitest.expect(batches.at(-1)!.pieces.length).toBe(fixtures.CAPACITY.batch);
        vitest.expect(new Set(batches.at(-1)!.pieces.map(piece => piece.job.id)).size).toBe(2);
    });

    const orders: readonly {
        readonly name: string;
        readonly first: Partial<stageOrders.StageOrder>;
        readonly second: Partial<stageOrders.StageOrder>;
    }[] = [
        { name: "a more urgent order", first: { priority: 2 }, second: { priority: 0 } },
        { name: "an order whose soft deadline is nearer", first: { goalMs: 1_500 }, second: { goalMs: 900 } },
        { name: "an order that can be in time", first: { goalMs: 10, priority: 0 }, second: { priority: 2 } },
    ];
    vitest.it.each(orders)("run $name first", ({ first, second }) => {
        const scheduler = new schedulers.StageScheduler({
            ...fixtures.services,
            instances: () => [fixtures.INSTANCES[0]!],
        });
        scheduler.submit(fixtures.createOrder("first", first), 0);
        scheduler.submit(fixtures.createOrder("second", second), 0);
        vitest.expect(scheduler.nextBatch(0)!.pieces[0]!.job.order.attempt).toBe("second");
    });

    vitest.it("leave out pieces whose results don't fit into the worker's result memory", () => {
        const smallCapacity = { ...fixtures.CAPACITY, resultMemoryBytes: 70_000 };
        const scheduler = new schedulers.StageScheduler({
            ...fixtures.services,
            capacity: () => smallCapacity,
            instances: () => [fixtures.INSTANCES[0]!],
        });
        scheduler.submit(fixtures.createOrder("attempt"), 0);
        vitest.expect(scheduler.nextBatch(0)!.pieces).toHaveLength(10);
    });

    vitest.it("compute large results in the failure domain where they are read, while there is time", () => {
        const stages = [{ service: "ledger", after: [], pieces: 2, resultBytes: 300_000 }];
        const capacity = { ...fixtures.CAPACITY, resultMemoryBytes: 10_000_000 };
        const scheduler = new schedulers.StageScheduler({ ...fixtures.services, capacity: () => capacity });
        scheduler.submit(fixtures.createOrder("attempt", { stages, failureDomain: "c" }), 0);
        vitest.expect(scheduler.nextBatch(0)!.instance.failureDomain).toBe("c");
    });

    vitest.it("are retried on another instance when overdue, and the first result counts", () => {
        const scheduler = new schedulers.StageScheduler(fixtures.services);
        scheduler.submit(fixtures.createOrder("attempt"), 0);
        const first = scheduler.nextBatch(0)!;
        scheduler.expire(first.expectedMs * 2 + 200);
        const second = scheduler.nextBatch(first.expectedMs * 2 + 200)!;
        vitest.expect(second.instance.id).not.toBe(first.instance.id);
        scheduler.endBatch(second, fixtures.resultsOf(second), 900);
        vitest.expect(scheduler.takeOutcomes()).toMatchObject([{ reason: "done" }]);
        scheduler.endBatch(first, [...first.pieces.keys()].map(index => ({ handle: `late-${index}` })), 950);
        vitest.expect(scheduler.takeReleasable()).toHaveLength(16);
    });

    vitest.it("aren't started for an order that can't meet its hard deadline, which ends as late", () => {
        const scheduler = new schedulers.StageScheduler({
            ...fixtures.services,
            instances: () => [fixtures.INSTANCES[0]!],
        });
        scheduler.submit(fixtures.createOrder("first", { limitMs: 9_000 }), 0);
        scheduler.submit(fixtures.createOrder("second", { priority: 1, limitMs: 4_000 }), 0);
        scheduler.nextBatch(0);
        scheduler.expire(3_000);
        vitest.expect(scheduler.takeOutcomes()).toEqual([]);
        scheduler.expire(3_900);
        vitest.expect(scheduler.takeOutcomes()).toMatchObject([{
            reason: "late",
            job: { order: { attempt: "second" } },
        }]);
    });

    vitest.it("that are overdue occupy no slot, and reserve result memory only until their results expire", () => {
        const smallCapacity = { ...fixtures.CAPACITY, resultMemoryBytes: 110_000 };
        const scheduler = new schedulers.StageScheduler({
            ...fixtures.services,
            capacity: () => smallCapacity,
            instances: () => [fixtures.INSTANCES[0]!],
        });
        scheduler.submit(fixtures.createOrder("attempt", { limitMs: 20_000, goalMs: 15_000 }), 0);
        const lost = scheduler.nextBatch(0)!;
        vitest.expect(lost.pieces).toHaveLength(16);
        scheduler.expire(1_000);
        vitest.expect(scheduler.nextBatch(1_000)).toBeUndefined(); // The lost call's results still fill the memory.
        scheduler.expire(4_500);
        vitest.expect(scheduler.nextBatch(4_500)!.pieces).toHaveLength(16);
    });

    vitest.it("use only the memory that untracked results leave free, once a worker has reported full memory", () => {
        const scheduler = new schedulers.StageScheduler({
            ...fixtures.services,
            instances: () => [fixtures.INSTANCES[0]!],
        });
        scheduler.submit(fixtures.createOrder("first"), 0);
        scheduler.submit(fixtures.createOrder("second"), 0);
        const first = scheduler.nextBatch(0)!;
        const results = fixtures.resultsOf(first).map((result, index) =>
            index < 6 ? result : { failure: "no-room" as const }
        );
        scheduler.endBatch(first, results, 200);
        vitest.expect(scheduler.nextBatch(400)).toBeUndefined();
        scheduler.recordReleased(fixtures.resultsOf(first).map(result => result.handle));
        vitest.expect(scheduler.nextBatch(400)!.pieces).toHaveLength(6);
    });

    vitest.it("run orders that will miss their soft deadline last, even before that deadline has passed", () => {
        const scheduler = new schedulers.StageScheduler({
            ...fixtures.services,
            instances: () => [fixtures.INSTANCES[0]!],
        });
        scheduler.submit(fixtures.createOrder("first", { goalMs: 500 }), 0);
        scheduler.submit(fixtures.createOrder("second", { goalMs: 1_500 }), 0);
        vitest.expect(scheduler.nextBatch(400)!.pieces[0]!.job.order.attempt).toBe("second");
    });

    vitest.it("that return no response are retried", () => {
        const scheduler = new schedulers.StageScheduler(fixtures.services);
        scheduler.submit(fixtures.createOrder("attempt"), 0);
        scheduler.endBatch(scheduler.nextBatch(0)!, undefined, 20);
        const retry = scheduler.nextBatch(20)!;
        scheduler.endBatch(retry, fixtures.resultsOf(retry), 300);
        vitest.expect(scheduler.takeOutcomes()).toMatchObject([{ reason: "done" }]);
    });
});

vitest.describe("dependent stages", () => {
    const stages = [
        { service: "archive", after: [], pieces: 2, resultBytes: 10 },
        { service: "ledger", after: [0], pieces: 3, resultBytes: 10 },
    ];

    vitest.it("read all results of their predecessors, which are then released", () => {
        const scheduler = new schedulers.StageScheduler(fixtures.services);
        scheduler.submit(fixtures.createOrder("attempt", { stages }), 0);
        const first = scheduler.nextBatch(0)!;
        vitest.expect(first.service).toBe("archive");
        vitest.expect(scheduler.nextBatch(0)).toBeUndefined();
        scheduler.endBatch(first, fixtures.resultsOf(first), 200);
        const second = scheduler.nextBatch(200)!;
        const { job } = second.pieces[0]!;
        vitest.expect(job.inputHandles(1)).toEqual(fixtures.resultsOf(first).map(result => result.handle));
        scheduler.endBatch(second, fixtures.resultsOf(second), 400);
        vitest.expect(scheduler.takeReleasable()).toEqual(fixtures.resultsOf(first).map(result => result.handle));
        vitest.expect(scheduler.takeOutcomes()[0]!.handles).toEqual(
            fixtures.resultsOf(second).map(result => result.handle),
        );
    });

    vitest.describe("when the worker that holds their inputs is short of memory", () => {
        const wideStages = [
            { service: "archive", after: [], pieces: 3, resultBytes: 30_000 },
            { service: "ledger", after: [0], pieces: 1, resultBytes: 10 },
        ];
        const smallCapacity = { ...fixtures.CAPACITY, resultMemoryBytes: 100_000 };

        /** One order whose last call is in flight, and one whose first call lacks result memory. */
        function startTwoOrders(): {
            scheduler: schedulers.StageScheduler;
            last: batching.StageBatch;
            inputs: string[];
        } {
            const instances = (service: string) => [fixtures.INSTANCES[service === "archive" ? 0 : 1]!];
            const scheduler = new schedulers.StageScheduler({
                capacity: () => smallCapacity,
                instances,
                holdMs: () => 0,
            });
            scheduler.submit(fixtures.createOrder("first", { stages: wideStages }), 0);
            const first = scheduler.nextBatch(0)!;
            scheduler.endBatch(first, fixtures.resultsOf(first), 200);
            const last = scheduler.nextBatch(200)!;
            scheduler.submit(fixtures.createOrder("second", { stages: wideStages }), 200);
            return { scheduler, last, inputs: fixtures.resultsOf(first).map(result => result.handle) };
        }

        vitest.it("release inputs that were read", () => {
            const { scheduler, last, inputs } = startTwoOrders();
            vitest.expect(scheduler.nextBatch(250)).toBeUndefined();
            vitest.expect(scheduler.takeReleasable()).toEqual([]);
            scheduler.recordInputsRead(last);
            scheduler.nextBatch(260);
            vitest.expect(scheduler.takeReleasable()).toEqual(inputs);
        });

        vitest.it("keep inputs of a call that may be queued behind an overdue one", () => {
            const { scheduler, last, inputs } = startTwoOrders();
            scheduler.expire(1_000);
            const retry = scheduler.nextBatch(1_000)!;
            vitest.expect(retry.instance).toBe(last.instance);
            scheduler.recordInputsRead(retry);
            scheduler.nextBatch(1_060);
            vitest.expect(scheduler.takeReleasable()).not.toContain(inputs[0]);
        });

        vitest.it("compute released inputs again when the piece that had read them fails", () => {
            const { scheduler, last } = startTwoOrders();
            scheduler.recordInputsRead(last);
            scheduler.nextBatch(260);
            scheduler.recordReleased(scheduler.takeReleasable());
            scheduler.endBatch(last, [{ failure: "error" }], 400);
            const retry = scheduler.nextBatch(600)!;
            vitest.expect(retry.service).toBe("archive");
            vitest.expect(retry.pieces.map(piece => piece.job.order.attempt)).toEqual(["first", "first", "first"]);
        });
    });

    vitest.it("compute expired inputs again", () => {
        let unavailable = "";
        const instances = (service: string) => service === unavailable ? [] : fixtures.INSTANCES;
        const scheduler = new schedulers.StageScheduler({ ...fixtures.services, instances });
        scheduler.submit(fixtures.createOrder("attempt", { stages, goalMs: 9_000, limitMs: 9_000 }), 0);
        unavailable = "ledger";
        const first = scheduler.nextBatch(0)!;
        scheduler.endBatch(first, fixtures.resultsOf(first), 200);
        scheduler.expire(4_000);
        vitest.expect(scheduler.nextBatch(4_000)).toBeUndefined();
        scheduler.expire(4_150);
        vitest.expect(scheduler.nextBatch(4_150)!.service).toBe("archive");
    });

    vitest.it.each([
        { name: "that leaves", leaving: "ledger-a", isRecomputed: true },
        { name: "whose neighbour leaves", leaving: "ledger-b", isRecomputed: false },
    ])("compute inputs again in time that wait on a worker $name, on another one", ({ leaving, isRecomputed }) => {
        const state = { usableUntilMs: Infinity, nowMs: 0, unavailable: "" };
        const scheduler = new schedulers.StageScheduler({
            ...fixtures.services,
            instances: service =>
                fixtures.INSTANCES.filter(({ id }) =>
                    service !== state.unavailable && (id !== leaving || state.usableUntilMs === Infinity)
                ),
            areResultsUsable: (instance, afterMs) =>
                instance !== leaving || state.nowMs + afterMs < state.usableUntilMs,
        });
        scheduler.submit(fixtures.createOrder("attempt", { stages, goalMs: 9_000, limitMs: 9_000 }), 0);
        state.unavailable = "ledger";
        const first = scheduler.nextBatch(0)!;
        vitest.expect(first.instance.id).toBe("ledger-a");
        scheduler.endBatch(first, fixtures.resultsOf(first), 200);
        state.usableUntilMs = 1_700;
        state.nowMs = 1_500;
        scheduler.expire(state.nowMs);
        vitest.expect(scheduler.nextBatch(state.nowMs)).toBeUndefined(); // The inputs are still of use.
        state.nowMs = 1_650;
        scheduler.expire(state.nowMs);
        const again = scheduler.nextBatch(state.nowMs);
        vitest.expect(again?.service).toBe(isRecomputed ? "archive" : undefined);
        vitest.expect(again?.instance.id).not.toBe("ledger-a");
    });

    vitest.it("compute lost inputs again", () => {
        const scheduler = new schedulers.StageScheduler(fixtures.services);
        scheduler.submit(fixtures.createOrder("attempt", { stages }), 0);
        const first = scheduler.nextBatch(0)!;
        scheduler.endBatch(first, fixtures.resultsOf(first), 200);
        const second = scheduler.nextBatch(200)!;
        scheduler.endBatch(second, second.pieces.map(() => ({ failure: "input-gone" as const })), 300);
        vitest.expect(scheduler.nextBatch(500)!.service).toBe("archive");
    });
});

vitest.describe("an order that another host has started", () => {
    vitest.it("continues with the results computed so far", () => {
        const scheduler = new schedulers.StageScheduler(fixtures.services);
        const stages = [
            { service: "archive", after: [], pieces: 2, resultBytes: 10 },
            { service: "ledger", after: [0], pieces: 1, resultBytes: 10 },
        ];
        const made = [0, 1].map(piece => ({
            stage: 0,
            piece,
            handle: `made-${piece}`,
            instance: "ledger-a",
            failureDomain: "a",
        }));
        scheduler.submit(fixtures.createOrder("attempt", { stages, made }), 0);
        const batch = scheduler.nextBatch(0)!;
        vitest.expect(batch.service).toBe("ledger");
        vitest.expect(batch.pieces[0]!.job.inputHandles(1)).toEqual(["made-0", "made-1"]);
    });
});

vitest.describe("admission", () => {
    const cases: readonly {
        readonly name: string;
        readonly inTimeEstimateMs: number;
        readonly lateEstimateMs: number;
        readonly kind: estimates.Admission["kind"];
    }[] = [
        { name: "in time", inTimeEstimateMs: 1_000, lateEstimateMs: 3_000, kind: "in-time" },
        { name: "late, with capacity to spare", inTimeEstimateMs: 1_600, lateEstimateMs: 2_000, kind: "late" },
        { name: "late, without capacity to spare", inTimeEstimateMs: 1_600, lateEstimateMs: 4_400, kind: "refused" },
        { name: "without any instance", inTimeEstimateMs: Infinity, lateEstimateMs: Infinity, kind: "refused" },
    ];
    vitest.it.each(cases)("$name", ({ inTimeEstimateMs, lateEstimateMs, kind }) => {
        vitest.expect(estimates.admit(inTimeEstimateMs, lateEstimateMs, 1_500, 4_500).kind).toBe(kind);
    });
});
