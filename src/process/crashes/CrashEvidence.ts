/**
 * Finds which parts of prompts crash the instances that begin to answer them. Designed for prompts of which one part,
 * whatever they hold beside it, ends each instance that they reach, at any entry, among crashes of other causes: a part
 * is suspected when it was among the prompts that an instance was about to answer when it ended, and cleared as soon as
 * an instance has answered a prompt with it. Parts that always occurred together are suspected together.
 */
import * as clocks from "../../common/Clock";
import * as routing from "../../common/Routing";

/** Ends of instances without a sound answer in between, from which a part is held to have caused them. */
const MIN_CRASHES = 3;
/** Ends within this time count as one: of a failure domain, or of several instances for a common reason. */
const COMMON_CAUSE_MS = 250;
/** An end is forgotten when for so long no prompt has come with the parts that it is held to be caused by. */
const IDLE_LIFETIME_MS = 120_000;
/** An end is forgotten after this time in any case, so that a part that has been mended is served again. */
const MAX_LIFETIME_MS = 3_600_000;
/** A part that was answered so shortly before an end isn't suspected. */
const RECENT_ANSWER_MS = 1_000;
const MAX_CRASHES = 64;
const MAX_PARTS_PER_CRASH = 64;
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
    /** An attempt of a caller among them. */
    readonly attempt: string;
    /** When a prompt with parts that are held to be its cause was last seen, on this process's clock. */
    readonly seenAtMs: number;
}

/** Parts that occurred together in all ends that they are held to have caused. */
export interface SuspectedParts {
    readonly parts: ReadonlySet<string>;
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
        const isNew = known === undefined || parts.size > known.parts.size;
        const seen = Math.max(seenAtMs, known?.seenAtMs ?? -Infinity);
        this.crashes.set(key, { ...crash, atMs, parts, attempt: known?.attempt ?? crash.attempt, seenAtMs: seen });
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
        for (const part of this.all.flatMap(crash => [...crash.parts])) {
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

    private computeSuspected(): SuspectedParts[] {
        let remaining = this.groupByCause();
        const suspected: SuspectedParts[] = [];
        for (;;) {
            const next = this.findMostFrequent(remaining);
            if (next === undefined) {
                return suspected;
            }
            suspected.push(next.suspected);
            remaining = remaining.filter(group => !next.groups.includes(group));
        }
    }

    /** The parts that occur in most groups, if those are enough, and the groups. */
    private findMostFrequent(
        groups: readonly (readonly Crash[])[],
    ): { readonly suspected: SuspectedParts; readonly groups: readonly (readonly Crash[])[] } | undefined {
        const groupsByPart = new Map<string, (readonly Crash[])[]>();
        for (const group of groups) {
            const parts = new Set(group.flatMap(crash => [...crash.parts]));
            for (const part of parts) {
                if ((this.answeredAtMs.get(part) ?? -Infinity) < group[0]!.atMs) {
                    groupsByPart.set(part, [...groupsByPart.get(part) ?? [], group]);
                }
            }
        }
        const [best] = [...groupsByPart.values()].sort((a, b) => b.length - a.length);
        if (best === undefined || best.length < MIN_CRASHES) {
            return undefined;
        }
        const parts = [...groupsByPart].filter(([, others]) => isSameGroups(others, best)).map(([part]) => part);
        const crashes = best.flat().filter(crash => parts.some(part => crash.parts.has(part)));
        return { suspected: { parts: new Set(parts), crashes }, groups: best };
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

function isSameGroups(a: readonly (readonly Crash[])[], b: readonly (readonly Crash[])[]): boolean {
    return a.length === b.length && a.every(group => b.includes(group));
}
