/**
 * The configuration and the baseline of the experiment `placement`.
 */
import * as configurations from "../src/common/Configuration";
import * as leases from "../src/process/placement/OrderLease";
import * as tasks from "../src/process/placement/PlacementTask";
import * as placements from "../src/version/Placement";

export const MODELS = ["draft", "chat", "notes", "embed", "rank", "copy"];
/** Engines of each service. */
export const SLOTS = 6;
const DOMAINS = 3;

/** Functions that replace those of the task. */
export type Policy = Partial<tasks.PlacementOptions>;

/** A lease that never ends. */
export class UncheckedLease extends leases.OrderLease {
    override get canOrder(): boolean {
        return true;
    }
}

/** Slots by position in the sorted list of live slots. */
const findModulo: placements.PlacementPolicy = ({ configuration, service, slot, live }) => {
    const slots = [...new Set([...live, slot])].sort();
    return placements.listModels(configuration, service).filter((model, index) => {
        const count = placements.countReplicas(configuration, service, model);
        return (slots.indexOf(slot) - index % slots.length + slots.length) % slots.length < count;
    });
};

/** Modulo placement without fencing, margin, turns or unload order. */
export const baselinePolicy: Policy = {
    policy: findModulo,
    mayUnload: () => true,
    findTurnDelay: () => 0,
    nextFencingToken: () => 0,
    stabilizationMs: 0,
};

/** Two services of engines: one checks fencing numbers, one ignores them. */
export function createConfiguration(version: number, preset: string): configurations.Configuration {
    const common = { retryRatio: 0, hedgeRatio: 0, shedBelowPriority: 0 };
    const share = (value: number) => Object.fromEntries(MODELS.map(model => [model, model === "rank" ? 0.1 : value]));
    const slots = Array.from({ length: SLOTS }, (_value, index) => index);
    const createService = (checksFencing: boolean) => ({
        kind: "engine",
        checksFencing,
        operations: {},
        warmConcurrency: 8,
        coldConcurrency: 1,
        slots: Object.fromEntries(slots.map(index => [`s${index}`, { failureDomain: `d${index % DOMAINS}` }])),
    });
    return configurations.configurationSchema.parse({
        version,
        preset,
        presets: {
            ordinary: { ...common, modelShare: share(0.33) },
            peak: { ...common, modelShare: share(0.5) },
        },
        failureDomains: Object.fromEntries(slots.map(index => [`d${index % DOMAINS}`, { region: "r" }])),
        teams: {},
        services: { checking: createService(true), ignoring: createService(false) },
        pipelines: {},
        models: Object.fromEntries(MODELS.map(model => [model, { weightReads: 2 }])),
    });
}
