/**
 * Tracks which instances probably hold a prompt prefix in their cache, from cache events, which may be late or
 * lost, and from the calls that this entry sent. Bounded by count and age.
 */
import * as clocks from "../../common/Clock";

const MAX_PREFIXES = 20_000;
const MAX_HOLDERS_PER_PREFIX = 4;
/** A prefix that no call or event confirmed for this long is ignored, since its eviction event may be lost. */
const HOLDER_LIFETIME_MS = 120_000;

interface PrefixRecord {
    instances: string[];
    confirmedMs: number;
}

/** Prefixes with their holders, least recently confirmed first. */
export class PrefixHolders {
    private readonly records = new Map<string, PrefixRecord>();

    constructor(private readonly clock: clocks.Clock) {}

    /** Records that `instance` holds the prefix, or that it no longer does. */
    record(prefix: string, instance: string, isHeld: boolean): void {
        const record = this.records.get(prefix);
        if (isHeld) {
            this.add(prefix, instance, record);
        }
        else if (record !== undefined) {
            record.instances = record.instances.filter(other => other !== instance);
        }
    }

    /** The probable holders, the most recent first; undefined for an unknown or outdated prefix. */
    find(prefix: string): readonly string[] | undefined {
        const record = this.records.get(prefix);
        if (record === undefined || this.clock.now() - record.confirmedMs > HOLDER_LIFETIME_MS) {
            return undefined;
        }
        return record.instances;
    }

    forget(instance: string): void {
        for (const record of this.records.values()) {
            if (record.instances.includes(instance)) {
                record.instances = record.instances.filter(other => other !== instance);
            }
        }
    }

    private add(prefix: string, instance: string, existing: PrefixRecord | undefined): void {
        const record = existing ?? { instances: [], confirmedMs: 0 };
        if (record.instances[0] !== instance) {
            record.instances = [instance, ...record.instances.filter(other => other !== instance)].slice(
                0,
                MAX_HOLDERS_PER_PREFIX,
            );
        }
        record.confirmedMs = this.clock.now();
        this.records.delete(prefix);
        this.records.set(prefix, record);
        if (this.records.size > MAX_PREFIXES) {
            this.records.delete(this.records.keys().next().value!);
        }
    }
}
