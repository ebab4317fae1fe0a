/**
 * Which entry makes the stages for all. Load it answers: entries that are killed or restarted and come back within
 * seconds while stages are short. Whoever makes them goes on, since two hosts at once fill the makers' memory without
 * knowing of each other; without one the oldest entry begins. The host does more than others, so that machines with little processor time are
 * passed over.
 */
import * as rendezvous from "../../common/RendezvousHash";

/** Entries that started within this time of the oldest count as equally old. */
const SAME_AGE_TOLERANCE_MS = 3_000;
const HOST_KEY = "stage-host";

/** Entries with less than this part of the most processor time present are hosts only when no other is there. */
const MIN_CORES_SHARE = 0.7;

/** An entry that could be the host. */
export interface HostCandidate {
    readonly instance: string;
    /** Start of its process, on this process's clock. */
    readonly startedMs: number;
    /** Since when it has been the host, on this process's clock; undefined when it isn't. */
    readonly hostingSinceMs: number | undefined;
    /** Processor time that it has, in cores. */
    readonly cores: number;
}

/** The host among all entries: of the strong ones the present host, or else one of the oldest; undefined for none. */
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
    return rendezvous.pickWinner(HOST_KEY, candidates.map(candidate => candidate.instance));
}
