/**
 * Which instances probably hold a prompt prefix in their cache: from late and gappy cache events, and from
 * the calls that this entry sent. Bounded by count and age.
 */
import * as clocks from "../../common/Clock";

const MAX_PREFIXES = 20_000;
const MAX_HOLDERS = 4;
/** A holder not heard of for this long is dropped, since the event of its eviction may be lost. */
const HOLDER_LIFETIME_MS = 120_000;

interface Entry {
    instances: string[];
    usedMs: number;
}

/** Prefixes with their holders, least recently used first. */
export class PrefixHolders {
    private readonly entries = new Map<string, Entry>();

    constructor(private readonly clock: clocks.Clock) {}

    /** Notes that `instance` holds the prefix, or that it no longer does. */
    record(prefix: string, instance: string, held: boolean): void {
        const entry = this.entries.get(prefix);
        if (held) {
            this.add(prefix, instance, entry);
        }
        else if (entry !== undefined) {
            entry.instances = entry.instances.filter(other => other !== instance);
        }
    }

    /** The probable holders, the latest first; undefined when none is known. */
    find(prefix: string): readonly string[] | undefined {
        const entry = this.entries.get(prefix);
        if (entry === undefined || this.clock.now() - entry.usedMs > HOLDER_LIFETIME_MS) {
            return undefined;
        }
        return entry.instances;
    }

    forget(instance: string): void {
        for (const entry of this.entries.values()) {
            if (entry.instances.includes(instance)) {
                entry.instances = entry.instances.filter(other => other !== instance);
            }
        }
    }

    private add(prefix: string, instance: string, known: Entry | undefined): void {
        const entry = known ?? { instances: [], usedMs: 0 };
        if (entry.instances[0] !== instance) {
            entry.instances = [instance, ...entry.instances.filter(other => other !== instance)].slice(0, MAX_HOLDERS);
        }
        entry.usedMs = this.clock.now();
        this.entries.delete(prefix);
        this.entries.set(prefix, entry);
        if (this.entries.size > MAX_PREFIXES) {
            this.entries.delete(this.entries.keys().next().value!);
        }
    }
}
