/**
 * One soak: faults for some time, then calm, and checks of everything that callers and engines saw.
 */
import * as clocks from "../src/common/Clock";
import * as randoms from "../src/common/Random";
import * as callers from "./SoakCallers";
import * as checks from "./SoakChecks";
import * as faults from "./SoakFaults";
import * as fleets from "./SoakFleet";
import * as histories from "./SoakHistory";

/** Time for the entries to start, in milliseconds. */
const START_MS = 3_000;
/** Calm time after the recovery in which calls must be served, in milliseconds. */
const CALM_MS = 3_000;

/** What a soak runs. */
export interface SoakOptions {
    readonly seed: number;
    /** Time with faults. */
    readonly faultMs: number;
    readonly entries: number;
    readonly callers: number;
    /** The built program. */
    readonly program: string;
}

/** What came of it. */
export interface SoakReport {
    readonly seed: number;
    readonly calls: number;
    readonly served: number;
    readonly runs: number;
    readonly faults: number;
    readonly violations: readonly checks.Violation[];
    /** The entries' log. */
    readonly logFile: string;
    readonly history: histories.SoakHistory;
}

/** Runs a soak to its end; all its processes have ended then. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
    const random = randoms.createRandom(options.seed);
    const history = new histories.SoakHistory();
    const plan = faults.planFaults(random, options.faultMs);
    const fleet = await fleets.SoakFleet.start(history, options.program, options.entries);
    try {
        await clocks.sleep(clocks.systemClock, START_MS);
        const crowd = Array.from(
            { length: options.callers },
            (_, index) => new callers.SoakCaller(`c${index}`, fleet, randoms.createRandom(options.seed + index + 1)),
        );
        const running = crowd.map(caller => caller.run());
        await injectAll(fleet, plan);
        const calmFromMs = clocks.systemClock.now() + checks.RECOVERY_MS;
        await clocks.sleep(clocks.systemClock, checks.RECOVERY_MS + CALM_MS);
        crowd.forEach(caller => caller.stop());
        await Promise.all(running);
        fleet.collectRuns();
        const unrecovered = checks.findUnrecovered(history, calmFromMs);
        const violations = checks.findViolations(history, callers.DEADLINE_MS);
        return {
            seed: options.seed,
            calls: history.calls.length,
            served: history.calls.filter(call => call.status === 200 && call.isWhole).length,
            runs: history.runs.length,
            faults: history.faults.length,
            violations: unrecovered === undefined ? violations : [...violations, unrecovered],
            logFile: fleet.logFile,
            history,
        };
    }
    finally {
        fleet.dispose();
    }
}

async function injectAll(fleet: fleets.SoakFleet, plan: readonly faults.PlannedFault[]): Promise<void> {
    const startedMs = clocks.systemClock.now();
    for (const planned of plan) {
        await clocks.sleep(clocks.systemClock, startedMs + planned.atMs - clocks.systemClock.now());
        fleet.inject(planned);
    }
    const last = Math.max(0, ...plan.map(planned => planned.atMs + planned.forMs));
    await clocks.sleep(clocks.systemClock, startedMs + last - clocks.systemClock.now());
}
