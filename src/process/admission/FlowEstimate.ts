/**
 * Estimates the time until a new request would complete its stages, from the load that agents report and from this
 * entry's requests in progress.
 */
import * as clocks from "../../common/Clock";
import * as configurations from "../../common/Configuration";
import * as messages from "../../common/Messages";
import * as serviceTimes from "./ServiceTimes";

/** Weight of one observation in the ratio of all calls at a service to this entry's calls. */
const CALL_RATIO_SMOOTHING = 0.02;
/** Weight of one observation in the mean number of a team's requests. */
const REQUEST_COUNT_SMOOTHING = 0.15;
/** Maximum ratio of all calls at a service to this entry's calls. */
const MAX_CALL_RATIO = 64;
/**
 * Factor on the expected wait of teams that use more than their share: calls are unevenly distributed over the
 * instances of a service, and capacity that becomes free on another instance goes to other teams first.
 */
const OVER_SHARE_WAIT_FACTOR = 2;

/** Known load of one instance. */
export interface InstanceLoad {
    readonly load: messages.Load | undefined;
    /** Calls that this entry has sent since `load` was reported. */
    readonly pending: number;
    /** Calls and queries of this entry that await an answer. */
    readonly unanswered: number;
}

/** Properties of a stage by which its duration is learned. */
export interface EstimatedStage {
    readonly service: string;
    readonly operation: string;
    readonly model?: string | undefined;
    /** Whether its answer is streamed, so that the deadline applies to the first token. */
    readonly isStreamed?: boolean | undefined;
}

/** Dependencies of the estimates. */
export interface FlowEstimateOptions {
    readonly clock: clocks.Clock;
    /** Loads of the usable instances of a service. */
    readonly readLoads: (service: string) => readonly InstanceLoad[];
    readonly weight: (team: string) => number;
}

/** Tracks a request through its stages. */
export interface RequestProgress {
    /** Marks the stage at `index` and all before it as sent; called right before sending. */
    markSent(index: number): void;
    /** Marks the stage at `index` and all before it as answered. */
    markAnswered(index: number): void;
    /** Marks all stages as sent and answered; called when the request has ended. */
    end(): void;
}

/** Requests in progress that still need one service. */
class ServiceDemand {
    /** Requests not yet sent to the service. */
    unsentRequests = 0;
    /** Requests not yet answered by the service, by team. */
    readonly unansweredByTeam = new Map<string, number>();
    /** Mean number of requests not yet answered, by team. Never shrinks, but is bounded by the published teams. */
    private readonly meanUnansweredByTeam = new Map<string, number>();
    private meanAllCalls = 1;
    private meanOwnCalls = 1;

    /** Ratio of all calls at the service to this entry's calls. */
    get callRatio(): number {
        return Math.min(MAX_CALL_RATIO, Math.max(1, this.meanAllCalls / this.meanOwnCalls));
    }

    /** Adds an observation of the calls at the service: all of them, and this entry's. */
    observeCalls(allCalls: number, ownCalls: number): void {
        if (ownCalls > 0) {
            this.meanAllCalls += CALL_RATIO_SMOOTHING * (allCalls - this.meanAllCalls);
            this.meanOwnCalls += CALL_RATIO_SMOOTHING * (ownCalls - this.meanOwnCalls);
        }
    }

    /** Estimated requests of a team at all entries: the current number here, and the scaled mean for the others. */
    estimateTeamRequests(team: string): number {
        return (this.unansweredByTeam.get(team) ?? 0)
            + (this.callRatio - 1) * (this.meanUnansweredByTeam.get(team) ?? 0);
    }

    /** Estimated mean number of a team's requests at all entries. */
    estimateMeanTeamRequests(team: string): number {
        return this.callRatio * (this.meanUnansweredByTeam.get(team) ?? 0);
    }

    /** Updates the mean number of a team's requests on the arrival of a new one. */
    observeTeam(team: string): void {
        const mean = this.meanUnansweredByTeam.get(team) ?? 0;
        this.meanUnansweredByTeam.set(
            team,
            mean + REQUEST_COUNT_SMOOTHING * ((this.unansweredByTeam.get(team) ?? 0) - mean),
        );
    }

    /** Changes the number of a team's unanswered requests. */
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

/** Capacity and load of all instances of a service. */
interface ServiceCapacity {
    /** Sum of the instances' concurrency limits. */
    readonly limit: number;
    /** Calls at all instances. */
    readonly calls: number;
    /** Calls of this entry at all instances. */
    readonly ownCalls: number;
    readonly serviceMs: number;
}

/** The stages of a request; the last is streamed when the caller asks for it and its operation streams. */
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

/** Tracks the requests of an entry and estimates the completion of new ones. */
export class FlowEstimate {
    private readonly times: serviceTimes.ServiceTimes;
    private readonly demands = new Map<string, ServiceDemand>();

    constructor(private readonly options: FlowEstimateOptions) {
        this.times = new serviceTimes.ServiceTimes(options.clock);
    }

    /** Adds the upstream time of a successful stage; for a streamed one, the time until its first token. */
    observe(stage: EstimatedStage, upstreamMs: number): void {
        this.times.observe(createStageKey(stage), upstreamMs);
    }

    /** Registers a new request. */
    track(team: string, stages: readonly EstimatedStage[]): RequestProgress {
        const demands = stages.map(stage => this.getOrCreateDemand(stage.service));
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

    /**
     * Expected time until a new request of `team` has completed all `stages`; 0 while no times are known. Each call
     * also updates the moving means, so it should be called once per request.
     */
    expectCompletionMs(team: string, stages: readonly EstimatedStage[]): number {
        let elapsedMs = 0;
        for (const stage of stages) {
            const capacity = this.readCapacity(stage.service);
            // For a streaming service, agents report the duration of complete streams.
            const fallbackMs = stage.isStreamed ? 0 : capacity?.serviceMs ?? 0;
            const serviceMs = this.times.findEstimate(createStageKey(stage))?.meanMs ?? fallbackMs;
            const waitMs = capacity === undefined ? 0 : this.expectWaitMs(team, stage.service, capacity);
            elapsedMs = Math.max(elapsedMs, waitMs) + Math.max(serviceMs, 0);
        }
        return elapsedMs;
    }

    /** Time budget of the first of `stages`: what the later ones don't need, but at least its proportional share. */
    findBudgetMs(stages: readonly EstimatedStage[], remainingMs: number): number {
        const [firstNeedMs, ...laterNeedsMs] = stages.map(stage => this.findHighEstimateMs(stage));
        const laterMs = laterNeedsMs.reduce((sum, needMs) => sum + needMs, 0);
        if (firstNeedMs === undefined || laterMs === 0) {
            return remainingMs;
        }
        return Math.max(remainingMs - laterMs, remainingMs * firstNeedMs / (firstNeedMs + laterMs));
    }

    /** Duration that a stage rarely exceeds; 0 without a valid estimate. */
    private findHighEstimateMs(stage: EstimatedStage): number {
        const estimate = this.times.findEstimate(createStageKey(stage));
        return estimate === undefined ? 0 : estimate.meanMs + 2 * estimate.deviationMs;
    }

    /** Wait behind the team's own requests, at the concurrency that the other teams leave to it. */
    private expectWaitMs(team: string, service: string, capacity: ServiceCapacity): number {
        const demand = this.getOrCreateDemand(service);
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

    /** A team's share of the concurrency, by weight among the teams with unanswered requests. */
    private findFairShare(demand: ServiceDemand, team: string, limit: number): number {
        return limit * this.options.weight(team) / this.sumWeights(demand, team);
    }

    /** Concurrency that the other teams leave when each uses at most its share. */
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

    /** Undefined while an instance hasn't reported its load, and when the service has no capacity. */
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

    private getOrCreateDemand(service: string): ServiceDemand {
        let demand = this.demands.get(service);
        if (demand === undefined) {
            demand = new ServiceDemand();
            this.demands.set(service, demand);
        }
        return demand;
    }
}

/** Mean service time implied by an agent's expected time from arrival to answer. */
function inferServiceMs(load: messages.Load): number {
    const limit = Math.max(1, load.limit);
    const callsBefore = Math.max(0, load.queued + 1 + load.active - limit);
    return load.expectedMs / (callsBefore / limit + 1);
}

function createStageKey(stage: EstimatedStage): string {
    return `${stage.service}/${stage.operation}/${stage.model ?? ""}${stage.isStreamed ? "/stream" : ""}`;
}
