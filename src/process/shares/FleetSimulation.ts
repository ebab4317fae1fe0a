/**
 * Fixture: entries in virtual time that learn of each other, are killed, start again without any memory, and are cut
 * off from each other.
 */
import * as clocks from "../../common/Clock";
import * as fleetSizes from "./FleetSize";

/** Interval at which entries learn of further ones. */
const DISCOVERY_STEP_MS = 100;
/** Part of the longest time of discovery that each takes. */
const MIN_DISCOVERY_SHARE = 0.3;

/** When some entries are killed. */
export interface Kill {
    readonly atMs: number;
    readonly isKilled: (entry: number) => boolean;
}

/** What happens to the entries. */
export interface FleetPlan {
    readonly entries: number;
    readonly failureDomains: number;
    /** A killed entry is back after this time. */
    readonly downMs: number;
    /** An entry knows all others that it reaches this long after its start at the latest. */
    readonly discoveryMs: number;
    /** Times at which entries are killed, and which. */
    readonly kills: readonly Kill[];
    /** Whether entries don't reach each other at a time. */
    readonly isCut?: ((atMs: number, from: number, to: number) => boolean) | undefined;
}

/** One process of an entry; what it remembers ends with it. */
export class SimulatedEntry<Memory> {
    private readonly discoveryMs: number;
    private readonly startedMs: number;
    private readonly known = new Map<number, fleetSizes.FleetEntry>();
    private connected: ReadonlySet<number> = new Set();
    private others: readonly fleetSizes.OtherEntry[] = [];
    private hasCompleteList = false;
    private isSettled = false;
    readonly fleet: fleetSizes.FleetSize;
    readonly memory: Memory;

    constructor(
        readonly index: number,
        plan: FleetPlan,
        clock: clocks.Clock,
        random: () => number,
        createMemory: (fleet: fleetSizes.FleetSize, index: number) => Memory,
    ) {
        this.startedMs = clock.now();
        this.discoveryMs = plan.discoveryMs * (MIN_DISCOVERY_SHARE + (1 - MIN_DISCOVERY_SHARE) * random());
        this.fleet = new fleetSizes.FleetSize({
            clock,
            self: createFleetEntry(index, plan),
            others: () => this.others,
            failureDomains: () => [...Array(plan.failureDomains).keys()].map(String),
            hasOthers: () => plan.entries > 1,
            hasCompleteList: () => this.hasCompleteList,
            isFirstStart: clock.now() === 0,
        });
        this.fleet.recordListening();
        this.memory = createMemory(this.fleet, index);
    }

    /** Number of entries that it knows, including itself. */
    get knownCount(): number {
        return this.known.size + 1;
    }

    /** Reads the fleet as regularly as presence messages do. */
    observe(): void {
        this.isSettled ||= this.fleet.settledAtMs !== undefined;
    }

    /** Learns of the others that it reaches, of more of them the longer it runs; those that know all list them. */
    discover(nowMs: number, reachable: readonly SimulatedEntry<Memory>[], plan: FleetPlan): void {
        const share = Math.min(1, (nowMs - this.startedMs) / this.discoveryMs);
        const connected = reachable.slice(0, Math.floor(share * share * reachable.length));
        this.connected = new Set(connected.map(({ index }) => index));
        for (const other of connected) {
            this.add(other.index, plan);
            if (!this.hasCompleteList && other.isSettled) {
                other.known.forEach((_, index) => this.add(index, plan));
                this.hasCompleteList = true;
            }
        }
        this.others = [...this.known].map(([index, entry]) => ({ ...entry, isConnected: this.connected.has(index) }));
    }

    private add(index: number, plan: FleetPlan): void {
        if (index !== this.index && !this.known.has(index)) {
            this.known.set(index, createFleetEntry(index, plan));
        }
    }
}

function createFleetEntry(index: number, { failureDomains }: FleetPlan): fleetSizes.FleetEntry {
    return { name: `entry-${index}`, failureDomain: String(index % failureDomains) };
}

/** The entries; each has a new memory, such as its budgets, after each start. */
export class FleetSimulation<Memory> {
    private readonly backAtMs = new Map<number, number>();
    /** The processes by the index of their entries; undefined while an entry is down. */
    readonly entries: (SimulatedEntry<Memory> | undefined)[] = [];

    constructor(
        private readonly plan: FleetPlan,
        private readonly clock: clocks.Clock,
        private readonly random: () => number,
        private readonly createMemory: (fleet: fleetSizes.FleetSize, index: number) => Memory,
    ) {
        for (let index = 0; index < plan.entries; index++) {
            this.entries.push(this.start(index));
        }
    }

    /** Does what is due now. */
    step(): void {
        const nowMs = this.clock.now();
        for (const { atMs, isKilled } of this.plan.kills) {
            if (atMs === nowMs) {
                this.entries.forEach((_, index) =>
                    isKilled(index) && this.backAtMs.set(index, nowMs + this.plan.downMs)
                );
            }
        }
        for (const [index, atMs] of this.backAtMs) {
            this.entries[index] = nowMs < atMs ? undefined : this.start(index);
            if (nowMs >= atMs) {
                this.backAtMs.delete(index);
            }
        }
        if (nowMs % DISCOVERY_STEP_MS === 0) {
            this.entries.forEach(entry => entry?.observe());
            this.entries.filter(entry => entry !== undefined && entry.knownCount < this.entries.length)
                .forEach(entry => entry!.discover(nowMs, this.reachableFrom(entry!.index, nowMs), this.plan));
        }
    }

    private start(index: number): SimulatedEntry<Memory> {
        return new SimulatedEntry(index, this.plan, this.clock, this.random, this.createMemory);
    }

    private reachableFrom(index: number, nowMs: number): SimulatedEntry<Memory>[] {
        const { isCut } = this.plan;
        return this.entries.filter(other => other !== undefined)
            .filter(other => other.index !== index && isCut?.(nowMs, index, other.index) !== true);
    }
}

/** Kills the same entries again and again. */
export function killSeries(
    fromMs: number,
    count: number,
    gapMs: number,
    isKilled: (entry: number) => boolean,
): Kill[] {
    return Array.from({ length: count }, (_, kill) => ({ atMs: fromMs + kill * gapMs, isKilled }));
}

/** Kills each entry in turn, twice. */
export function rollingKills(fromMs: number, entries: number, durationMs: number, stepMs: number): Kill[] {
    return Array.from({ length: 2 * entries }, (_, turn) => ({
        atMs: fromMs + stepMs * Math.floor(turn * durationMs / entries / stepMs),
        isKilled: entry => entry === turn % entries,
    }));
}
