/**
 * Recent error of the admission estimates. Corrects them in bursts during which instances sustain less than their
 * published capacity, because result memory runs short or an instance is slow.
 */

/** Weight of the newest error in the moving average. */
const NEWEST_WEIGHT = 0.2;
/** Without new observations the bias decays to 1/e (about a third) in this time. */
const DECAY_TIME_CONSTANT_MS = 1_500;
/** Maximum: only orders admitted as in time update the bias, so a larger one could reject orders long after a burst. */
const MAX_BIAS_MS = 500;

/** Decaying moving average of the difference between actual and estimated times. */
export class EstimateBias {
    private biasMs = 0;
    private updatedMs = -Infinity;

    /** Records the actual time of a completed order and its estimate. */
    record(estimateMs: number, actualMs: number, nowMs: number): void {
        const currentMs = this.valueMs(nowMs);
        const errorMs = Math.min(MAX_BIAS_MS, actualMs - estimateMs);
        this.biasMs = currentMs + (errorMs - currentMs) * NEWEST_WEIGHT;
        this.updatedMs = nowMs;
    }

    /** Time by which a current estimate is expected to be too short, in milliseconds. */
    valueMs(nowMs: number): number {
        const ageMs = nowMs - this.updatedMs;
        return this.biasMs === 0 ? 0 : this.biasMs * Math.exp(-ageMs / DECAY_TIME_CONSTANT_MS);
    }
}
