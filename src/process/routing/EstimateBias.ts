/**
 * How far estimates were off lately. Load it answers: a burst during which instances carry less than is published,
 * since memory for results runs short or one of them is slow.
 */

/** Weight of the newest observation. */
const NEWEST_WEIGHT = 0.2;
/** Time in which a bias without new observations falls to a third. */
const DECAY_TIME_CONSTANT_MS = 1_500;
/** Largest bias: a disturbance that has ended mustn't keep calls out, and without calls nothing new is learned. */
const MAX_BIAS_MS = 500;

/** Learns from estimates and what came of them. */
export class EstimateBias {
    private biasMs = 0;
    private updatedMs = -Infinity;

    /** Notes the end of something that was estimated. */
    record(estimateMs: number, actualMs: number, nowMs: number): void {
        const currentMs = this.valueMs(nowMs);
        const errorMs = Math.min(MAX_BIAS_MS, actualMs - estimateMs);
        this.biasMs = currentMs + (errorMs - currentMs) * NEWEST_WEIGHT;
        this.updatedMs = nowMs;
    }

    /** What an estimate made now is expected to fall short by, in milliseconds. */
    valueMs(nowMs: number): number {
        const ageMs = nowMs - this.updatedMs;
        return this.biasMs === 0 ? 0 : this.biasMs * Math.exp(-ageMs / DECAY_TIME_CONSTANT_MS);
    }
}
