/**
 * A random plan of faults, planned acts and changes: single ones, series, and all of them overlapping.
 */
import * as randoms from "../src/common/Random";
import * as engines from "../standins/platform/PlatformEngineStandIn";

/** What is done to one of the entries. */
export const ENTRY_FAULTS = ["kill", "pause", "stop", "reload"] as const;
/** What is done to one of an entry's links. */
export const LINK_FAULTS = ["delay", "hold", "hold-requests", "hold-answers", "reset"] as const;
export const LINKS = ["store", "peers"] as const;
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
    & { readonly atMs: number; readonly forMs: number; readonly pick: number }
    & (
        | { readonly on: "entry"; readonly kind: typeof ENTRY_FAULTS[number] }
        | { readonly on: "link"; readonly link: typeof LINKS[number]; readonly kind: typeof LINK_FAULTS[number] }
        | { readonly on: "engine"; readonly kind: typeof ENGINE_FAULTS[number] }
        | { readonly on: "store"; readonly kind: typeof STORE_FAULTS[number] }
        | { readonly on: "configuration"; readonly kind: "publish" }
    );

/** Events after which a stream breaks. */
const BREAK_AFTER = 4;
/** Time between two acts on average, in milliseconds. */
const GAP_MS = 700;
const MIN_FOR_MS = 200;
const MAX_FOR_MS = 3_500;
/** Share of acts that are repeated in a series, and the series' longest length and gap. */
const SERIES_SHARE = 0.2;
const MAX_SERIES = 4;
const SERIES_GAP_MS = 400;

/** The plan of a soak that injects faults for `endMs`. */
export function planFaults(random: randoms.Random, endMs: number): readonly PlannedFault[] {
    const plan: PlannedFault[] = [];
    for (let atMs = GAP_MS; atMs < endMs; atMs -= Math.log(1 - random()) * GAP_MS) {
        const length = random() < SERIES_SHARE ? 2 + Math.floor(random() * (MAX_SERIES - 1)) : 1;
        const act = drawAct(random);
        for (let index = 0; index < length; index++) {
            const forMs = MIN_FOR_MS + random() * (MAX_FOR_MS - MIN_FOR_MS);
            const startMs = atMs + index * random() * SERIES_GAP_MS;
            plan.push({ ...act, atMs: startMs, forMs: Math.min(forMs, Math.max(0, endMs - startMs)), pick: random() });
        }
    }
    return plan.sort((a, b) => a.atMs - b.atMs);
}

type Act = PlannedFault extends infer Fault
    ? Fault extends PlannedFault ? Omit<Fault, "atMs" | "forMs" | "pick"> : never
    : never;

function drawAct(random: randoms.Random): Act {
    const draw = random();
    if (draw < 0.3) {
        return { on: "entry", kind: pick(ENTRY_FAULTS, random) };
    }
    if (draw < 0.5) {
        return { on: "link", link: pick(LINKS, random), kind: pick(LINK_FAULTS, random) };
    }
    if (draw < 0.8) {
        return { on: "engine", kind: pick(ENGINE_FAULTS, random) };
    }
    if (draw < 0.88) {
        return { on: "store", kind: pick(STORE_FAULTS, random) };
    }
    return { on: "configuration", kind: "publish" };
}

function pick<T>(all: readonly T[], random: randoms.Random): T {
    return all[Math.floor(random() * all.length)]!;
}

/** The stand-in's faults by kind; the other kinds touch its link or its entry in the store. */
export const engineFaults: Record<string, engines.EngineFaults> = {
    reset: { reset: true },
    shed: { shed: true },
    error: { status: 500 },
    "other-attempt": { otherAttempt: true },
    break: { breakAfterEvent: BREAK_AFTER },
    unframed: { unframed: true },
    hang: { hang: true },
};
