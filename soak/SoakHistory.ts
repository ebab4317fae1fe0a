/**
 * The record of a soak: calls as observed by their callers, runs as observed by the engines, and the injected faults.
 */

/** Kinds of calls, named after their routes. */
export const CALL_KINDS = ["book", "look", "notes", "once", "staged"] as const;
export type CallKind = typeof CALL_KINDS[number];

/** Kinds of calls that may run at most once. */
export const AT_MOST_ONCE_KINDS: readonly CallKind[] = ["book", "once", "staged"];

/** The kind of calls that a caller resumes. */
export const RESUMABLE_KIND: CallKind = "notes";
/** Faults after which an entry has forgotten what it knew, or learns late what happened. */
const INTERRUPTIONS: readonly string[] = ["kill", "pause", "stop"];

/** One call, as observed by its caller. */
export interface SoakCall {
    readonly attempt: string;
    /** A kind, or the route that only one configuration version has. */
    readonly route: string;
    readonly entry: number;
    readonly path: string;
    readonly sentMs: number;
    endedMs: number;
    /** Undefined if no answer began. */
    status?: number | undefined;
    stamp?: string | undefined;
    body: string;
    /** Whether the answer was framed and received completely. */
    isWhole: boolean;
    hasRetryAfter: boolean;
    /** Whether it crashes engines: by a part of its prompt, or as a request that comes again. */
    readonly isCrashing?: boolean | undefined;
    readonly isRepeated?: boolean | undefined;
    /** Set for a call that resumes a stream. */
    readonly resumes?: { readonly firstAttempt: string; readonly lastEventId: number } | undefined;
}

/** One call, as observed by an engine. */
export interface SoakRun {
    readonly attempt: string;
    readonly engine: string;
    readonly path: string;
    readonly atMs: number;
    readonly team: string | undefined;
    /** Whether the caller's API key reached the engine. */
    readonly hasKey: boolean;
    /** Whether the engine's answer said that it leaves. */
    readonly isLeaving: boolean;
}

/** One call that reached an engine, which ran or rejected it. */
export interface SoakArrival {
    readonly attempt: string | undefined;
    readonly engine: string;
    readonly atMs: number;
    /** The time, in seconds, for which the engine wants nothing more from the entry, if it rejected the call so. */
    readonly retryAfter: string | undefined;
    /** Whether its answer names a limit. */
    readonly isLimited?: boolean;
}

/** An engine, and the time during which it serves. */
export interface SoakEngine {
    readonly id: string;
    readonly service: string;
    readonly softwareVersion: string | undefined;
    readonly fromMs: number;
    /** When it begins to leave. */
    leavesAtMs: number;
}

/** One injected fault, planned operation or configuration change. */
export interface SoakFault {
    readonly kind: string;
    /** Index of the affected entry; undefined if an engine or all entries are affected. */
    readonly entry?: number | undefined;
    readonly engine?: string | undefined;
    /** The call that caused it, if one did. */
    readonly attempt?: string | undefined;
    readonly fromMs: number;
    toMs: number;
}

/** A published configuration. */
export interface SoakVersion {
    readonly version: number;
    readonly atMs: number;
}

/** An exit of an entry process that the soak caused neither by a kill nor by a stop. */
export interface UnexpectedExit {
    readonly entry: number;
    readonly startedMs: number;
    readonly atMs: number;
}

/** The history of one soak. All times are from the same clock. */
export class SoakHistory {
    readonly calls: SoakCall[] = [];
    readonly runs: SoakRun[] = [];
    readonly arrivals: SoakArrival[] = [];
    readonly faults: SoakFault[] = [];
    readonly engines: SoakEngine[] = [];
    readonly versions: SoakVersion[] = [];
    readonly unexpectedExits: UnexpectedExit[] = [];
    /** Time at which an engine was published as draining, by its id. */
    readonly drainingSinceMs = new Map<string, number>();

    /** Whether the entry was free of faults in the time span. Faults of engines and of ignored kinds don't count. */
    isUndisturbed(entry: number, fromMs: number, toMs: number, ignoredKinds: readonly string[] = []): boolean {
        return !this.faults.some(fault =>
            fault.engine === undefined
            && (fault.entry === undefined || fault.entry === entry)
            && fault.fromMs <= toMs
            && fault.toMs >= fromMs
            && !ignoredKinds.includes(fault.kind)
        );
    }

    /** Whether the entry was restarted or paused in the time span. */
    wasInterrupted(entry: number, fromMs: number, toMs: number): boolean {
        return this.faults.some(fault =>
            fault.entry === entry
            && INTERRUPTIONS.includes(fault.kind)
            && fault.fromMs <= toMs
            && fault.toMs >= fromMs
        );
    }
}
