/**
 * What was seen of a process beside peers that send without an end, and what is wrong with it.
 */
import * as exits from "../../src/commands/Exits";
import * as endlessPlans from "../EndlessPlan";
import * as soundCalls from "./SoundCalls";

/** What a process may use on the machines of entries. */
export const MEMORY_MEGABYTES = 350;
/** Longest time for a sound call, and for an answer to the load balancer. */
const MAX_ANSWER_MS = 1_000;
/** Time in which a planned stop has to end, as in the settings. */
export const STOP_LIMIT_SECONDS = 4;
const MS_PER_SECOND = 1_000;

/** What was seen. */
export interface TrialReport {
    readonly isAlive: boolean;
    /** Largest resident memory; 0 if the process has ended. */
    readonly peakMegabytes: number;
    readonly coresUsed: number;
    readonly sound: soundCalls.SoundReport;
    readonly ready: soundCalls.SoundReport;
    readonly exceptions: number;
    /** What each faulty peer did. */
    readonly peers: readonly endlessPlans.Progress[];
}

/** What became of a planned stop. */
export interface StopReport {
    readonly failures: soundCalls.SoundReport["failures"];
    /** Undefined if the process was ended by a signal. */
    readonly exitCode: number | undefined;
    readonly stopMs: number;
}

/**
 * What is wrong with a planned stop; empty if the process ends in time, and serves what has begun. Calls that a faulty
 * peer keeps from ending may be aborted.
 */
export function findStopViolations({ failures, exitCode, stopMs }: StopReport): string[] {
    const checks: readonly (readonly [string, boolean])[] = [
        [`exit code ${exitCode}`, exitCode === exits.EXIT_SUCCESS || exitCode === exits.EXIT_WORK_ABORTED],
        [`${stopMs} ms for a stop`, stopMs <= STOP_LIMIT_SECONDS * MS_PER_SECOND],
        [`calls in progress are served: ${JSON.stringify(failures)}`, Object.keys(failures).length === 0],
    ];
    return checks.filter(([, holds]) => !holds).map(([name]) => name);
}

/** What is wrong in a report; empty if the process lives, is ready, stays in its memory, and serves all in time. */
export function findViolations({ isAlive, peakMegabytes, sound, ready, exceptions, peers }: TrialReport): string[] {
    const checks: readonly (readonly [string, boolean])[] = [
        ["the process lives", isAlive],
        [`${peakMegabytes} of ${MEMORY_MEGABYTES} MB`, peakMegabytes < MEMORY_MEGABYTES],
        ["no exception is logged", exceptions === 0],
        [`sound calls are served: ${JSON.stringify(sound)}`, isServed(sound)],
        [`the load balancer is told that it is ready: ${JSON.stringify(ready)}`, isServed(ready)],
        ["each peer has sent", peers.every(({ sentBytes }) => sentBytes > 0)],
    ];
    return checks.filter(([, holds]) => !holds).map(([name]) => name);
}

function isServed({ calls, failures, slowestMs }: soundCalls.SoundReport): boolean {
    return calls > 0 && Object.keys(failures).length === 0 && slowestMs <= MAX_ANSWER_MS;
}
