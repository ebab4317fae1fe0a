/**
 * Learned normal range of a latency, from a moving mean and a moving mean deviation.
 */

/** Observations required before the range has an upper bound. */
const MIN_OBSERVATIONS = 8;
/** Minimum weight of an observation in the moving means; the first ones weigh more. */
const SMOOTHING = 0.1;
/** Weight of an observation that lowers the deviation; small, so that rare long calls stay in range. */
const SHRINK_SMOOTHING = 0.01;
/** Deviations above the mean that are still in range. */
const MAX_DEVIATIONS = 8;
/** Multiple of the mean that is always in range. */
const MIN_BOUND_RATIO = 5;
/** Latency that is always in range. */
const MIN_BOUND_MS = 20;

/** Learns the usual latency and detects values far above it. */
export class LatencyRange {
    private observations = 0;
    private meanMs = 0;
    private deviationMs = 0;

    /** Upper bound of the range; infinite until there are enough observations. */
    get boundMs(): number {
        if (this.observations < MIN_OBSERVATIONS) {
            return Infinity;
        }
        return Math.max(MIN_BOUND_MS, this.meanMs * MIN_BOUND_RATIO, this.meanMs + this.deviationMs * MAX_DEVIATIONS);
    }

    /** Adds an observation; false when it is out of range. An invalid value is out of range and not learned. */
    observe(latencyMs: number): boolean {
        if (!(latencyMs >= 0 && latencyMs < Infinity)) {
            return false;
        }
        const boundMs = this.boundMs;
        this.update(Math.min(latencyMs, boundMs));
        return latencyMs <= boundMs;
    }

    private update(latencyMs: number): void {
        this.observations += 1;
        const weight = Math.max(SMOOTHING, 1 / this.observations);
        const differenceMs = latencyMs - this.meanMs;
        this.meanMs += weight * differenceMs;
        if (this.observations > 1) {
            const deviationChangeMs = Math.abs(differenceMs) - this.deviationMs;
            this.deviationMs += (deviationChangeMs > 0 ? weight : SHRINK_SMOOTHING) * deviationChangeMs;
        }
    }
}
