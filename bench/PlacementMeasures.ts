/**
 * Measurements of the experiment `placement`: model coverage and unnecessary reloads.
 */
import * as experiments from "./Experiment";
import * as fakes from "./PlacementFakes";
import * as policies from "./PlacementPolicies";

/** Time after an unload below the wanted replica count in which the model's loss is attributed to it. */
const UNLOAD_CAUSE_MS = 30_000;
/** A load within this time after an unload counts as a reload. */
const RELOAD_WINDOW_MS = 60_000;

/**
 * Counts moments at which a model that was loaded before has no loaded replica. They are attributed to crashes only
 * if the last replicas were lost by crashes and no recent unload left fewer replicas than wanted.
 */
export class CoverageMeasure {
    readonly figures: experiments.Figures = {
        uncoveredMoments: 0,
        uncoveredAllDiedMoments: 0,
        unloadsBelowWanted: 0,
    };
    private readonly lastExcessUnloadMs = new Map<string, number>();
    private readonly lastLoadedMs = new Map<string, Map<fakes.EngineState, number>>();
    private readonly causes = new Map<string, "deaths" | "orders">();

    measure(engines: readonly fakes.EngineState[], nowMs: number): void {
        for (const service of ["checking", "ignoring"]) {
            const members = engines.filter(engine => engine.service === service);
            policies.MODELS.forEach(model => this.measureModel(`${service}/${model}`, model, members, nowMs));
        }
    }

    /** Records an unload after which `remainingReplicas` are loaded where its agent wants `wantedReplicas`. */
    recordUnload(key: string, remainingReplicas: number, wantedReplicas: number, nowMs: number): void {
        if (remainingReplicas < wantedReplicas) {
            this.figures["unloadsBelowWanted"]!++;
            this.lastExcessUnloadMs.set(key, nowMs);
        }
    }

    private measureModel(key: string, model: string, members: readonly fakes.EngineState[], nowMs: number): void {
        const lastLoadedByEngine = this.lastLoadedMs.get(key) ?? new Map<fakes.EngineState, number>();
        this.lastLoadedMs.set(key, lastLoadedByEngine);
        const holders = members.filter(engine => engine.models.has(model));
        holders.forEach(engine => lastLoadedByEngine.set(engine, nowMs));
        if (holders.length > 0) {
            this.causes.delete(key);
        }
        else if (lastLoadedByEngine.size > 0) {
            const hasRecentExcessUnload = nowMs - (this.lastExcessUnloadMs.get(key) ?? -Infinity) < UNLOAD_CAUSE_MS;
            const cause = this.causes.get(key) ?? (hasRecentExcessUnload ? "orders" : findCause(lastLoadedByEngine));
            this.causes.set(key, cause);
            this.figures[cause === "deaths" ? "uncoveredAllDiedMoments" : "uncoveredMoments"]!++;
        }
    }
}

/** Returns how the last replicas were lost. */
function findCause(lastLoadedByEngine: ReadonlyMap<fakes.EngineState, number>): "deaths" | "orders" {
    const latestMs = Math.max(...lastLoadedByEngine.values());
    const lastEngines = [...lastLoadedByEngine].filter(([, loadedMs]) => loadedMs === latestMs);
    return lastEngines.every(([engine, loadedMs]) => engine.diedMs >= loadedMs) ? "deaths" : "orders";
}

interface ModelChange {
    readonly action: string;
    readonly agentId: number;
    readonly inputChangeCount: number;
    readonly boot: number;
    readonly atMs: number;
}

/** Counts load-unload-load sequences of a model on one engine: without a change of inputs, and reloaded in a minute. */
export class FlapMeasure {
    readonly figures: experiments.Figures = { flaps: 0, reloadsWithin60s: 0 };
    private readonly changes = new Map<string, ModelChange[]>();

    record(applied: fakes.AppliedOrder, inputChangeCount: number, atMs: number): void {
        const { engine, order, agentId } = applied;
        const key = `${engine.service}/${engine.slot}/${order.subject}`;
        const changes = this.changes.get(key) ?? [];
        this.changes.set(key, changes);
        changes.push({ action: order.action, agentId, inputChangeCount, boot: engine.boot, atMs });
        const [first, second, third] = changes.slice(-3);
        if (first?.action !== "load" || second?.action !== "unload" || third?.action !== "load") {
            return;
        }
        if (third.atMs - second.atMs < RELOAD_WINDOW_MS) {
            this.figures["reloadsWithin60s"]!++;
        }
        if (isSameInput(first, third)) {
            this.figures["flaps"]!++;
        }
    }
}

function isSameInput(a: ModelChange, b: ModelChange): boolean {
    return a.agentId === b.agentId && a.inputChangeCount === b.inputChangeCount && a.boot === b.boot;
}
