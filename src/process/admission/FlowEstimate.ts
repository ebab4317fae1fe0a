/**
 * Predicts when a new request would leave each of its stages, from the agents' load words and from this entry's
 * requests under way that have yet to reach a stage. All durations in milliseconds.
 */
import * as clocks from "../../common/Clock";
import * as configurations from "../../common/Configuration";
import * as messages from "../../common/Messages";
import * as serviceTimes from "./ServiceTimes";

/** Weight of one reading in the ratio between all calls at a service and this entry's own. */
const CALL_RATIO_SMOOTHING = 0.02;
/** Weight of one reading in the mean count of a team's requests. */
const REQUEST_COUNT_SMOOTHING = 0.15;
/** Largest ratio between all calls at a service and this entry's own. */
const MAX_CALL_RATIO = 64;
/**
 * Factor on expected waits of teams that use more than their share: calls spread unevenly over the instances of a
 * service, and such a team has no claim to a place that frees up elsewhere.
 */
const OVER_SHARE_WAIT_FACTOR = 2;

/** What is known of one instance. */
export interface InstanceLoad {
    readonly load: messages.Load | undefined;
    /** Calls that this entry sent since that word. */
    readonly pending: number;
    /** Calls of this entry that wait for an answer. */
    readonly unanswered: number;
}

/** A stage by what it runs. */
export interface EstimatedStage {
    readonly service: string;
    readonly operation: string;
    readonly model?: string | undefined;
    /** Whether its answer is streamed, so that its first token is what the deadline waits for. */
    readonly isStreamed?: boolean | undefined;
}

/** What the estimates need from their entry. */
export interface FlowEstimateOptions {
    readonly clock: clocks.Clock;
    /** Usable instances of a service. */
    readonly readLoads: (service: string) => readonly InstanceLoad[];
    readonly weight: (team: string) => number;
}

/** A request on its way through its stages. */
export interface RequestProgress {
    /** The stage at `index` is about to be sent. */
    markSent(index: number): void;
    /** The stage at `index` has its answer. */
    markAnswered(index: number): void;
    /** The request has ended. */
    end(): void;
}

/** Requests under way towards or at one service. */
class ServiceDemand {
    /** Requests that have yet to be sent to the service. */
    unsentRequests = 0;
    /** Requests that have yet to be answered by the service, by team. */
    readonly unansweredByTeam = new Map<string, number>();
    /** Mean count of requests that have yet to be answered, by team; the published teams bound it. */
    private readonly meanUnansweredByTeam = new Map<string, number>();
    private meanAllCalls = 1;
    private meanOwnCalls = 1;

    /** How many calls all entries have for each of this entry's. */
    get callRatio(): number {
        return Math.min(MAX_CALL_RATIO, Math.max(1, this.meanAllCalls / this.meanOwnCalls));
    }

    /** Takes in the calls at the service, all and this entry's. */
    observeCalls(allCalls: number, ownCalls: number): void {
        if (ownCalls > 0) {
            this.meanAllCalls += CALL_RATIO_SMOOTHING * (allCalls - this.meanAllCalls);
            this.meanOwnCalls += CALL_RATIO_SMOOTHING * (ownCalls - this.meanOwnCalls);
        }
    }

    /** Requests of a team at all entries: this entry's now, and the mean count for each of the others. */
    estimateTeamRequests(team: string): number {
        return (this.unansweredByTeam.get(team) ?? 0)
            + (this.callRatio - 1) * (this.meanUnansweredByTeam.get(team) ?? 0);
    }

    /** Mean count of a team's requests at all entries. */
    estimateMeanTeamRequests(team: string): number {
        return this.callRatio * (this.meanUnansweredByTeam.get(team) ?? 0);
    }

    /** Takes in the count of a team's requests on the arrival of a new one. */
    observeTeam(team: string): void {
        const mean = this.meanUnansweredByTeam.get(team) ?? 0;
        this.meanUnansweredByTeam.set(
            team,
            mean + REQUEST_COUNT_SMOOTHING * ((this.unansweredByTeam.get(team) ?? 0) - mean),
        );
    }

    /** Changes the count of a team's requests. */
    changeCount(team: string, change: number): void {
        const count = (this.unansweredByTeam.get(team) ?? 0) + change;
        if (count > 0) {
            this.unansweredByTeam.set(team, count);
        }
        else {
            this.unansweredByTeam.delete(team);
        }
    }
}

/** The instances of a service together. */
interface ServiceCapacity {
    /** Concurrency admitted by all instances. */
    readonly limit: number;
    /** Calls at all instances. */
    readonly calls: number;
    /** Calls of this entry at all instances. */
    readonly ownCalls: number;
    readonly serviceMs: number;
}

/** The stages of a request; the last is streamed when the caller wants that and its operation streams. */
export function describeStages(
    configuration: configurations.Configuration,
    stages: readonly configurations.Stage[],
    wantsStream: boolean,
): EstimatedStage[] {
    return stages.map((stage, index) => {
        const operation = configurations.findOperation(configuration, stage.service, stage.operation);
        const isStreamed = wantsStream && index === stages.length - 1 && operation?.streams === true;
        return { service: stage.service, operation: stage.operation, model: stage.model, isStreamed };
    });
}

/** Estimates for all pipelines of an entry. */
export class FlowEstimate {
    private readonly times: serviceTimes.ServiceTimes;
    private readonly demands = new Map<string, ServiceDemand>();

    constructor(private readonly options: FlowEstimateOptions) {
        this.times = new serviceTimes.ServiceTimes(options.clock);
    }

    /** Notes the upstream time of a stage that succeeded; of a streamed one, the time until its first token. */
    observe(stage: EstimatedStage, upstreamMs: number): void {
        this.times.observe(createStageKey(stage), upstreamMs);
    }

    /** Counts a request that begins. */
    track(team: string, stages: readonly EstimatedStage[]): RequestProgress {
        const demands = stages.map(stage => this.obtainDemand(stage.service));
        demands.forEach(demand => {
            demand.unsentRequests += 1;
            demand.changeCount(team, 1);
        });
        let sentCount = 0;
        let answeredCount = 0;
        const markSentUpTo = (count: number): void => {
            for (; sentCount < count; sentCount++) {
                demands[sentCount]!.unsentRequests -= 1;
            }
        };
        const markAnsweredUpTo = (count: number): void => {
            for (; answeredCount < count; answeredCount++) {
                demands[answeredCount]!.changeCount(team, -1);
            }
        };
        return {
            markSent: index => markSentUpTo(index + 1),
            markAnswered: index => markAnsweredUpTo(index + 1),
            end() {
                markSentUpTo(demands.length);
                markAnsweredUpTo(demands.length);
            },
        };
    }

    /** Expected time until a new request of `team` has passed all of `stages`; 0 while nothing is known. */
    expectCompletionMs(team: string, stages: readonly EstimatedStage[]): number {
        let elapsedMs = 0;
        for (const stage of stages) {
            const capacity = this.readCapacity(stage.service);
            // What agents tell of a streaming service is the time of whole streams.
            const fallbackMs = stage.isStreamed ? 0 : capacity?.serviceMs ?? 0;
            const serviceMs = this.times.findEstimate(createStageKey(stage))?.meanMs ?? fallbackMs;
            const waitMs = capacity === undefined ? 0 : this.expectWaitMs(team, stage.service, capacity);
            elapsedMs = Math.max(elapsedMs, waitMs) + Math.max(serviceMs, 0);
        }
        return elapsedMs;
    }

    /** The time that the first of `stages` may use so that the later ones keep what they need. */
    findBudgetMs(stages: readonly EstimatedStage[], remainingMs: number): number {
        const [firstNeedMs, ...laterNeedsMs] = stages.map(stage => this.findNeedMs(stage));
        const laterMs = laterNeedsMs.reduce((sum, needMs) => sum + needMs, 0);
        if (firstNeedMs === undefined || laterMs === 0) {
            return remainingMs;
        }
        return Math.max(remainingMs - laterMs, remainingMs * firstNeedMs / (firstNeedMs + laterMs));
    }

    private findNeedMs(stage: EstimatedStage): number {
        const estimate = this.times.findEstimate(createStageKey(stage));
        return estimate === undefined ? 0 : estimate.meanMs + 2 * estimate.deviationMs;
    }

    /** Wait behind the team's own requests, at the pace that the other teams leave to it. */
    private expectWaitMs(team: string, service: string, capacity: ServiceCapacity): number {
        const demand = this.obtainDemand(service);
        demand.observeCalls(capacity.calls, capacity.ownCalls);
        demand.observeTeam(team);
        if (capacity.calls + demand.unsentRequests * demand.callRatio < capacity.limit) {
            return 0;
        }
        const share = this.findFairShare(demand, team, capacity.limit);
        const available = Math.max(share, this.findUnusedConcurrency(demand, team, capacity.limit));
        const waitMs = Math.max(0, demand.estimateTeamRequests(team) + 1 - available) / available * capacity.serviceMs;
        return demand.estimateMeanTeamRequests(team) > share ? waitMs * OVER_SHARE_WAIT_FACTOR : waitMs;
    }

    /** A team's part of the concurrency by its weight among the teams with requests under way. */
    private findFairShare(demand: ServiceDemand, team: string, limit: number): number {
        return limit * this.options.weight(team) / this.sumWeights(demand, team);
    }

    /** Concurrency that the other teams leave, each using its share at most. */
    private findUnusedConcurrency(demand: ServiceDemand, team: string, limit: number): number {
        const totalWeight = this.sumWeights(demand, team);
        let usedByOthers = 0;
        for (const [other, count] of demand.unansweredByTeam) {
            const share = limit * this.options.weight(other) / totalWeight;
            usedByOthers += other === team ? 0 : Math.min(count * demand.callRatio, share);
        }
        return limit - usedByOthers;
    }

    private sumWeights(demand: ServiceDemand, team: string): number {
        let sum = this.options.weight(team);
        for (const other of demand.unansweredByTeam.keys()) {
            sum += other === team ? 0 : this.options.weight(other);
        }
        return sum;
    }

    /** Undefined while an instance hasn't told its load. */
    private readCapacity(service: string): ServiceCapacity | undefined {
        let limit = 0;
        let calls = 0;
        let ownCalls = 0;
        let weightedServiceMs = 0;
        for (const { load, pending, unanswered } of this.options.readLoads(service)) {
            if (load === undefined) {
                return undefined;
            }
            limit += load.limit;
            calls += load.active + load.queued + pending;
            ownCalls += unanswered;
            weightedServiceMs += load.limit * inferServiceMs(load);
        }
        return limit === 0 ? undefined : { limit, calls, ownCalls, serviceMs: weightedServiceMs / limit };
    }

    private obtainDemand(service: string): ServiceDemand {
        let demand = this.demands.get(service);
        if (demand === undefined) {
            demand = new ServiceDemand();
            this.demands.set(service, demand);
        }
        return demand;
    }
}

/** The mean time of one call that an agent's expected time from arrival to answer implies. */
function inferServiceMs(load: messages.Load): number {
    const limit = Math.max(1, load.limit);
    const callsBefore = Math.max(0, load.queued + 1 + load.active - limit);
    return load.expectedMs / (callsBefore / limit + 1);
}

function createStageKey(stage: EstimatedStage): string {
    return `${stage.service}/${stage.operation}/${stage.model ?? ""}${stage.isStreamed ? "/stream" : ""}`;
}
