/**
 * Learned service times by operation, in milliseconds. An estimate that wasn't confirmed for a while no longer
 * counts, so that one slow episode can't make everything look unreachable for good.
 */
import * as clocks from "../../common/Clock";

/** Weight of one observation in the moving means. */
const SMOOTHING = 0.1;
/** Weight of an observation above the usual range, so that an upstream that turns slow is noticed soon. */
const SLOW_SMOOTHING = 0.3;
/** Deviations above the mean that are still in the usual range. */
const MAX_USUAL_DEVIATIONS = 3;
/** Shortest time that an estimate stays valid without a new observation. */
const MIN_VALIDITY_MS = 5_000;
/** An estimate stays valid for at least this many times its own value. */
const VALIDITY_RATIO = 4;
/** Operations remembered; the one learned longest ago goes first. */
const MAX_OPERATIONS = 256;

interface Estimate {
    meanMs: number;
    deviationMs: number;
    updatedMs: number;
}

/** Moving estimates of how long calls take at the upstream. */
export class ServiceTimes {
    private readonly estimates = new Map<string, Estimate>();
    private overallEstimate: Estimate | undefined;

    constructor(private readonly clock: clocks.Clock) {}

    /** Mean over all operations; undefined when nothing valid was learned. */
    get meanMs(): number | undefined {
        return this.isValid(this.overallEstimate) ? this.overallEstimate.meanMs : undefined;
    }

    /** Mean of one operation, or over all when it is unknown; undefined when nothing valid was learned. */
    findMeanMs(operation: string): number | undefined {
        const estimate = this.estimates.get(operation);
        return this.isValid(estimate) ? estimate.meanMs : this.meanMs;
    }

    /** Mean and mean deviation of one operation; undefined when nothing valid was learned of it. */
    findEstimate(operation: string): { readonly meanMs: number; readonly deviationMs: number } | undefined {
        const estimate = this.estimates.get(operation);
        return this.isValid(estimate) ? estimate : undefined;
    }

    /** Time below which the operation hardly ever ends; 0 when nothing valid was learned. */
    findLowEstimateMs(operation: string): number {
        const estimate = this.estimates.get(operation);
        return this.isValid(estimate) ? Math.max(0, estimate.meanMs - estimate.deviationMs) : 0;
    }

    /** Takes in the time that a successful call took. */
    observe(operation: string, serviceMs: number): void {
        const nowMs = this.clock.now();
        const estimate = updateEstimate(this.estimates.get(operation), serviceMs, nowMs);
        this.overallEstimate = updateEstimate(this.overallEstimate, serviceMs, nowMs);
        this.estimates.delete(operation);
        this.estimates.set(operation, estimate);
        if (this.estimates.size > MAX_OPERATIONS) {
            const [oldest] = this.estimates.keys();
            this.estimates.delete(oldest!);
        }
    }

    private isValid(estimate: Estimate | undefined): estimate is Estimate {
        return estimate !== undefined
            && this.clock.now() - estimate.updatedMs <= Math.max(MIN_VALIDITY_MS, estimate.meanMs * VALIDITY_RATIO);
    }
}

function updateEstimate(estimate: Estimate | undefined, serviceMs: number, updatedMs: number): Estimate {
    if (estimate === undefined) {
        return { meanMs: serviceMs, deviationMs: 0, updatedMs };
    }
    const differenceMs = serviceMs - estimate.meanMs;
    const isSlow = differenceMs > estimate.deviationMs * MAX_USUAL_DEVIATIONS;
    const weight = isSlow ? SLOW_SMOOTHING : SMOOTHING;
    estimate.meanMs += weight * differenceMs;
    estimate.deviationMs += weight * (Math.abs(differenceMs) - estimate.deviationMs);
    estimate.updatedMs = updatedMs;
    return estimate;
}
