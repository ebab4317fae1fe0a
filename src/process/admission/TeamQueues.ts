/**
 * Start-time fair queueing across teams. Each team has a virtual start time that advances by the cost of each
 * started item divided by the team's weight; the team with the earliest one goes next. Idle teams use no share.
 */

const DEFAULT_WEIGHT = 1;
const MIN_WEIGHT = 1e-6;
const MAX_WEIGHT = 1e9;
/** Number of known teams at which idle ones are evicted before another is added. */
const MAX_TEAMS_BEFORE_EVICTION = 1_024;

/** Queue of one team. */
export interface TeamQueue<T> {
    readonly team: string;
    weight: number;
    /** Virtual start time of the team's next item. */
    startTag: number;
    /** Number of items started and not finished. */
    active: number;
    /** By descending priority, then in order of arrival. */
    readonly waiting: T[];
}

/** Queues of all teams. */
export class TeamQueues<T extends { readonly priority: number }> {
    private readonly queuesByTeam = new Map<string, TeamQueue<T>>();
    private readonly backlogged = new Set<TeamQueue<T>>();
    private virtualTime = 0;
    private maxStartTag = 0;
    private activeCount = 0;
    private waitingCount = 0;

    constructor(private readonly readWeight: (team: string) => number) {}

    /** Number of waiting items of all teams. */
    get size(): number {
        return this.waitingCount;
    }

    /** Queues with waiting items. */
    get backloggedQueues(): Iterable<TeamQueue<T>> {
        return this.backlogged;
    }

    /** The team's queue with its current weight; created if missing. */
    getOrCreateQueue(team: string): TeamQueue<T> {
        let queue = this.queuesByTeam.get(team);
        if (queue === undefined) {
            this.evictIdleQueues();
            queue = { team, weight: DEFAULT_WEIGHT, startTag: this.virtualTime, active: 0, waiting: [] };
            this.queuesByTeam.set(team, queue);
        }
        queue.weight = clampWeight(this.readWeight(team));
        return queue;
    }

    /** Position in the queue for a new item of this priority. */
    findPosition(queue: TeamQueue<T>, priority: number): number {
        let position = queue.waiting.length;
        while (position > 0 && queue.waiting[position - 1]!.priority < priority) {
            position -= 1;
        }
        return position;
    }

    /** Inserts an item. The start tag of an empty queue is first raised to the virtual time. */
    insert(queue: TeamQueue<T>, position: number, item: T): void {
        if (queue.waiting.length === 0) {
            queue.startTag = Math.max(queue.startTag, this.virtualTime);
            this.backlogged.add(queue);
        }
        queue.waiting.splice(position, 0, item);
        this.waitingCount += 1;
    }

    /** Removes a waiting item; false when it isn't waiting. */
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

    /** The queue whose first item goes next; undefined when no item is waiting. */
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

    /** Finishes one active item. When all queues become idle, earlier usage stops counting against teams. */
    finish(queue: TeamQueue<T>): void {
        queue.active -= 1;
        this.activeCount -= 1;
        if (this.activeCount === 0 && this.waitingCount === 0) {
            this.virtualTime = this.maxStartTag;
        }
    }

    /** Expected number of items that start before the item at `position`, by the weights of the backlogged teams. */
    countAhead(queue: TeamQueue<T>, position: number): number {
        let ahead = position;
        for (const other of this.backlogged) {
            if (other !== queue) {
                ahead += Math.min(other.waiting.length, (position + 1) * other.weight / queue.weight);
            }
        }
        return ahead;
    }

    /** The team's share of the capacity among the teams with waiting or active items, from 0 to 1. */
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
