/**
 * Learns how long work takes at one incarnation of an instance that states it in its answers. Designed for pools whose
 * machines differ in speed and are shared with others: a slow machine shows neither in its number of calls nor in its
 * reported queue until calls are late.
 *
 * Two things are told apart: what the machine is, the median of its statements, and what it is at this moment, its last
 * statement, which counts for a short time only. Measured times correct statements that are far from the truth.
 */
import * as clocks from "../../common/Clock";
import * as entryMessages from "../../common/EntryMessages";
import * as sampleWindows from "./SampleWindow";

const MAX_SAMPLES = 31;
const SAMPLE_LIFETIME_MS = 60_000;
/** Number of statements that wait to be told to other entries. */
const MAX_UNTOLD = 16;
/** Weight, in statements, of the assumption that an instance is like the others of its service. */
const PRIOR_STATEMENTS = 1;
/** Weight, in calls, of the assumption that statements are right. */
const PRIOR_CALLS = 8;
/** Measured times that differ from the statements by less than this factor are explained by the load. */
const MAX_EXPLAINED_RATIO = 2.5;
/** How long the last statement is used. */
const STATEMENT_LIFETIME_MS = 300;
/** Ratio between the times of two neighbouring classes of speed. */
const CLASS_RATIO = 1.6;
/** The class changes only when the estimate is this far, in classes, from the middle of the present one. */
const CLASS_HYSTERESIS = 0.65;

/** The speed of one incarnation. */
export class InstanceSpeed {
    /** Logarithms of the statements. */
    private readonly stated = new sampleWindows.SampleWindow(MAX_SAMPLES, SAMPLE_LIFETIME_MS);
    /** Logarithms of measured by expected time, where the statement counts as right. */
    private readonly measured = new sampleWindows.SampleWindow(MAX_SAMPLES, SAMPLE_LIFETIME_MS);
    private currentClass = 0;
    private lastStatement = 1;
    private statedAtMs = -Infinity;
    private untold: number[] = [];

    constructor(private readonly clock: clocks.Clock) {}

    /** Whether the instance states how long work takes there. */
    get isStated(): boolean {
        return this.stated.count > 0;
    }

    /** Number of statements that the estimate rests on. */
    get statements(): number {
        return this.stated.count;
    }

    /** Logarithm of how long work takes on the machine, 0 being usual; 0 without evidence. */
    get logSlowness(): number {
        return this.isStated ? this.stated.median + this.findCorrection() : 0;
    }

    /** Share of the own evidence in estimates; the rest is the assumption that an instance is like the others. */
    get ownShare(): number {
        return this.stated.count / (this.stated.count + PRIOR_STATEMENTS);
    }

    /** How long work takes there now, 1 being usual. */
    get currentSlowness(): number {
        const isFresh = this.clock.now() - this.statedAtMs < STATEMENT_LIFETIME_MS;
        return Math.exp(isFresh ? Math.log(this.lastStatement) + this.findCorrection() : this.logSlowness);
    }

    /** Records a statement of how long work takes there at the moment: 1 is usual, 2 is twice as long. */
    state(slowdown: number): void {
        this.lastStatement = slowdown;
        this.statedAtMs = this.clock.now();
        const logSlowdown = Math.log(slowdown);
        this.add([logSlowdown]);
        this.untold = [...this.untold.slice(1 - MAX_UNTOLD), logSlowdown];
    }

    /** Adds statements that this process or another entry received, as logarithms. */
    add(logSlowdowns: readonly number[]): void {
        logSlowdowns.forEach(logSlowdown => this.stated.add(logSlowdown, this.clock.now()));
    }

    /** Records a call of this process that took `elapsedMs`, where `expectedMs` were expected at the stated speed. */
    record(expectedMs: number, elapsedMs: number): void {
        this.measured.add(Math.log(Math.max(1, elapsedMs) / expectedMs), this.clock.now());
    }

    /** Removes and returns the statements that have not been told to other entries. */
    takeUntold(): readonly number[] {
        const taken = this.untold;
        this.untold = [];
        return taken;
    }

    /** Expected time of work there now, relative to an average instance of its service. */
    slowness(serviceLogSlowness: number): number {
        return (this.currentSlowness / Math.exp(serviceLogSlowness)) ** this.ownShare;
    }

    /**
     * Class of the machine relative to an average instance of its service: 0 is average, 1 is slower by `CLASS_RATIO`.
     * Classes are coarse so that entries with different evidence agree on them.
     */
    classOf(serviceLogSlowness: number): number {
        const exact = this.ownShare * (this.logSlowness - serviceLogSlowness) / Math.log(CLASS_RATIO);
        if (Math.abs(exact - this.currentClass) > CLASS_HYSTERESIS) {
            this.currentClass = Math.round(exact);
        }
        return this.currentClass;
    }

    private findCorrection(): number {
        const { count, median } = this.measured;
        const excess = Math.max(0, Math.abs(median) - Math.log(MAX_EXPLAINED_RATIO));
        const logCorrection = Math.sign(median) * excess * count / (count + PRIOR_CALLS);
        return Math.min(entryMessages.MAX_LOG_SLOWDOWN, Math.max(-entryMessages.MAX_LOG_SLOWDOWN, logCorrection));
    }
}

/** The mean of the logarithms over instances, each as far as there is evidence of it; 0 without any. */
export function meanLogSlowness(speeds: readonly InstanceSpeed[]): number {
    let sum = 0;
    let total = 0;
    for (const { ownShare, logSlowness } of speeds) {
        sum += ownShare * logSlowness;
        total += ownShare;
    }
    return total === 0 ? 0 : sum / total;
}
