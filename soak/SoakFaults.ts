/**
 * A random plan of faults, planned operations and configuration changes: single ones and series, which may overlap.
 */
import * as randoms from "../src/common/Random";
import * as engines from "../standins/platform/PlatformEngineStandIn";

/** Faults and planned operations of one entry. */
export const ENTRY_FAULTS = ["kill", "pause", "stop", "reload"] as const;
/** Faults of one network link of an entry. */
export const LINK_FAULTS = ["delay", "hold", "hold-requests", "hold-answers", "reset"] as const;
/** An entry's links: to the store, and from its peers. */
export const LINK_NAMES = ["store", "peers"] as const;
/** Faults and planned operations of one engine or of its link. */
export const ENGINE_FAULTS = [
    "reset",
    "shed",
    "hold-off",
    "error",
    "other-attempt",
    "break",
    "unframed",
    "unframed-reset",
    "hang",
    "leave",
    "link-hold",
    "link-reset",
] as const;
/** Those of them that affect all engines of the service. */
export const SERVICE_FAULTS: ReadonlySet<string> = new Set(["hold-off"]);
/** Faults of the store, which affect all entries. */
export const STORE_FAULTS = ["store-down", "store-silent", "store-compact", "store-restore"] as const;

/** One planned fault, operation or configuration change. `targetFraction`, in [0, 1), selects the entry or engine. */
export type PlannedFault =
    & { readonly atMs: number; readonly durationMs: number; readonly targetFraction: number }
    & (
        | { readonly target: "entry"; readonly kind: typeof ENTRY_FAULTS[number] }
        | {
            readonly target: "link";
            readonly link: typeof LINK_NAMES[number];
            readonly kind: typeof LINK_FAULTS[number];
        }
        | { readonly target: "engine"; readonly kind: typeof ENGINE_FAULTS[number] }
        | { readonly target: "store"; readonly kind: typeof STORE_FAULTS[number] }
        | { readonly target: "configuration"; readonly kind: "publish" }
    );

/** Number of events after which an engine breaks a stream. */
const BREAK_AFTER_EVENTS = 4;
/** Mean time between two faults or series. */
const MEAN_INTERVAL_MS = 700;
const MIN_DURATION_MS = 200;
const MAX_DURATION_MS = 3_500;
/** Share of faults that are repeated as a series. */
const SERIES_SHARE = 0.2;
const MAX_SERIES_LENGTH = 4;
const MAX_SERIES_INTERVAL_MS = 400;

/** Plans the faults of a soak that injects faults for `endMs`. */
export function planFaults(random: randoms.Random, faultPeriodMs: number): readonly PlannedFault[] {
    const plan: PlannedFault[] = [];
    for (let atMs = MEAN_INTERVAL_MS; atMs < faultPeriodMs; atMs -= Math.log(1 - random()) * MEAN_INTERVAL_MS) {
        const seriesLength = random() < SERIES_SHARE ? 2 + Math.floor(random() * (MAX_SERIES_LENGTH - 1)) : 1;
        const drawn = drawFault(random);
        for (let index = 0; index < seriesLength; index++) {
            const durationMs = MIN_DURATION_MS + random() * (MAX_DURATION_MS - MIN_DURATION_MS);
            const startMs = atMs + index * random() * MAX_SERIES_INTERVAL_MS;
            plan.push({
                ...drawn,
                atMs: startMs,
                durationMs: Math.min(durationMs, Math.max(0, faultPeriodMs - startMs)),
                targetFraction: random(),
            });
        }
    }
    return plan.sort((a, b) => a.atMs - b.atMs);
}

type DrawnFault = PlannedFault extends infer Fault
    ? Fault extends PlannedFault ? Omit<Fault, "atMs" | "durationMs" | "targetFraction"> : never
    : never;

function drawFault(random: randoms.Random): DrawnFault {
    const draw = random();
    if (draw < 0.3) {
        return { target: "entry", kind: pickRandom(ENTRY_FAULTS, random) };
    }
    if (draw < 0.5) {
        return { target: "link", link: pickRandom(LINK_NAMES, random), kind: pickRandom(LINK_FAULTS, random) };
    }
    if (draw < 0.8) {
        return { target: "engine", kind: pickRandom(ENGINE_FAULTS, random) };
    }
    if (draw < 0.88) {
        return { target: "store", kind: pickRandom(STORE_FAULTS, random) };
    }
    return { target: "configuration", kind: "publish" };
}

function pickRandom<T>(items: readonly T[], random: randoms.Random): T {
    return items[Math.floor(random() * items.length)]!;
}

/** Faults of the engine stand-in by kind. The kinds that are missing affect its link or its entry in the store. */
export const standInFaults: Record<string, engines.EngineFaults> = {
    reset: { reset: true },
    shed: { shed: true },
    "hold-off": { shed: true, retryAfter: "1.5" },
    error: { status: 500 },
    "other-attempt": { otherAttempt: true },
    break: { breakAfterEvent: BREAK_AFTER_EVENTS },
    unframed: { unframed: true },
    "unframed-reset": { unframed: true, resetAfterEvent: BREAK_AFTER_EVENTS },
    hang: { hang: true },
};
