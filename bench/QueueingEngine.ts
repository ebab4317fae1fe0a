/**
 * A stand-in for an upstream in discrete-event experiments: a batch of limited size before a queue, with a
 * cache of prompt prefixes of limited size.
 */
import * as clocks from "../src/common/Clock";
import * as messages from "../src/common/Messages";

/** Growth of a call's duration in a full batch, as a share of its duration alone. */
const FULL_BATCH_SLOWDOWN = 0.8;
const MEAN_SAMPLE_WEIGHT = 0.1;

/** The work of one call on an engine of speed 1, in milliseconds. */
export interface Work {
    readonly prefix: string | undefined;
    /** Saved when the engine holds the prefix. */
    readonly prefillMs: number;
    readonly generateMs: number;
}

export interface EngineOptions {
    readonly clock: clocks.Clock;
    readonly speed: number;
    /** Calls in one batch. */
    readonly maxBatchSize: number;
    /** Prefixes that the cache holds. */
    readonly maxCachedPrefixes: number;
    /** Called when the cache takes in or drops a prefix. */
    readonly onCache: (prefix: string, isCached: boolean) => void;
}

interface QueuedCall {
    readonly work: Work;
    readonly onDone: (upstreamMs: number) => void;
}

/** Runs calls in the order of arrival; counts the engine time that they cost. */
export class QueueingEngine {
    /** Engine time spent, in milliseconds. */
    costMs = 0;
    private activeCalls = 0;
    private readonly queue: QueuedCall[] = [];
    /** Held prefixes, least recently used first. */
    private readonly cache = new Set<string>();
    private meanCallMs = 0;

    constructor(private readonly options: EngineOptions) {}

    /** Takes a call; `onDone` gets the time from its start in a batch to its end. */
    run(work: Work, onDone: (upstreamMs: number) => void): void {
        this.queue.push({ work, onDone });
        this.startNext();
    }

    /** What the agent beside this engine would report now. */
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
