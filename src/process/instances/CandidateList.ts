/**
 * Describes the instances that can accept a call by what the choice among them depends on.
 */
import * as routingPorts from "../../common/RoutingPorts";
import * as views from "../published/PublishedView";
import * as choices from "./InstanceChoice";
import * as instanceSpeeds from "./InstanceSpeed";
import * as traffic from "./InstanceTraffic";
import * as affinities from "./PromptAffinity";

/** Fastest call time assumed while no instance has a measurement. */
const UNMEASURED_CALL_MS = 60_000;
/** Lower bound of call times in comparisons: differences below it don't count. */
const MIN_CALL_MS = 5;

/** Share of shared parts that an instance holds, relative to one that is faster by a class. */
const SLOWER_CLASS_SHARE = 1 / 3;

/** What the cost of a call at an instance depends on, besides the instance. */
export interface CandidateRequirements {
    readonly promptTokens: number;
    readonly promptParts: readonly routingPorts.PromptPart[];
    /** Bytes of stage results that the call reads, by the failure domain in which they are stored. */
    readonly inputBytesByDomain: ReadonlyMap<string, number>;
}

/** What the list needs from the pool. */
export interface CandidateSources {
    /** Failure domain of this process. */
    readonly failureDomain: string;
    readonly trafficOf: (instance: views.KnownInstance) => traffic.InstanceTraffic;
}

/** How long work takes at the instances of a service. */
interface ServicePace {
    readonly fastestCallMs: number;
    /** Mean of the learned speeds; undefined if no instance states how long work takes there. */
    readonly meanLogSlowness: number | undefined;
}

/** The instances as candidates for a call. */
export function listCandidates(
    instances: readonly views.KnownInstance[],
    requirements: CandidateRequirements,
    { failureDomain, trafficOf }: CandidateSources,
): choices.Candidate[] {
    const pace = findPace(instances.map(trafficOf));
    const affinityId = pickHolder(instances, requirements.promptParts, trafficOf, pace);
    return instances.map(instance => {
        const counts = trafficOf(instance);
        const { promptTokens, promptParts } = requirements;
        const hasAffinity = instance.id === affinityId;
        return {
            id: instance.id,
            isSameDomain: instance.failureDomain === failureDomain,
            load: counts.load,
            waitingTokens: counts.waitingTokens,
            missingTokens: affinities.estimateMissingTokens(promptTokens, promptParts, counts, hasAffinity),
            crossDomainInputBytes: crossDomainBytes(requirements.inputBytesByDomain, instance.failureDomain),
            slots: instance.slots,
            slowness: slownessOf(counts, pace),
        };
    });
}

/** The instance that holds a prompt's shared parts; undefined if there are no shared parts. */
export function findPartHolder(
    instances: readonly views.KnownInstance[],
    parts: readonly routingPorts.PromptPart[],
    trafficOf: CandidateSources["trafficOf"],
): string | undefined {
    return pickHolder(instances, parts, trafficOf, findPace(instances.map(trafficOf)));
}

/** The same at a known pace; a fast machine reads and holds more of the parts than a slow one. */
function pickHolder(
    instances: readonly views.KnownInstance[],
    parts: readonly routingPorts.PromptPart[],
    trafficOf: CandidateSources["trafficOf"],
    { meanLogSlowness }: ServicePace,
): string | undefined {
    const weights = instances.map(instance =>
        meanLogSlowness === undefined ? 1 : SLOWER_CLASS_SHARE ** trafficOf(instance).speed.classOf(meanLogSlowness)
    );
    return affinities.pickAffinityId(instances, parts, weights);
}

function findPace(all: readonly traffic.InstanceTraffic[]): ServicePace {
    const fastestCallMs = Math.min(UNMEASURED_CALL_MS, ...all.map(counts => counts.recentCallMs ?? UNMEASURED_CALL_MS));
    const speeds = all.map(counts => counts.speed);
    return {
        fastestCallMs: Math.max(MIN_CALL_MS, fastestCallMs),
        meanLogSlowness: speeds.some(speed => speed.isStated) ? instanceSpeeds.meanLogSlowness(speeds) : undefined,
    };
}

/** Expected time of a call at an instance, relative to the others of its service. */
function slownessOf(
    { recentCallMs, speed }: traffic.InstanceTraffic,
    { fastestCallMs, meanLogSlowness }: ServicePace,
): number {
    const callSlowness = Math.max(fastestCallMs, recentCallMs ?? 0) / fastestCallMs;
    return meanLogSlowness === undefined ? callSlowness : callSlowness * speed.slowness(meanLogSlowness);
}

function crossDomainBytes(inputBytes: ReadonlyMap<string, number>, domain: string): number {
    let bytes = 0;
    for (const [sourceDomain, size] of inputBytes) {
        bytes += sourceDomain === domain ? 0 : size;
    }
    return bytes;
}
