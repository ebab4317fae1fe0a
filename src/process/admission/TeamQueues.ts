/**
 * Start-time fair queueing across teams. Each team has a virtual start time that advances by the cost of what
 * it starts over its weight; the team with the earliest one goes next. Teams without work use no share.
 */

const DEFAULT_WEIGHT = 1;
const MIN_WEIGHT = 1e-6;
const MAX_WEIGHT = 1e9;
/** Teams remembered above which idle ones are forgotten. */
const MAX_TEAMS_BEFORE_EVICTION = 1_024;

/** Waiting work of one team. */
export interface TeamQueue<T> {
    readonly team: string;
    weight: number;
    /** Virtual time at which the team's next item may start. */
    startTag: number;
    /** Started and not finished. */
    active: number;
    /** Highest priority first, then in order of arrival. */
    readonly waiting: T[];
}

/** Waiting work of all teams. */
export class TeamQueues<T extends { readonly priority: number }> {
    private readonly queuesByTeam = new Map<string, TeamQueue<T>>();
    private readonly backlogged = new Set<TeamQueue<T>>();
    private virtualTime = 0;
    private maxStartTag = 0;
    private activeCount = 0;
    private waitingCount = 0;

    constructor(private readonly readWeight: (team: string) => number) {}

    /** Items waiting in all teams. */
    get size(): number {
        return this.waitingCount;
    }

    /** Teams with waiting items. */
    get backloggedQueues(): Iterable<TeamQueue<T>> {
        return this.backlogged;
    }

    /** The team's queue with its newest weight. */
    obtainQueue(team: string): TeamQueue<T> {
        let queue = this.queuesByTeam.get(team);
        if (queue === undefined) {
            this.evictIdleQueues();
            queue = { team, weight: DEFAULT_WEIGHT, startTag: this.virtualTime, active: 0, waiting: [] };
            this.queuesByTeam.set(team, queue);
        }
        queue.weight = clampWeight(this.readWeight(team));
        return queue;
    }

    /** Position that an item of this priority takes among the team's own. */
    findPosition(queue: TeamQueue<T>, priority: number): number {
        let position = queue.waiting.length;
        while (position > 0 && queue.waiting[position - 1]!.priority < priority) {
            position -= 1;
        }
        return position;
    }

    /** Adds an item at a position among the team's own. */
    insert(queue: TeamQueue<T>, position: number, item: T): void {
        if (queue.waiting.length === 0) {
            queue.startTag = Math.max(queue.startTag, this.virtualTime);
            this.backlogged.add(queue);
        }
        queue.waiting.splice(position, 0, item);
        this.waitingCount += 1;
    }

    /** Removes a waiting item; false when it does not wait. */
    remove(queue: TeamQueue<T>, item: T): boolean {
        const position = queue.waiting.indexOf(item);
        if (position < 0) {
            return false;
        }
        queue.waiting.splice(position, 1);
        this.waitingCount -= 1;
        if (queue.waiting.length === 0) {
            this.backlogged.delete(queue);
        }
        return true;
    }

    /** The queue whose first item goes next; undefined when nothing waits. */
    findNextQueue(): TeamQueue<T> | undefined {
        let next: TeamQueue<T> | undefined;
        for (const queue of this.backlogged) {
            if (next === undefined || queue.startTag < next.startTag) {
                next = queue;
            }
        }
        return next;
    }

    /** Charges the team for an item that starts now. */
    charge(queue: TeamQueue<T>, cost: number): void {
        queue.startTag = Math.max(queue.startTag, this.virtualTime);
        this.virtualTime = queue.startTag;
        queue.startTag += cost / queue.weight;
        queue.active += 1;
        this.activeCount += 1;
        this.maxStartTag = Math.max(this.maxStartTag, queue.startTag);
    }

    /** Ends one active item. What teams used before an idle time doesn't count against them. */
    finish(queue: TeamQueue<T>): void {
        queue.active -= 1;
        this.activeCount -= 1;
        if (this.activeCount === 0 && this.waitingCount === 0) {
            this.virtualTime = this.maxStartTag;
        }
    }

    /** Items that start before the team's item at `position`, by the shares of the teams with waiting items. */
    countAhead(queue: TeamQueue<T>, position: number): number {
        let ahead = position;
        for (const other of this.backlogged) {
            if (other !== queue) {
                ahead += Math.min(other.waiting.length, (position + 1) * other.weight / queue.weight);
            }
        }
        return ahead;
    }

    /** The team's share of the capacity among the teams with waiting or active items, 0 to 1. */
    findFairShare(queue: TeamQueue<T>): number {
        let totalWeight = queue.weight;
        for (const other of this.queuesByTeam.values()) {
            if (other !== queue && (other.active > 0 || other.waiting.length > 0)) {
                totalWeight += other.weight;
            }
        }
        return queue.weight / totalWeight;
    }

    private evictIdleQueues(): void {
        if (this.queuesByTeam.size < MAX_TEAMS_BEFORE_EVICTION) {
            return;
        }
        for (const [team, queue] of this.queuesByTeam) {
            if (queue.active === 0 && queue.waiting.length === 0 && queue.startTag <= this.virtualTime) {
                this.queuesByTeam.delete(team);
            }
        }
    }
}

function clampWeight(weight: number): number {
    return weight > 0 ? Math.min(MAX_WEIGHT, Math.max(MIN_WEIGHT, weight)) : DEFAULT_WEIGHT;
}
