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
const EJECTION_MEMORY_MS = 300_000;
/** Growth per sample of the learned shortest distance, so that it follows a changed path. */
const DISTANCE_GROWTH = 1.01;

/** What was learned of an instance loses its weight over this time without outcomes, so that it is tried again. */
const LEARNED_LIFETIME_MS = 30_000;

/** An instance as its calls showed it; times in milliseconds. */
interface InstanceRecord {
    serviceMs: number | undefined;
    /** Shortest recent time between sending and answer that the upstream didn't account for. */
    distanceMs: number | undefined;
    errorRate: number;
    calls: number;
    consecutiveFailures: number;
    /** Ejections without a long time between them. */
    ejections: number;
    lastEjectedMs: number;
    /** End of the ejection; undefined while not ejected. A trial call is due from then on. */
    ejectedUntilMs: number | undefined;
    trialStartedMs: number | undefined;
    /** Time of the latest outcome. */
    learnedMs: number;
}

/** The records of all instances by name. */
export class InstanceRecords {
    private readonly records = new Map<string, InstanceRecord>();
    private meanServiceMs = DEFAULT_SERVICE_MS;

    constructor(private readonly clock: clocks.Clock) {}

    /** Notes an answer: time at the upstream, and time waited, in milliseconds. */
    recordSuccess(instance: string, upstreamMs: number, totalMs: number): void {
        const record = this.obtain(instance);
        record.learnedMs = this.clock.now();
        record.serviceMs = average(record.serviceMs, upstreamMs);
        this.meanServiceMs = average(this.meanServiceMs, upstreamMs);
        const outsideMs = Math.max(0, totalMs - upstreamMs);
        record.distanceMs = Math.min(outsideMs, (record.distanceMs ?? Infinity) * DISTANCE_GROWTH);
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
        const record = this.obtain(instance);
        record.learnedMs = this.clock.now();
        record.consecutiveFailures++;
        record.calls++;
        record.errorRate = average(record.errorRate, 1);
        const failing = record.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES
            || (record.errorRate > MAX_ERROR_RATE && record.calls >= MIN_ERROR_RATE_CALLS);
        const failedTrial = record.trialStartedMs !== undefined;
        if (failedTrial || (failing && record.ejectedUntilMs === undefined)) {
            this.eject(record);
        }
    }

    /** Whether the instance gets no calls now. One whose ejection has run out gets a single trial call. */
    isEjected(instance: string): boolean {
        const record = this.records.get(instance);
        if (record?.ejectedUntilMs === undefined) {
            return false;
        }
        return !this.isTrialDueFor(record);
    }

    /** Whether an ejected instance may get one call to show that it is well. */
    isTrialDue(instance: string): boolean {
        const record = this.records.get(instance);
        return record?.ejectedUntilMs !== undefined && this.isTrialDueFor(record);
    }

    /** Notes that the one call was sent. */
    startTrial(instance: string): void {
        this.obtain(instance).trialStartedMs = this.clock.now();
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
        return this.meanServiceMs + (record.serviceMs - this.meanServiceMs) * this.findWeight(record);
    }

    /** Time between sending and answer that the upstream doesn't account for. */
    findDistanceMs(instance: string): number {
        const record = this.records.get(instance);
        return record?.distanceMs === undefined ? 0 : record.distanceMs * this.findWeight(record);
    }

    /** Share of failed calls, 0 to 1. */
    findErrorRate(instance: string): number {
        const record = this.records.get(instance);
        return record === undefined ? 0 : record.errorRate * this.findWeight(record);
    }

    /** Service time taken for an instance that nothing is known of. */
    get neutralServiceMs(): number {
        return this.meanServiceMs;
    }

    /** Weight of what was learned, from 1 right after an outcome down to 0. */
    private findWeight(record: InstanceRecord): number {
        return Math.max(0, 1 - (this.clock.now() - record.learnedMs) / LEARNED_LIFETIME_MS);
    }

    private isTrialDueFor(record: InstanceRecord): boolean {
        const nowMs = this.clock.now();
        const trialMs = record.trialStartedMs;
        return nowMs >= record.ejectedUntilMs! && (trialMs === undefined || nowMs - trialMs > TRIAL_TIMEOUT_MS);
    }

    private eject(record: InstanceRecord): void {
        const nowMs = this.clock.now();
        if (nowMs - record.lastEjectedMs > EJECTION_MEMORY_MS) {
            record.ejections = 0;
        }
        record.lastEjectedMs = nowMs;
        const durationMs = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** record.ejections);
        record.ejections++;
        record.ejectedUntilMs = nowMs + durationMs;
        record.trialStartedMs = undefined;
        record.errorRate = 0;
        record.calls = 0;
        record.consecutiveFailures = 0;
    }

    private obtain(instance: string): InstanceRecord {
        let record = this.records.get(instance);
        if (record === undefined) {
            record = {
                serviceMs: undefined,
                distanceMs: undefined,
                errorRate: 0,
                calls: 0,
                consecutiveFailures: 0,
                ejections: 0,
                lastEjectedMs: 0,
                ejectedUntilMs: undefined,
                trialStartedMs: undefined,
                learnedMs: this.clock.now(),
            };
            this.records.set(instance, record);
        }
        return record;
    }
}

function average(mean: number | undefined, sample: number): number {
    return mean === undefined ? sample : mean + (sample - mean) * SAMPLE_WEIGHT;
}
