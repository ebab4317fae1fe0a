/**
 * Experiment `stages`: calls with a chain of stages, bursts of one kind and of all, makers that crash and a host that
 * is lost, on makers with little memory for results. The baseline takes all calls in and goes by their limits.
 */
import * as clocks from "../src/common/Clock";
import * as randoms from "../src/common/Random";
import * as stageOrders from "../src/common/StageOrder";
import * as batching from "../src/process/routing/StageBatching";
import * as stageHosts from "../src/process/routing/StageHost";
import * as schedulers from "../src/process/routing/StageScheduler";
import * as experiments from "./Experiment";
import * as traffic from "./StageTraffic";
import * as worlds from "./StageWorld";

const RUN_MS = 50_000;
/** Longest limit of a call, after which all have ended. */
const AFTERWARDS_MS = 15_000;
const BYTES_PER_MB = 1_000_000;
const STEP_MS = 50;
/** Time for which the call itself holds its results. */
const USE_MS = 110;
const RELEASE_MS = 6;
/** Entries; each has an equal part of the calls, one is the host. */
const ENTRIES = 4;
/** Time until the other entries have noticed that the host is lost. */
const HOST_LOSS_MS = 900;
/** Part of the time left within which a caller comes back after a refusal. */
const RETURN_SHARE = 1 / 3;

interface Ended {
    readonly call: traffic.TrafficCall;
    readonly end: "in-time" | "late" | "refused" | "failed";
}

interface OpenCall {
    readonly call: traffic.TrafficCall;
    readonly arrivedMs: number;
    readonly made: stageOrders.ComputedPiece[];
    readonly entry: number;
}

/** How an order is shown to the scheduler. */
type OrderChange = (order: stageOrders.StageOrder) => stageOrders.StageOrder;

/** One run of the traffic against one host after the other. */
class StageTrial {
    readonly clock = new clocks.ManualClock(0);
    readonly world: worlds.StageWorld;
    readonly ends: Ended[] = [];
    private scheduler: schedulers.StageScheduler;
    private host = 0;
    private open = new Map<number, OpenCall>();
    private hostSinceMs = 0;

    constructor(
        private readonly shape: traffic.TrafficShape,
        private readonly random: randoms.Random,
        private readonly present: OrderChange,
    ) {
        this.world = new worlds.StageWorld(this.clock, random);
        this.scheduler = this.createScheduler();
        shape.services.forEach((service, name) => this.world.add(name, service.makers, service.capacity));
    }

    run(calls: readonly traffic.TrafficCall[], endMs: number): void {
        calls.forEach(call => this.clock.schedule(call.atMs, () => this.ask(call, call.atMs, [], true)));
        for (let atMs = 0; atMs < endMs; atMs += STEP_MS) {
            this.clock.advance(STEP_MS);
            this.scheduler.expire(this.clock.now());
            this.pump();
        }
    }

    /** Loses the host with its own calls and what it knew; the next one gets the others' calls. */
    loseHost(): void {
        const lost = [...this.open.values()];
        this.open = new Map();
        const scheduler = this.createScheduler();
        this.scheduler = scheduler;
        const own = this.host;
        this.host = (own + 1) % ENTRIES;
        lost.filter(open => open.entry === own).forEach(open => this.ends.push({ call: open.call, end: "failed" }));
        this.hostSinceMs = this.clock.now() + HOST_LOSS_MS;
        this.clock.schedule(HOST_LOSS_MS, () => {
            lost.filter(open => open.entry !== own).forEach(open =>
                this.ask(open.call, open.arrivedMs, open.made, false, open.entry)
            );
        });
    }

    private createScheduler(): schedulers.StageScheduler {
        return new schedulers.StageScheduler({
            capacity: service => this.shape.services.get(service)?.capacity,
            instances: service => this.world.instances(service),
        });
    }

    private ask(
        call: traffic.TrafficCall,
        arrivedMs: number,
        made: readonly stageOrders.ComputedPiece[],
        mayReturn: boolean,
        entry = Math.floor(this.random() * ENTRIES),
    ): void {
        const nowMs = this.clock.now();
        if (nowMs < this.hostSinceMs) {
            this.clock.schedule(this.hostSinceMs - nowMs, () => this.ask(call, arrivedMs, made, mayReturn, entry));
            return;
        }
        const goalMs = call.order.goalMs - (nowMs - arrivedMs);
        const limitMs = call.order.limitMs - (nowMs - arrivedMs);
        const order = this.present({ ...call.order, goalMs, limitMs, made: [...made] });
        const admission = this.scheduler.submit(order, nowMs);
        if (admission.job !== undefined) {
            this.open.set(admission.job.id, { call, arrivedMs, made: [...made], entry });
            this.pump();
            return;
        }
        const retryAfterMs = admission.kind === "refused" ? admission.retryAfterMs : undefined;
        if (mayReturn && retryAfterMs !== undefined && retryAfterMs <= limitMs * RETURN_SHARE) {
            this.clock.schedule(retryAfterMs, () => this.ask(call, arrivedMs, [], false, entry));
            return;
        }
        this.ends.push({ call, end: "refused" });
    }

    private pump(): void {
        const { scheduler } = this;
        const nowMs = this.clock.now();
        for (let batch = scheduler.nextBatch(nowMs); batch !== undefined; batch = scheduler.nextBatch(nowMs)) {
            this.begin(scheduler, batch);
        }
        scheduler.takeProgress().forEach((made, id) => this.open.get(id)?.made.push(...made));
        for (const outcome of scheduler.takeOutcomes()) {
            const open = this.open.get(outcome.job.id);
            this.open.delete(outcome.job.id);
            if (open === undefined) {
                continue;
            }
            const isInTime = nowMs - open.arrivedMs <= open.call.order.goalMs;
            const end = outcome.handles === undefined ? "failed" : isInTime ? "in-time" : "late";
            this.ends.push({ call: open.call, end });
            this.clock.schedule(USE_MS, () => this.release(outcome.handles ?? []));
        }
        this.release(scheduler.takeReleasable());
    }

    private begin(scheduler: schedulers.StageScheduler, batch: batching.StageBatch): void {
        const reading = this.clock.schedule(stageHosts.INPUTS_READ_MS, () => scheduler.recordInputsRead(batch));
        const pieces = batch.pieces.map(piece => ({
            inputs: piece.job.inputHandles(piece.stage) ?? [],
            bytes: batching.resultBytesOf(piece),
            workFactor: this.open.get(piece.job.id)?.call.workFactors[piece.stage] ?? 1,
        }));
        this.world.run(batch.instance.id, pieces, ends => {
            reading.dispose();
            if (scheduler === this.scheduler) {
                scheduler.endBatch(batch, ends, this.clock.now());
                this.pump();
            }
        });
    }

    private release(handles: readonly string[]): void {
        if (handles.length === 0) {
            return;
        }
        this.clock.schedule(RELEASE_MS, () => {
            this.world.free(handles);
            this.scheduler.recordReleased(handles);
            this.pump();
        });
    }
}

function summarize(ends: readonly Ended[]): experiments.Figures {
    const figures: experiments.Figures = {};
    const owed = ends.reduce((sum, ended) => sum + ended.call.kind.worth, 0);
    figures["credit"] = creditOf(ends) / owed;
    for (const kind of new Set(ends.map(ended => ended.call.kind))) {
        const own = ends.filter(ended => ended.call.kind === kind);
        figures[`${kind.name}Credit`] = creditOf(own) / (own.length * kind.worth);
        figures[`${kind.name}InTime`] = own.filter(ended => ended.end === "in-time").length / own.length;
    }
    for (const end of ["late", "refused", "failed"] as const) {
        figures[end] = ends.filter(ended => ended.end === end).length / ends.length;
    }
    return figures;
}

function creditOf(ends: readonly Ended[]): number {
    return ends.reduce(
        (sum, { call, end }) => sum + (end === "in-time" ? call.kind.worth : end === "late" ? call.kind.lateWorth : 0),
        0,
    );
}

const BURSTS: readonly traffic.Burst[] = [
    { fromMs: 5_700, toMs: 12_600, factor: 2.3, kind: "report" },
    { fromMs: 16_000, toMs: 23_000, factor: 2.3, kind: "query" },
    { fromMs: 25_000, toMs: 29_000, factor: 1.5 },
];

function runTrial(seed: number, present: OrderChange): experiments.Figures {
    const random = randoms.createRandom(seed);
    const calls = traffic.arrivals(traffic.CHAIN, random, RUN_MS, BURSTS).filter(call =>
        call.order.stages.some(stage => stage.pieces > 0)
    );
    const trial = new StageTrial(traffic.CHAIN, random, present);
    trial.clock.schedule(11_000, () => trial.world.crash("accounts-1", 5_100));
    trial.clock.schedule(11_900, () => trial.loseHost());
    trial.clock.schedule(30_000, () => {
        trial.world.loseAnswers("ledger-1", 0.05, 6_000);
        trial.world.loseAnswers("ledger-2", 0.05, 6_000);
    });
    trial.run(calls, RUN_MS + AFTERWARDS_MS);
    const { failures, farBytes } = trial.world;
    const unended = calls.length - trial.ends.length;
    return { ...summarize(trial.ends), ...failures, farMb: farBytes / BYTES_PER_MB, unended };
}

/** Shows every order without a goal: it is taken in, and orders go by their limits. */
function withoutGoal(order: stageOrders.StageOrder): stageOrders.StageOrder {
    return { ...order, goalMs: order.limitMs };
}

/** The experiment; figures are shares of the calls, credit by what calls are worth, and pieces that failed. */
export const stages: experiments.Experiment = {
    name: "stages",
    run(seed) {
        const baseline = runTrial(seed, withoutGoal);
        const policy = runTrial(seed, order => order);
        policy["overBaseline"] = policy["credit"]! - baseline["credit"]!;
        const bounds = { unended: { atMost: 0 }, overBaseline: { atLeast: 0 } };
        return Promise.resolve({ baseline, policy, bounds });
    },
};
