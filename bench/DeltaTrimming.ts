/**
 * Compares ways to trim the log of deltas over one simulated day at the target's rate of changes: by count and
 * bytes, by the lowest version that a known peer still needs, and no log at all. Counts bytes, not time.
 */
import * as randoms from "../src/common/Random";
import * as deltaLogs from "../src/process/configuration/DeltaLog";
import * as deltas from "../src/version/ConfigurationDelta";
import * as experiments from "./Experiment";
import * as samples from "./SlopeSamples";

const CHANGES = 73_000;
const SLOTS = 10_000;
const PEERS = 8;
/** Versions that a peer lags behind while it reads as it should. */
const MAX_USUAL_LAG = 3;
/** Share of changes at which a peer pauses, and the most changes for which it does. */
const PAUSE_CHANCE = 1 / 20_000;
const MAX_PAUSE_CHANGES = 50;
/** The change at which half of the peers are cut off, and for how many changes: an hour. */
const CUT_AT = 30_000;
const CUT_CHANGES = 3_042;
const EDITS = [
    { path: ["services", "service-1", "slots", "engine-1-100", "state"], value: "out" },
    { path: ["version"], value: CHANGES },
];
const CHANGE_BYTES = JSON.stringify(EDITS).length;

/** Number of changes to keep, given the version that each peer holds. */
type Keep = (version: number, held: readonly number[]) => number;

const policies: Record<string, Keep> = {
    countAndBytes: () => Math.min(deltaLogs.MAX_DELTAS, Math.floor(deltaLogs.MAX_DELTA_BYTES / CHANGE_BYTES)),
    lowestNeeded: (version, held) => version - Math.min(...held),
    none: () => 0,
};

/** Runs a day under one policy. */
function simulate(seed: number, keep: Keep, fullBytes: number): experiments.Figures {
    const random = randoms.createRandom(seed);
    const held = Array<number>(PEERS).fill(0);
    const resumeAt = Array<number>(PEERS).fill(0);
    let sentBytes = 0;
    let fulls = 0;
    let maxKept = 0;
    let keptSum = 0;
    for (let version = 1; version <= CHANGES; version++) {
        const kept = Math.min(version, keep(version, held));
        maxKept = Math.max(maxKept, kept);
        keptSum += kept;
        for (let peer = 0; peer < PEERS; peer++) {
            if (version === CUT_AT && peer < PEERS / 2) {
                resumeAt[peer] = version + CUT_CHANGES;
            }
            if (random() < PAUSE_CHANCE) {
                resumeAt[peer] = Math.max(resumeAt[peer]!, version + Math.ceil(random() * MAX_PAUSE_CHANGES));
            }
            const behind = version - held[peer]!;
            if (version < resumeAt[peer]! || behind < Math.ceil(random() * MAX_USUAL_LAG)) {
                continue;
            }
            const isDelta = behind <= kept && behind * CHANGE_BYTES <= fullBytes;
            fulls += isDelta ? 0 : 1;
            sentBytes += isDelta ? behind * CHANGE_BYTES : fullBytes;
            held[peer] = version;
        }
    }
    return { sentBytes, fulls, maxKeptBytes: maxKept * CHANGE_BYTES, meanKeptBytes: keptSum / CHANGES * CHANGE_BYTES };
}

/** The experiment; the policy is the product's own way. */
export const deltaTrimming: experiments.Experiment = {
    name: "delta-trimming",
    run(seed) {
        const fullBytes = deltas.canonicalize(samples.createConfiguration(1, SLOTS)).length;
        const named = (name: string): experiments.Figures =>
            Object.fromEntries(
                Object.entries(simulate(seed, policies[name]!, fullBytes)).map(([key, value]) => [
                    `${name}.${key}`,
                    value,
                ]),
            );
        const policy = simulate(seed, policies["countAndBytes"]!, fullBytes);
        const lowest = simulate(seed, policies["lowestNeeded"]!, fullBytes);
        policy["keptVsLowestNeeded"] = policy["maxKeptBytes"]! / lowest["maxKeptBytes"]!;
        policy["sentVsLowestNeeded"] = policy["sentBytes"]! / lowest["sentBytes"]!;
        return Promise.resolve({
            baseline: { ...named("lowestNeeded"), ...named("none") },
            policy,
            bounds: { keptVsLowestNeeded: { atMost: 1 }, sentVsLowestNeeded: { atMost: 1.25 } },
        });
    },
};
