/**
 * An engine's cache of prompt prefixes: bounded, least recently used out first. Its events come late and
 * with gaps.
 */
import * as clocks from "../src/common/Clock";
import * as ports from "../src/common/Ports";

/** Options; times in milliseconds. */
export interface PromptCacheOptions {
    /** Most prefixes held. */
    readonly cacheEntries?: number | undefined;
    readonly cacheEventDelayMs?: number | undefined;
    /** Every event of this number is lost; 0 or undefined loses none. */
    readonly cacheEventGapEvery?: number | undefined;
}

const DEFAULT_MAX_ENTRIES = 64;
const MAX_EVENTS_PER_ANSWER = 1_000;

/** The cache. */
export class PromptCache {
    hits = 0;
    misses = 0;
    private readonly entries = new Map<string, unknown>();
    private readonly events: (ports.CacheEvent & { readonly visibleAtMs: number })[] = [];
    private sequence = 0;

    constructor(private readonly options: PromptCacheOptions) {}

    /** Content held for a prefix; undefined when there is none. */
    get(prefix: string): unknown {
        return this.entries.get(prefix);
    }

    /** Uses a prefix and holds it from then on; whether it was held before. */
    use(prefix: string): boolean {
        const isHeld = this.entries.has(prefix);
        if (isHeld) {
            this.hits++;
        }
        else {
            this.misses++;
        }
        this.put(prefix, this.entries.get(prefix) ?? { prefix });
        return isHeld;
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

    /** Forgets everything without an event, as a restart does. */
    clear(): void {
        this.entries.clear();
    }

    /** The events after `sequence` that can be seen by now. */
    eventsAfter(sequence: number): ports.CacheEvent[] {
        const nowMs = clocks.systemClock.now();
        return this.events
            .filter(event => event.sequence > sequence && event.visibleAtMs <= nowMs)
            .slice(0, MAX_EVENTS_PER_ANSWER)
            .map(event => ({ sequence: event.sequence, prefix: event.prefix, held: event.held }));
    }

    private recordEvent(prefix: string, isHeld: boolean): void {
        const sequence = ++this.sequence;
        const gapEvery = this.options.cacheEventGapEvery ?? 0;
        if (gapEvery === 0 || sequence % gapEvery !== 0) {
            const visibleAtMs = clocks.systemClock.now() + (this.options.cacheEventDelayMs ?? 0);
            this.events.push({ sequence, prefix, held: isHeld, visibleAtMs });
        }
    }
}
