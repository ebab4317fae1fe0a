/**
 * Model of an upstream for discrete-event simulation: runs a batch of limited size, queues further calls, and has a
 * cache of limited size for prompt prefixes.
 */
import * as clocks from "../src/common/Clock";
import * as messages from "../src/common/Messages";

/** Slowdown of a call in a full batch, as a share of its duration when it runs alone. */
const FULL_BATCH_SLOWDOWN = 0.8;
/** Weight of the newest call in the moving average of durations. */
const MEAN_SAMPLE_WEIGHT = 0.1;

/** Work of one call on an engine of speed 1. */
export interface Work {
    readonly prefix: string | undefined;
    /** Skipped if the prefix is cached. */
    readonly prefillMs: number;
    readonly generateMs: number;
}

export interface EngineOptions {
    readonly clock: clocks.Clock;
    readonly speed: number;
    /** Most calls in one batch. */
    readonly maxBatchSize: number;
    readonly maxCachedPrefixes: number;
    /** Called when a prefix is added to the cache or evicted. */
    readonly onCache: (prefix: string, isCached: boolean) => void;
}

interface QueuedCall {
    readonly work: Work;
    readonly onDone: (upstreamMs: number) => void;
}

/** Runs calls in order of arrival, and sums up the engine time that they use. */
export class QueueingEngine {
    /** Total engine time of all calls, each as if it ran alone. */
    costMs = 0;
    private activeCalls = 0;
    private readonly queue: QueuedCall[] = [];
    /** Cached prefixes, least recently used first. */
    private readonly cache = new Set<string>();
    private meanCallMs = 0;

    constructor(private readonly options: EngineOptions) {}

    /** Queues a call; `onDone` receives its duration without the time in the queue. */
    run(work: Work, onDone: (upstreamMs: number) => void): void {
        this.queue.push({ work, onDone });
        this.startNext();
    }

    /** Load that the engine's agent would report now. */
    get load(): messages.Load {
        const { maxBatchSize: limit } = this.options;
        const expectedMs = this.meanCallMs * (1 + this.queue.length / limit);
        const queued = this.queue.length;
        return { limit, active: this.activeCalls, queued, cold: false, draining: false, expectedMs, models: [] };
    }

    private startNext(): void {
        const next = this.activeCalls < this.options.maxBatchSize ? this.queue.shift() : undefined;
        if (next === undefined) {
            return;
        }
        this.activeCalls++;
        const aloneMs = (this.findPrefillMs(next.work) + next.work.generateMs) / this.options.speed;
        const durationMs = aloneMs * (1 + FULL_BATCH_SLOWDOWN * this.activeCalls / this.options.maxBatchSize);
        this.costMs += aloneMs;
        this.options.clock.schedule(durationMs, () => {
            this.activeCalls--;
            this.meanCallMs += (durationMs - this.meanCallMs) * MEAN_SAMPLE_WEIGHT;
            next.onDone(durationMs);
            this.startNext();
        });
    }

    /** Returns the prefill time of a call, and updates the cache with its prefix. */
    private findPrefillMs(work: Work): number {
        if (work.prefix === undefined) {
            return work.prefillMs;
        }
        const isCached = this.cache.delete(work.prefix);
        this.cache.add(work.prefix);
        if (isCached) {
            return 0;
        }
        this.options.onCache(work.prefix, true);
        if (this.cache.size > this.options.maxCachedPrefixes) {
            const oldest = this.cache.values().next().value!;
            this.cache.delete(oldest);
            this.options.onCache(oldest, false);
        }
        return work.prefillMs;
    }
}
