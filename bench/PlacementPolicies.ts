/**
 * Configuration and baseline policy of the experiment `placement`.
 */
import * as configurations from "../src/common/Configuration";
import * as leases from "../src/process/placement/OrderLease";
import * as tasks from "../src/process/placement/PlacementTask";
import * as placements from "../src/version/Placement";

export const MODELS = ["draft", "chat", "notes", "embed", "rank", "copy"];
export const SLOTS_PER_SERVICE = 6;
const FAILURE_DOMAINS = 3;

/** Options of the placement task that a policy overrides. */
export type PolicyOverrides = Partial<tasks.PlacementOptions>;

/** A lease that never expires. */
export class NonExpiringLease extends leases.OrderLease {
    override get canOrder(): boolean {
        return true;
    }
}

/** Assigns models to slots by their position in the sorted list of live slots. */
const findModuloModels: placements.PlacementPolicy = ({ configuration, service, slot, live }) => {
    const slots = [...new Set([...live, slot])].sort();
    return placements.listModels(configuration, service).filter((model, index) => {
        const replicaCount = placements.countReplicas(configuration, service, model);
        return (slots.indexOf(slot) - index % slots.length + slots.length) % slots.length < replicaCount;
    });
};

/** Modulo placement without fencing, stabilization time, staggered reads or conditions for unloads. */
export const baselinePolicy: PolicyOverrides = {
    policy: findModuloModels,
    canUnload: () => true,
    findTurnDelayMs: () => 0,
    nextFencingToken: () => 0,
    stabilizationMs: 0,
};

/** Creates a configuration with two services of engines; one checks fencing tokens, the other ignores them. */
export function createConfiguration(version: number, preset: string): configurations.Configuration {
    const presetDefaults = { retryRatio: 0, hedgeRatio: 0, shedBelowPriority: 0 };
    const createModelShares = (value: number) =>
        Object.fromEntries(MODELS.map(model => [model, model === "rank" ? 0.1 : value]));
    const slots = Array.from({ length: SLOTS_PER_SERVICE }, (_value, index) => index);
    const createService = (checksFencing: boolean) => ({
        kind: "engine",
        checksFencing,
        operations: {},
        warmConcurrency: 8,
        coldConcurrency: 1,
        slots: Object.fromEntries(slots.map(index => [`s${index}`, { failureDomain: `d${index % FAILURE_DOMAINS}` }])),
    });
    return configurations.configurationSchema.parse({
        version,
        preset,
        presets: {
            ordinary: { ...presetDefaults, modelShare: createModelShares(0.33) },
            peak: { ...presetDefaults, modelShare: createModelShares(0.5) },
        },
        failureDomains: Object.fromEntries(slots.map(index => [`d${index % FAILURE_DOMAINS}`, { region: "r" }])),
        teams: {},
        services: { checking: createService(true), ignoring: createService(false) },
        pipelines: {},
        models: Object.fromEntries(MODELS.map(model => [model, { weightReads: 2 }])),
    });
}
