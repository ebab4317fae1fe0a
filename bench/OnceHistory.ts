/**
 * Checks the promise of at most one execution against a history: what callers were told, what upstreams did,
 * and which faults were brought about. All times are on one clock, in milliseconds.
 *
 * An execution belongs to a key, or without one to a request. An unknown outcome counts as explained when a
 * fault touched the path of a call with the same key (or of the call itself) while that call ran or within the
 * fault's memory before it. A path is the entry called, plus the instance that the answer names, or any
 * instance of the service when it names none. A link is on the path when both its ends are.
 */
import * as codes from "../src/common/Codes";

/** What one caller was told of one call. */
export interface CallRecord {
    readonly key: string | undefined;
    /** Unique content of the body; calls with one key share it. */
    readonly token: string;
    readonly entry: string;
    /** Names the request; undefined when no answer came. */
    readonly request: string | undefined;
    readonly outcome: codes.Outcome;
    readonly code: number | undefined;
    /** The instance that the answer names. */
    readonly instance: string | undefined;
    /** Token inside the result. */
    readonly resultToken: string | undefined;
    readonly startMs: number;
    readonly endMs: number;
    readonly deadlineMs: number;
}

/** One effect at an upstream. */
export interface ExecutionRecord {
    readonly key: string | undefined;
    readonly request: string;
}

/** One fault that was brought about. */
export interface FaultRecord {
    readonly kind: string;
    /** What it touched: one process, both ends of a link, or every instance of a service. */
    readonly members: readonly string[];
    /** Whether a path is touched only when every member is on it. */
    readonly isLink: boolean;
    readonly startMs: number;
    readonly endMs: number;
    /** Time after its end in which the fault still explains an unknown outcome. */
    readonly recoveryMs: number;
    /** The same for refusals of keys whose earlier calls may have been forgotten; undefined for `memoryMs`. */
    readonly ledgerRecoveryMs?: number | undefined;
}

/** A whole history. */
export interface History {
    readonly calls: readonly CallRecord[];
    readonly executions: readonly ExecutionRecord[];
    readonly faults: readonly FaultRecord[];
    /** All instances of the service. */
    readonly instances: readonly string[];
}

/** Counts of violations and of outcomes. */
export interface Verdict {
    readonly runsOverOne: number;
    readonly notRunButRan: number;
    readonly otherResult: number;
    readonly completedWithoutRun: number;
    readonly unknowns: number;
    readonly unknownsWithoutFault: number;
    readonly refusalsHeld: number;
    readonly calls: number;
    readonly completed: number;
    readonly notRun: number;
    readonly executions: number;
    /** Calls whose key had run under another request: each could have run again. */
    readonly repeats: number;
}

/** Refusals that an entry or agent decides at once; none of them waits for anything. */
const IMMEDIATE_REJECTION_CODES: ReadonlySet<number> = new Set([
    codes.codes.draining.code,
    codes.codes.otherIncarnation.code,
    codes.codes.noInstance.code,
    codes.codes.homeUnavailable.code,
    codes.codes.handoverPending.code,
    codes.codes.ledgerFull.code,
    codes.codes.notReady.code,
    codes.codes.notHome.code,
    codes.codes.keyTooOld.code,
    codes.codes.keyReused.code,
]);
/** Part of its deadline after which an immediate refusal without a fault on its path counts as held back. */
const DELAYED_SHARE = 0.5;

/** Checks a history. */
export function checkHistory(history: History): Verdict {
    const { calls, executions } = history;
    const executionCounts = new Map<string, number>();
    executions.forEach(execution => increment(executionCounts, formatOwner(execution.key, execution.request)));
    const executedRequests = new Set(executions.map(({ request }) => request));
    const filterByOutcome = (outcome: codes.Outcome): CallRecord[] => calls.filter(call => call.outcome === outcome);
    const [completed, notRun, unknown] = [
        filterByOutcome("completed"),
        filterByOutcome("not-run"),
        filterByOutcome("unknown"),
    ];
    const explained = findExplained(history);
    return {
        runsOverOne: [...executionCounts.values()].filter(count => count > 1).length,
        notRunButRan: notRun.filter(({ request }) => request !== undefined && executedRequests.has(request)).length,
        otherResult: completed.filter(({ token, resultToken }) => token !== resultToken).length,
        completedWithoutRun:
            completed.filter(({ key, request }) => !executionCounts.has(formatOwner(key, request ?? ""))).length,
        unknowns: unknown.length,
        unknownsWithoutFault: unknown.filter(call => !explained.has(findOwner(call))).length,
        refusalsHeld: calls.filter(call => isDelayed(history, call)).length,
        calls: calls.length,
        completed: completed.length,
        notRun: notRun.length,
        executions: executions.length,
        repeats:
            calls.filter(({ key, request }) =>
                key !== undefined && executionCounts.has(formatOwner(key, "")) && !executedRequests.has(request ?? "")
            ).length,
    };
}

/** Keys, and calls without one, that have an executed effect more than once. */
export function findRepeated(executions: readonly ExecutionRecord[]): string[] {
    const executionCounts = new Map<string, number>();
    executions.forEach(execution => increment(executionCounts, formatOwner(execution.key, execution.request)));
    return [...executionCounts].filter(([, count]) => count > 1).map(([name]) => name);
}

/** The unknown outcomes that no fault explains. */
export function findUnexplained(history: History): CallRecord[] {
    const explained = findExplained(history);
    return history.calls.filter(call => call.outcome === "unknown" && !explained.has(findOwner(call)));
}

/** Keys, and calls without one, with a call that a fault touched. */
function findExplained(history: History): Set<string | CallRecord> {
    return new Set(history.calls.filter(call => isAffected(history, call)).map(findOwner));
}

function isAffected({ faults, instances }: History, call: CallRecord): boolean {
    const path = new Set([call.entry, ...(call.instance === undefined ? instances : [call.instance])]);
    return faults.some(fault => {
        const isMemberOnPath = (member: string): boolean => path.has(member);
        const isOnPath = fault.isLink ? fault.members.every(isMemberOnPath) : fault.members.some(isMemberOnPath);
        const isKeyTooOld = call.code === codes.codes.keyTooOld.code;
        const recoveryMs = isKeyTooOld ? fault.ledgerRecoveryMs ?? fault.recoveryMs : fault.recoveryMs;
        return isOnPath && fault.startMs <= call.endMs && fault.endMs + recoveryMs >= call.startMs;
    });
}

/** Whether a refusal that needs no waiting came late although nothing touched its path. */
function isDelayed(history: History, call: CallRecord): boolean {
    const isLate = call.endMs - call.startMs > DELAYED_SHARE * call.deadlineMs;
    return isLate && IMMEDIATE_REJECTION_CODES.has(call.code ?? -1) && !isAffected(history, call);
}

function findOwner(call: CallRecord): string | CallRecord {
    return call.key ?? call;
}

function formatOwner(key: string | undefined, request: string): string {
    return key === undefined ? `request ${request}` : `key ${key}`;
}

function increment(counts: Map<string, number>, name: string): void {
    counts.set(name, (counts.get(name) ?? 0) + 1);
}
