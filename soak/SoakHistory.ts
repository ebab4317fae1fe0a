/**
 * What a soak saw: calls as their callers saw them, runs as the engines saw them, and the faults that were injected.
 */

/** Kinds of calls, named by their route. */
export const CALL_KINDS = ["book", "look", "notes", "once", "staged"] as const;
export type CallKind = typeof CALL_KINDS[number];

/** Kinds that may run once only. */
export const AT_MOST_ONCE_KINDS: readonly CallKind[] = ["book", "once", "staged"];

/** One call to its end. */
export interface SoakCall {
    readonly attempt: string;
    /** The route: a kind, or a configuration's own one. */
    readonly route: string;
    readonly entry: number;
    readonly path: string;
    readonly sentMs: number;
    endedMs: number;
    /** Undefined when no answer began. */
    status?: number | undefined;
    stamp?: string | undefined;
    body: string;
    /** Whether the answer ended as whole. */
    isWhole: boolean;
    hasRetryAfter: boolean;
}

/** One call as it reached an engine. */
export interface SoakRun {
    readonly attempt: string;
    readonly engine: string;
    readonly path: string;
    readonly atMs: number;
    readonly team: string | undefined;
    readonly hasKey: boolean;
}

/** One fault, planned act or change. */
export interface SoakFault {
    readonly kind: string;
    /** The entry that it touches; undefined when it touches all, or an engine. */
    readonly entry?: number | undefined;
    readonly engine?: string | undefined;
    readonly fromMs: number;
    toMs: number;
}

/** A configuration that was published. */
export interface SoakVersion {
    readonly version: number;
    readonly atMs: number;
}

/** A process that ended without being asked to. */
export interface UnexpectedExit {
    readonly entry: number;
    readonly startedMs: number;
    readonly atMs: number;
}

/** Everything of one soak; times are of one clock. */
export class SoakHistory {
    readonly calls: SoakCall[] = [];
    readonly runs: SoakRun[] = [];
    readonly faults: SoakFault[] = [];
    readonly versions: SoakVersion[] = [];
    readonly unexpectedExits: UnexpectedExit[] = [];
    /** When engines were published as leaving or gone. */
    readonly leftAtMs = new Map<string, number>();

    /** Whether nothing disturbed an entry or all of them in a span, but for the kinds of fault named. */
    isUndisturbed(entry: number, fromMs: number, toMs: number, ignoredKinds: readonly string[] = []): boolean {
        return !this.faults.some(fault =>
            fault.engine === undefined
            && (fault.entry === undefined || fault.entry === entry)
            && fault.fromMs <= toMs
            && fault.toMs >= fromMs
            && !ignoredKinds.includes(fault.kind)
        );
    }
}
