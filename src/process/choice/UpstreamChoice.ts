/**
 * Chooses an upstream instance for one stage: prefers this entry's region, compares two random instances by
 * expected completion time, and prefers a holder of the prompt's prefix if its reduced expected time is no higher.
 */
import * as clocks from "../../common/Clock";
import * as messages from "../../common/Messages";
import * as records from "./InstanceRecords";
import * as prefixes from "./PrefixHolders";

/** Factor on the expected completion time at instances of this entry's failure domain. */
const SAME_DOMAIN_FACTOR = 0.97;
/** Added to the expected completion time in other regions, used if this entry's has no unsaturated instance. */
const OTHER_REGION_PENALTY_MS = 60;
/** Factor on the expected completion time at an instance that holds the prompt's prefix. */
const PREFIX_FACTOR = 0.55;
/** Occupancy (calls divided by the limit) from which an instance counts as saturated. */
const SATURATION_OCCUPANCY = 1.25;
/** Limit assumed for an instance that hasn't reported yet. */
const DEFAULT_LIMIT = 2;
/** Relative increase of a call's duration from an idle instance to one at its limit. */
const FULL_BATCH_SLOWDOWN = 1;
/** Relative increase of the expected completion time at an error rate of 1. */
const ERROR_SLOWDOWN = 4;
/** Maximum share of a service's instances that are excluded as ejected. */
const MAX_EJECTED_SHARE = 1 / 3;

const RANK_AVOIDED_DOMAIN = 4;
const RANK_OTHER_MODEL = 2;
const RANK_UNKNOWN_MODELS = 1;

/** An instance that may be chosen. */
export interface Candidate {
    readonly instance: string;
    readonly failureDomain: string;
    readonly region: string;
    /** The agent's last report; undefined before the first. */
    readonly load: messages.Load | undefined;
    /** Calls that this entry has sent since `load` was reported. */
    readonly pending: number;
}

/** Requirements and candidates of a choice. */
export interface ChoiceRequest {
    readonly service: string;
    readonly operation: string;
    /** Model that an engine should have loaded. */
    readonly model?: string | undefined;
    /** Identity of the prompt's prefix, if the stage has one. */
    readonly prefix?: string | undefined;
    /** Instances that already failed this stage; one is used only if no other instance accepts calls. */
    readonly avoidInstances: ReadonlySet<string>;
    /** Failure domains that already failed this stage; used only if no other remains. */
    readonly avoidDomains: ReadonlySet<string>;
    readonly candidates: readonly Candidate[];
}

/** A choice with its reason, for the decision log. */
export interface Choice {
    readonly candidate: Candidate;
    /** One of `only`, `trial`, `prefix`, `expected`; baseline policies have their own. */
    readonly reason: string;
    /** Names of the instances that were compared. */
    readonly considered: readonly string[];
}

/** Dependencies of the policy. */
export interface UpstreamChoiceOptions {
    readonly clock: clocks.Clock;
    /** Returns a random number from 0 up to 1, exclusive. */
    readonly random: () => number;
    readonly failureDomain: string;
    readonly region: string;
}

/** Determines which candidates are sampled. */
interface SamplingCriteria {
    bestRank: number;
    /** Whether this entry's region has an unsaturated instance of the best rank. */
    hasUnsaturatedLocal: boolean;
    /** Candidates that accept calls, avoided instances included. */
    usableCount: number;
    /** Number of ejected instances that may be excluded. */
    maxEjected: number;
}

interface CandidateSample {
    first: Candidate | undefined;
    second: Candidate | undefined;
    holder: Candidate | undefined;
    trial: Candidate | undefined;
    seenCount: number;
}

/** The policy, with its records of each instance. */
export class UpstreamChoice {
    private readonly instanceRecords: records.InstanceRecords;
    private readonly prefixHolders: prefixes.PrefixHolders;

    constructor(private readonly options: UpstreamChoiceOptions) {
        this.instanceRecords = new records.InstanceRecords(options.clock);
        this.prefixHolders = new prefixes.PrefixHolders(options.clock);
    }

    /** Chooses a candidate; undefined when none can be used. */
    choose(request: ChoiceRequest): Choice | undefined {
        const criteria = this.findCriteria(request);
        const sample = this.sampleCandidates(request, criteria);
        const choice = this.select(sample);
        if (choice === undefined) {
            return undefined;
        }
        const instance = choice.candidate.instance;
        if (choice.reason === "trial") {
            this.instanceRecords.startTrial(instance);
        }
        if (request.prefix !== undefined) {
            this.prefixHolders.record(request.prefix, instance, true);
        }
        return choice;
    }

    /** Records an answer with its time at the upstream and the total time waited. */
    recordSuccess(instance: string, upstreamMs: number, totalMs: number): void {
        this.instanceRecords.recordSuccess(instance, upstreamMs, totalMs);
    }

    /** Records a failed call; rejections by the agent's limit aren't failures. */
    recordFailure(instance: string): void {
        this.instanceRecords.recordFailure(instance);
    }

    /** Records a cache event, which is only a hint. */
    recordPrefix(instance: string, prefix: string, isHeld: boolean): void {
        this.prefixHolders.record(prefix, instance, isHeld);
    }

    /** Discards the records of an instance that left or restarted. */
    forget(instance: string): void {
        this.instanceRecords.forget(instance);
        this.prefixHolders.forget(instance);
    }

    /** Finds the best rank among the candidates, and whether this entry's region has an unsaturated instance of it. */
    private findCriteria(request: ChoiceRequest): SamplingCriteria {
        const maxEjected = Math.floor(request.candidates.length * MAX_EJECTED_SHARE);
        const criteria = { bestRank: Infinity, hasUnsaturatedLocal: false, usableCount: 0, maxEjected };
        let ejectedCount = 0;
        for (const candidate of request.candidates) {
            if (!acceptsCalls(candidate)) {
                continue;
            }
            criteria.usableCount++;
            if (this.instanceRecords.isEjected(candidate.instance) && ejectedCount < maxEjected) {
                ejectedCount++;
                continue;
            }
            if (!request.avoidInstances.has(candidate.instance)) {
                this.updateCriteria(criteria, candidate, findRank(request, candidate));
            }
        }
        return criteria;
    }

    private updateCriteria(criteria: SamplingCriteria, candidate: Candidate, rank: number): void {
        if (rank < criteria.bestRank) {
            criteria.bestRank = rank;
            criteria.hasUnsaturatedLocal = false;
        }
        if (rank === criteria.bestRank && candidate.region === this.options.region) {
            criteria.hasUnsaturatedLocal ||= findOccupancy(candidate) < SATURATION_OCCUPANCY;
        }
    }

    /** Samples two random candidates in one pass; also finds the best prefix holder and an instance due for a trial. */
    private sampleCandidates(request: ChoiceRequest, criteria: SamplingCriteria): CandidateSample {
        const sample: CandidateSample = {
            first: undefined,
            second: undefined,
            holder: undefined,
            trial: undefined,
            seenCount: 0,
        };
        const holders = request.prefix === undefined ? undefined : this.prefixHolders.find(request.prefix);
        let ejectedCount = 0;
        for (const candidate of request.candidates) {
            if (!acceptsCalls(candidate)) {
                continue;
            }
            if (this.instanceRecords.isEjected(candidate.instance) && ejectedCount < criteria.maxEjected) {
                ejectedCount++;
                continue;
            }
            if (!this.meetsCriteria(request, criteria, candidate)) {
                continue;
            }
            this.addToSample(sample, candidate);
            if (holders?.includes(candidate.instance)) {
                sample.holder = this.pickFaster(sample.holder, candidate);
            }
            if (this.instanceRecords.isTrialDue(candidate.instance)) {
                sample.trial ??= candidate;
            }
        }
        return sample;
    }

    private meetsCriteria(request: ChoiceRequest, criteria: SamplingCriteria, candidate: Candidate): boolean {
        if (request.avoidInstances.has(candidate.instance)) {
            return criteria.usableCount === 1;
        }
        if (findRank(request, candidate) !== criteria.bestRank) {
            return false;
        }
        return candidate.region === this.options.region || !criteria.hasUnsaturatedLocal;
    }

    /** Reservoir sampling of two candidates: each pair of those seen so far is kept with the same probability. */
    private addToSample(sample: CandidateSample, candidate: Candidate): void {
        sample.seenCount++;
        if (sample.first === undefined) {
            sample.first = candidate;
        }
        else if (sample.second === undefined) {
            sample.second = candidate;
        }
        else {
            const position = Math.floor(this.options.random() * sample.seenCount);
            if (position === 0) {
                sample.first = candidate;
            }
            else if (position === 1) {
                sample.second = candidate;
            }
        }
    }

    private select(sample: CandidateSample): Choice | undefined {
        const { first, second, holder, trial } = sample;
        if (first === undefined) {
            return undefined;
        }
        const considered = listInstances(sample);
        if (trial !== undefined) {
            return { candidate: trial, reason: "trial", considered };
        }
        if (second === undefined) {
            return { candidate: first, reason: "only", considered };
        }
        const faster = this.options.random() < 0.5 ? this.pickFaster(first, second) : this.pickFaster(second, first);
        if (holder !== undefined) {
            const holderMs = this.findExpectedMs(holder) * PREFIX_FACTOR;
            if (holder === faster || holderMs <= this.findExpectedMs(faster)) {
                return { candidate: holder, reason: "prefix", considered };
            }
        }
        return { candidate: faster, reason: "expected", considered };
    }

    private pickFaster(a: Candidate | undefined, b: Candidate): Candidate {
        return a !== undefined && this.findExpectedMs(a) <= this.findExpectedMs(b) ? a : b;
    }

    /** Expected time from sending a new call to its answer. */
    private findExpectedMs(candidate: Candidate): number {
        const occupancy = findOccupancy(candidate);
        const serviceMs = this.instanceRecords.findServiceMs(candidate.instance) ?? candidate.load?.expectedMs
            ?? this.instanceRecords.meanServiceMs;
        const waitMs = serviceMs * Math.max(0, occupancy - 1);
        let expectedMs = serviceMs * (1 + FULL_BATCH_SLOWDOWN * Math.min(1, occupancy)) + waitMs;
        const load = candidate.load;
        if (load !== undefined && load.expectedMs > 0) {
            const calls = load.active + load.queued + 1;
            expectedMs = (expectedMs + load.expectedMs * (calls + candidate.pending) / calls) / 2;
        }
        expectedMs += this.instanceRecords.findOverheadMs(candidate.instance);
        expectedMs *= 1 + ERROR_SLOWDOWN * this.instanceRecords.findErrorRate(candidate.instance);
        if (candidate.failureDomain === this.options.failureDomain) {
            expectedMs *= SAME_DOMAIN_FACTOR;
        }
        return candidate.region === this.options.region ? expectedMs : expectedMs + OTHER_REGION_PENALTY_MS;
    }
}

function acceptsCalls(candidate: Candidate): boolean {
    return candidate.load?.draining !== true;
}

/** Calls on the instance, the new one included, as a share of its limit. */
function findOccupancy(candidate: Candidate): number {
    const load = candidate.load;
    const calls = load === undefined ? 0 : load.active + load.queued;
    return (calls + candidate.pending + 1) / Math.max(1, load?.limit ?? DEFAULT_LIMIT);
}

/** 0 is best; a candidate of higher rank is used only if none of lower rank is available. */
function findRank(request: ChoiceRequest, candidate: Candidate): number {
    const domainRank = request.avoidDomains.has(candidate.failureDomain) ? RANK_AVOIDED_DOMAIN : 0;
    if (request.model === undefined) {
        return domainRank;
    }
    if (candidate.load === undefined) {
        return domainRank + RANK_UNKNOWN_MODELS;
    }
    return candidate.load.models.includes(request.model) ? domainRank : domainRank + RANK_OTHER_MODEL;
}

function listInstances(sample: CandidateSample): readonly string[] {
    const names: string[] = [];
    for (const candidate of [sample.first, sample.second, sample.holder, sample.trial]) {
        if (candidate !== undefined && !names.includes(candidate.instance)) {
            names.push(candidate.instance);
        }
    }
    return names;
}
