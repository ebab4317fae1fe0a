/**
 * Experiment `routing`: two stages, upstreams of unequal speed, delayed load reports, and cache events of which some
 * are lost. Compares the upstream choice with round robin and with the least reported load.
 */
import * as distributions from "pure-rand/distribution/uniformFloat32";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as clocks from "../src/common/Clock";
import * as baselines from "../src/process/choice/BaselineChoices";
import * as choices from "../src/process/choice/UpstreamChoice";
import * as experiments from "./Experiment";
import * as engines from "./QueueingEngine";

const REQUEST_COUNT = 6_000;
const ENTRY_COUNT = 3;
const MEAN_ARRIVAL_INTERVAL_MS = 22;
const REPORT_INTERVAL_MS = 1_000;
const REPORT_LAG_MS = 5_000;
const CACHE_EVENT_DELAY_MS = 2_000;
const CACHE_EVENT_LOSS_SHARE = 0.2;
const PREFIX_COUNT = 80;
const MAX_CACHED_PREFIXES = 16;
const ENGINE_SPEEDS = [1, 0.7, 1.3, 1, 0.6, 1.2, 1, 0.8];
const MAX_BATCH_SIZE = 4;
const STEP_MS = 100;
const STAGES = ["encode", "generate"] as const;
const PREFIX_SHARES = { prefixHeavy: 0.9, mixed: 0.4 };

/** Chooses instances for one entry, and receives the feedback for its choices. */
interface Router {
    choose: baselines.ChoiceFunction;
    recordSuccess(instance: string, upstreamMs: number, totalMs: number): void;
    recordPrefix(instance: string, prefix: string, isCached: boolean): void;
}

type RouterFactory = (clock: clocks.Clock, random: () => number) => Router;

const routers: Record<string, RouterFactory> = {
    policy: (clock, random) => new choices.UpstreamChoice({ clock, random, failureDomain: "d0", region: "r0" }),
    RoundRobin: () => createRouterWithoutFeedback(baselines.createRoundRobin()),
    LeastReported: () => createRouterWithoutFeedback(baselines.createLeastReportedLoad()),
};

function createRouterWithoutFeedback(choose: baselines.ChoiceFunction): Router {
    return { choose, recordSuccess: () => undefined, recordPrefix: () => undefined };
}

/** One run of a workload. */
class WorkloadRun {
    private readonly clock = new clocks.ManualClock();
    private readonly workRandom: () => number;
    private readonly routingRandom: () => number;
    private readonly pools: ReadonlyMap<string, readonly engines.QueueingEngine[]>;
    private readonly entries: readonly Router[];
    private reportedLoads = new Map<string, choices.Candidate["load"]>();
    private reportedAtMs = -Infinity;
    /** Send times of the unanswered calls, by entry and instance. */
    private readonly unansweredTimesMs = new Map<string, number[]>();
    private readonly responseTimesMs: number[] = [];

    constructor(seed: number, private readonly prefixShare: number, createRouter: RouterFactory) {
        this.workRandom = createRandom(seed);
        this.routingRandom = createRandom(seed + 1);
        this.pools = new Map(STAGES.map(stage => [stage, this.createPool(stage)]));
        this.entries = Array.from({ length: ENTRY_COUNT }, () => createRouter(this.clock, this.routingRandom));
        clocks.every(this.clock, REPORT_INTERVAL_MS, () => this.scheduleReport());
    }

    /** Runs all requests to completion. */
    measure(): experiments.Figures {
        this.startRequest(0);
        while (this.responseTimesMs.length < REQUEST_COUNT) {
            this.clock.advance(STEP_MS);
        }
        const sorted = this.responseTimesMs.sort((a, b) => a - b);
        const costs = STAGES.map(stage => this.pools.get(stage)!.reduce((sum, engine) => sum + engine.costMs, 0));
        return { p99Ms: sorted[Math.floor(REQUEST_COUNT * 0.99)]!, encodeCostMs: costs[0]!, generateCostMs: costs[1]! };
    }

    private createPool(stage: string): engines.QueueingEngine[] {
        return ENGINE_SPEEDS.map((speed, index) => {
            const onCache = (prefix: string, isCached: boolean): void =>
                this.publishCacheEvent(`${stage}${index}`, prefix, isCached);
            const options = {
                clock: this.clock,
                speed,
                maxBatchSize: MAX_BATCH_SIZE,
                maxCachedPrefixes: MAX_CACHED_PREFIXES,
                onCache,
            };
            return new engines.QueueingEngine(options);
        });
    }

    private publishCacheEvent(instance: string, prefix: string, isCached: boolean): void {
        for (const entry of this.entries) {
            if (this.routingRandom() >= CACHE_EVENT_LOSS_SHARE) {
                this.clock.schedule(CACHE_EVENT_DELAY_MS, () => entry.recordPrefix(instance, prefix, isCached));
            }
        }
    }

    private scheduleReport(): void {
        const createdAtMs = this.clock.now();
        const loads = new Map<string, choices.Candidate["load"]>();
        for (const [stage, pool] of this.pools) {
            pool.forEach((engine, index) => loads.set(`${stage}${index}`, engine.load));
        }
        this.clock.schedule(REPORT_LAG_MS, () => {
            this.reportedLoads = loads;
            this.reportedAtMs = createdAtMs;
        });
    }

    private startRequest(index: number): void {
        if (index === REQUEST_COUNT) {
            return;
        }
        const startMs = this.clock.now();
        const work = this.drawWork();
        const entry = index % ENTRY_COUNT;
        this.runStage(entry, "encode", work.encode, () => {
            this.runStage(
                entry,
                "generate",
                work.generate,
                () => this.responseTimesMs.push(this.clock.now() - startMs),
            );
        });
        this.clock.schedule(
            -Math.log(1 - this.workRandom()) * MEAN_ARRIVAL_INTERVAL_MS,
            () => this.startRequest(index + 1),
        );
    }

    /** Draws the work of both stages with a fixed number of draws, so that all routers get the same requests. */
    private drawWork(): Record<(typeof STAGES)[number], engines.Work> {
        const hasPrefix = this.workRandom() < this.prefixShare;
        const prefix = `p${Math.floor(PREFIX_COUNT * this.workRandom() ** 2)}`;
        const generateMs = 60 - Math.log(1 - this.workRandom()) * 60;
        const generate = { prefix: hasPrefix ? prefix : undefined, prefillMs: hasPrefix ? 120 : 40, generateMs };
        return { encode: { prefix: undefined, prefillMs: 0, generateMs: 20 + 80 * this.workRandom() }, generate };
    }

    private runStage(entry: number, stage: string, work: engines.Work, onDone: () => void): void {
        const router = this.entries[entry]!;
        const pool = this.pools.get(stage)!;
        const avoidance = { avoidInstances: new Set<string>(), avoidDomains: new Set<string>() };
        const candidates = pool.map((_, index) => this.createCandidate(entry, `${stage}${index}`, index));
        const choice = router.choose({
            service: stage,
            operation: stage,
            prefix: work.prefix,
            ...avoidance,
            candidates,
        });
        const instance = choice!.candidate.instance;
        const sentMs = this.clock.now();
        const sentTimesMs = this.findUnansweredTimesMs(entry, instance);
        sentTimesMs.push(sentMs);
        pool[Number(instance.slice(stage.length))]!.run(work, upstreamMs => {
            sentTimesMs.splice(sentTimesMs.indexOf(sentMs), 1);
            router.recordSuccess(instance, upstreamMs, this.clock.now() - sentMs);
            onDone();
        });
    }

    private createCandidate(entry: number, instance: string, index: number): choices.Candidate {
        const pending = this.findUnansweredTimesMs(entry, instance).filter(sentMs => sentMs > this.reportedAtMs).length;
        return {
            instance,
            failureDomain: `d${index % 4}`,
            region: "r0",
            load: this.reportedLoads.get(instance),
            pending,
        };
    }

    private findUnansweredTimesMs(entry: number, instance: string): number[] {
        const key = `${entry}/${instance}`;
        const sentTimesMs = this.unansweredTimesMs.get(key) ?? [];
        this.unansweredTimesMs.set(key, sentTimesMs);
        return sentTimesMs;
    }
}

function createRandom(seed: number): () => number {
    const generator = generators.xoroshiro128plus(seed);
    return () => distributions.uniformFloat32(generator);
}

function measureWorkload(report: experiments.Report, seed: number, workload: keyof typeof PREFIX_SHARES): void {
    const measure = (name: string): experiments.Figures =>
        new WorkloadRun(seed, PREFIX_SHARES[workload], routers[name]!).measure();
    const policy = measure("policy");
    for (const [figure, value] of Object.entries(policy)) {
        report.policy[`${workload}.${figure}`] = value;
    }
    for (const baseline of ["RoundRobin", "LeastReported"]) {
        for (const [figure, value] of Object.entries(measure(baseline))) {
            report.baseline[`${workload}.${baseline}.${figure}`] = value;
            const ratio = `${figure.replace(/Ms$/, "")}Vs${baseline}`;
            report.policy[ratio] = Math.max(report.policy[ratio] ?? 0, policy[figure]! / value);
            report.bounds[ratio] = { atMost: 1 };
        }
    }
}

/** The experiment. Ratios are the maximum over the workloads. */
export const routing: experiments.Experiment = {
    name: "routing",
    run(seed) {
        const report: experiments.Report = { baseline: {}, policy: {}, bounds: {} };
        measureWorkload(report, seed, "prefixHeavy");
        measureWorkload(report, seed, "mixed");
        return Promise.resolve(report);
    },
};
