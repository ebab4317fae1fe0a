/**
 * Which entries share the bounds that hold for all of them together, as far as this process knows. Nothing outlasts a
 * process, so that one that has just started knows neither all the others nor what its predecessor has used. Until it
 * does, it has no share beyond what its own calls earn. What is assumed is never below what exists as long as the domains
 * of unknown entries are listed and no single entry starts while it is cut off.
 */
import * as clocks from "../../common/Clock";

/** Without a list from an entry that knows all, the names are taken for complete when none is new for this time. */
const SETTLE_MS = 2_000;
/** The same for an entry that has a predecessor and is connected to all whose names it knows. */
const CONNECTED_SETTLE_MS = 1_000;
/** A process that is connected to a smaller share of the names that it knows doesn't take them for complete. */
const MIN_CONNECTED_SHARE = 0.5;
/** How long what was computed is used. */
const STATE_LIFETIME_MS = 200;

/** An entry that shares the bounds. */
export interface FleetEntry {
    readonly name: string;
    readonly failureDomain: string;
}

/** Another entry, as this process knows it. */
export interface OtherEntry extends FleetEntry {
    readonly isConnected: boolean;
}

/** Names of entries, and how many there are in all. */
type KnownNames = Pick<Fleet, "names" | "count">;

/** The entries that share the bounds, as one process knows them. */
export interface Fleet {
    /** Name of this entry. */
    readonly self: string;
    /**
     * Names of the known entries, live or not, including this one, in the failure domains that this process reaches. Of
     * other domains it may know a part, and those there may know a part of these; so they share apart.
     */
    readonly names: readonly string[];
    /** Number of entries to assume; above the number of names while some are unknown. */
    readonly count: number;
    /** Since when this process has known the others; undefined while it may not know all. */
    readonly settledAtMs: number | undefined;
    /**
     * Until when a predecessor of this process may have used its shares; -Infinity if there was none, Infinity while it
     * may still do so.
     */
    readonly precededUntilMs: number;
}

/** What the fleet's size is computed from. */
export interface FleetSizeOptions {
    readonly clock: clocks.Clock;
    readonly self: FleetEntry;
    /** The other known entries, live or not. */
    readonly others: () => readonly OtherEntry[];
    /** Failure domains in which entries run, whether known or not. */
    readonly failureDomains: () => readonly string[];
    /** Whether other entries may exist; false for an entry that is meant to be alone. */
    readonly hasOthers: () => boolean;
    /** Whether an entry that knows all others has listed them to this one. */
    readonly hasCompleteList: () => boolean;
    /** Whether all entries start for the first time, so that none has a predecessor. */
    readonly isFirstStart: boolean;
}

/** Knows how many entries share the bounds. */
export class FleetSize implements Fleet {
    private predecessorEndMs: number;
    private readonly seen = new Set<string>();
    private newNameAtMs: number;
    private settledSinceMs: number | undefined;
    private current: KnownNames;
    private currentUntilMs = -Infinity;

    constructor(private readonly options: FleetSizeOptions) {
        this.newNameAtMs = options.clock.now();
        this.predecessorEndMs = options.isFirstStart ? -Infinity : Infinity;
        this.current = { names: [options.self.name], count: 1 };
    }

    get self(): string {
        return this.options.self.name;
    }

    get precededUntilMs(): number {
        return this.predecessorEndMs;
    }

    /** Records that this process has bound its addresses, so that its predecessor, if it has one, has ended. */
    recordListening(): void {
        this.predecessorEndMs = Math.min(this.predecessorEndMs, this.options.clock.now());
    }

    get names(): readonly string[] {
        this.update();
        return this.current.names;
    }

    get count(): number {
        this.update();
        return this.current.count;
    }

    get settledAtMs(): number | undefined {
        this.update();
        return this.settledSinceMs;
    }

    private update(): void {
        const { clock, self, others } = this.options;
        const nowMs = clock.now();
        if (nowMs < this.currentUntilMs) {
            return;
        }
        this.currentUntilMs = nowMs + STATE_LIFETIME_MS;
        const entries = [{ ...self, isConnected: true }, ...others()];
        if (this.settledSinceMs === undefined) {
            this.observeNames(entries, nowMs);
        }
        this.current = this.countEntries(entries);
    }

    private observeNames(entries: readonly OtherEntry[], nowMs: number): void {
        const { hasOthers, hasCompleteList, isFirstStart } = this.options;
        const knownCount = this.seen.size;
        entries.forEach(({ name }) => this.seen.add(name));
        if (this.seen.size > knownCount) {
            this.newNameAtMs = nowMs;
        }
        const connected = entries.filter(({ isConnected }) => isConnected);
        const settleMs = !isFirstStart && connected.length === entries.length ? CONNECTED_SETTLE_MS : SETTLE_MS;
        const isQuiet = connected.length > 1 && nowMs - this.newNameAtMs >= settleMs;
        const isCutOff = connected.length < MIN_CONNECTED_SHARE * entries.length;
        const isComplete = hasCompleteList() || (isQuiet && !isCutOff);
        if (isComplete || !hasOthers()) {
            this.settledSinceMs = nowMs;
            this.seen.clear();
        }
    }

    /**
     * The entries of the domains in which any is connected, and how many there are in all: a domain that isn't reached
     * is assumed to have as many as the largest.
     */
    private countEntries(entries: readonly OtherEntry[]): KnownNames {
        const countByDomain = new Map<string, number>(this.options.failureDomains().map(domain => [domain, 0]));
        for (const { failureDomain } of entries) {
            countByDomain.set(failureDomain, (countByDomain.get(failureDomain) ?? 0) + 1);
        }
        const largest = Math.max(...countByDomain.values());
        const reached = new Set(entries.filter(({ isConnected }) => isConnected).map(entry => entry.failureDomain));
        const names = entries.filter(entry => reached.has(entry.failureDomain)).map(({ name }) => name);
        return { names, count: names.length + largest * (countByDomain.size - reached.size) };
    }
}
