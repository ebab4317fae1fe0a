/**
 * Experiment `delta-trimming`: simulates one day at the target rate of changes and compares policies for trimming
 * the delta log: by count and bytes, by the lowest version that a known peer still needs, and no log at all.
 * Measures bytes, not time.
 */
import * as randoms from "../src/common/Random";
import * as deltaLogs from "../src/process/configuration/DeltaLog";
import * as deltas from "../src/version/ConfigurationDelta";
import * as experiments from "./Experiment";
import * as samples from "./SlopeSamples";

const CHANGES = 73_000;
const SLOTS = 10_000;
const PEERS = 8;
/** Largest lag, in versions, of a peer that reads normally. */
const MAX_READING_LAG = 3;
/** Probability that a peer pauses at a change, and the longest pause in changes. */
const PAUSE_PROBABILITY = 1 / 20_000;
const MAX_PAUSE_CHANGES = 50;
/** Change at which half of the peers are cut off, and the duration in changes: one hour. */
const PARTITION_START = 30_000;
const PARTITION_CHANGES = 3_042;
const EDITS = [
    { path: ["services", "service-1", "slots", "engine-1-100", "state"], value: "out" },
    { path: ["version"], value: CHANGES },
];
const CHANGE_BYTES = JSON.stringify(EDITS).length;

/** Number of changes to retain, given the current version and the version that each peer has. */
type CountRetained = (version: number, heldVersions: readonly number[]) => number;

const trimmingPolicies: Record<string, CountRetained> = {
    countAndBytes: () => Math.min(deltaLogs.MAX_DELTAS, Math.floor(deltaLogs.MAX_DELTA_LENGTH / CHANGE_BYTES)),
    lowestNeeded: (version, heldVersions) => version - Math.min(...heldVersions),
    none: () => 0,
};

/** Simulates one day under a policy. */
function simulate(seed: number, countRetained: CountRetained, fullBytes: number): experiments.Figures {
    const random = randoms.createRandom(seed);
    const heldVersions = Array<number>(PEERS).fill(0);
    const resumeAtVersions = Array<number>(PEERS).fill(0);
    let sentBytes = 0;
    let fulls = 0;
    let maxRetained = 0;
    let retainedSum = 0;
    for (let version = 1; version <= CHANGES; version++) {
        const retained = Math.min(version, countRetained(version, heldVersions));
        maxRetained = Math.max(maxRetained, retained);
        retainedSum += retained;
        for (let peer = 0; peer < PEERS; peer++) {
            if (version === PARTITION_START && peer < PEERS / 2) {
                resumeAtVersions[peer] = version + PARTITION_CHANGES;
            }
            if (random() < PAUSE_PROBABILITY) {
                resumeAtVersions[peer] = Math.max(
                    resumeAtVersions[peer]!,
                    version + Math.ceil(random() * MAX_PAUSE_CHANGES),
                );
            }
            const lag = version - heldVersions[peer]!;
            if (version < resumeAtVersions[peer]! || lag < Math.ceil(random() * MAX_READING_LAG)) {
                continue;
            }
            const isDelta = lag <= retained && lag * CHANGE_BYTES <= fullBytes;
            fulls += isDelta ? 0 : 1;
            sentBytes += isDelta ? lag * CHANGE_BYTES : fullBytes;
            heldVersions[peer] = version;
        }
    }
    return {
        sentBytes,
        fulls,
        maxKeptBytes: maxRetained * CHANGE_BYTES,
        meanKeptBytes: retainedSum / CHANGES * CHANGE_BYTES,
    };
}

/** The policy under test is that of the product's delta log: by count and bytes. */
export const deltaTrimming: experiments.Experiment = {
    name: "delta-trimming",
    run(seed) {
        const fullBytes = deltas.canonicalize(samples.createConfiguration(1, SLOTS)).length;
        const simulateNamed = (name: string): experiments.Figures =>
            Object.fromEntries(
                Object.entries(simulate(seed, trimmingPolicies[name]!, fullBytes)).map(([key, value]) => [
                    `${name}.${key}`,
                    value,
                ]),
            );
        const policy = simulate(seed, trimmingPolicies["countAndBytes"]!, fullBytes);
        const lowestNeeded = simulate(seed, trimmingPolicies["lowestNeeded"]!, fullBytes);
        policy["keptVsLowestNeeded"] = policy["maxKeptBytes"]! / lowestNeeded["maxKeptBytes"]!;
        policy["sentVsLowestNeeded"] = policy["sentBytes"]! / lowestNeeded["sentBytes"]!;
        return Promise.resolve({
            baseline: { ...simulateNamed("lowestNeeded"), ...simulateNamed("none") },
            policy,
            bounds: { keptVsLowestNeeded: { atMost: 1 }, sentVsLowestNeeded: { atMost: 1.25 } },
        });
    },
};
