/**
 * How often streams that callers resume go on, against how often new streams begin. Only calls are counted whose entry
 * was free of faults and, for resumed ones, for whose software version two engines served.
 */
import * as checks from "./SoakChecks";
import * as faults from "./SoakFaults";
import * as histories from "./SoakHistory";

/** With fewer resumed streams, their share says nothing. */
const MIN_RESUMED_STREAMS = 12;
/** The share of resumed streams that go on must be at least this much of the share of new streams that begin. */
const MIN_RELATIVE_SHARE = 0.5;
/** Number of engines of a stream's version that must serve. */
const MIN_ENGINES = 2;
/** Time after a fault of an engine or an entry before it counts as free of faults. */
const SETTLING_MS = 3_000;
/** The version that wrote an event. */
const VERSION_PATTERN = / of (v\d+)\n\n/;

/** The counted streams of a soak. */
export interface StreamShares {
    readonly newStreams: number;
    readonly begun: number;
    readonly resumedStreams: number;
    readonly wentOn: number;
}

/** Counts new and resumed streams. */
export function countStreams(history: histories.SoakHistory): StreamShares {
    const calls = history.calls.filter(call =>
        call.route === histories.RESUMABLE_KIND
        && history.isUndisturbed(call.entry, call.sentMs - SETTLING_MS, call.endedMs)
    );
    const newCalls = calls.filter(call => call.resumes === undefined);
    const firstCalls = new Map(history.calls.map(call => [call.attempt, call] as const));
    const outcomes = new Map<string, boolean>();
    for (const call of calls) {
        const first = call.resumes && firstCalls.get(call.resumes.firstAttempt);
        const version = first && VERSION_PATTERN.exec(first.body)?.[1];
        if (version !== undefined && countServing(history, version, call) >= MIN_ENGINES) {
            outcomes.set(first!.attempt, outcomes.get(first!.attempt) === true || goesOn(call));
        }
    }
    return {
        newStreams: newCalls.length,
        begun: newCalls.filter(goesOn).length,
        resumedStreams: outcomes.size,
        wentOn: [...outcomes.values()].filter(wentOn => wentOn).length,
    };
}

/** A violation if too few of the resumed streams went on; undefined otherwise. */
export function findShareViolation(shares: StreamShares): checks.Violation | undefined {
    const { newStreams, begun, resumedStreams, wentOn } = shares;
    const isTooSmall = resumedStreams >= MIN_RESUMED_STREAMS && newStreams > 0
        && wentOn / resumedStreams < MIN_RELATIVE_SHARE * begun / newStreams;
    return isTooSmall ? { promise: "resumed streams go on", detail: shares } : undefined;
}

/** Whether a stream's answer brought an event, or stated the end of the stream. */
function goesOn(call: histories.SoakCall): boolean {
    return call.status === 200 && (call.isWhole || checks.lastEventIdOf(call) !== undefined);
}

/** Number of engines of a version that served without faults during a call. */
function countServing(history: histories.SoakHistory, version: string, call: histories.SoakCall): number {
    return history.engines.filter(engine =>
        engine.softwareVersion === version
        && engine.fromMs <= call.sentMs - SETTLING_MS
        && engine.leavesAtMs > call.endedMs
        && !history.faults.some(fault =>
            (fault.engine === engine.id || (fault.engine !== undefined && faults.SERVICE_FAULTS.has(fault.kind)))
            && fault.fromMs <= call.endedMs && fault.toMs >= call.sentMs - SETTLING_MS
        )
    ).length;
}
