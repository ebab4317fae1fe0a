/**
 * Where the shared parts of prompts are cached: all entries prefer the same instance for them, without asking each other.
 */
import * as rendezvous from "../../common/RendezvousHash";
import * as routingPorts from "../../common/RoutingPorts";
import * as views from "../published/PublishedView";
import * as traffic from "./InstanceTraffic";

/**
 * The instance that all entries prefer for a prompt's shared parts, so that the parts are read only once. `weights` state
 * the share of parts that each instance is preferred for; entries that agree on them agree on the instance.
 */
export function pickAffinityId(
    instances: readonly views.KnownInstance[],
    parts: readonly routingPorts.PromptPart[],
    weights: readonly number[],
): string | undefined {
    const lastSharedPart = parts.at(-2);
    return lastSharedPart
        && rendezvous.pickWinner(lastSharedPart.id, instances.map(instance => instance.id), weights);
}

/**
 * Tokens of a prompt that are probably not cached at an instance. With affinity all shared parts count as cached, else
 * those before the first one that wasn't recently sent there. The last part is never shared with other calls.
 */
export function estimateMissingTokens(
    promptTokens: number,
    parts: readonly routingPorts.PromptPart[],
    counts: traffic.InstanceTraffic,
    hasAffinity: boolean,
): number {
    if (parts.length === 0) {
        return promptTokens;
    }
    let missingTokens = 0;
    let isCached = true;
    parts.forEach((part, index) => {
        isCached = isCached && index < parts.length - 1 && (hasAffinity || counts.isPartCached(part.id));
        missingTokens += isCached ? 0 : part.tokens;
    });
    return missingTokens;
}
