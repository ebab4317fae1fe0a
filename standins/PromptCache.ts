/**
 * An engine's cache of prompt prefixes with a bounded number of entries, which evicts the least recently used one.
 * Its events are delayed and may have gaps.
 */
import * as clocks from "../src/common/Clock";
import * as ports from "../src/common/Ports";

/** Options of the cache. */
export interface PromptCacheOptions {
    /** Maximum number of cached prefixes. */
    readonly cacheEntries?: number | undefined;
    readonly cacheEventDelayMs?: number | undefined;
    /** Interval of lost events: with n, every nth one is lost; with 0 or undefined, none. */
    readonly cacheEventGapEvery?: number | undefined;
}

const DEFAULT_MAX_ENTRIES = 64;
const MAX_EVENTS_PER_ANSWER = 1_000;

/** A bounded LRU cache with an event log. */
export class PromptCache {
    hits = 0;
    misses = 0;
    private readonly entries = new Map<string, unknown>();
    private readonly events: (ports.CacheEvent & { readonly visibleAtMs: number })[] = [];
    private sequence = 0;

    constructor(private readonly options: PromptCacheOptions) {}

    /** Content cached for a prefix; undefined if there is none. */
    get(prefix: string): unknown {
        return this.entries.get(prefix);
    }

    /** Marks a prefix as used and caches it; returns whether it was cached before. */
    use(prefix: string): boolean {
        const isHit = this.entries.has(prefix);
        if (isHit) {
            this.hits++;
        }
        else {
            this.misses++;
        }
        this.put(prefix, this.entries.get(prefix) ?? { prefix });
        return isHit;
    }

    put(prefix: string, content: unknown): void {
        if (!this.entries.delete(prefix)) {
            this.recordEvent(prefix, true);
        }
        this.entries.set(prefix, content);
        if (this.entries.size > (this.options.cacheEntries ?? DEFAULT_MAX_ENTRIES)) {
            const oldest = this.entries.keys().next().value!;
            this.entries.delete(oldest);
            this.recordEvent(oldest, false);
        }
    }

    /** Removes all entries without an event, as a restart does. */
    clear(): void {
        this.entries.clear();
    }

    /** The events after `sequence` whose delay has passed. */
    eventsAfter(sequence: number): ports.CacheEvent[] {
        const nowMs = clocks.systemClock.now();
        return this.events
            .filter(event => event.sequence > sequence && event.visibleAtMs <= nowMs)
            .slice(0, MAX_EVENTS_PER_ANSWER)
            .map(event => ({ sequence: event.sequence, prefix: event.prefix, held: event.held }));
    }

    private recordEvent(prefix: string, held: boolean): void {
        const sequence = ++this.sequence;
        const gapEvery = this.options.cacheEventGapEvery ?? 0;
        if (gapEvery === 0 || sequence % gapEvery !== 0) {
            const visibleAtMs = clocks.systemClock.now() + (this.options.cacheEventDelayMs ?? 0);
            this.events.push({ sequence, prefix, held, visibleAtMs });
        }
    }
}
