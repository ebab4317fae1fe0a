/**
 * Elects the stage host: the entry that schedules stage work for all entries. Designed for entries that are killed
 * or restarted and return within seconds while stage capacity is scarce. The current host keeps its role, since two
 * hosts at once would fill the result memory of the stage workers without knowing of each other; without a host the
 * oldest entry takes the role. The host needs more CPU time than other entries, so those with few cores are excluded.
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
    /** CPU cores available to it. */
    readonly cores: number;
}

/** Elects the longest-serving host with enough cores, or else one of the oldest entries; undefined without entries. */
export function chooseHost(candidates: readonly HostCandidate[]): string | undefined {
    const maxCores = Math.max(...candidates.map(candidate => candidate.cores));
    const eligible = candidates.filter(candidate => candidate.cores >= maxCores * MIN_CORES_SHARE);
    const earliestSinceMs = Math.min(...eligible.map(candidate => candidate.hostingSinceMs ?? Infinity));
    if (earliestSinceMs < Infinity) {
        return pickByHash(eligible.filter(candidate => candidate.hostingSinceMs === earliestSinceMs));
    }
    const oldestMs = Math.min(...eligible.map(candidate => candidate.startedMs));
    return pickByHash(
        eligible.filter(({ startedMs }) => startedMs === oldestMs || startedMs - oldestMs <= SAME_AGE_TOLERANCE_MS),
    );
}

function pickByHash(candidates: readonly HostCandidate[]): string | undefined {
    return rendezvous.pickWinner(ELECTION_HASH_KEY, candidates.map(candidate => candidate.instance));
}
