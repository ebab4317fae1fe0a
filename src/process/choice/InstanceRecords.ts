/**
 * What an entry learned of each upstream instance from its own calls, and the ejection of those that fail.
 */
import * as clocks from "../../common/Clock";

/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.1;
const DEFAULT_SERVICE_MS = 100;
const MAX_CONSECUTIVE_FAILURES = 5;
const MAX_ERROR_RATE = 0.5;
const MIN_ERROR_RATE_CALLS = 20;
const FIRST_EJECTION_MS = 5_000;
const MAX_EJECTION_MS = 60_000;
/** Time after which a trial call without an outcome is given up. */
const TRIAL_TIMEOUT_MS = 30_000;
/** Time without an ejection after which the next one is short again. */
const EJECTION_COUNT_RESET_MS = 300_000;
/** Growth per sample of the learned shortest distance, so that it follows a changed path. */
const OVERHEAD_GROWTH = 1.01;

/** What was learned of an instance loses its weight over this time without outcomes, so that it is tried again. */
const RECORD_LIFETIME_MS = 30_000;

/** An instance as its calls showed it; times in milliseconds. */
interface InstanceRecord {
    serviceMs: number | undefined;
    /** Shortest recent time between sending and answer that the upstream didn't account for. */
    overheadMs: number | undefined;
    errorRate: number;
    calls: number;
    consecutiveFailures: number;
    /** Ejections without a long time between them. */
    recentEjections: number;
    lastEjectedMs: number;
    /** End of the ejection; undefined while not ejected. A trial call is due from then on. */
    ejectedUntilMs: number | undefined;
    trialStartedMs: number | undefined;
    /** Time of the latest outcome. */
    lastOutcomeMs: number;
}

/** The records of all instances by name. */
export class InstanceRecords {
    private readonly records = new Map<string, InstanceRecord>();
    private overallServiceMs = DEFAULT_SERVICE_MS;

    constructor(private readonly clock: clocks.Clock) {}

    /** Notes an answer: time at the upstream, and time waited, in milliseconds. */
    recordSuccess(instance: string, upstreamMs: number, totalMs: number): void {
        const record = this.obtainRecord(instance);
        record.lastOutcomeMs = this.clock.now();
        record.serviceMs = average(record.serviceMs, upstreamMs);
        this.overallServiceMs = average(this.overallServiceMs, upstreamMs);
        const sampleOverheadMs = Math.max(0, totalMs - upstreamMs);
        record.overheadMs = Math.min(sampleOverheadMs, (record.overheadMs ?? Infinity) * OVERHEAD_GROWTH);
        record.consecutiveFailures = 0;
        record.calls++;
        record.errorRate = average(record.errorRate, 0);
        if (record.trialStartedMs !== undefined) {
            record.ejectedUntilMs = undefined;
            record.trialStartedMs = undefined;
        }
    }

    /** Notes a failed call. */
    recordFailure(instance: string): void {
        const record = this.obtainRecord(instance);
        record.lastOutcomeMs = this.clock.now();
        record.consecutiveFailures++;
        record.calls++;
        record.errorRate = average(record.errorRate, 1);
        const isFailing = record.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES
            || (record.errorRate > MAX_ERROR_RATE && record.calls >= MIN_ERROR_RATE_CALLS);
        const hasFailedTrial = record.trialStartedMs !== undefined;
        if (hasFailedTrial || (isFailing && record.ejectedUntilMs === undefined)) {
            this.eject(record);
        }
    }

    /** Whether the instance gets no calls now. One whose ejection has run out gets a single trial call. */
    isEjected(instance: string): boolean {
        const record = this.records.get(instance);
        if (record?.ejectedUntilMs === undefined) {
            return false;
        }
        return !this.canStartTrial(record);
    }

    /** Whether an ejected instance may get one call to show that it is well. */
    isTrialDue(instance: string): boolean {
        const record = this.records.get(instance);
        return record?.ejectedUntilMs !== undefined && this.canStartTrial(record);
    }

    /** Notes that the one call was sent. */
    startTrial(instance: string): void {
        this.obtainRecord(instance).trialStartedMs = this.clock.now();
    }

    forget(instance: string): void {
        this.records.delete(instance);
    }

    /** Mean time that the upstream took, nearing the neutral time with age; undefined before the first answer. */
    findServiceMs(instance: string): number | undefined {
        const record = this.records.get(instance);
        if (record?.serviceMs === undefined) {
            return undefined;
        }
        return this.overallServiceMs + (record.serviceMs - this.overallServiceMs) * this.findConfidence(record);
    }

    /** Time between sending and answer that the upstream doesn't account for. */
    findOverheadMs(instance: string): number {
        const record = this.records.get(instance);
        return record?.overheadMs === undefined ? 0 : record.overheadMs * this.findConfidence(record);
    }

    /** Share of failed calls, 0 to 1. */
    findErrorRate(instance: string): number {
        const record = this.records.get(instance);
        return record === undefined ? 0 : record.errorRate * this.findConfidence(record);
    }

    /** Service time taken for an instance that nothing is known of. */
    get meanServiceMs(): number {
        return this.overallServiceMs;
    }

    /** Weight of what was learned, from 1 right after an outcome down to 0. */
    private findConfidence(record: InstanceRecord): number {
        return Math.max(0, 1 - (this.clock.now() - record.lastOutcomeMs) / RECORD_LIFETIME_MS);
    }

    private canStartTrial(record: InstanceRecord): boolean {
        const nowMs = this.clock.now();
        const trialMs = record.trialStartedMs;
        return nowMs >= record.ejectedUntilMs! && (trialMs === undefined || nowMs - trialMs > TRIAL_TIMEOUT_MS);
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
        record.calls = 0;
        record.consecutiveFailures = 0;
    }

    private obtainRecord(instance: string): InstanceRecord {
        let record = this.records.get(instance);
        if (record === undefined) {
            record = {
                serviceMs: undefined,
                overheadMs: undefined,
                errorRate: 0,
                calls: 0,
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

function average(mean: number | undefined, sample: number): number {
    return mean === undefined ? sample : mean + (sample - mean) * SAMPLE_WEIGHT;
}
