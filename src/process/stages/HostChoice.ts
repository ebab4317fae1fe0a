/**
 * Elects the stage hosts: the entries that schedule stage work for all entries, one for each group of stage workers.
 * Designed for entries that are killed or restarted and return within seconds while stage capacity is scarce. The
 * current host keeps its role, since two hosts at once would fill the result memory of the stage workers without
 * knowing of each other; without a host the oldest entry takes the role. The host needs more CPU time than other
 * entries, so those with few cores are excluded.
 */
import * as rendezvous from "../../common/RendezvousHash";

/** Entries that started within this time of the oldest count as equally old. */
const SAME_AGE_TOLERANCE_MS = 3_000;
const ELECTION_HASH_KEY = "stage-host";

/** Entries with less than this share of the highest core count among the candidates can't be elected. */
const MIN_CORES_SHARE = 0.7;

/** An entry that can be elected. */
export interface HostCandidate {
    readonly instance: string;
    /** Start time of its process, on the local clock. */
    readonly startedMs: number;
    /** Time since which it has been the host, on the local clock; undefined when it isn't the host. */
    readonly hostingSinceMs: number | undefined;
    /** The group of stage workers that it hosts; undefined for the first one. */
    readonly hostingGroup?: number | undefined;
    /** CPU cores available to it. */
    readonly cores: number;
}

/**
 * Elects the host of each group: the longest-serving one with enough cores, or else one of the oldest entries without
 * another group; undefined without entries.
 */
export function chooseHosts(candidates: readonly HostCandidate[], groups: number): (string | undefined)[] {
    const maxCores = Math.max(...candidates.map(candidate => candidate.cores));
    const eligible = candidates.filter(candidate => candidate.cores >= maxCores * MIN_CORES_SHARE);
    const hosts = Array.from({ length: groups }, (_, group) => findPresentHost(eligible, group));
    const taken = new Set(hosts);
    return hosts.map((presentHost, group) => {
        const free = eligible.filter(candidate => !taken.has(candidate.instance));
        const host = presentHost ?? pickOldest(free.length > 0 ? free : eligible, group);
        taken.add(host);
        return host;
    });
}

/** The entries that are elected when `hosts` are lost, and when these are lost too, for `rounds` rounds. */
export function chooseSuccessors(
    candidates: readonly HostCandidate[],
    hosts: readonly (string | undefined)[],
    rounds: number,
): ReadonlySet<string> {
    const successors = new Set<string>();
    let remaining = candidates.filter(candidate => !hosts.includes(candidate.instance));
    for (let round = 0; round < rounds; round++) {
        chooseHosts(remaining, hosts.length).forEach(name => name === undefined || successors.add(name));
        remaining = remaining.filter(candidate => !successors.has(candidate.instance));
    }
    return successors;
}

function findPresentHost(eligible: readonly HostCandidate[], group: number): string | undefined {
    const hosts = eligible.filter(candidate => (candidate.hostingGroup ?? 0) === group);
    const earliestSinceMs = Math.min(...hosts.map(candidate => candidate.hostingSinceMs ?? Infinity));
    return pickByHash(hosts.filter(({ hostingSinceMs }) => hostingSinceMs === earliestSinceMs), group);
}

function pickOldest(candidates: readonly HostCandidate[], group: number): string | undefined {
    const oldestMs = Math.min(...candidates.map(candidate => candidate.startedMs));
    return pickByHash(
        candidates.filter(({ startedMs }) => startedMs === oldestMs || startedMs - oldestMs <= SAME_AGE_TOLERANCE_MS),
        group,
    );
}

function pickByHash(candidates: readonly HostCandidate[], group: number): string | undefined {
    const key = group === 0 ? ELECTION_HASH_KEY : `${ELECTION_HASH_KEY}-${group}`;
    return rendezvous.pickWinner(key, candidates.map(candidate => candidate.instance));
}
