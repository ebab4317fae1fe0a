import * as fc from "fast-check";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as limits from "./AdmissionLimit";
import * as queues from "./FairQueue";

const { describe, expect, it } = vitest;

const SEED = 41;
const SERVICE_MS = 100;
const STEP_MS = 5;
const SWEEP_PERIOD_MS = 20;

interface Outcome {
    readonly team: string;
    /** When the call was admitted or rejected. */
    readonly settledAtMs: number;
    readonly queuedMs: number | undefined;
    readonly code: string;
}

/** Simulates an upstream with given service times behind a queue, driven by a manual clock. */
class QueueSimulation {
    readonly clock = new clocks.ManualClock(0);
    readonly outcomes: Outcome[] = [];
    readonly limit: limits.AdmissionLimit;
    readonly queue: queues.FairQueue;
    shedBelowPriority = 0;
    bounds: limits.ConcurrencyBounds;

    constructor(concurrency: number, weights: Record<string, number> = {}) {
        this.bounds = { coldConcurrency: concurrency, warmConcurrency: concurrency };
        this.limit = new limits.AdmissionLimit(() => this.bounds);
        this.queue = new queues.FairQueue({
            clock: this.clock,
            limit: this.limit,
            weight: team => weights[team] ?? 1,
            shedBelowPriority: () => this.shedBelowPriority,
        });
    }

    enter(
        team: string,
        deadlineMs: number,
        priority = 5,
        serviceMs = SERVICE_MS,
        signal = new AbortController().signal,
    ): void {
        const ticket = { team, priority, deadlineMs: this.clock.now() + deadlineMs, signal };
        void this.queue.enter(ticket).then(admission => {
            const settledAtMs = this.clock.now();
            if (admission.isErr) {
                this.outcomes.push({ team, settledAtMs, queuedMs: undefined, code: admission.error.code.name });
                return;
            }
            expect([ticket.deadlineMs > settledAtMs, signal.aborted]).toEqual([true, false]);
            const { queuedMs, finish } = admission.value;
            this.outcomes.push({ team, settledAtMs, queuedMs, code: "ok" });
            this.clock.schedule(serviceMs, () => finish({ kind: "success", latencyMs: serviceMs }));
        });
    }

    async run(durationMs: number, eachStep: (nowMs: number) => void = () => {}): Promise<void> {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
            eachStep(this.clock.now());
            await flushMicrotasks();
            this.clock.advance(STEP_MS);
            await flushMicrotasks();
        }
    }

    count(team: string, code = "ok"): number {
        return this.outcomes.filter(outcome => outcome.team === team && outcome.code === code).length;
    }
}

async function flushMicrotasks(): Promise<void> {
    for (let turn = 0; turn < 8; turn++) {
        await Promise.resolve();
    }
}

/** Creates a simulation that has learned the service time and whose concurrency is used up by the team `busy`. */
async function createSaturated(concurrency: number): Promise<QueueSimulation> {
    const simulation = new QueueSimulation(concurrency);
    simulation.enter("learning", 1_000);
    await simulation.run(SERVICE_MS + STEP_MS);
    for (let index = 0; index < concurrency; index++) {
        simulation.enter("busy", 10_000);
    }
    await flushMicrotasks();
    simulation.outcomes.length = 0;
    return simulation;
}

describe("FairQueue", () => {
    const rejectionCases: [string, (simulation: QueueSimulation) => void, string][] = [
        [
            "a deadline shorter than the service time",
            simulation => simulation.enter("a", SERVICE_MS - 1),
            "deadline-unreachable",
        ],
        [
            "a deadline shorter than queueing and service time",
            simulation => simulation.enter("a", SERVICE_MS + 10),
            "overloaded",
        ],
        ["a deadline in the past", simulation => simulation.enter("a", -1), "expired"],
        ["a deadline that is not a number", simulation => simulation.enter("a", Number.NaN), "invalid-request"],
        ["an infinite deadline", simulation => simulation.enter("a", Infinity), "invalid-request"],
        ["a priority that is not a number", simulation => simulation.enter("a", 900, Number.NaN), "invalid-request"],
        ["an aborted signal", simulation => simulation.enter("a", 900, 5, 1, AbortSignal.abort()), "cancelled"],
        [
            "low priority under overload",
            simulation => {
                simulation.shedBelowPriority = 5;
                [5, 5, 5, 4].forEach(priority => simulation.enter("a", 5_000, priority));
            },
            "shed",
        ],
        [
            "a drain",
            simulation => {
                simulation.enter("a", 900);
                simulation.queue.failAll(codes.failure(codes.codes.draining, "stop"));
            },
            "draining",
        ],
    ];
    it.each(rejectionCases)("rejects a call for %s", async (_name, act, code) => {
        const simulation = await createSaturated(2);
        const startMs = simulation.clock.now();
        act(simulation);
        await flushMicrotasks();
        const rejected = simulation.outcomes.filter(outcome => outcome.code === code);
        expect(rejected.map(outcome => outcome.settledAtMs)).toEqual([startMs]);
    });

    const hangCases: [string, number, number, number][] = [
        ["with a known service time", SERVICE_MS, 400, 350],
        ["with an unknown service time", 0, 400, 200 + SWEEP_PERIOD_MS + STEP_MS],
    ];
    it.each(hangCases)(
        "rejects before the deadline when the upstream hangs %s",
        async (_name, learnMs, deadlineMs, endMs) => {
            const simulation = learnMs > 0 ? await createSaturated(1) : new QueueSimulation(1);
            await simulation.run(learnMs + STEP_MS);
            simulation.enter("busy", 60_000, 5, 50_000);
            simulation.enter("a", deadlineMs);
            await simulation.run(endMs);
            expect(simulation.count("a", "overloaded")).toBe(1);
        },
    );

    it("rejects waiting calls when the limit falls", async () => {
        const simulation = await createSaturated(8);
        simulation.enter("a", SERVICE_MS * 2.5);
        simulation.bounds = { coldConcurrency: 1, warmConcurrency: 1 };
        await simulation.run(SWEEP_PERIOD_MS);
        expect(simulation.count("a", "overloaded")).toBe(1);
    });

    it("admits the next call in place of a cancelled one", async () => {
        const simulation = await createSaturated(1);
        const controller = new AbortController();
        simulation.enter("a", 5_000, 5, SERVICE_MS, controller.signal);
        simulation.enter("b", 5_000);
        controller.abort();
        expect(simulation.queue.queued).toBe(1);
        await simulation.run(SERVICE_MS + STEP_MS);
        expect([simulation.count("a", "cancelled"), simulation.count("b")]).toEqual([1, 1]);
    });

    it("admits no call that expired while the process was paused", async () => {
        const simulation = new QueueSimulation(1);
        const signal = new AbortController().signal;
        const ticket = { team: "busy", priority: 5, deadlineMs: simulation.clock.now() + 900, signal };
        const admission = await simulation.queue.enter(ticket);
        simulation.enter("a", 300);
        simulation.clock.skip(500);
        admission.map(permit => permit.finish({ kind: "neutral" }));
        await flushMicrotasks();
        expect([simulation.count("a"), simulation.count("a", "expired")]).toEqual([0, 1]);
    });

    it.each([[4_000, "deadline-unreachable"], [6_000, "ok"]])(
        "keeps the learned service time for a limited time: after %d ms without calls, the result is %s",
        async (idleMs, code) => {
            const simulation = await createSaturated(1);
            await simulation.run(SERVICE_MS + idleMs);
            simulation.enter("a", SERVICE_MS / 2);
            await flushMicrotasks();
            expect(simulation.count("a", code)).toBe(1);
        },
    );

    it("sheds only calls of teams that use their share", async () => {
        const simulation = await createSaturated(2);
        simulation.shedBelowPriority = 5;
        [5, 5, 5].forEach(priority => simulation.enter("burst", 5_000, priority));
        simulation.enter("burst", 5_000, 4);
        simulation.enter("quiet", 5_000, 4);
        await simulation.run(4 * SERVICE_MS);
        expect([simulation.count("burst", "shed"), simulation.count("quiet")]).toEqual([1, 1]);
    });

    it("displaces a team's own last call when its queue is full", async () => {
        const simulation = new QueueSimulation(1);
        simulation.enter("quiet", 60_000);
        simulation.enter("quiet", 60_000, 0);
        for (let index = 0; index < 2_001; index++) {
            simulation.enter("burst", 60_000, 1);
        }
        simulation.enter("burst", 60_000, 2);
        await flushMicrotasks();
        expect([simulation.count("burst", "overloaded"), simulation.queue.queued]).toEqual([2, 2_001]);
    });

    it("admits by priority within a team", async () => {
        const simulation = await createSaturated(1);
        const order: number[] = [];
        for (const priority of [1, 5, 9, 5]) {
            const ticket = { team: "a", priority, deadlineMs: 5_000, signal: new AbortController().signal };
            void simulation.queue.enter(ticket).then(admission => {
                order.push(priority);
                admission.map(permit => permit.finish({ kind: "neutral" }));
            });
        }
        await simulation.run(2 * SERVICE_MS);
        expect(order).toEqual([9, 5, 5, 1]);
    });

    it("shares by weight and lends unused shares", async () => {
        const simulation = new QueueSimulation(4, { a: 3, b: 1 });
        for (let index = 0; index < 400; index++) {
            simulation.enter("a", 60_000);
        }
        await simulation.run(1_000);
        expect(simulation.count("a")).toBeGreaterThanOrEqual(40);
        const countBefore = simulation.count("a");
        for (let index = 0; index < 200; index++) {
            simulation.enter("b", 60_000);
        }
        await simulation.run(4_000);
        expect((simulation.count("a") - countBefore) / simulation.count("b")).toBeCloseTo(3, 0);
    });

    it("bounds the delay of a quiet team during bursts of other teams", async () => {
        const scenario = fc.record({
            concurrency: fc.integer({ min: 1, max: 6 }),
            bursts: fc.array(fc.nat(200), { minLength: 4, maxLength: 4 }),
            phaseMs: fc.nat(19).map(steps => steps * STEP_MS),
        });
        await fc.assert(
            fc.asyncProperty(scenario, async ({ concurrency, bursts, phaseMs }) => {
                const simulation = new QueueSimulation(concurrency);
                await simulation.run(2_000, nowMs => {
                    for (let index = 0; index < (nowMs % 500 === 0 ? bursts[nowMs / 500]! : 0); index++) {
                        simulation.enter(`burst-${index % 2}`, 3_000);
                    }
                    if (nowMs % 400 === 300 + phaseMs) {
                        simulation.enter("quiet", 450);
                    }
                });
                const quiet = simulation.outcomes.filter(outcome => outcome.team === "quiet");
                expect(quiet.filter(outcome => outcome.code !== "ok")).toEqual([]);
                // The calls active at its arrival, and then at most one call of each of the two other teams.
                const boundMs = SERVICE_MS * (1 + 2 / concurrency) + STEP_MS;
                expect(Math.max(0, ...quiet.map(outcome => outcome.queuedMs!))).toBeLessThanOrEqual(boundMs);
            }),
            { seed: SEED, numRuns: 30 },
        );
    });

    it("serves a burst of one team and rejects the calls that would miss their deadline", async () => {
        const simulation = new QueueSimulation(4);
        await simulation.run(8_000, nowMs => {
            for (let index = 0; index < (nowMs % 1_000 === 0 ? 300 : 0); index++) {
                simulation.enter("burst", 3_000);
            }
            if (nowMs % SERVICE_MS === 50) {
                simulation.enter("quiet", 300);
            }
        });
        const quiet = simulation.outcomes.filter(outcome => outcome.team === "quiet");
        expect(quiet.filter(outcome => outcome.code !== "ok")).toEqual([]);
        expect(Math.max(...quiet.map(outcome => outcome.queuedMs!))).toBeLessThanOrEqual(SERVICE_MS + STEP_MS);
        expect(simulation.count("burst")).toBeGreaterThan(200);
        expect(simulation.count("burst", "overloaded")).toBeGreaterThan(0);
    });

    it("admits no expired or cancelled call and settles each at most one sweep period after its deadline", async () => {
        const call = fc.record({
            team: fc.constantFrom("a", "b", "c"),
            priority: fc.nat(9),
            deadlineMs: fc.integer({ min: 20, max: 900 }),
            serviceMs: fc.integer({ min: 10, max: 200 }),
            waitMs: fc.constantFrom(0, 0, 0, 0, 20, 50),
            abort: fc.constantFrom(false, false, false, true),
        });
        await fc.assert(
            fc.asyncProperty(fc.array(call, { maxLength: 120 }), async calls => {
                const simulation = new QueueSimulation(3);
                const deadlinesMs: number[] = [];
                for (const { team, priority, deadlineMs, serviceMs, waitMs, abort } of calls) {
                    const controller = new AbortController();
                    deadlinesMs.push(simulation.clock.now() + deadlineMs);
                    simulation.enter(team, deadlineMs, priority, serviceMs, controller.signal);
                    if (abort) {
                        controller.abort();
                    }
                    await simulation.run(waitMs);
                    expect(simulation.limit.active).toBeLessThanOrEqual(simulation.limit.limit);
                }
                await simulation.run(1_000);
                expect([simulation.outcomes.length, simulation.queue.queued]).toEqual([calls.length, 0]);
                const settleTimesMs = simulation.outcomes.map(outcome => outcome.settledAtMs).sort((a, b) => a - b);
                deadlinesMs.sort((a, b) => a - b).forEach((deadlineMs, index) => {
                    expect(settleTimesMs[index]).toBeLessThanOrEqual(deadlineMs + SWEEP_PERIOD_MS);
                });
            }),
            { seed: SEED, numRuns: 40 },
        );
    });
});
