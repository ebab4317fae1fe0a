/**
 * A stand-in for an upstream in discrete-event experiments: a batch of limited size before a queue, with a
 * cache of prompt prefixes of limited size.
 */
import * as clocks from "../src/common/Clock";
import * as messages from "../src/common/Messages";

/** Growth of a call's duration in a full batch, as a share of its duration alone. */
const FULL_BATCH_SLOWDOWN = 0.8;
const SAMPLE_WEIGHT = 0.1;

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
    readonly limit: number;
    /** Prefixes that the cache holds. */
    readonly cacheSize: number;
    /** Called when the cache takes in or drops a prefix. */
    readonly onCache: (prefix: string, held: boolean) => void;
}

interface Waiting {
    readonly work: Work;
    readonly onDone: (upstreamMs: number) => void;
}

/** Runs calls in the order of arrival; counts the engine time that they cost. */
export class QueueingEngine {
    /** Engine time spent, in milliseconds. */
    costMs = 0;
    private active = 0;
    private readonly queue: Waiting[] = [];
    /** Held prefixes, least recently used first. */
    private readonly cache = new Set<string>();
    private meanMs = 0;

    constructor(private readonly options: EngineOptions) {}

    /** Takes a call; `onDone` gets the time from its start in a batch to its end. */
    run(work: Work, onDone: (upstreamMs: number) => void): void {
        this.queue.push({ work, onDone });
        this.startNext();
    }

    /** What the agent beside this engine would report now. */
    get load(): messages.Load {
        const { limit } = this.options;
        const expectedMs = this.meanMs * (1 + this.queue.length / limit);
        const queued = this.queue.length;
        return { limit, active: this.active, queued, cold: false, draining: false, expectedMs, models: [] };
    }

    private startNext(): void {
        const next = this.active < this.options.limit ? this.queue.shift() : undefined;
        if (next === undefined) {
            return;
        }
        this.active++;
        const alone = (this.findPrefillMs(next.work) + next.work.generateMs) / this.options.speed;
        const durationMs = alone * (1 + FULL_BATCH_SLOWDOWN * this.active / this.options.limit);
        this.costMs += alone;
        this.options.clock.schedule(durationMs, () => {
            this.active--;
            this.meanMs += (durationMs - this.meanMs) * SAMPLE_WEIGHT;
            next.onDone(durationMs);
            this.startNext();
        });
    }

    private findPrefillMs(work: Work): number {
        if (work.prefix === undefined) {
            return work.prefillMs;
        }
        const held = this.cache.delete(work.prefix);
        this.cache.add(work.prefix);
        if (held) {
            return 0;
        }
        this.options.onCache(work.prefix, true);
        if (this.cache.size > this.options.cacheSize) {
            const oldest = this.cache.values().next().value!;
            this.cache.delete(oldest);
            this.options.onCache(oldest, false);
        }
        return work.prefillMs;
    }
}
