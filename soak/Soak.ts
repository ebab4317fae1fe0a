/**
 * One soak test: injects faults for a while, lets the system recover, and checks what callers and engines observed.
 */
import * as clocks from "../src/common/Clock";
import * as randoms from "../src/common/Random";
import * as callers from "./SoakCaller";
import * as checks from "./SoakChecks";
import * as faults from "./SoakFaults";
import * as fleets from "./SoakFleet";
import * as histories from "./SoakHistory";
import * as shares from "./SoakShares";

/** Time for the entries to start before the first call. */
const STARTUP_MS = 3_000;
/** Period without faults after the recovery, in which calls must be served. */
const CALM_PERIOD_MS = 3_000;

/** Options of a soak. */
export interface SoakOptions {
    readonly seed: number;
    /** Duration of the fault injection. */
    readonly faultPeriodMs: number;
    readonly entryCount: number;
    readonly callerCount: number;
    /** Path of the built program. */
    readonly program: string;
}

/** The result of a soak. */
export interface SoakReport {
    readonly seed: number;
    readonly calls: number;
    readonly served: number;
    readonly runs: number;
    readonly faults: number;
    readonly streams: shares.StreamShares;
    readonly violations: readonly checks.Violation[];
    /** Path of the file with the logs of all entries. */
    readonly logFile: string;
    readonly history: histories.SoakHistory;
}

/** Runs a soak, and kills all its processes before it returns. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
    const random = randoms.createRandom(options.seed);
    const history = new histories.SoakHistory();
    const plan = faults.planFaults(random, options.faultPeriodMs);
    const fleet = await fleets.SoakFleet.start(history, options.program, options.entryCount);
    try {
        await clocks.sleep(clocks.systemClock, STARTUP_MS);
        const soakCallers = Array.from(
            { length: options.callerCount },
            (_, index) => new callers.SoakCaller(`c${index}`, fleet, randoms.createRandom(options.seed + index + 1)),
        );
        soakCallers.push(new callers.SoakCaller("crash", fleet, randoms.createRandom(options.seed), true));
        const callerLoops = soakCallers.map(caller => caller.run());
        await injectFaults(fleet, plan);
        const recoveryEndMs = clocks.systemClock.now() + checks.RECOVERY_MS;
        await clocks.sleep(clocks.systemClock, checks.RECOVERY_MS + CALM_PERIOD_MS);
        soakCallers.forEach(caller => caller.stop());
        await Promise.all(callerLoops);
        fleet.collectRuns();
        const recoveryViolation = checks.findRecoveryViolation(history, recoveryEndMs);
        const streams = shares.countStreams(history);
        const violations = checks.findViolations(history, callers.CALL_DEADLINE_MS);
        const otherViolations = [recoveryViolation, shares.findShareViolation(streams)]
            .filter(violation => violation !== undefined);
        return {
            seed: options.seed,
            calls: history.calls.length,
            served: history.calls.filter(call => call.status === 200 && call.isWhole).length,
            runs: history.runs.length,
            faults: history.faults.length,
            streams,
            violations: [...violations, ...otherViolations],
            logFile: fleet.logFile,
            history,
        };
    }
    finally {
        fleet.dispose();
    }
}

async function injectFaults(fleet: fleets.SoakFleet, plan: readonly faults.PlannedFault[]): Promise<void> {
    const startedMs = clocks.systemClock.now();
    for (const fault of plan) {
        await clocks.sleep(clocks.systemClock, startedMs + fault.atMs - clocks.systemClock.now());
        fleet.inject(fault);
    }
    const lastEndMs = Math.max(0, ...plan.map(fault => fault.atMs + fault.durationMs));
    await clocks.sleep(clocks.systemClock, startedMs + lastEndMs - clocks.systemClock.now());
}
