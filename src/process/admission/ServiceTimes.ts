/**
 * Learned service times by operation. An estimate expires without new observations: one that is too high after
 * a slow episode could otherwise never be corrected, since all calls would be rejected as unable to meet their
 * deadline.
 */
import * as clocks from "../../common/Clock";

/** Weight of one observation in the moving means. */
const SMOOTHING = 0.1;
/** Weight of an observation above the usual range; larger, so that a slowdown of the upstream is noticed soon. */
const SLOW_SMOOTHING = 0.3;
/** Deviations above the mean that are still in the usual range. */
const MAX_USUAL_DEVIATIONS = 3;
/** Minimum time that an estimate stays valid without a new observation. */
const MIN_VALIDITY_MS = 5_000;
/** An estimate stays valid for at least this multiple of its mean. */
const VALIDITY_RATIO = 4;
/** Maximum number of operations; the least recently observed is evicted first. */
const MAX_OPERATIONS = 256;

interface Estimate {
    meanMs: number;
    deviationMs: number;
    updatedMs: number;
}

/** Moving estimates of the duration of calls at the upstream. */
export class ServiceTimes {
    private readonly estimates = new Map<string, Estimate>();
    private overallEstimate: Estimate | undefined;

    constructor(private readonly clock: clocks.Clock) {}

    /** Mean over all operations; undefined without a valid estimate. */
    get meanMs(): number | undefined {
        return this.isValid(this.overallEstimate) ? this.overallEstimate.meanMs : undefined;
    }

    /** Mean of one operation, or over all when it is unknown; undefined without a valid estimate. */
    findMeanMs(operation: string): number | undefined {
        const estimate = this.estimates.get(operation);
        return this.isValid(estimate) ? estimate.meanMs : this.meanMs;
    }

    /** Mean and mean deviation of one operation; undefined without a valid estimate. */
    findEstimate(operation: string): { readonly meanMs: number; readonly deviationMs: number } | undefined {
        const estimate = this.estimates.get(operation);
        return this.isValid(estimate) ? estimate : undefined;
    }

    /** Low estimate for one operation, which rarely takes less: mean minus mean deviation; 0 without a valid one. */
    findLowEstimateMs(operation: string): number {
        const estimate = this.estimates.get(operation);
        return this.isValid(estimate) ? Math.max(0, estimate.meanMs - estimate.deviationMs) : 0;
    }

    /** Adds the duration of a successful call. */
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
