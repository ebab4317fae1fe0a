/**
 * A small valid configuration for tests and benchmarks.
 */
import * as configurations from "../common/Configuration";

/** Number of slots in the sample configuration. */
export interface SampleSize {
    readonly engines: number;
}

/** Creates a configuration with two failure domains, engines and encoders. */
export function sampleConfiguration(version: number, size: SampleSize = { engines: 2 }): configurations.Configuration {
    const preset = { retryRatio: 0.1, hedgeRatio: 0, shedBelowPriority: 0, teamWeights: {}, modelShare: {} };
    return {
        version,
        preset: "ordinary",
        presets: {
            ordinary: preset,
            peak: { ...preset, teamWeights: { "team-a": 2 }, modelShare: { "model-a": 0.5 } },
        },
        failureDomains: {
            west: { region: "region-1", state: "in" },
            east: { region: "region-1", state: "in" },
        },
        teams: { "team-a": { weight: 1 }, "team-b": { weight: 2 } },
        services: {
            engines: {
                kind: "engine",
                checksFencing: true,
                operations: { generate: { idempotent: true, streams: true } },
                warmConcurrency: 16,
                coldConcurrency: 2,
                slots: sampleSlots("engine", size.engines),
            },
            encoders: {
                kind: "plain",
                checksFencing: false,
                operations: { encode: { idempotent: true, streams: false } },
                warmConcurrency: 16,
                coldConcurrency: 4,
                slots: sampleSlots("encoder", 2),
            },
        },
        pipelines: {
            answer: {
                deadlineMs: 4_000,
                stages: [
                    { name: "encode", service: "encoders", operation: "encode" },
                    { name: "generate", service: "engines", operation: "generate", model: "model-a" },
                ],
            },
        },
        models: { "model-a": { weightReads: 4 } },
        keyLifetimeMs: 600_000,
    };
}

function sampleSlots(prefix: string, count: number): configurations.UpstreamService["slots"] {
    return Object.fromEntries(Array.from({ length: count }, (_, index) => {
        const failureDomain = index % 2 === 0 ? "west" : "east";
        return [`${prefix}-${index + 1}`, { failureDomain, state: "in" as const }];
    }));
}
