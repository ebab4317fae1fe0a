/**
 * Checks that an engine which names a limit gets no more than that from the entries that it has told.
 */
import * as histories from "./SoakHistory";

/** Requests a second that the limited engine of a soak takes from all entries together. */
export const LIMIT_PER_SECOND = 2;
/** Platform limits: time to learn a limit, the window in which it counts, and what is allowed in it. */
const LEARN_MS = 3_000;
const WINDOW_MS = 4_000;
const LIMIT_FACTOR = 1.5;
const EXTRA_REQUESTS = 5;
/** Platform limit: requests on their way when an entry passes such an answer on arrive within this time. */
const TRANSIT_MS = 500;
/** An entry that was restarted, paused or cut off is excused for this long. */
const EXCUSED_MS = 6_000;

const MAX_ARRIVALS = LIMIT_FACTOR * LIMIT_PER_SECOND * WINDOW_MS / 1_000 + EXTRA_REQUESTS;

interface ToldArrival {
    readonly engine: string;
    readonly atMs: number;
    readonly entry: number;
}

/** Finds the first window of each engine with more arrivals than its limit allows. */
export function findArrivalsBeyondLimit(history: histories.SoakHistory): readonly unknown[] {
    const limited = history.arrivals.filter(arrival => arrival.isLimited === true);
    const engines = [...new Set(limited.map(({ engine }) => engine))];
    return engines.flatMap(engine => {
        const arrivals = findToldArrivals(history, engine);
        const excess = arrivals
            .map(({ atMs: fromMs }) => arrivals.filter(({ atMs }) => atMs >= fromMs && atMs < fromMs + WINDOW_MS))
            .find(window => window.length > MAX_ARRIVALS);
        return excess === undefined ? [] : [{ engine, arrivals: excess }];
    });
}

/** Arrivals from undisturbed entries that had passed on an answer with the limit. */
function findToldArrivals(history: histories.SoakHistory, engine: string): ToldArrival[] {
    const calls = new Map(history.calls.map(call => [call.attempt, call] as const));
    const arrivals = history.arrivals.filter(arrival => arrival.engine === engine);
    const namedMs = Math.min(...arrivals.map(({ atMs }) => atMs));
    const toldMs = new Map<number, number>();
    for (const call of history.calls.filter(({ stamp }) => stamp === `stamp-${engine}`)) {
        toldMs.set(call.entry, Math.min(call.endedMs, toldMs.get(call.entry) ?? Infinity));
    }
    return arrivals.flatMap(({ attempt, atMs }) => {
        const entry = calls.get(attempt ?? "")?.entry;
        const isCounted = entry !== undefined
            && atMs > namedMs + LEARN_MS
            && atMs > (toldMs.get(entry) ?? Infinity) + TRANSIT_MS
            && history.isUndisturbed(entry, atMs - EXCUSED_MS, atMs, ["configuration"]);
        return isCounted ? { engine, atMs, entry } : [];
    });
}
