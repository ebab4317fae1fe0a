/**
 * This process's part of a rate that holds for all entries together, for what an entry needs from its start on: reads of
 * the published store, and probes. Units are earned over time, so that an entry that starts again earns no more than one
 * that goes on. Until a process knows the others, it assumes many of them.
 */
import * as clocks from "../../common/Clock";
import * as fleetSizes from "./FleetSize";

const MS_PER_SECOND = 1_000;
/** Entries to assume at least by a process that doesn't know all. */
const UNKNOWN_ENTRIES = 300;
/** Units of a process that may have a predecessor, at its start. */
const START_UNITS = 2;

/** What a pace needs from its process. */
export interface FleetPaceOptions {
    readonly clock: clocks.Clock;
    readonly fleet: fleetSizes.Fleet;
    /** Units a second for all entries together; read at each use. */
    readonly perSecond: () => number;
    /** Time in which what may be saved is earned; an entry saves one unit at least. */
    readonly savedMs: number;
}

/** What a pace has left, as it is logged. */
export interface PaceState {
    /** Units that may be used now. */
    readonly left: number;
    /** Most units that may be saved. */
    readonly share: number;
    /** Units used since the start of the process. */
    readonly used: number;
    /** Entries among which the rate is divided. */
    readonly entries: number;
}

/** Counts the units of one rate. */
export class FleetPace {
    private earned: number;
    private earnedUntilMs: number;
    private used = 0;

    constructor(private readonly options: FleetPaceOptions) {
        const { clock, fleet, savedMs } = options;
        this.earnedUntilMs = clock.now();
        this.earned = this.earnedUntilMs >= fleet.precededUntilMs + savedMs ? this.share : START_UNITS;
    }

    /** Whole units that may be used now. */
    get left(): number {
        this.update();
        return Math.max(0, Math.floor(this.earned));
    }

    get state(): PaceState {
        return { left: this.left, share: this.share, used: this.used, entries: this.entries };
    }

    /** Time until a unit may be used; 0 if one may be now. */
    get waitMs(): number {
        this.update();
        return this.earned >= 1 ? 0 : Math.ceil((1 - this.earned) * MS_PER_SECOND / this.ownPerSecond);
    }

    /** Counts units that are used; those beyond what is left postpone the next ones. */
    take(units = 1): void {
        this.update();
        this.earned -= units;
        this.used += units;
    }

    private update(): void {
        const nowMs = this.options.clock.now();
        const elapsedMs = nowMs - this.earnedUntilMs;
        this.earnedUntilMs = nowMs;
        this.earned = Math.min(this.share, this.earned + this.ownPerSecond * elapsedMs / MS_PER_SECOND);
    }

    private get share(): number {
        return Math.max(1, Math.floor(this.ownPerSecond * this.options.savedMs / MS_PER_SECOND));
    }

    private get ownPerSecond(): number {
        return this.options.perSecond() / this.entries;
    }

    private get entries(): number {
        const { count, settledAtMs } = this.options.fleet;
        return settledAtMs === undefined ? Math.max(count, UNKNOWN_ENTRIES) : count;
    }
}
