/**
 * The promises of the system, checked on what callers and engines saw.
 */
import * as histories from "./SoakHistory";

/** Events of each stream. */
export const EVENTS = 8;
/** Route of a configuration's own, by its version. */
export const routeOfVersion = (version: number): string => `v${version}`;

/** Bounds of the platform: an entry counts as undisturbed after this time without a fault, in milliseconds. */
const STABLE_MS = 3_000;
const CONFIGURATION_MS = 2_000;
const DRAIN_MS = 2_000;
/** Time after which the system answers as usual once all faults have ended, in milliseconds. */
export const RECOVERY_MS = 12_000;
/** Share of the calls after the recovery that must be served. */
const SERVED_SHARE = 0.95;
/** Time beyond its deadline for which a call may hang, in milliseconds. */
const HANG_MS = 1_500;
/** Time in which a program is loaded, and signals end it since it couldn't take them yet, in milliseconds. */
const LOADING_MS = 100;
/** Time that a call takes on its way, in milliseconds. */
const WAY_MS = 100;
const NOT_RUN_STATUSES = [408, 421, 429, 503];
const REJECTIONS = [400, 401, 404, 413, 431];

/** A promise that was broken. */
export interface Violation {
    readonly promise: string;
    readonly detail: unknown;
}

interface Check {
    readonly name: string;
    readonly find: (history: histories.SoakHistory, deadlineMs: number) => readonly unknown[];
}

const promises: readonly Check[] = [
    { name: "a call that may run once runs once", find: findTwice },
    { name: "a call that is refused as not run never runs", find: findRefusedRuns },
    { name: "a success is one engine's whole answer to this call", find: findMixed },
    { name: "a stream has every event once and in order", find: findBrokenStreams },
    { name: "engines get calls as their callers sent them", find: findChanged },
    { name: "proper calls aren't rejected", find: findRejected },
    { name: "no call hangs beyond its deadline", find: findHanging },
    { name: "a configuration is in force in time", find: findStale },
    { name: "an engine that leaves gets nothing more", find: findAfterLeaving },
    { name: "a planned stop cuts nothing", find: findCutByStop },
    { name: "a refusal says when to come back", find: findWithoutReturn },
    { name: "no process ends by itself", find: findOwnEnds },
];

/** All broken promises. */
export function findViolations(history: histories.SoakHistory, deadlineMs: number): Violation[] {
    return promises.flatMap(promise =>
        promise.find(history, deadlineMs).map(detail => ({ promise: promise.name, detail }))
    );
}

/** Whether calls are served again after the last fault; undefined when they are. */
export function findUnrecovered(history: histories.SoakHistory, fromMs: number): Violation | undefined {
    const calls = history.calls.filter(call =>
        call.sentMs >= fromMs && histories.KINDS.some(kind => kind === call.route)
    );
    const served = calls.filter(call => call.status === 200 && call.isWhole);
    const detail = { calls: calls.length, unserved: calls.filter(call => !served.includes(call)) };
    return calls.length > 0 && served.length >= calls.length * SERVED_SHARE
        ? undefined
        : { promise: "calls are served again after the last fault", detail };
}

function runsByAttempt(history: histories.SoakHistory): Map<string, histories.SoakRun[]> {
    const byAttempt = new Map<string, histories.SoakRun[]>();
    for (const run of history.runs) {
        byAttempt.set(run.attempt, [...byAttempt.get(run.attempt) ?? [], run]);
    }
    return byAttempt;
}

function mayRunOnce(call: histories.SoakCall): boolean {
    return histories.RUNS_ONCE.some(kind => kind === call.route);
}

function findTwice(history: histories.SoakHistory): readonly unknown[] {
    const runs = runsByAttempt(history);
    return history.calls
        .filter(call => mayRunOnce(call) && (runs.get(call.attempt)?.length ?? 0) > 1)
        .map(call => ({ call, runs: runs.get(call.attempt) }));
}

function findRefusedRuns(history: histories.SoakHistory): readonly unknown[] {
    const runs = runsByAttempt(history);
    return history.calls
        .filter(call => mayRunOnce(call) && NOT_RUN_STATUSES.includes(call.status ?? 0) && runs.has(call.attempt))
        .map(call => ({ call, runs: runs.get(call.attempt) }));
}

function findMixed(history: histories.SoakHistory): readonly unknown[] {
    const runs = runsByAttempt(history);
    return history.calls.filter(call => {
        if (call.status !== 200 || !call.isWhole) {
            return false;
        }
        const engine = runs.get(call.attempt)?.find(run => call.stamp === `stamp-${run.engine}`)?.engine;
        const isStream = call.body.startsWith("id: ");
        return engine === undefined || (!isStream && call.body !== `answer of ${engine} to ${call.attempt}`);
    });
}

function findBrokenStreams(history: histories.SoakHistory): readonly unknown[] {
    const whole = Array.from({ length: EVENTS }, (_, index) => `id: ${index + 1}\ndata: part ${index + 1}\n\n`).join(
        "",
    );
    return history.calls.filter(call => {
        const isStream = call.status === 200 && ["notes", "once", "staged"].includes(call.route);
        return isStream && (call.isWhole ? call.body !== whole : !whole.startsWith(call.body));
    });
}

function findChanged(history: histories.SoakHistory): readonly unknown[] {
    const calls = new Map(history.calls.map(call => [call.attempt, call] as const));
    return history.runs.filter(run => {
        const call = calls.get(run.attempt);
        return call?.path !== run.path || run.team !== "gilders" || run.hasKey;
    });
}

function findRejected(history: histories.SoakHistory): readonly unknown[] {
    return history.calls.filter(call =>
        histories.KINDS.some(kind => kind === call.route) && REJECTIONS.includes(call.status ?? 0)
    );
}

function findHanging(history: histories.SoakHistory, deadlineMs: number): readonly unknown[] {
    return history.calls.filter(call =>
        call.endedMs - call.sentMs > deadlineMs + HANG_MS && history.isCalm(call.entry, call.sentMs, call.endedMs)
    );
}

/** Calls on a configuration's own route, which only this version has. */
function findStale(history: histories.SoakHistory): readonly unknown[] {
    return history.versions.flatMap((published, index) => {
        const next = history.versions[index + 1];
        const calls = history.calls.filter(call => call.route === routeOfVersion(published.version));
        return calls.filter(call => {
            const isLate = next !== undefined && call.sentMs > next.atMs + CONFIGURATION_MS + WAY_MS;
            const isDue = call.sentMs > published.atMs + CONFIGURATION_MS + WAY_MS;
            const isBefore = next === undefined || call.endedMs < next.atMs;
            const isStale = (isLate && call.status === 200) || (isDue && isBefore && call.status === 404);
            return isStale && history.isCalm(call.entry, call.sentMs - STABLE_MS - CONFIGURATION_MS, call.endedMs);
        });
    });
}

function findAfterLeaving(history: histories.SoakHistory): readonly unknown[] {
    const calls = new Map(history.calls.map(call => [call.attempt, call] as const));
    return history.runs.filter(run => {
        const leftMs = history.left.get(run.engine);
        const call = calls.get(run.attempt);
        return leftMs !== undefined && call !== undefined && run.atMs > leftMs + DRAIN_MS + WAY_MS
            && history.isCalm(call.entry, leftMs - STABLE_MS, run.atMs);
    });
}

/** Calls that were read by an entry which was asked to stop, and got no whole answer without another cause. */
function findCutByStop(history: histories.SoakHistory): readonly unknown[] {
    const stops = history.faults.filter(fault => fault.kind === "stop");
    const runs = runsByAttempt(history);
    return history.calls.filter(call => {
        const stop = stops.find(fault =>
            fault.entry === call.entry && call.sentMs < fault.fromMs && call.endedMs > fault.fromMs
        );
        const isCut = stop !== undefined && call.endedMs < stop.toMs && !call.isWhole && runs.has(call.attempt);
        return isCut
            && history.isCalm(call.entry, call.sentMs - STABLE_MS, call.endedMs, ["stop", "configuration"])
            && !history.faults.some(fault => fault.engine !== undefined && fault.toMs >= call.sentMs - STABLE_MS);
    });
}

function findWithoutReturn(history: histories.SoakHistory): readonly unknown[] {
    return history.calls.filter(call => call.status === 429 && !call.hasRetryAfter);
}

function findOwnEnds(history: histories.SoakHistory): readonly unknown[] {
    return history.ownEnds.filter(end =>
        !history.faults.some(fault =>
            fault.entry === end.entry && fault.fromMs >= end.startedMs && fault.fromMs < end.startedMs + LOADING_MS
        )
    );
}
