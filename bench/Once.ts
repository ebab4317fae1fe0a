/**
 * Experiment `once`: non-idempotent calls through several entries while processes and upstreams are killed, paused
 * and partitioned, views disagree and the homes of keys change. The baseline publishes the same operation as
 * idempotent: the same code then retries it on any instance and keeps no ledger.
 */
import * as clocks from "../src/common/Clock";
import * as configurations from "../src/common/Configuration";
import * as randoms from "../src/common/Random";
import * as fleets from "../standins/ProcessFleet";
import * as experiments from "./Experiment";
import * as fleetFaults from "./FleetFaults";
import * as onceCallers from "./OnceCallers";
import * as histories from "./OnceHistory";

const SERVICE = "bookings";
const OPERATION = "book";
const KEY_LIFETIME_MS = 10_000;
const ENTRIES = 3;
const SLOTS = 4;
const SERVICE_MS = 8;
const POLICY_DURATION_MS = 26_000;
const BASELINE_DURATION_MS = 6_000;
/** Time before the first fault. */
const FAULT_FREE_START_MS = 1_000;
/** Time for work to end that continues after its caller has disconnected. */
const SETTLE_MS = 2_500;
/** Gives callers another random sequence than the fault schedule. */
const CALLER_SEED_OFFSET = 1_000_003;

function createConfiguration(idempotent: boolean): configurations.Configuration {
    const slots = Array.from({ length: SLOTS }, (_, index) => [
        `booking-${index + 1}`,
        { failureDomain: index % 2 === 0 ? "zone-a" : "zone-b" },
    ]);
    return configurations.configurationSchema.parse({
        version: 1,
        preset: "ordinary",
        presets: { ordinary: { retryRatio: 0.2, hedgeRatio: 0, shedBelowPriority: 0 } },
        failureDomains: { "zone-a": { region: "local" }, "zone-b": { region: "local" } },
        teams: { bench: { weight: 1 } },
        services: {
            [SERVICE]: {
                kind: "plain",
                operations: { [OPERATION]: { idempotent } },
                warmConcurrency: 32,
                coldConcurrency: 8,
                slots: Object.fromEntries(slots),
            },
        },
        pipelines: {},
        keyLifetimeMs: KEY_LIFETIME_MS,
    });
}

/** Runs one fleet under faults and returns its history. */
export async function collectHistory(
    seed: number,
    idempotent: boolean,
    durationMs: number,
): Promise<histories.History> {
    const fleet = await fleets.ProcessFleet.start({
        configuration: createConfiguration(idempotent),
        entries: ENTRIES,
        upstreamOptions: () => ({ serviceMs: SERVICE_MS }),
        logFolder: process.env["CUMINCRANK_FLEET_LOGS"],
    });
    try {
        const sharedOptions = { fleet, service: SERVICE, keyLifetimeMs: KEY_LIFETIME_MS };
        const startBase = { kind: "start", members: fleet.agentNames, isLink: false, endMs: clocks.systemClock.now() };
        const callers = new onceCallers.OnceCallers({
            ...sharedOptions,
            operation: OPERATION,
            random: randoms.createRandom(seed + CALLER_SEED_OFFSET),
        });
        const faults = new fleetFaults.FleetFaults({
            ...sharedOptions,
            random: randoms.createRandom(seed),
            upstreamFaults: [{ resetAfterEffect: true }, { resetBeforeEffect: true }, { delayMs: 700 }],
            hasSlotChanges: true,
        });
        const callersEnd = callers.run(durationMs);
        await clocks.sleep(clocks.systemClock, FAULT_FREE_START_MS);
        await faults.run(durationMs - FAULT_FREE_START_MS);
        await callersEnd;
        await clocks.sleep(clocks.systemClock, SETTLE_MS);
        // The start explains keys rejected as too old during the first key lifetime.
        const startRecord = { ...startBase, startMs: 0, recoveryMs: 0, ledgerRecoveryMs: KEY_LIFETIME_MS };
        return {
            calls: callers.records,
            executions: await fleet.readExecutions(),
            faults: [startRecord, ...faults.records],
            instances: fleet.agentNames,
        };
    }
    finally {
        fleet.dispose();
    }
}

function summarize(history: histories.History): experiments.Figures {
    return { ...histories.checkHistory(history), faults: history.faults.length - 1 };
}

/** Prints details for finding the cause of a violation. */
function printDiagnostics(history: histories.History): void {
    for (const name of histories.findRepeatedExecutions(history.executions).slice(0, 5)) {
        const calls = history.calls.filter(call => `key ${call.key}` === name);
        console.error("repeated", name, JSON.stringify({ calls, runs: findExecutions(history, name) }));
    }
    const counts = new Map<string, number>();
    for (const { outcome, code } of history.calls) {
        const outcomeAndCode = `${outcome} ${code}`;
        counts.set(outcomeAndCode, (counts.get(outcomeAndCode) ?? 0) + 1);
    }
    console.error("answers", JSON.stringify(Object.fromEntries(counts)));
    for (const call of histories.findUnexplained(history).slice(0, 5)) {
        console.error("unexplained", JSON.stringify(call));
    }
}

function findExecutions(history: histories.History, name: string): histories.ExecutionRecord[] {
    return history.executions.filter(({ key, request }) => name === `key ${key}` || name === `request ${request}`);
}

/** At-most-once execution with separate processes. */
export const once: experiments.Experiment = {
    name: "once",
    async run(seed) {
        const history = await collectHistory(seed, false, POLICY_DURATION_MS);
        printDiagnostics(history);
        const baseline = await collectHistory(seed, true, BASELINE_DURATION_MS);
        return {
            baseline: summarize(baseline),
            policy: summarize(history),
            bounds: {
                runsOverOne: { atMost: 0 },
                notRunButRan: { atMost: 0 },
                otherResult: { atMost: 0 },
                completedWithoutRun: { atMost: 0 },
                unknownsWithoutFault: { atMost: 0 },
                refusalsHeld: { atMost: 0 },
                calls: { atLeast: 2_000 },
                repeats: { atLeast: 200 },
            },
        };
    },
};
