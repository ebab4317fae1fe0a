import * as vitest from "vitest";
import * as clocks from "../src/common/Clock";
import * as engines from "../standins/platform/PlatformEngineStandIn";
import * as fleets from "../standins/platform/RoutedFleet";

const ENTRIES = 4;
const LIMIT_PER_SECOND = 1;
/** From so long after an engine first named its limit, it gets at most this in any 4 s. */
const LEARN_MS = 3_000;
const WINDOW_MS = 4_000;
const MAX_ARRIVALS = 1.5 * LIMIT_PER_SECOND * WINDOW_MS / 1_000 + 5;
const LOAD_MS = LEARN_MS + WINDOW_MS + 1_000;
const CALL_INTERVAL_MS = 40;
const { PROMPT_HEADERS: PROMPT, STAGED_HEADERS: STAGED } = fleets;

/** Kinds of calls, with the engines that they are sent to or that run their stages. */
const KINDS: readonly { readonly path: string; readonly headers: Record<string, string> }[] = [
    { path: "/look/1", headers: {} },
    { path: "/book/1", headers: {} },
    { path: "/notes/1", headers: PROMPT },
    { path: "/drafts/1", headers: STAGED },
];

let fleet: fleets.RoutedFleet;
/** When the load began, in which limits are named at once. */
let startedMs: number;

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start([
        { id: "desk-1", service: "desk", failureDomain: "zone-a" },
        { id: "desk-2", service: "desk", failureDomain: "zone-b" },
        { id: "model-1", service: "model", failureDomain: "zone-a", events: 6 },
        { id: "model-2", service: "model", failureDomain: "zone-b", events: 6 },
        { id: "archive-1", service: "archive", failureDomain: "zone-a" },
        { id: "archive-2", service: "archive", failureDomain: "zone-b" },
        { id: "ledger-1", service: "ledger", failureDomain: "zone-b" },
    ]);
    for (let index = 0; index < ENTRIES; index++) {
        await fleet.addServingEntry();
    }
});

vitest.afterEach(() => fleet.dispose());

function engineOf(id: string): engines.PlatformEngineStandIn {
    return fleet.engines.find(engine => engine.options.id === id)!;
}

/**
 * Sends calls of all kinds to all entries, at a steady rate, and resolves to the number of each status. At most
 * `maxStaged` calls with stages are under way: of more than the workers can compute, some are rejected whatever the limits.
 */
async function sendCalls(maxStaged: number): Promise<ReadonlyMap<number, number>> {
    const answers: Promise<fleets.Answer>[] = [];
    let stagedCount = 0;
    const endStaged = (): void => void stagedCount--;
    const endMs = clocks.systemClock.now() + LOAD_MS;
    while (clocks.systemClock.now() < endMs) {
        for (const { path, headers } of KINDS) {
            const isStaged = headers === STAGED;
            if (isStaged && stagedCount >= maxStaged) {
                continue;
            }
            const answer = fleet.call(path, { headers, entry: Math.floor(Math.random() * ENTRIES) });
            answers.push(answer);
            if (isStaged) {
                stagedCount++;
                answer.then(endStaged, endStaged);
            }
        }
        await clocks.sleep(clocks.systemClock, CALL_INTERVAL_MS);
    }
    const counts = new Map<number, number>();
    for (const { status } of await Promise.all(answers)) {
        counts.set(status, (counts.get(status) ?? 0) + 1);
    }
    return counts;
}

/** Most arrivals in any window, once the entries have had time to learn the limit. */
function mostArrivals(engine: engines.PlatformEngineStandIn): number {
    const namedMs = engine.arrivals.find(({ isLimited }) => isLimited)?.atMs ?? startedMs;
    const times = engine.arrivals.map(({ atMs }) => atMs).filter(atMs => atMs > namedMs + LEARN_MS);
    return Math.max(
        0,
        ...times.map(startMs => times.filter(atMs => atMs >= startMs && atMs < startMs + WINDOW_MS).length),
    );
}

vitest.describe("an engine that names a limit gets no more than that", { timeout: 60_000 }, () => {
    vitest.it.each([
        { name: "beside one without", limited: ["desk-1", "model-1", "archive-1"], isServed: true },
        {
            name: "with all others",
            limited: ["desk-1", "desk-2", "model-1", "model-2", "archive-1", "archive-2", "ledger-1"],
            isServed: false,
        },
    ])("$name", async ({ limited, isServed }) => {
        startedMs = clocks.systemClock.now();
        limited.forEach(id => engineOf(id).limitPerSecond = LIMIT_PER_SECOND);
        const statuses = await sendCalls(isServed ? 2 : Infinity);
        for (const id of limited) {
            vitest.expect(mostArrivals(engineOf(id)), id).toBeLessThanOrEqual(MAX_ARRIVALS);
        }
        const usedServices = new Set(
            fleet.engines.filter(engine => mostArrivals(engine) > 0).map(engine => engine.options.service),
        );
        vitest.expect([...usedServices].sort()).toEqual(["archive", "desk", "ledger", "model"]);
        vitest.expect([...statuses.keys()].filter(status => status !== 200 && status !== 503)).toEqual([]);
        vitest.expect(statuses.has(503)).toBe(!isServed);
    });
});
