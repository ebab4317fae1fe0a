/**
 * Checks the at-most-once guarantee against a history: answers to callers, executions at upstreams, and injected
 * faults. All times are on one clock, in milliseconds.
 *
 * An execution belongs to a key, or to a request if it has no key. A fault on a call's path affects the call if the
 * fault or its recovery time overlaps it; this explains unknown outcomes of the call and of all calls with its key. A
 * path consists of the entry called and the instance named in the answer, or all instances of the service if the
 * answer names none. A link is on the path if both its ends are.
 */
import * as codes from "../src/common/Codes";

/** One call and the answer that its caller received. */
export interface CallRecord {
    readonly key: string | undefined;
    /** Unique content of the body, the same in all calls with the same key. */
    readonly token: string;
    readonly entry: string;
    /** Identifies the request; undefined if no answer arrived. */
    readonly request: string | undefined;
    readonly outcome: codes.Outcome;
    readonly code: number | undefined;
    /** Instance named in the answer. */
    readonly instance: string | undefined;
    /** Token contained in the result. */
    readonly resultToken: string | undefined;
    readonly startMs: number;
    readonly endMs: number;
    readonly deadlineMs: number;
}

/** One execution at an upstream. */
export interface ExecutionRecord {
    readonly key: string | undefined;
    readonly request: string;
}

/** One injected fault. */
export interface FaultRecord {
    readonly kind: string;
    /** What it affected: one process, both ends of a link, or every instance of a service. */
    readonly members: readonly string[];
    /** Whether it affects a path only if every member is on it. */
    readonly isLink: boolean;
    readonly startMs: number;
    readonly endMs: number;
    /** Time after its end during which the fault still explains an unknown outcome. */
    readonly recoveryMs: number;
    /** The same for keys rejected as too old, whose ledger entries may be lost; by default `recoveryMs`. */
    readonly ledgerRecoveryMs?: number | undefined;
}

/** Complete history of one run. */
export interface History {
    readonly calls: readonly CallRecord[];
    readonly executions: readonly ExecutionRecord[];
    readonly faults: readonly FaultRecord[];
    /** All instances of the service. */
    readonly instances: readonly string[];
}

/** Counts of violations and of outcomes. */
export interface Verdict {
    /** Keys, and requests without a key, executed more than once. */
    readonly runsOverOne: number;
    /** Calls answered `not-run` that were executed. */
    readonly notRunButRan: number;
    /** Calls answered with the result of another call. */
    readonly otherResult: number;
    readonly completedWithoutRun: number;
    readonly unknowns: number;
    readonly unknownsWithoutFault: number;
    /** Immediate rejections that arrived late without a fault on their path. */
    readonly refusalsHeld: number;
    readonly calls: number;
    readonly completed: number;
    readonly notRun: number;
    readonly executions: number;
    /** Calls whose key was executed by another request: each could have been executed again. */
    readonly repeats: number;
}

/** Codes of rejections that an entry or agent decides immediately, without waiting. */
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
/** Share of the deadline after which an immediate rejection without a fault on its path counts as delayed. */
const DELAYED_SHARE = 0.5;

/** Counts the violations and outcomes of a history. */
export function checkHistory(history: History): Verdict {
    const { calls, executions } = history;
    const executionCounts = new Map<string, number>();
    executions.forEach(execution => increment(executionCounts, formatKeyOrRequest(execution.key, execution.request)));
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
            completed.filter(({ key, request }) => !executionCounts.has(formatKeyOrRequest(key, request ?? ""))).length,
        unknowns: unknown.length,
        unknownsWithoutFault: unknown.filter(call => !explained.has(findKeyOrCall(call))).length,
        refusalsHeld: calls.filter(call => isDelayed(history, call)).length,
        calls: calls.length,
        completed: completed.length,
        notRun: notRun.length,
        executions: executions.length,
        repeats:
            calls.filter(({ key, request }) =>
                key !== undefined && executionCounts.has(formatKeyOrRequest(key, ""))
                && !executedRequests.has(request ?? "")
            ).length,
    };
}

/** Names of the keys, and of the requests without a key, that were executed more than once. */
export function findRepeatedExecutions(executions: readonly ExecutionRecord[]): string[] {
    const executionCounts = new Map<string, number>();
    executions.forEach(execution => increment(executionCounts, formatKeyOrRequest(execution.key, execution.request)));
    return [...executionCounts].filter(([, count]) => count > 1).map(([name]) => name);
}

/** Calls with an unknown outcome that no fault explains. */
export function findUnexplained(history: History): CallRecord[] {
    const explained = findExplained(history);
    return history.calls.filter(call => call.outcome === "unknown" && !explained.has(findKeyOrCall(call)));
}

/** Keys with a call that a fault affected, and affected calls without a key. */
function findExplained(history: History): Set<string | CallRecord> {
    return new Set(history.calls.filter(call => isAffected(history, call)).map(findKeyOrCall));
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

/** Whether an immediate rejection arrived late although no fault affected its path. */
function isDelayed(history: History, call: CallRecord): boolean {
    const isLate = call.endMs - call.startMs > DELAYED_SHARE * call.deadlineMs;
    return isLate && IMMEDIATE_REJECTION_CODES.has(call.code ?? -1) && !isAffected(history, call);
}

function findKeyOrCall(call: CallRecord): string | CallRecord {
    return call.key ?? call;
}

function formatKeyOrRequest(key: string | undefined, request: string): string {
    return key === undefined ? `request ${request}` : `key ${key}`;
}

function increment(counts: Map<string, number>, name: string): void {
    counts.set(name, (counts.get(name) ?? 0) + 1);
}
