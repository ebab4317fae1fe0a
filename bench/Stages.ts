/**
 * Experiment `stages`: calls with a chain of stages, with bursts of one kind and of all kinds, crashes of a stage
 * worker and of the stage host, and little result memory. The baseline ignores soft deadlines: it admits all calls and
 * schedules by hard deadlines.
 */
import * as clocks from "../src/common/Clock";
import * as randoms from "../src/common/Random";
import * as stageOrders from "../src/common/StageOrder";
import * as batching from "../src/process/stages/StageBatching";
import * as stageHosts from "../src/process/stages/StageHost";
import * as schedulers from "../src/process/stages/StageScheduler";
import * as experiments from "./Experiment";
import * as traffic from "./StageTraffic";
import * as worlds from "./StageWorld";

const RUN_MS = 50_000;
/** Longer than any hard deadline, so that all calls end. */
const DRAIN_MS = 15_000;
const BYTES_PER_MB = 1_000_000;
const STEP_MS = 50;
/** Time for which a call uses its results before they are released. */
const RESULT_USE_MS = 110;
const RELEASE_DELAY_MS = 6;
/** Entries; each receives an equal share of the calls, one is the stage host. */
const ENTRIES = 4;
/** Time until the other entries have detected the loss of the host. */
const HOST_LOSS_DETECTION_MS = 900;
/** A caller retries after a rejection only if the wait is within this share of the time until its hard deadline. */
const RETRY_SHARE = 1 / 3;

interface EndedCall {
    readonly call: traffic.TrafficCall;
    readonly outcome: "in-time" | "late" | "refused" | "failed";
}

interface OpenCall {
    readonly call: traffic.TrafficCall;
    readonly arrivedMs: number;
    readonly computed: stageOrders.ComputedPiece[];
    readonly entry: number;
}

/** Transforms an order before it is submitted to the scheduler. */
type OrderTransform = (order: stageOrders.StageOrder) => stageOrders.StageOrder;

/** One run of the traffic; the stage host may be lost and replaced. */
class StageTrial {
    readonly clock = new clocks.ManualClock(0);
    readonly workers: worlds.StageWorld;
    readonly endedCalls: EndedCall[] = [];
    private scheduler: schedulers.StageScheduler;
    private hostIndex = 0;
    private openCalls = new Map<number, OpenCall>();
    private hostAvailableAtMs = 0;

    constructor(
        private readonly model: traffic.TrafficModel,
        private readonly random: randoms.Random,
        private readonly transformOrder: OrderTransform,
    ) {
        this.workers = new worlds.StageWorld(this.clock, random);
        this.scheduler = this.createScheduler();
        model.services.forEach((service, name) => this.workers.addService(name, service.workers, service.capacity));
    }

    run(calls: readonly traffic.TrafficCall[], endMs: number): void {
        calls.forEach(call =>
            this.clock.schedule(call.arrivesAtMs, () => this.submit(call, call.arrivesAtMs, [], true))
        );
        for (let atMs = 0; atMs < endMs; atMs += STEP_MS) {
            this.clock.advance(STEP_MS);
            this.scheduler.expire(this.clock.now());
            this.dispatch();
        }
    }

    /** Stops the host: its own calls fail, its state is lost, and the next host receives the other entries' calls. */
    loseHost(): void {
        const interrupted = [...this.openCalls.values()];
        this.openCalls = new Map();
        const scheduler = this.createScheduler();
        this.scheduler = scheduler;
        const lostHost = this.hostIndex;
        this.hostIndex = (lostHost + 1) % ENTRIES;
        interrupted.filter(open => open.entry === lostHost).forEach(open =>
            this.endedCalls.push({ call: open.call, outcome: "failed" })
        );
        this.hostAvailableAtMs = this.clock.now() + HOST_LOSS_DETECTION_MS;
        this.clock.schedule(HOST_LOSS_DETECTION_MS, () => {
            interrupted.filter(open => open.entry !== lostHost).forEach(open =>
                this.submit(open.call, open.arrivedMs, open.computed, false, open.entry)
            );
        });
    }

    private createScheduler(): schedulers.StageScheduler {
        return new schedulers.StageScheduler({
            capacity: service => this.model.services.get(service)?.capacity,
            instances: service => this.workers.runningInstances(service),
            holdMs: () => 0,
        });
    }

    private submit(
        call: traffic.TrafficCall,
        arrivedMs: number,
        computed: readonly stageOrders.ComputedPiece[],
        canRetry: boolean,
        entry = Math.floor(this.random() * ENTRIES),
    ): void {
        const nowMs = this.clock.now();
        if (nowMs < this.hostAvailableAtMs) {
            this.clock.schedule(
                this.hostAvailableAtMs - nowMs,
                () => this.submit(call, arrivedMs, computed, canRetry, entry),
            );
            return;
        }
        const goalMs = call.order.goalMs - (nowMs - arrivedMs);
        const limitMs = call.order.limitMs - (nowMs - arrivedMs);
        const order = this.transformOrder({ ...call.order, goalMs, limitMs, made: [...computed] });
        const admission = this.scheduler.submit(order, nowMs);
        if (admission.job !== undefined) {
            this.openCalls.set(admission.job.id, { call, arrivedMs, computed: [...computed], entry });
            this.dispatch();
            return;
        }
        const retryAfterMs = admission.kind === "refused" ? admission.retryAfterMs : undefined;
        if (canRetry && retryAfterMs !== undefined && retryAfterMs <= limitMs * RETRY_SHARE) {
            this.clock.schedule(retryAfterMs, () => this.submit(call, arrivedMs, [], false, entry));
            return;
        }
        this.endedCalls.push({ call, outcome: "refused" });
    }

    private dispatch(): void {
        const { scheduler } = this;
        const nowMs = this.clock.now();
        for (let batch = scheduler.nextBatch(nowMs); batch !== undefined; batch = scheduler.nextBatch(nowMs)) {
            this.startBatch(scheduler, batch);
        }
        scheduler.takeProgress().forEach((pieces, id) => this.openCalls.get(id)?.computed.push(...pieces));
        for (const jobOutcome of scheduler.takeOutcomes()) {
            const open = this.openCalls.get(jobOutcome.job.id);
            this.openCalls.delete(jobOutcome.job.id);
            if (open === undefined) {
                continue;
            }
            const isInTime = nowMs - open.arrivedMs <= open.call.order.goalMs;
            const outcome = jobOutcome.handles === undefined ? "failed" : isInTime ? "in-time" : "late";
            this.endedCalls.push({ call: open.call, outcome });
            this.clock.schedule(RESULT_USE_MS, () => this.release(jobOutcome.handles ?? []));
        }
        this.release(scheduler.takeReleasable());
    }

    private startBatch(scheduler: schedulers.StageScheduler, batch: batching.StageBatch): void {
        const inputsReadTimer = this.clock.schedule(stageHosts.INPUTS_READ_MS, () => scheduler.recordInputsRead(batch));
        const pieces = batch.pieces.map(piece => ({
            inputs: piece.job.inputHandles(piece.stage) ?? [],
            resultBytes: batching.resultBytesOf(piece),
            workFactor: this.openCalls.get(piece.job.id)?.call.workFactors[piece.stage] ?? 1,
        }));
        this.workers.run(batch.instance.id, pieces, outcomes => {
            inputsReadTimer.dispose();
            if (scheduler === this.scheduler) {
                scheduler.endBatch(batch, outcomes, this.clock.now());
                this.dispatch();
            }
        });
    }

    private release(handles: readonly string[]): void {
        if (handles.length === 0) {
            return;
        }
        this.clock.schedule(RELEASE_DELAY_MS, () => {
            this.workers.release(handles);
            this.scheduler.recordReleased(handles);
            this.dispatch();
        });
    }
}

function summarize(endedCalls: readonly EndedCall[]): experiments.Figures {
    const figures: experiments.Figures = {};
    const totalValue = endedCalls.reduce((sum, ended) => sum + ended.call.kind.value, 0);
    figures["credit"] = sumCredit(endedCalls) / totalValue;
    for (const kind of new Set(endedCalls.map(ended => ended.call.kind))) {
        const callsOfKind = endedCalls.filter(ended => ended.call.kind === kind);
        figures[`${kind.name}Credit`] = sumCredit(callsOfKind) / (callsOfKind.length * kind.value);
        figures[`${kind.name}InTime`] = callsOfKind.filter(ended => ended.outcome === "in-time").length
            / callsOfKind.length;
    }
    for (const outcome of ["late", "refused", "failed"] as const) {
        figures[outcome] = endedCalls.filter(ended => ended.outcome === outcome).length / endedCalls.length;
    }
    return figures;
}

function sumCredit(endedCalls: readonly EndedCall[]): number {
    return endedCalls.reduce(
        (sum, { call, outcome }) =>
            sum + (outcome === "in-time" ? call.kind.value : outcome === "late" ? call.kind.lateValue : 0),
        0,
    );
}

const BURSTS: readonly traffic.Burst[] = [
    { fromMs: 5_700, toMs: 12_600, factor: 2.3, kind: "report" },
    { fromMs: 16_000, toMs: 23_000, factor: 2.3, kind: "query" },
    { fromMs: 25_000, toMs: 29_000, factor: 1.5 },
];

function runTrial(seed: number, transformOrder: OrderTransform): experiments.Figures {
    const random = randoms.createRandom(seed);
    const calls = traffic.createArrivals(traffic.CHAIN_TRAFFIC, random, RUN_MS, BURSTS).filter(call =>
        call.order.stages.some(stage => stage.pieces > 0)
    );
    const trial = new StageTrial(traffic.CHAIN_TRAFFIC, random, transformOrder);
    trial.clock.schedule(11_000, () => trial.workers.crash("accounts-1", 5_100));
    trial.clock.schedule(11_900, () => trial.loseHost());
    trial.clock.schedule(30_000, () => {
        trial.workers.loseAnswers("ledger-1", 0.05, 6_000);
        trial.workers.loseAnswers("ledger-2", 0.05, 6_000);
    });
    trial.run(calls, RUN_MS + DRAIN_MS);
    const { failures, crossDomainBytes } = trial.workers;
    const unended = calls.length - trial.endedCalls.length;
    return { ...summarize(trial.endedCalls), ...failures, farMb: crossDomainBytes / BYTES_PER_MB, unended };
}

/** Removes the soft deadline, so that every order is admitted and scheduled by its hard deadline. */
function withoutSoftDeadline(order: stageOrders.StageOrder): stageOrders.StageOrder {
    return { ...order, goalMs: order.limitMs };
}

/**
 * The experiment. Figures are shares of the calls or of their value, counts of failed pieces and unended calls, and
 * megabytes between domains.
 */
export const stages: experiments.Experiment = {
    name: "stages",
    run(seed) {
        const baseline = runTrial(seed, withoutSoftDeadline);
        const policy = runTrial(seed, order => order);
        policy["overBaseline"] = policy["credit"]! - baseline["credit"]!;
        const bounds = { unended: { atMost: 0 }, overBaseline: { atLeast: 0 } };
        return Promise.resolve({ baseline, policy, bounds });
    },
};
