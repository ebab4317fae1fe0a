/**
 * Finds which parts of prompts, and which whole requests, crash the instances that begin to answer them. Designed for
 * prompts of which one part, whatever they hold beside it, ends each instance that they reach, and for requests that do
 * so and are sent again, at any entry, among crashes of other causes. Such a part or request is suspected when it was
 * among those that an instance was about to answer when it ended, and cleared as soon as an instance has answered it.
 * Those that always occurred together are suspected together.
 */
import * as clocks from "../../common/Clock";
import * as routing from "../../common/Routing";

/** Ends of instances without a sound answer in between, from which a part is held to have caused them. */
const MIN_CRASHES = 3;
/** Ends within this time count as one: of a failure domain, or of several instances for a common reason. */
const COMMON_CAUSE_MS = 250;
/**
 * A request that was sent to an instance after the last one had ended counts for each of both ends, however soon they
 * followed. This allows for the delay with which entries learn of ends.
 */
const RESEND_TOLERANCE_MS = 25;
/** An end is forgotten when for so long no prompt has come with the parts that it is held to be caused by. */
const IDLE_LIFETIME_MS = 120_000;
/** An end is forgotten after this time in any case, so that a part that has been mended is served again. */
const MAX_LIFETIME_MS = 3_600_000;
/** A part that was answered so shortly before an end isn't suspected. */
const RECENT_ANSWER_MS = 1_000;
const MAX_CRASHES = 64;
const MAX_PARTS_PER_CRASH = 64;
const MAX_REQUESTS_PER_CRASH = 128;
/** Parts of which the last sound answer is remembered; prompts may bring new ones without end. */
const MAX_ANSWERED_PARTS = 4_096;

/** The end of one incarnation of an instance. */
export interface Crash {
    readonly instance: string;
    readonly startedMs: number;
    /** When it ended, on this process's clock. */
    readonly atMs: number;
    /** Parts of the prompts that it was about to answer. */
    readonly parts: ReadonlySet<string>;
    /** Requests that it was about to answer, each with the time of its last send there, on this process's clock. */
    readonly requests: ReadonlyMap<string, number>;
    /** An attempt of a caller among them. */
    readonly attempt: string;
    /** When a prompt with parts that are held to be its cause was last seen, on this process's clock. */
    readonly seenAtMs: number;
}

/** Parts and requests that occurred together in all ends that they are held to have caused. */
export interface SuspectedParts {
    /** Names of parts and of requests, which differ. */
    readonly parts: ReadonlySet<string>;
    readonly crashes: readonly Crash[];
}

/** Where a part or a request occurred. */
interface Occurrences {
    /** Number of ends that can't have had one cause without it. */
    readonly causes: number;
    readonly groups: readonly (readonly Crash[])[];
    readonly crashes: readonly Crash[];
}

/** What this process knows about ends of instances, and about sound answers. */
export class CrashEvidence {
    private readonly crashes = new Map<string, Crash>();
    /** When a prompt with the part was last answered, in the order of these times. */
    private readonly answeredAtMs = new Map<string, number>();
    private suspectedCache: readonly SuspectedParts[] | undefined;

    constructor(private readonly clock: clocks.Clock) {}

    /** The ends that are remembered. */
    get all(): readonly Crash[] {
        return [...this.crashes.values()];
    }

    /** Whether any end is remembered. */
    get hasCrashes(): boolean {
        return this.crashes.size > 0;
    }

    /** The end of an incarnation; undefined if none is remembered. */
    find(instance: routing.RoutedInstance): Crash | undefined {
        return this.crashes.get(routing.incarnationKey(instance));
    }

    /** Records the end of an instance, or further parts that it was about to answer; returns whether this is new. */
    recordCrash(crash: Omit<Crash, "seenAtMs">, seenAtMs = crash.atMs): boolean {
        const key = keyOf(crash);
        const known = this.crashes.get(key);
        const atMs = Math.min(crash.atMs, known?.atMs ?? Infinity);
        const parts = new Set(known?.parts);
        for (const part of crash.parts) {
            if (parts.size < MAX_PARTS_PER_CRASH && !this.wasAnsweredBefore(part, atMs)) {
                parts.add(part);
            }
        }
        const requests = this.mergeRequests(known, crash, atMs);
        const isNew = known === undefined || parts.size > known.parts.size || requests.size > known.requests.size;
        const seen = Math.max(seenAtMs, known?.seenAtMs ?? -Infinity);
        const attempt = known?.attempt ?? crash.attempt;
        this.crashes.set(key, { ...crash, atMs, parts, requests, attempt, seenAtMs: seen });
        this.dropOldest();
        this.suspectedCache = undefined;
        return isNew;
    }

    /** Records that an instance has answered a prompt with these parts. */
    recordAnswer(parts: readonly string[], atMs = this.clock.now()): void {
        for (const part of parts) {
            const latestMs = Math.max(atMs, this.answeredAtMs.get(part) ?? -Infinity);
            this.answeredAtMs.delete(part);
            this.answeredAtMs.set(part, latestMs);
            if (this.suspectedCache?.some(({ parts: suspected }) => suspected.has(part))) {
                this.suspectedCache = undefined;
            }
        }
        while (this.answeredAtMs.size > MAX_ANSWERED_PARTS) {
            const [oldest] = this.answeredAtMs.keys();
            this.answeredAtMs.delete(oldest!);
        }
    }

    /** When a prompt with the part was last answered, on this process's clock; undefined if that isn't known. */
    lastAnsweredMs(part: string): number | undefined {
        return this.answeredAtMs.get(part);
    }

    /** Parts that occurred in several ends, so that it matters whether they have been answered. */
    listDoubtful(): string[] {
        const counts = new Map<string, number>();
        for (const part of this.all.flatMap(namesOf)) {
            counts.set(part, (counts.get(part) ?? 0) + 1);
        }
        return [...counts].filter(([, count]) => count > 1).map(([part]) => part);
    }

    /** The parts that are held to crash instances. */
    findSuspected(): readonly SuspectedParts[] {
        this.forget();
        this.suspectedCache ??= this.computeSuspected();
        return this.suspectedCache;
    }

    /** Notes that a prompt with suspected parts has come. */
    noteSeen(suspected: SuspectedParts): void {
        const nowMs = this.clock.now();
        for (const crash of suspected.crashes) {
            const key = keyOf(crash);
            const known = this.crashes.get(key);
            if (known !== undefined) {
                this.crashes.set(key, { ...known, seenAtMs: nowMs });
            }
        }
    }

    private mergeRequests(
        known: Crash | undefined,
        { requests: added }: Pick<Crash, "requests">,
        atMs: number,
    ): ReadonlyMap<string, number> {
        const requests = new Map(known?.requests);
        for (const [request, sentAtMs] of added) {
            const isRoom = requests.has(request) || requests.size < MAX_REQUESTS_PER_CRASH;
            if (isRoom && !this.wasAnsweredBefore(request, atMs)) {
                requests.set(request, Math.max(sentAtMs, requests.get(request) ?? -Infinity));
            }
        }
        return requests;
    }

    private computeSuspected(): SuspectedParts[] {
        let remaining = this.groupByCause();
        const suspected: SuspectedParts[] = [];
        for (;;) {
            const next = this.findMostFrequent(remaining);
            if (next === undefined) {
                return suspected;
            }
            suspected.push(next);
            remaining = withoutExplained(remaining, next);
        }
    }

    /** The parts or requests with most ends of different causes, if those are enough. */
    private findMostFrequent(groups: readonly (readonly Crash[])[]): SuspectedParts | undefined {
        const occurrences = this.findOccurrences(groups);
        const [best] = [...occurrences.values()].sort((a, b) => b.causes - a.causes);
        if (best === undefined || best.causes < MIN_CRASHES) {
            return undefined;
        }
        const together = [...occurrences].filter(([, other]) => occurTogether(best, other)).map(([name]) => name);
        const parts = new Set(together);
        const crashes = best.groups.flat().filter(crash => together.some(name => hasName(crash, name)));
        return { parts, crashes };
    }

    /** Where each part and each request occurred that hasn't been answered since. */
    private findOccurrences(groups: readonly (readonly Crash[])[]): Map<string, Occurrences> {
        const occurrences = new Map<string, Occurrences>();
        for (const group of groups) {
            for (const name of new Set(group.flatMap(namesOf))) {
                if ((this.answeredAtMs.get(name) ?? -Infinity) >= group[0]!.atMs) {
                    continue;
                }
                const known = occurrences.get(name) ?? { causes: 0, groups: [], crashes: [] };
                const crashes = group.filter(crash => hasName(crash, name));
                occurrences.set(name, {
                    causes: known.causes + countCauses(crashes, name),
                    groups: [...known.groups, group],
                    crashes: [...known.crashes, ...crashes],
                });
            }
        }
        return occurrences;
    }

    /** The ends in the order of their times, those together that may have had a common cause. */
    private groupByCause(): (readonly Crash[])[] {
        const groups: Crash[][] = [];
        for (const crash of [...this.all].sort((a, b) => a.atMs - b.atMs)) {
            const latest = groups.at(-1);
            if (latest !== undefined && crash.atMs - latest[0]!.atMs < COMMON_CAUSE_MS) {
                latest.push(crash);
            }
            else {
                groups.push([crash]);
            }
        }
        return groups;
    }

    private wasAnsweredBefore(part: string, atMs: number): boolean {
        const answeredAtMs = this.answeredAtMs.get(part);
        return answeredAtMs !== undefined && answeredAtMs > atMs - RECENT_ANSWER_MS;
    }

    private forget(): void {
        const nowMs = this.clock.now();
        for (const [key, { atMs, seenAtMs }] of this.crashes) {
            if (nowMs - seenAtMs > IDLE_LIFETIME_MS || nowMs - atMs > MAX_LIFETIME_MS) {
                this.crashes.delete(key);
                this.suspectedCache = undefined;
            }
        }
    }

    private dropOldest(): void {
        while (this.crashes.size > MAX_CRASHES) {
            const [oldest] = [...this.crashes].sort(([, a], [, b]) => a.atMs - b.atMs);
            this.crashes.delete(oldest![0]);
        }
    }
}

function keyOf({ instance, startedMs }: Pick<Crash, "instance" | "startedMs">): string {
    return routing.incarnationKey({ id: instance, startedMs });
}

/** Names of the parts and requests that an instance was about to answer when it ended. */
function namesOf({ parts, requests }: Pick<Crash, "parts" | "requests">): string[] {
    return [...parts, ...requests.keys()];
}

function hasName(crash: Crash, name: string): boolean {
    return crash.parts.has(name) || crash.requests.has(name);
}

/** The ends of one group that speak against a request for themselves; those of a part count as one. */
function countCauses(crashes: readonly Crash[], name: string): number {
    let count = 0;
    let lastAtMs = -Infinity;
    for (const crash of crashes) {
        const sentAtMs = crash.requests.get(name);
        if (count === 0 || (sentAtMs !== undefined && sentAtMs >= lastAtMs - RESEND_TOLERANCE_MS)) {
            count++;
            lastAtMs = crash.atMs;
        }
    }
    return count;
}

/** Whether what occurred as `other` can't be told from `best`. */
function occurTogether(best: Occurrences, other: Occurrences): boolean {
    return best.causes > best.groups.length
        ? isSame(best.crashes, other.crashes)
        : isSame(best.groups, other.groups);
}

function isSame<T>(a: readonly T[], b: readonly T[]): boolean {
    return a.length === b.length && a.every(item => b.includes(item));
}

/** What is left to explain: a request explains its own ends only, as others may have ended instances at the same time. */
function withoutExplained(groups: readonly (readonly Crash[])[], { parts, crashes }: SuspectedParts): Crash[][] {
    const isByRequest = [...parts].some(name => crashes.some(crash => crash.requests.has(name)));
    return groups
        .filter(group => isByRequest || !group.some(crash => crashes.includes(crash)))
        .map(group => group.filter(crash => !crashes.includes(crash)))
        .filter(group => group.length > 0);
}
