/**
 * Recent durations of the stages of each pipeline, and the deadline and hedging decisions based on them.
 */
import * as hdr from "hdr-histogram-js";
import * as result from "true-myth/result";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";

/** Samples expire after one to two windows, after up to three if the stage is rarely used. */
const WINDOW_MS = 30_000;
const MAX_DURATION_MS = 600_000;
/** Samples required before a stage's duration counts as known; fewer say nothing about it. */
const MIN_SAMPLES = 10;
const MIN_HEDGE_SAMPLES = 50;
const QUANTILE_CACHE_LIFETIME_MS = 250;
const BUDGET_QUANTILE = 0.9;
const HEDGE_QUANTILE = 0.95;
const ADMISSION_QUANTILE = 0.5;
/** Share of requests with an unreachable deadline that are admitted, so that the history is refreshed. */
const PROBE_PROBABILITY = 0.02;
/** Minimum retry-after value returned to callers. */
const MIN_RETRY_AFTER_MS = 50;

interface CachedQuantile {
    readonly value: number;
    readonly computedMs: number;
}

/** Durations of one stage in a rotating window. */
class StageWindow {
    private readonly current = createHistogram();
    /** Samples of the current window and the one before. */
    private readonly recent = createHistogram();
    private readonly cache = new Map<number, CachedQuantile>();
    private startedMs: number;

    constructor(nowMs: number) {
        this.startedMs = nowMs;
    }

    /** Records one duration. */
    record(durationMs: number, nowMs: number): void {
        this.rotate(nowMs);
        const value = Math.round(Math.min(Math.max(durationMs, 1), MAX_DURATION_MS));
        this.current.recordValue(value);
        this.recent.recordValue(value);
    }

    /** Duration within which a share `q` of the calls ended; undefined with fewer than `minSamples`. */
    quantile(q: number, minSamples: number, nowMs: number): number | undefined {
        this.rotate(nowMs);
        if (this.recent.totalCount < minSamples) {
            return undefined;
        }
        const cached = this.cache.get(q);
        if (cached !== undefined && nowMs - cached.computedMs < QUANTILE_CACHE_LIFETIME_MS) {
            return cached.value;
        }
        const value = this.recent.getValueAtPercentile(q * 100);
        this.cache.set(q, { value, computedMs: nowMs });
        return value;
    }

    private rotate(nowMs: number): void {
        const elapsedMs = nowMs - this.startedMs;
        if (elapsedMs < WINDOW_MS) {
            return;
        }
        this.recent.reset();
        if (elapsedMs < 2 * WINDOW_MS) {
            this.recent.add(this.current);
        }
        this.current.reset();
        this.cache.clear();
        this.startedMs = nowMs;
    }
}

function createHistogram(): hdr.Histogram {
    return hdr.build({
        bitBucketSize: 32,
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAX_DURATION_MS,
        numberOfSignificantValueDigits: 2,
        useWebAssembly: false,
    });
}

/** Learned duration quantiles for each stage of each pipeline. */
export class StageHistory {
    private readonly windowsByPipeline = new Map<string, Map<string, StageWindow>>();

    constructor(private readonly options: { readonly clock: clocks.Clock }) {}

    /** Records the duration of a stage, queueing included. */
    record(pipeline: string, stage: string, durationMs: number): void {
        const nowMs = this.options.clock.now();
        let stages = this.windowsByPipeline.get(pipeline);
        if (stages === undefined) {
            stages = new Map();
            this.windowsByPipeline.set(pipeline, stages);
        }
        let window = stages.get(stage);
        if (window === undefined) {
            window = new StageWindow(nowMs);
            stages.set(stage, window);
        }
        window.record(durationMs, nowMs);
    }

    /** Duration within which a share `q` of the calls ended; undefined without enough recent samples. */
    quantile(pipeline: string, stage: string, q: number, minSamples = MIN_SAMPLES): number | undefined {
        const window = this.windowsByPipeline.get(pipeline)?.get(stage);
        return window?.quantile(q, minSamples, this.options.clock.now());
    }

    /** Sum of the quantiles of `stages`; a stage without enough recent samples counts as 0. */
    sumQuantilesMs(pipeline: string, stages: readonly string[], q: number): number {
        return stages.reduce((sum, stage) => sum + (this.quantile(pipeline, stage, q) ?? 0), 0);
    }

    /**
     * Time that the first of `stages` may use so that the later ones keep their learned duration. When the
     * learned durations exceed `remainingMs`, all stages are reduced in proportion.
     */
    findBudgetMs(pipeline: string, stages: readonly string[], remainingMs: number): number {
        const [first, ...later] = stages;
        if (first === undefined || later.length === 0) {
            return remainingMs;
        }
        const laterMs = this.sumQuantilesMs(pipeline, later, BUDGET_QUANTILE);
        const firstMs = this.quantile(pipeline, first, BUDGET_QUANTILE);
        if (firstMs === undefined) {
            return Math.max(remainingMs - laterMs, remainingMs / stages.length);
        }
        return Math.max(remainingMs - laterMs, remainingMs * firstMs / (firstMs + laterMs));
    }

    /** Delay after which an unanswered call is worth hedging; undefined without enough recent samples. */
    findHedgeDelayMs(pipeline: string, stage: string): number | undefined {
        return this.quantile(pipeline, stage, HEDGE_QUANTILE, MIN_HEDGE_SAMPLES);
    }
}

/** Why a request was admitted. */
export type AdmissionReason = "fits" | "probe";

/**
 * Decides before any work is dispatched whether `stages` can finish in `remainingMs`; fails with
 * deadline-unreachable if they can't. A small share of such requests, selected by `random` (0 to 1), is admitted as
 * probes, so that an outdated history is refreshed.
 */
export function admitByHistory(
    history: StageHistory,
    pipeline: string,
    stages: readonly string[],
    remainingMs: number,
    random: () => number,
): result.Result<AdmissionReason, codes.Failure> {
    return admitByExpectedTime(history.sumQuantilesMs(pipeline, stages, ADMISSION_QUANTILE), remainingMs, random);
}

/** Decides whether a request that is expected to take `expectedMs` is admitted; see `admitByHistory`. */
export function admitByExpectedTime(
    expectedMs: number,
    remainingMs: number,
    random: () => number,
): result.Result<AdmissionReason, codes.Failure> {
    if (remainingMs > 0 && expectedMs <= remainingMs) {
        return result.ok("fits");
    }
    if (remainingMs > 0 && random() < PROBE_PROBABILITY) {
        return result.ok("probe");
    }
    const detail = `needs ${Math.round(expectedMs)} ms, has ${Math.round(remainingMs)} ms`;
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, expectedMs - remainingMs);
    return result.err(codes.failure(codes.codes.deadlineUnreachable, detail, retryAfterMs));
}
