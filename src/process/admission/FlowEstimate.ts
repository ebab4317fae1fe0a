/**
 * Predicts when a new request would leave each of its stages, from the agents' load words and from this entry's
 * requests under way that have yet to reach a stage. All durations in milliseconds.
 */
import * as clocks from "../../common/Clock";
import * as configurations from "../../common/Configuration";
import * as messages from "../../common/Messages";
import * as serviceTimes from "./ServiceTimes";

/** Weight of one reading in the ratio between all calls at a service and this entry's own. */
const RATIO_SMOOTHING = 0.02;
/** Weight of one reading in the mean count of a team's requests. */
const COUNT_SMOOTHING = 0.15;
/** Largest ratio between all calls at a service and this entry's own. */
const MAX_RATIO = 64;
/**
 * Factor on expected waits of teams that use more than their share: calls spread unevenly over the instances of a
 * service, and such a team has no claim to a place that frees up elsewhere.
 */
const WAIT_FACTOR = 2;

/** What is known of one instance. */
export interface InstanceLoad {
    readonly load: messages.Load | undefined;
    /** Calls that this entry sent since that word. */
    readonly pending: number;
    /** Calls of this entry that wait for an answer. */
    readonly waiting: number;
}

/** A stage by what it runs. */
export interface FlowStage {
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
    readonly loads: (service: string) => readonly InstanceLoad[];
    readonly weight: (team: string) => number;
}

/** A request on its way through its stages. */
export interface FlowTicket {
    /** The stage at `index` is about to be sent. */
    start(index: number): void;
    /** The stage at `index` has its answer. */
    pass(index: number): void;
    /** The request has ended. */
    end(): void;
}

/** Requests under way towards or at one service. */
class ServiceFlow {
    /** Requests that have yet to be sent to the service. */
    ahead = 0;
    /** Requests that have yet to be answered by the service, by team. */
    readonly unpassed = new Map<string, number>();
    /** Mean count of requests that have yet to be answered, by team; the published teams bound it. */
    private readonly meanUnpassed = new Map<string, number>();
    private allCalls = 1;
    private ownCalls = 1;

    /** How many calls all entries have for each of this entry's. */
    get ratio(): number {
        return Math.min(MAX_RATIO, Math.max(1, this.allCalls / this.ownCalls));
    }

    /** Takes in the calls at the service, all and this entry's. */
    observe(allCalls: number, ownCalls: number): void {
        if (ownCalls > 0) {
            this.allCalls += RATIO_SMOOTHING * (allCalls - this.allCalls);
            this.ownCalls += RATIO_SMOOTHING * (ownCalls - this.ownCalls);
        }
    }

    /** Requests of a team at all entries: this entry's now, and the mean count for each of the others. */
    estimateAll(team: string): number {
        return (this.unpassed.get(team) ?? 0) + (this.ratio - 1) * (this.meanUnpassed.get(team) ?? 0);
    }

    /** Mean count of a team's requests at all entries. */
    estimateMean(team: string): number {
        return this.ratio * (this.meanUnpassed.get(team) ?? 0);
    }

    /** Takes in the count of a team's requests on the arrival of a new one. */
    observeTeam(team: string): void {
        const mean = this.meanUnpassed.get(team) ?? 0;
        this.meanUnpassed.set(team, mean + COUNT_SMOOTHING * ((this.unpassed.get(team) ?? 0) - mean));
    }

    /** Changes the count of a team's requests. */
    add(team: string, change: number): void {
        const count = (this.unpassed.get(team) ?? 0) + change;
        if (count > 0) {
            this.unpassed.set(team, count);
        }
        else {
            this.unpassed.delete(team);
        }
    }
}

/** The instances of a service together. */
interface Pool {
    /** Concurrency admitted by all instances. */
    readonly limit: number;
    /** Calls at all instances. */
    readonly calls: number;
    /** Calls of this entry at all instances. */
    readonly own: number;
    readonly serviceMs: number;
}

/** The stages of a request; the last is streamed when the caller wants that and its operation streams. */
export function describeStages(
    configuration: configurations.Configuration,
    stages: readonly configurations.Stage[],
    wantsStream: boolean,
): FlowStage[] {
    return stages.map((stage, index) => {
        const operation = configurations.findOperation(configuration, stage.service, stage.operation);
        const isStreamed = wantsStream && index === stages.length - 1 && operation?.streams === true;
        return { service: stage.service, operation: stage.operation, model: stage.model, isStreamed };
    });
}

/** Estimates for all pipelines of an entry. */
export class FlowEstimate {
    private readonly times: serviceTimes.ServiceTimes;
    private readonly flows = new Map<string, ServiceFlow>();

    constructor(private readonly options: FlowEstimateOptions) {
        this.times = new serviceTimes.ServiceTimes(options.clock);
    }

    /** Notes the upstream time of a stage that succeeded; of a streamed one, the time until its first token. */
    observe(stage: FlowStage, passingMs: number): void {
        this.times.observe(describeStage(stage), passingMs);
    }

    /** Counts a request that begins. */
    enter(team: string, stages: readonly FlowStage[]): FlowTicket {
        const flows = stages.map(stage => this.open(stage.service));
        flows.forEach(flow => {
            flow.ahead += 1;
            flow.add(team, 1);
        });
        let started = 0;
        let passed = 0;
        const start = (count: number): void => {
            for (; started < count; started++) {
                flows[started]!.ahead -= 1;
            }
        };
        const pass = (count: number): void => {
            for (; passed < count; passed++) {
                flows[passed]!.add(team, -1);
            }
        };
        return {
            start: index => start(index + 1),
            pass: index => pass(index + 1),
            end() {
                start(flows.length);
                pass(flows.length);
            },
        };
    }

    /** Expected time until a new request of `team` has passed all of `stages`; 0 while nothing is known. */
    expectMs(team: string, stages: readonly FlowStage[]): number {
        let elapsedMs = 0;
        for (const stage of stages) {
            const pool = this.readPool(stage.service);
            // What agents tell of a streaming service is the time of whole streams.
            const unlearnedMs = stage.isStreamed ? 0 : pool?.serviceMs ?? 0;
            const serviceMs = this.times.find(describeStage(stage))?.meanMs ?? unlearnedMs;
            const waitMs = pool === undefined ? 0 : this.expectWait(team, stage.service, pool);
            elapsedMs = Math.max(elapsedMs, waitMs) + Math.max(serviceMs, 0);
        }
        return elapsedMs;
    }

    /** The time that the first of `stages` may use so that the later ones keep what they need. */
    share(stages: readonly FlowStage[], remainingMs: number): number {
        const [first, ...later] = stages.map(stage => this.findNeed(stage));
        const laterMs = later.reduce((sum, needMs) => sum + needMs, 0);
        if (first === undefined || laterMs === 0) {
            return remainingMs;
        }
        return Math.max(remainingMs - laterMs, remainingMs * first / (first + laterMs));
    }

    private findNeed(stage: FlowStage): number {
        const known = this.times.find(describeStage(stage));
        return known === undefined ? 0 : known.meanMs + 2 * known.deviationMs;
    }

    /** Wait behind the team's own requests, at the pace that the other teams leave to it. */
    private expectWait(team: string, service: string, pool: Pool): number {
        const flow = this.open(service);
        flow.observe(pool.calls, pool.own);
        flow.observeTeam(team);
        if (pool.calls + flow.ahead * flow.ratio < pool.limit) {
            return 0;
        }
        const share = this.findShare(flow, team, pool.limit);
        const available = Math.max(share, this.findLent(flow, team, pool.limit));
        const waitMs = Math.max(0, flow.estimateAll(team) + 1 - available) / available * pool.serviceMs;
        return flow.estimateMean(team) > share ? waitMs * WAIT_FACTOR : waitMs;
    }

    /** A team's part of the concurrency by its weight among the teams with requests under way. */
    private findShare(flow: ServiceFlow, team: string, limit: number): number {
        return limit * this.options.weight(team) / this.sumWeights(flow, team);
    }

    /** Concurrency that the other teams leave, each using its share at most. */
    private findLent(flow: ServiceFlow, team: string, limit: number): number {
        const totalWeight = this.sumWeights(flow, team);
        let used = 0;
        for (const [other, count] of flow.unpassed) {
            const share = limit * this.options.weight(other) / totalWeight;
            used += other === team ? 0 : Math.min(count * flow.ratio, share);
        }
        return limit - used;
    }

    private sumWeights(flow: ServiceFlow, team: string): number {
        let sum = this.options.weight(team);
        for (const other of flow.unpassed.keys()) {
            sum += other === team ? 0 : this.options.weight(other);
        }
        return sum;
    }

    /** Undefined while an instance hasn't told its load. */
    private readPool(service: string): Pool | undefined {
        let limit = 0;
        let calls = 0;
        let own = 0;
        let servedMs = 0;
        for (const { load, pending, waiting } of this.options.loads(service)) {
            if (load === undefined) {
                return undefined;
            }
            limit += load.limit;
            calls += load.active + load.queued + pending;
            own += waiting;
            servedMs += load.limit * findServiceMs(load);
        }
        return limit === 0 ? undefined : { limit, calls, own, serviceMs: servedMs / limit };
    }

    private open(service: string): ServiceFlow {
        let flow = this.flows.get(service);
        if (flow === undefined) {
            flow = new ServiceFlow();
            this.flows.set(service, flow);
        }
        return flow;
    }
}

/** The mean time of one call that an agent's expected time from arrival to answer implies. */
function findServiceMs(load: messages.Load): number {
    const limit = Math.max(1, load.limit);
    const before = Math.max(0, load.queued + 1 + load.active - limit);
    return load.expectedMs / (before / limit + 1);
}

function describeStage(stage: FlowStage): string {
    return `${stage.service}/${stage.operation}/${stage.model ?? ""}${stage.isStreamed ? "/stream" : ""}`;
}
