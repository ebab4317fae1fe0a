/**
 * Chooses an upstream instance for one stage: near instances first, two random ones compared by expected
 * completion, and a holder of the prompt's prefix compared with them at a discount.
 */
import * as clocks from "../../common/Clock";
import * as messages from "../../common/Messages";
import * as records from "./InstanceRecords";
import * as prefixes from "./PrefixHolders";

/** Factor on the expected completion of the own failure domain's instances. */
const OWN_DOMAIN_FACTOR = 0.97;
/** Added to the expected completion of instances in other regions, which are used only under saturation. */
const OTHER_REGION_MS = 60;
/** Factor on the expected completion at an instance that holds the prompt's prefix. */
const PREFIX_FACTOR = 0.55;
/** Calls on an instance, as a share of its limit, from which it counts as saturated. */
const SATURATED_SHARE = 1.25;
/** Limit taken for an instance that hasn't reported yet. */
const UNKNOWN_LIMIT = 2;
/** Growth of a call's duration from an idle instance to one at its limit, as a share of the idle duration. */
const FULL_BATCH_SLOWDOWN = 1;
/** Growth of the expected completion at an error rate of 1, as a share. */
const ERROR_SLOWDOWN = 4;
/** Most instances of a service that may be ejected, as a share. */
const MAX_EJECTED_SHARE = 1 / 3;

const PREFERENCE_AVOIDED_DOMAIN = 4;
const PREFERENCE_OTHER_MODEL = 2;
const PREFERENCE_UNKNOWN_MODELS = 1;

/** An instance that may be chosen. */
export interface Candidate {
    readonly instance: string;
    readonly failureDomain: string;
    readonly region: string;
    /** The agent's last word; undefined before the first. */
    readonly load: messages.Load | undefined;
    /** Calls that this entry sent since that word and that are unanswered. */
    readonly pending: number;
}

/** What is to be chosen. */
export interface ChoiceRequest {
    readonly service: string;
    readonly operation: string;
    /** Model that an engine should hold. */
    readonly model?: string | undefined;
    /** Identity of the prompt's prefix, when the stage has one. */
    readonly prefix?: string | undefined;
    /** Instances that failed this stage already; one is used only when it is the only one that takes work. */
    readonly avoidInstances: ReadonlySet<string>;
    /** Failure domains that failed this stage already; used when nothing else is left. */
    readonly avoidDomains: ReadonlySet<string>;
    readonly candidates: readonly Candidate[];
}

/** A choice with its grounds, for the log of decisions. */
export interface Choice {
    readonly candidate: Candidate;
    /** One of `only`, `trial`, `prefix`, `expected`. */
    readonly reason: string;
    /** Names of the instances that were compared. */
    readonly considered: readonly string[];
}

/** What the policy needs from its entry. */
export interface UpstreamChoiceOptions {
    readonly clock: clocks.Clock;
    /** Draws from 0 up to 1. */
    readonly random: () => number;
    readonly failureDomain: string;
    readonly region: string;
}

/** Which candidates a choice is drawn from. */
interface Pool {
    preference: number;
    /** Whether an instance of the own region has room. */
    hasFreeNear: boolean;
    /** Candidates that take work, avoided instances included. */
    usable: number;
    ejectedAllowance: number;
}

interface Drawn {
    first: Candidate | undefined;
    second: Candidate | undefined;
    holder: Candidate | undefined;
    trial: Candidate | undefined;
    count: number;
}

/** The policy, with what it learned of each instance. */
export class UpstreamChoice {
    private readonly learned: records.InstanceRecords;
    private readonly holders: prefixes.PrefixHolders;

    constructor(private readonly options: UpstreamChoiceOptions) {
        this.learned = new records.InstanceRecords(options.clock);
        this.holders = new prefixes.PrefixHolders(options.clock);
    }

    /** Chooses a candidate; undefined when none takes work. */
    choose(request: ChoiceRequest): Choice | undefined {
        const pool = this.findPool(request);
        const drawn = this.draw(request, pool);
        const choice = this.compare(drawn);
        if (choice === undefined) {
            return undefined;
        }
        const instance = choice.candidate.instance;
        if (choice.reason === "trial") {
            this.learned.startTrial(instance);
        }
        if (request.prefix !== undefined) {
            this.holders.record(request.prefix, instance, true);
        }
        return choice;
    }

    /** Learns from an answer: the time at the upstream, and the time that this entry waited. */
    recordSuccess(instance: string, upstreamMs: number, totalMs: number): void {
        this.learned.recordSuccess(instance, upstreamMs, totalMs);
    }

    /** Learns from a failed call; refusals by the agent's limit aren't failures. */
    recordFailure(instance: string): void {
        this.learned.recordFailure(instance);
    }

    /** Takes in a cache event; a hint only. */
    recordPrefix(instance: string, prefix: string, held: boolean): void {
        this.holders.record(prefix, instance, held);
    }

    /** Drops what was learned of an instance that left or restarted. */
    forget(instance: string): void {
        this.learned.forget(instance);
        this.holders.forget(instance);
    }

    /** Finds the best preference among the candidates that take work, and whether near ones have room. */
    private findPool(request: ChoiceRequest): Pool {
        const ejectedAllowance = Math.floor(request.candidates.length * MAX_EJECTED_SHARE);
        const pool = { preference: Infinity, hasFreeNear: false, usable: 0, ejectedAllowance };
        let skipped = 0;
        for (const candidate of request.candidates) {
            if (!takesWork(candidate)) {
                continue;
            }
            pool.usable++;
            if (this.learned.isEjected(candidate.instance) && skipped < ejectedAllowance) {
                skipped++;
                continue;
            }
            if (!request.avoidInstances.has(candidate.instance)) {
                this.extendPool(pool, candidate, findPreference(request, candidate));
            }
        }
        return pool;
    }

    private extendPool(pool: Pool, candidate: Candidate, preference: number): void {
        if (preference < pool.preference) {
            pool.preference = preference;
            pool.hasFreeNear = false;
        }
        if (preference === pool.preference && candidate.region === this.options.region) {
            pool.hasFreeNear ||= findOccupancy(candidate) < SATURATED_SHARE;
        }
    }

    /** Draws two random candidates of the pool in one pass, and finds the best prefix holder and a due trial. */
    private draw(request: ChoiceRequest, pool: Pool): Drawn {
        const drawn: Drawn = { first: undefined, second: undefined, holder: undefined, trial: undefined, count: 0 };
        const held = request.prefix === undefined ? undefined : this.holders.find(request.prefix);
        let skipped = 0;
        for (const candidate of request.candidates) {
            if (!takesWork(candidate)) {
                continue;
            }
            if (this.learned.isEjected(candidate.instance) && skipped < pool.ejectedAllowance) {
                skipped++;
                continue;
            }
            if (!this.isInPool(request, pool, candidate)) {
                continue;
            }
            this.sample(drawn, candidate);
            if (held?.includes(candidate.instance)) {
                drawn.holder = this.pickCheaper(drawn.holder, candidate);
            }
            if (this.learned.isTrialDue(candidate.instance)) {
                drawn.trial ??= candidate;
            }
        }
        return drawn;
    }

    private isInPool(request: ChoiceRequest, pool: Pool, candidate: Candidate): boolean {
        if (request.avoidInstances.has(candidate.instance)) {
            return pool.usable === 1;
        }
        if (findPreference(request, candidate) !== pool.preference) {
            return false;
        }
        return candidate.region === this.options.region || !pool.hasFreeNear;
    }

    /** Keeps two candidates, each pair of those seen so far with the same probability. */
    private sample(drawn: Drawn, candidate: Candidate): void {
        drawn.count++;
        if (drawn.first === undefined) {
            drawn.first = candidate;
        }
        else if (drawn.second === undefined) {
            drawn.second = candidate;
        }
        else {
            const place = Math.floor(this.options.random() * drawn.count);
            if (place === 0) {
                drawn.first = candidate;
            }
            else if (place === 1) {
                drawn.second = candidate;
            }
        }
    }

    private compare(drawn: Drawn): Choice | undefined {
        const { first, second, holder, trial } = drawn;
        if (first === undefined) {
            return undefined;
        }
        const considered = listNames(drawn);
        if (trial !== undefined) {
            return { candidate: trial, reason: "trial", considered };
        }
        if (second === undefined) {
            return { candidate: first, reason: "only", considered };
        }
        const cheaper = this.options.random() < 0.5 ? this.pickCheaper(first, second) : this.pickCheaper(second, first);
        if (holder !== undefined) {
            const holderMs = this.findExpectedMs(holder) * PREFIX_FACTOR;
            if (holder === cheaper || holderMs <= this.findExpectedMs(cheaper)) {
                return { candidate: holder, reason: "prefix", considered };
            }
        }
        return { candidate: cheaper, reason: "expected", considered };
    }

    private pickCheaper(a: Candidate | undefined, b: Candidate): Candidate {
        return a !== undefined && this.findExpectedMs(a) <= this.findExpectedMs(b) ? a : b;
    }

    /** The expected time from sending a new call to its answer, in milliseconds. */
    private findExpectedMs(candidate: Candidate): number {
        const occupancy = findOccupancy(candidate);
        const serviceMs = this.learned.findServiceMs(candidate.instance) ?? candidate.load?.expectedMs
            ?? this.learned.neutralServiceMs;
        const waitMs = serviceMs * Math.max(0, occupancy - 1);
        let expectedMs = serviceMs * (1 + FULL_BATCH_SLOWDOWN * Math.min(1, occupancy)) + waitMs;
        const load = candidate.load;
        if (load !== undefined && load.expectedMs > 0) {
            const calls = load.active + load.queued + 1;
            expectedMs = (expectedMs + load.expectedMs * (calls + candidate.pending) / calls) / 2;
        }
        expectedMs += this.learned.findDistanceMs(candidate.instance);
        expectedMs *= 1 + ERROR_SLOWDOWN * this.learned.findErrorRate(candidate.instance);
        if (candidate.failureDomain === this.options.failureDomain) {
            expectedMs *= OWN_DOMAIN_FACTOR;
        }
        return candidate.region === this.options.region ? expectedMs : expectedMs + OTHER_REGION_MS;
    }
}

function takesWork(candidate: Candidate): boolean {
    return candidate.load?.draining !== true;
}

/** Calls on the instance with the new one, as a share of its limit. */
function findOccupancy(candidate: Candidate): number {
    const load = candidate.load;
    const calls = load === undefined ? 0 : load.active + load.queued;
    return (calls + candidate.pending + 1) / Math.max(1, load?.limit ?? UNKNOWN_LIMIT);
}

/** 0 for the best; a higher number is used only when no candidate has a lower one. */
function findPreference(request: ChoiceRequest, candidate: Candidate): number {
    const avoided = request.avoidDomains.has(candidate.failureDomain) ? PREFERENCE_AVOIDED_DOMAIN : 0;
    if (request.model === undefined) {
        return avoided;
    }
    if (candidate.load === undefined) {
        return avoided + PREFERENCE_UNKNOWN_MODELS;
    }
    return candidate.load.models.includes(request.model) ? avoided : avoided + PREFERENCE_OTHER_MODEL;
}

function listNames(drawn: Drawn): readonly string[] {
    const names: string[] = [];
    for (const candidate of [drawn.first, drawn.second, drawn.holder, drawn.trial]) {
        if (candidate !== undefined && !names.includes(candidate.instance)) {
            names.push(candidate.instance);
        }
    }
    return names;
}
