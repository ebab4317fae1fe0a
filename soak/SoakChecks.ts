/**
 * The guarantees of the system, checked on what callers and engines observed.
 */
import * as limitChecks from "./LimitCheck";
import * as histories from "./SoakHistory";

/** Number of events in each stream. */
export const EVENT_COUNT = 8;
/** Name of the route that only the given configuration version has. */
export const routeOfVersion = (version: number): string => `v${version}`;

/** An entry must meet the time limits of the platform once it has been free of faults for this long. */
const UNDISTURBED_MS = 3_000;
/** Platform limit: longest time until an undisturbed entry applies a published configuration. */
const CONFIGURATION_LIMIT_MS = 2_000;
/** Platform limit: longest time until a leaving engine gets no more calls of an entry, once the entry can know it. */
const DRAIN_LIMIT_MS = 2_000;
/** Platform limit: calls that are on their way when an engine asks for a hold arrive within this time. */
const HOLD_TRANSIT_MS = 500;
/** Platform limit: most calls from one entry that may reach an engine later in its hold. */
const MAX_ARRIVALS_IN_HOLD = 2;
/** Platform limits: ends of engines from which a part must be known, and most prompts with it that reach one later. */
const KNOWN_CRASHES = 5;
const KNOWN_REQUEST_CRASHES = 3;
const MAX_LATE_CRASHES = 3;
/** Time for the system to recover once all faults have ended. */
export const RECOVERY_MS = 12_000;
/** Minimum share of the calls after the recovery that must be served. */
const MIN_SERVED_SHARE = 0.95;
/** Tolerance after the deadline, within which a call must end. */
const DEADLINE_TOLERANCE_MS = 1_500;
/** Time in which a process loads its program. Until its signal handlers are installed, a signal terminates it. */
const PROGRAM_LOAD_MS = 100;
/** Allowance for the time that a call is in flight between two processes. */
const TRANSIT_MS = 100;
/** The software version in an event. */
const WRITER_PATTERN = / of v\d+(?=\n\n)/g;
/** The same at the end of an answer that was cut. */
const PARTIAL_WRITER_PATTERN = / (?:of?(?: (?:v\d*)?)?)?(?=\n?$)/;
const NOT_RUN_STATUSES = [408, 421, 429, 503];
const INVALID_CALL_STATUSES = [400, 401, 404, 413, 431];

/** A violated guarantee. */
export interface Violation {
    /** The name of the guarantee. */
    readonly promise: string;
    /** The calls, runs or exits that violate it. */
    readonly detail: unknown;
}

interface Guarantee {
    readonly name: string;
    readonly find: (history: histories.SoakHistory, deadlineMs: number) => readonly unknown[];
}

const guarantees: readonly Guarantee[] = [
    { name: "a call that may run once runs once", find: findRepeatedRuns },
    { name: "a call that is refused as not run never runs", find: findRunsOfRejectedCalls },
    { name: "a success is one engine's whole answer to this call", find: findForeignAnswers },
    { name: "a stream has every event once and in order", find: findIncorrectStreams },
    { name: "a stream holds events of one software version", find: findMixedStreams },
    { name: "engines get calls as their callers sent them", find: findAlteredRequests },
    { name: "proper calls aren't rejected", find: findRejectedValidCalls },
    { name: "no call hangs beyond its deadline", find: findOverdueCalls },
    { name: "a configuration is in force in time", find: findStaleConfigurations },
    { name: "a configuration never reverts", find: findRevertedConfigurations },
    { name: "an engine that leaves gets nothing more", find: findRunsAfterLeaving },
    { name: "an engine that has told an entry that it leaves gets nothing more from it", find: findRunsAfterSign },
    { name: "an engine that asks for a hold gets nothing in it", find: findArrivalsInHolds },
    { name: "few prompts reach engines with a part that is known to crash them", find: findLateCrashes },
    { name: "few requests reach engines that are known to crash them", find: findLateRepeats },
    { name: "an engine that names a limit gets no more", find: limitChecks.findArrivalsBeyondLimit },
    { name: "a planned stop cuts nothing", find: findCallsAbortedByStop },
    { name: "a refusal says when to come back", find: findMissingRetryAfter },
    { name: "no process ends by itself", find: findUnexpectedExits },
];

/** Finds all violations, except for a failed recovery. */
export function findViolations(history: histories.SoakHistory, deadlineMs: number): Violation[] {
    return guarantees.flatMap(guarantee =>
        guarantee.find(history, deadlineMs).map(detail => ({ promise: guarantee.name, detail }))
    );
}

/** A violation if too few of the calls sent from `fromMs` on were served; undefined otherwise. */
export function findRecoveryViolation(history: histories.SoakHistory, fromMs: number): Violation | undefined {
    const calls = history.calls.filter(call =>
        call.sentMs >= fromMs && call.isCrashing !== true && histories.CALL_KINDS.some(kind => kind === call.route)
    );
    const served = calls.filter(call => call.status === 200 && call.isWhole);
    const detail = { calls: calls.length, unserved: calls.filter(call => !served.includes(call)) };
    return calls.length > 0 && served.length >= calls.length * MIN_SERVED_SHARE
        ? undefined
        : { promise: "calls are served again after the last fault", detail };
}

function groupRunsByAttempt(history: histories.SoakHistory): Map<string, histories.SoakRun[]> {
    const byAttempt = new Map<string, histories.SoakRun[]>();
    for (const run of history.runs) {
        byAttempt.set(run.attempt, [...byAttempt.get(run.attempt) ?? [], run]);
    }
    return byAttempt;
}

function isStreamKind(route: string): boolean {
    return ["notes", "once", "staged"].includes(route);
}

function isAtMostOnce(call: histories.SoakCall): boolean {
    return histories.AT_MOST_ONCE_KINDS.some(kind => kind === call.route);
}

function findRepeatedRuns(history: histories.SoakHistory): readonly unknown[] {
    const runs = groupRunsByAttempt(history);
    return history.calls
        .filter(call => isAtMostOnce(call) && (runs.get(call.attempt)?.length ?? 0) > 1)
        .map(call => ({ call, runs: runs.get(call.attempt) }));
}

function findRunsOfRejectedCalls(history: histories.SoakHistory): readonly unknown[] {
    const runs = groupRunsByAttempt(history);
    return history.calls
        .filter(call => isAtMostOnce(call) && NOT_RUN_STATUSES.includes(call.status ?? 0) && runs.has(call.attempt))
        .map(call => ({ call, runs: runs.get(call.attempt) }));
}

function findForeignAnswers(history: histories.SoakHistory): readonly unknown[] {
    const runs = groupRunsByAttempt(history);
    return history.calls.filter(call => {
        if (call.status !== 200 || !call.isWhole) {
            return false;
        }
        const engine = runs.get(call.attempt)?.find(run => call.stamp === `stamp-${run.engine}`)?.engine;
        const isStream = isStreamKind(call.route); // Its body, which may be empty, is checked by the events.
        return engine === undefined || (!isStream && call.body !== `answer of ${engine} to ${call.attempt}`);
    });
}

function findIncorrectStreams(history: histories.SoakHistory): readonly unknown[] {
    return history.calls.filter(call => {
        const isStream = call.status === 200 && isStreamKind(call.route);
        const body = call.body.replaceAll(WRITER_PATTERN, "").replace(PARTIAL_WRITER_PATTERN, "");
        const completeBody = eventsAfter(call.resumes?.lastEventId ?? 0);
        return isStream && (call.isWhole ? body !== completeBody : !completeBody.startsWith(body));
    });
}

/** The body of a complete stream after an event, without the versions that wrote it. */
function eventsAfter(lastEventId: number): string {
    const ids = Array.from({ length: EVENT_COUNT - lastEventId }, (_, index) => lastEventId + 1 + index);
    return ids.map(id => `id: ${id}\ndata: part ${id}\n\n`).join("");
}

/** ID of the last complete event of an answer; undefined if it has none. */
export function lastEventIdOf(call: histories.SoakCall): number | undefined {
    const ids = call.status === 200 ? [...call.body.matchAll(/id: (\d+)\ndata: [^\n]*\n\n/g)] : [];
    return ids.length === 0 ? undefined : Number(ids.at(-1)![1]);
}

/** Finds streams with events of several software versions, in one answer or over their callers' attempts. */
function findMixedStreams(history: histories.SoakHistory): readonly unknown[] {
    const callsByStream = new Map<string, histories.SoakCall[]>();
    for (const call of history.calls) {
        const stream = call.resumes?.firstAttempt ?? call.attempt;
        callsByStream.set(stream, [...callsByStream.get(stream) ?? [], call]);
    }
    return [...callsByStream.values()].filter(calls => {
        const bodies = calls.filter(call => call.status === 200).map(call => call.body).join("");
        return new Set([...bodies.matchAll(WRITER_PATTERN)].map(([writer]) => writer)).size > 1;
    });
}

function findAlteredRequests(history: histories.SoakHistory): readonly unknown[] {
    const calls = new Map(history.calls.map(call => [call.attempt, call] as const));
    return history.runs.filter(run => {
        const call = calls.get(run.attempt);
        return call?.path !== run.path || run.team !== "gilders" || run.hasKey;
    });
}

function findRejectedValidCalls(history: histories.SoakHistory): readonly unknown[] {
    return history.calls.filter(call =>
        histories.CALL_KINDS.some(kind => kind === call.route) && INVALID_CALL_STATUSES.includes(call.status ?? 0)
    );
}

function findOverdueCalls(history: histories.SoakHistory, deadlineMs: number): readonly unknown[] {
    return history.calls.filter(call =>
        call.endedMs - call.sentMs > deadlineMs + DEADLINE_TOLERANCE_MS
        && history.isUndisturbed(call.entry, call.sentMs, call.endedMs)
    );
}

/** Finds calls to a version's own route that were served after its removal, or got 404 after its publication. */
function findStaleConfigurations(history: histories.SoakHistory): readonly unknown[] {
    return history.versions.flatMap((published, index) => {
        const next = history.versions[index + 1];
        const calls = history.calls.filter(call => call.route === routeOfVersion(published.version));
        return calls.filter(call => {
            const isAfterRemoval = next !== undefined && call.sentMs > next.atMs + CONFIGURATION_LIMIT_MS + TRANSIT_MS;
            const isAfterPublication = call.sentMs > published.atMs + CONFIGURATION_LIMIT_MS + TRANSIT_MS;
            const isBeforeRemoval = next === undefined || call.endedMs < next.atMs;
            const isStale = (isAfterRemoval && call.status === 200)
                || (isAfterPublication && isBeforeRemoval && call.status === 404);
            return isStale
                && history.isUndisturbed(
                    call.entry,
                    call.sentMs - UNDISTURBED_MS - CONFIGURATION_LIMIT_MS,
                    call.endedMs,
                );
        });
    });
}

/** Finds calls served on an older version's own route by a process that has served a newer version's before. */
function findRevertedConfigurations(history: histories.SoakHistory): readonly unknown[] {
    const served = history.versions.flatMap(({ version }) =>
        history.calls
            .filter(call => call.route === routeOfVersion(version) && call.status === 200)
            .map(call => ({ version, call }))
    );
    return served.filter(({ version, call }) =>
        served.some(other =>
            other.version > version && other.call.entry === call.entry
            && call.sentMs > other.call.endedMs + TRANSIT_MS
            && !wasRestarted(history, call.entry, other.call.sentMs, call.endedMs)
        )
    );
}

/** Whether another process of the entry may have served at the end of the time span than at its start. */
function wasRestarted(history: histories.SoakHistory, entry: number, fromMs: number, toMs: number): boolean {
    const restarts = history.faults.filter(fault => fault.kind === "kill" || fault.kind === "stop");
    return restarts.some(fault => fault.entry === entry && fault.fromMs <= toMs && fault.toMs >= fromMs)
        || history.unexpectedExits.some(exit => exit.entry === entry && exit.atMs >= fromMs && exit.startedMs <= toMs);
}

function findRunsAfterLeaving(history: histories.SoakHistory): readonly unknown[] {
    const calls = new Map(history.calls.map(call => [call.attempt, call] as const));
    return history.runs.filter(run => {
        const drainingSinceMs = history.drainingSinceMs.get(run.engine);
        const call = calls.get(run.attempt);
        return drainingSinceMs !== undefined && call !== undefined
            && run.atMs > drainingSinceMs + DRAIN_LIMIT_MS + TRANSIT_MS
            && history.isUndisturbed(call.entry, drainingSinceMs - UNDISTURBED_MS, run.atMs);
    });
}

/** Finds runs on engines that had told the entry that they leave, in an answer that the entry passed on. */
function findRunsAfterSign(history: histories.SoakHistory): readonly unknown[] {
    const calls = new Map(history.calls.map(call => [call.attempt, call] as const));
    const signs = history.runs.filter(run => run.isLeaving).flatMap(run => {
        const call = calls.get(run.attempt);
        const isPassedOn = call?.status !== undefined && call.stamp === `stamp-${run.engine}`;
        return isPassedOn ? [{ engine: run.engine, entry: call.entry, atMs: call.endedMs }] : [];
    });
    return history.runs.filter(run => {
        const call = calls.get(run.attempt);
        return run.isLeaving
            && signs.some(sign =>
                call !== undefined && sign.engine === run.engine && sign.entry === call.entry
                && call.sentMs > sign.atMs + DRAIN_LIMIT_MS
                && !history.wasInterrupted(call.entry, sign.atMs, run.atMs)
            );
    });
}

/** Finds rejections after which too many calls of the same entry reached the engine in the hold that it asked for. */
function findArrivalsInHolds(history: histories.SoakHistory): readonly unknown[] {
    const entries = new Map(history.calls.map(call => [call.attempt, call.entry] as const));
    const entryOf = (arrival: histories.SoakArrival): number | undefined => entries.get(arrival.attempt ?? "");
    return history.arrivals.flatMap(rejection => {
        const entry = entryOf(rejection);
        if (rejection.retryAfter === undefined || entry === undefined) {
            return [];
        }
        const fromMs = rejection.atMs + HOLD_TRANSIT_MS;
        // A new start of the engine knows nothing of the hold.
        const crashes = history.faults.filter(fault =>
            fault.kind === "crash" && fault.engine === rejection.engine && fault.fromMs > rejection.atMs
        );
        const endMs = rejection.atMs + Number(rejection.retryAfter) * 1_000;
        const toMs = Math.min(endMs, ...crashes.map(crash => crash.fromMs));
        const arrivals = history.arrivals.filter(other =>
            other.engine === rejection.engine && other.atMs > fromMs && other.atMs < toMs && entryOf(other) === entry
        );
        const isExcused = !history.isUndisturbed(entry, rejection.atMs, toMs)
            || history.faults.some(fault =>
                fault.engine === rejection.engine && fault.kind.startsWith("link-")
                && fault.fromMs <= toMs && fault.toMs >= rejection.atMs
            );
        return arrivals.length > MAX_ARRIVALS_IN_HOLD && !isExcused ? [{ rejection, arrivals }] : [];
    });
}

/** Finds calls that the entry had read, as they reached an engine, but left incomplete only due to its planned stop. */
function findCallsAbortedByStop(history: histories.SoakHistory): readonly unknown[] {
    const stops = history.faults.filter(fault => fault.kind === "stop");
    const runs = groupRunsByAttempt(history);
    return history.calls.filter(call => {
        const stop = stops.find(fault =>
            fault.entry === call.entry && call.sentMs < fault.fromMs && call.endedMs > fault.fromMs
        );
        const isAborted = stop !== undefined && call.endedMs < stop.toMs && !call.isWhole && runs.has(call.attempt);
        return isAborted
            && history.isUndisturbed(call.entry, call.sentMs - UNDISTURBED_MS, call.endedMs, ["stop", "configuration"])
            && !history.faults.some(fault => fault.engine !== undefined && fault.toMs >= call.sentMs - UNDISTURBED_MS);
    });
}

/** Finds calls with the part that crashes engines which undisturbed entries sent on once they had to know the part. */
function findLateCrashes(history: histories.SoakHistory): readonly unknown[] {
    return findLate(history, false, KNOWN_CRASHES);
}

/** The same for the request that crashes engines and comes again. */
function findLateRepeats(history: histories.SoakHistory): readonly unknown[] {
    return findLate(history, true, KNOWN_REQUEST_CRASHES);
}

function findLate(history: histories.SoakHistory, isRepeated: boolean, knownCrashes: number): readonly unknown[] {
    const calls = new Map(history.calls.map(call => [call.attempt, call] as const));
    const crashes = history.faults
        .filter(fault => fault.kind === "crash" && (calls.get(fault.attempt ?? "")?.isRepeated === true) === isRepeated)
        .sort((a, b) => a.fromMs - b.fromMs);
    const knownFromMs = (crashes[knownCrashes - 1]?.fromMs ?? Infinity) + UNDISTURBED_MS;
    const late = crashes.filter(({ attempt, fromMs }) => {
        const call = calls.get(attempt ?? "");
        return fromMs > knownFromMs && call !== undefined
            && history.isUndisturbed(call.entry, fromMs - UNDISTURBED_MS, fromMs);
    });
    return late.length > MAX_LATE_CRASHES ? late : [];
}

function findMissingRetryAfter(history: histories.SoakHistory): readonly unknown[] {
    return history.calls.filter(call => call.status === 429 && !call.hasRetryAfter);
}

function findUnexpectedExits(history: histories.SoakHistory): readonly unknown[] {
    return history.unexpectedExits.filter(exit =>
        !history.faults.some(fault =>
            fault.entry === exit.entry && fault.fromMs >= exit.startedMs
            && fault.fromMs < exit.startedMs + PROGRAM_LOAD_MS
        )
    );
}
