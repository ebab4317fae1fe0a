/**
 * Divides the stage workers among several stage hosts. Designed for fleets whose stage orders need more processor time
 * than one entry has: each group of stage workers has its own host, and its results stay near each other. A group keeps
 * enough workers of each service that the pieces of many orders still share calls.
 */

/** Entries whose orders a host with one core schedules, with most of that core left for its own callers. */
const ENTRIES_PER_HOST_CORE = 40;
/** Fewest instances of each stage service in a group. */
const MIN_INSTANCES_PER_GROUP = 3;
/** Difference between the backlogs of two hosts from which orders move to the shorter one. */
const MIN_BACKLOG_DIFFERENCE_MS = 100;
/** Share of the orders that move then: all entries see the same, outdated backlogs. */
const MOVED_SHARE = 0.5;

/** What the number of groups depends on. */
export interface FleetSize {
    readonly entryCount: number;
    /** Cores of the entries that can be hosts. */
    readonly hostCores: number;
    /** Number of instances of each service that runs stages. */
    readonly instanceCounts: readonly number[];
}

/** Number of groups; at least 1, also while the cores of no entry or no service with stages are known. */
export function groupCount(size: FleetSize): number {
    if (size.hostCores <= 0 || size.instanceCounts.length === 0) {
        return 1;
    }
    const neededHosts = Math.ceil(size.entryCount / (ENTRIES_PER_HOST_CORE * size.hostCores));
    const maxGroups = Math.floor(Math.min(...size.instanceCounts) / MIN_INSTANCES_PER_GROUP);
    return Math.max(1, Math.min(neededHosts, maxGroups));
}

/**
 * Group of the instance at `position` among all `count` instances of its service, sorted by failure domain: most
 * groups hold complete failure domains, and one instance more or less moves few others.
 */
export function groupOfPosition(position: number, count: number, groups: number): number {
    return Math.floor(position * groups / Math.max(1, count));
}

/** Chooses the group for an order: the preferred one unless another has a much shorter backlog. */
export function chooseGroup(preferred: number, backlogsMs: readonly number[], random: () => number): number {
    const shortestMs = Math.min(...backlogsMs);
    const isFarBehind = (backlogsMs[preferred] ?? 0) - shortestMs > MIN_BACKLOG_DIFFERENCE_MS;
    return isFarBehind && random() < MOVED_SHARE ? backlogsMs.indexOf(shortestMs) : preferred;
}
