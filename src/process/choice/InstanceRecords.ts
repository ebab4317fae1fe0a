/**
 * Latency and error statistics of each upstream instance, from this entry's own calls, and outlier ejection.
 */
import * as clocks from "../../common/Clock";

/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.1;
const DEFAULT_SERVICE_MS = 100;
const EJECTION_CONSECUTIVE_FAILURES = 5;
const MAX_ERROR_RATE = 0.5;
const MIN_CALLS_FOR_ERROR_RATE = 20;
const FIRST_EJECTION_MS = 5_000;
const MAX_EJECTION_MS = 60_000;
/** Time after which a trial call without an outcome no longer prevents another trial. */
const TRIAL_TIMEOUT_MS = 30_000;
/** Time without an ejection after which the next one has the initial duration again. */
const EJECTION_COUNT_RESET_MS = 300_000;
/** Growth factor per sample of the learned minimum overhead, so that it follows a changed network path. */
const OVERHEAD_GROWTH = 1.01;

/** Time without outcomes over which a record loses its weight, so that the instance is tried again. */
const RECORD_LIFETIME_MS = 30_000;

/** Statistics of one instance. */
interface InstanceRecord {
    serviceMs: number | undefined;
    /** Recent minimum of the time from sending to answer that wasn't spent at the upstream. */
    overheadMs: number | undefined;
    errorRate: number;
    callsSinceEjection: number;
    consecutiveFailures: number;
    /** Ejections since the last interval of `EJECTION_COUNT_RESET_MS` without one. */
    recentEjections: number;
    lastEjectedMs: number;
    /** End of the ejection, after which a trial call is due; undefined while not ejected. */
    ejectedUntilMs: number | undefined;
    trialStartedMs: number | undefined;
    /** Time of the latest outcome. */
    lastOutcomeMs: number;
}

/** Records of all instances by name. */
export class InstanceRecords {
    private readonly records = new Map<string, InstanceRecord>();
    private overallServiceMs = DEFAULT_SERVICE_MS;

    constructor(private readonly clock: clocks.Clock) {}

    /** Records an answer with its time at the upstream and the total time waited. */
    recordSuccess(instance: string, upstreamMs: number, totalMs: number): void {
        const record = this.getOrCreateRecord(instance);
        record.lastOutcomeMs = this.clock.now();
        record.serviceMs = movingAverage(record.serviceMs, upstreamMs);
        this.overallServiceMs = movingAverage(this.overallServiceMs, upstreamMs);
        const sampleOverheadMs = Math.max(0, totalMs - upstreamMs);
        record.overheadMs = Math.min(sampleOverheadMs, (record.overheadMs ?? Infinity) * OVERHEAD_GROWTH);
        record.consecutiveFailures = 0;
        record.callsSinceEjection++;
        record.errorRate = movingAverage(record.errorRate, 0);
        if (record.trialStartedMs !== undefined) {
            record.ejectedUntilMs = undefined;
            record.trialStartedMs = undefined;
        }
    }

    /** Records a failed call. */
    recordFailure(instance: string): void {
        const record = this.getOrCreateRecord(instance);
        record.lastOutcomeMs = this.clock.now();
        record.consecutiveFailures++;
        record.callsSinceEjection++;
        record.errorRate = movingAverage(record.errorRate, 1);
        const isFailing = record.consecutiveFailures >= EJECTION_CONSECUTIVE_FAILURES
            || (record.errorRate > MAX_ERROR_RATE && record.callsSinceEjection >= MIN_CALLS_FOR_ERROR_RATE);
        const hasFailedTrial = record.trialStartedMs !== undefined;
        if (hasFailedTrial || (isFailing && record.ejectedUntilMs === undefined)) {
            this.eject(record);
        }
    }

    /** Whether calls to the instance are withheld. After its ejection has expired, one trial call is allowed. */
    isEjected(instance: string): boolean {
        const record = this.records.get(instance);
        if (record?.ejectedUntilMs === undefined) {
            return false;
        }
        return !this.canStartTrial(record);
    }

    /** Whether an ejected instance may get one trial call. */
    isTrialDue(instance: string): boolean {
        const record = this.records.get(instance);
        return record?.ejectedUntilMs !== undefined && this.canStartTrial(record);
    }

    /** Records that the trial call was sent. */
    startTrial(instance: string): void {
        this.getOrCreateRecord(instance).trialStartedMs = this.clock.now();
    }

    forget(instance: string): void {
        this.records.delete(instance);
    }

    /** Mean time at the upstream, converging to the overall mean with age; undefined before the first answer. */
    findServiceMs(instance: string): number | undefined {
        const record = this.records.get(instance);
        if (record?.serviceMs === undefined) {
            return undefined;
        }
        return this.overallServiceMs + (record.serviceMs - this.overallServiceMs) * this.findConfidence(record);
    }

    /** Time between sending and answer that isn't spent at the upstream. */
    findOverheadMs(instance: string): number {
        const record = this.records.get(instance);
        return record?.overheadMs === undefined ? 0 : record.overheadMs * this.findConfidence(record);
    }

    /** Share of failed calls, 0 to 1. */
    findErrorRate(instance: string): number {
        const record = this.records.get(instance);
        return record === undefined ? 0 : record.errorRate * this.findConfidence(record);
    }

    /** Service time assumed for an instance without a record. */
    get meanServiceMs(): number {
        return this.overallServiceMs;
    }

    /** Weight of a record, from 1 right after an outcome down to 0. */
    private findConfidence(record: InstanceRecord): number {
        return Math.max(0, 1 - (this.clock.now() - record.lastOutcomeMs) / RECORD_LIFETIME_MS);
    }

    private canStartTrial(record: InstanceRecord): boolean {
        const nowMs = this.clock.now();
        const trialStartedMs = record.trialStartedMs;
        return nowMs >= record.ejectedUntilMs!
            && (trialStartedMs === undefined || nowMs - trialStartedMs > TRIAL_TIMEOUT_MS);
    }

    private eject(record: InstanceRecord): void {
        const nowMs = this.clock.now();
        if (nowMs - record.lastEjectedMs > EJECTION_COUNT_RESET_MS) {
            record.recentEjections = 0;
        }
        record.lastEjectedMs = nowMs;
        const durationMs = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** record.recentEjections);
        record.recentEjections++;
        record.ejectedUntilMs = nowMs + durationMs;
        record.trialStartedMs = undefined;
        record.errorRate = 0;
        record.callsSinceEjection = 0;
        record.consecutiveFailures = 0;
    }

    private getOrCreateRecord(instance: string): InstanceRecord {
        let record = this.records.get(instance);
        if (record === undefined) {
            record = {
                serviceMs: undefined,
                overheadMs: undefined,
                errorRate: 0,
                callsSinceEjection: 0,
                consecutiveFailures: 0,
                recentEjections: 0,
                lastEjectedMs: 0,
                ejectedUntilMs: undefined,
                trialStartedMs: undefined,
                lastOutcomeMs: this.clock.now(),
            };
            this.records.set(instance, record);
        }
        return record;
    }
}

function movingAverage(mean: number | undefined, sample: number): number {
    return mean === undefined ? sample : mean + (sample - mean) * SAMPLE_WEIGHT;
}
