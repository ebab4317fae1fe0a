/**
 * A random plan of faults, planned acts and changes: single ones, series, and all of them overlapping.
 */
import * as randoms from "../src/common/Random";
import * as engines from "../standins/platform/PlatformEngineStandIn";

/** What is done to one of the entries. */
export const ENTRY_FAULTS = ["kill", "pause", "stop", "reload"] as const;
/** What is done to one of an entry's links. */
export const LINK_FAULTS = ["delay", "hold", "hold-requests", "hold-answers", "reset"] as const;
export const LINK_NAMES = ["store", "peers"] as const;
/** What is done to one of the engines. */
export const ENGINE_FAULTS = [
    "reset",
    "shed",
    "error",
    "other-attempt",
    "break",
    "unframed",
    "hang",
    "leave",
    "link-hold",
    "link-reset",
] as const;
/** What is done to the store, for all entries. */
export const STORE_FAULTS = ["store-down", "store-silent", "store-compact"] as const;

/** One planned act. */
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

/** Events after which a stream breaks. */
const BREAK_AFTER_EVENTS = 4;
/** Time between two acts on average, in milliseconds. */
const MEAN_INTERVAL_MS = 700;
const MIN_DURATION_MS = 200;
const MAX_DURATION_MS = 3_500;
/** Share of acts that are repeated in a series, and the series' longest length and gap. */
const SERIES_SHARE = 0.2;
const MAX_SERIES_LENGTH = 4;
const MAX_SERIES_INTERVAL_MS = 400;

/** The plan of a soak that injects faults for `endMs`. */
export function planFaults(random: randoms.Random, endMs: number): readonly PlannedFault[] {
    const plan: PlannedFault[] = [];
    for (let atMs = MEAN_INTERVAL_MS; atMs < endMs; atMs -= Math.log(1 - random()) * MEAN_INTERVAL_MS) {
        const seriesLength = random() < SERIES_SHARE ? 2 + Math.floor(random() * (MAX_SERIES_LENGTH - 1)) : 1;
        const drawn = drawFault(random);
        for (let index = 0; index < seriesLength; index++) {
            const durationMs = MIN_DURATION_MS + random() * (MAX_DURATION_MS - MIN_DURATION_MS);
            const startMs = atMs + index * random() * MAX_SERIES_INTERVAL_MS;
            plan.push({
                ...drawn,
                atMs: startMs,
                durationMs: Math.min(durationMs, Math.max(0, endMs - startMs)),
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

function pickRandom<T>(all: readonly T[], random: randoms.Random): T {
    return all[Math.floor(random() * all.length)]!;
}

/** The stand-in's faults by kind; the other kinds touch its link or its entry in the store. */
export const standInFaults: Record<string, engines.EngineFaults> = {
    reset: { reset: true },
    shed: { shed: true },
    error: { status: 500 },
    "other-attempt": { otherAttempt: true },
    break: { breakAfter: BREAK_AFTER_EVENTS },
    unframed: { unframed: true },
    hang: { hang: true },
};
