/**
 * Selects bounded subsets of instances, deterministic for each process and spread over failure domains. Each
 * domain is ordered by rendezvous hash, so that a member that joins or leaves displaces few others.
 */
import * as rendezvous from "../../common/RendezvousHash";

/** Share of a subset reserved for near failure domains if there are far ones too. */
const NEAR_SHARE = 0.75;

/** The properties of an instance that a selection uses. */
export interface ScoredInstance {
    readonly failureDomain: string;
    /** Rendezvous score of the instance for the selecting process; the highest is selected first. */
    readonly score: number;
}

/** Identity and location of the process that selects a subset. */
export interface SpreadOptions {
    /** Instance name of the process. */
    readonly self: string;
    /** Failure domain of the process. */
    readonly failureDomain: string;
    /** Whether a failure domain is in the region of the process. */
    readonly isNear: (failureDomain: string) => boolean;
}

/** At most `size` instances: near failure domains get `NEAR_SHARE` of them, and what far ones can't fill. */
export function selectSpread<T extends ScoredInstance>(
    all: readonly T[],
    size: number,
    options: SpreadOptions,
): readonly T[] {
    if (all.length <= size) {
        return all;
    }
    const near = interleaveDomains(all.filter(item => options.isNear(item.failureDomain)), options);
    const far = interleaveDomains(all.filter(item => !options.isNear(item.failureDomain)), options);
    const nearCount = Math.min(near.length, Math.max(Math.ceil(size * NEAR_SHARE), size - far.length));
    return [...near.slice(0, nearCount), ...far.slice(0, size - nearCount)];
}

/** At most `count` instances: half from the own failure domain, the rest spread over the other domains. */
export function selectPeers<T extends ScoredInstance>(
    all: readonly T[],
    count: number,
    options: SpreadOptions,
): readonly T[] {
    const sameDomain = interleaveDomains(all.filter(item => item.failureDomain === options.failureDomain), options);
    const otherDomains = interleaveDomains(all.filter(item => item.failureDomain !== options.failureDomain), options);
    const sameDomainCount = Math.min(sameDomain.length, Math.max(Math.ceil(count / 2), count - otherDomains.length));
    return [...sameDomain.slice(0, sameDomainCount), ...otherDomains.slice(0, count - sameDomainCount)];
}

/** Orders instances in rounds; each round takes the highest-scored remaining instance of every failure domain. */
function interleaveDomains<T extends ScoredInstance>(items: readonly T[], options: SpreadOptions): T[] {
    const byDomain = new Map<string, T[]>();
    for (const item of items) {
        const group = byDomain.get(item.failureDomain) ?? [];
        group.push(item);
        byDomain.set(item.failureDomain, group);
    }
    const groups = [...byDomain]
        .map(([domain, group]) => ({ score: scoreDomain(domain, options), group: sortByScore(group) }))
        .sort((a, b) => b.score - a.score)
        .map(entry => entry.group);
    const roundCount = Math.max(0, ...groups.map(group => group.length));
    const ordered: T[] = [];
    for (let round = 0; round < roundCount; round++) {
        for (const group of groups) {
            const item = group[round];
            if (item !== undefined) {
                ordered.push(item);
            }
        }
    }
    return ordered;
}

function scoreDomain(domain: string, options: SpreadOptions): number {
    return domain === options.failureDomain ? Infinity : rendezvous.score(options.self, domain);
}

function sortByScore<T extends ScoredInstance>(group: readonly T[]): T[] {
    return [...group].sort((a, b) => b.score - a.score);
}
