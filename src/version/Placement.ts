/**
 * Decides which models an engine should hold, as a pure function of the published configuration, the slots
 * considered live, and the models that the engine holds. Agents with the same inputs get the same result.
 */
import * as configurations from "../common/Configuration";
import * as hashes from "../common/RendezvousHash";

/** A holder keeps a model until its rank exceeds the replica count by more than this share (at least one rank). */
const KEEP_MARGIN_RATIO = 0.25;
const ROUNDING_TOLERANCE = 1e-9;
/** Number of cached scores at which the cache is cleared. */
const MAX_CACHED_SCORES = 100_000;

/** Cached scores by model and slot, which determine them completely. */
const cachedScores = new Map<string, Map<string, number>>();
let cachedScoreCount = 0;

/** The score of a slot for a model, computed at the first use. */
function cachedScore(model: string, slot: string): number {
    const cached = cachedScores.get(model)?.get(slot);
    if (cached !== undefined) {
        return cached;
    }
    if (cachedScoreCount >= MAX_CACHED_SCORES) {
        cachedScores.clear();
        cachedScoreCount = 0;
    }
    const score = hashes.score(model, slot);
    const scores = cachedScores.get(model) ?? new Map<string, number>();
    cachedScores.set(model, scores.set(slot, score));
    cachedScoreCount++;
    return score;
}

/** The inputs of a placement decision. */
export interface PlacementInputs {
    readonly configuration: configurations.Configuration;
    readonly service: string;
    readonly slot: string;
    /** Slots that the agent considers live and in service. */
    readonly live: ReadonlySet<string>;
    /** Models that the engine holds now. */
    readonly held: ReadonlySet<string>;
}

/** Returns the models that an engine should hold. */
export type PlacementPolicy = (inputs: PlacementInputs) => readonly string[];

/** Sorts slots by their score for a model, highest first, then by name. */
export function rankSlots(model: string, slots: Iterable<string>): string[] {
    return [...slots]
        .map(slot => ({ slot, score: cachedScore(model, slot) }))
        .sort((a, b) => b.score - a.score || (a.slot < b.slot ? -1 : 1))
        .map(entry => entry.slot);
}

/** Models placed on a service: those of the preset in force and those of the pipeline stages that use the service. */
export function listModels(configuration: configurations.Configuration, service: string): string[] {
    const models = new Set(Object.keys(configuration.presets[configuration.preset]?.modelShare ?? {}));
    for (const pipeline of Object.values(configuration.pipelines)) {
        for (const stage of pipeline.stages) {
            if (stage.service === service && stage.model !== undefined) {
                models.add(stage.model);
            }
        }
    }
    return [...models].sort();
}

/** Number of slots that should hold a model: its share of the slots in service, at least one. */
export function countReplicas(configuration: configurations.Configuration, service: string, model: string): number {
    return countFromShare(configuration, model, countInService(configuration, service));
}

function countInService(configuration: configurations.Configuration, service: string): number {
    const slots = Object.keys(configuration.services[service]?.slots ?? {});
    return slots.filter(slot => configurations.findOutOfService(configuration, service, slot) === undefined).length;
}

function countFromShare(configuration: configurations.Configuration, model: string, inService: number): number {
    const share = configuration.presets[configuration.preset]?.modelShare[model] ?? 0;
    return Math.max(1, Math.ceil(share * inService - ROUNDING_TOLERANCE));
}

/**
 * The first `count` slots of a ranking. If they are all in one failure domain, the last one is replaced by the
 * best-ranked slot of another.
 */
export function chooseSlots(
    configuration: configurations.Configuration,
    service: string,
    ranked: readonly string[],
    count: number,
): string[] {
    const slots = configuration.services[service]?.slots ?? {};
    const chosen = ranked.slice(0, count);
    const domain = slots[chosen[0] ?? ""]?.failureDomain;
    if (chosen.length < 2 || chosen.some(slot => slots[slot]?.failureDomain !== domain)) {
        return chosen;
    }
    const other = ranked.find(slot => slots[slot]?.failureDomain !== domain);
    return other === undefined ? chosen : [...chosen.slice(0, -1), other];
}

/** The models that the slot's engine should hold. An engine that is out of service keeps its models. */
export function findWantedModels(options: PlacementInputs): readonly string[] {
    const { configuration, service, slot, live, held } = options;
    if (configurations.findOutOfService(configuration, service, slot) !== undefined) {
        return [...held].sort();
    }
    const candidates = new Set([slot]);
    for (const other of live) {
        if (configurations.findOutOfService(configuration, service, other) === undefined) {
            candidates.add(other);
        }
    }
    const inService = countInService(configuration, service);
    return listModels(configuration, service).filter(model => {
        const count = countFromShare(configuration, model, inService);
        const ranked = rankSlots(model, candidates);
        const margin = Math.max(1, Math.ceil(count * KEEP_MARGIN_RATIO));
        const isKept = held.has(model) && ranked.indexOf(slot) < count + margin;
        return isKept || chooseSlots(configuration, service, ranked, count).includes(slot);
    });
}

/**
 * Whether the slot may unload a model that it should no longer hold: enough other holders remain, and of the excess
 * holders this slot ranks lowest, so that agents with the same view unload one at a time. The best-ranked holder
 * never unloads.
 */
export function canUnload(options: PlacementInputs, model: string, otherHolders: readonly string[]): boolean {
    const { configuration, service, slot, live } = options;
    const others = otherHolders.filter(other =>
        other !== slot && live.has(other)
        && configurations.findOutOfService(configuration, service, other) === undefined
    );
    const holders = rankSlots(model, new Set([slot, ...others]));
    const count = countReplicas(configuration, service, model);
    const kept = new Set(chooseSlots(configuration, service, holders, count));
    return holders.filter(holder => !kept.has(holder)).at(-1) === slot;
}
