import * as vitest from "vitest";
import * as clocks from "../src/common/Clock";
import * as engines from "../standins/platform/PlatformEngineStandIn";
import * as fleets from "../standins/platform/RoutedFleet";

/** Calls that are on their way when an instance asks for a hold still reach it within this time. */
const TRANSIT_MS = 500;
const HOLD_MS = 2_000;
const CALL_INTERVAL_MS = 20;
/** Time of a call, so that calls overlap and every instance gets some. */
const SERVICE_MS = 50;
/** Period in which calls are served before the first rejection, so that there are results to release. */
const WARM_UP_MS = 300;
const { PROMPT_HEADERS: PROMPT, STAGED_HEADERS: STAGED } = fleets;

let fleet: fleets.RoutedFleet;

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start([
        { id: "desk-1", service: "desk", failureDomain: "zone-a", serviceMs: SERVICE_MS },
        { id: "desk-2", service: "desk", failureDomain: "zone-b", serviceMs: SERVICE_MS },
        { id: "model-1", service: "model", failureDomain: "zone-a", events: 6 },
        { id: "model-2", service: "model", failureDomain: "zone-b", events: 6 },
        { id: "archive-1", service: "archive", failureDomain: "zone-a" },
        { id: "archive-2", service: "archive", failureDomain: "zone-b" },
        { id: "ledger-1", service: "ledger", failureDomain: "zone-b" },
    ]);
    await fleet.addEntry();
    await fleet.waitUntil(async () => (await fleet.call("/look/ready")).status === 200);
});

vitest.afterEach(() => fleet.dispose());

function engineOf(id: string): engines.PlatformEngineStandIn {
    return fleet.engines.find(engine => engine.options.id === id)!;
}

/** Sends calls to all entries in turn, at a steady rate for `periodMs`, and resolves to their answers. */
async function sendCalls(
    path: string,
    headers: Record<string, string>,
    periodMs: number,
    intervalMs = CALL_INTERVAL_MS,
): Promise<readonly fleets.Answer[]> {
    const answers: Promise<fleets.Answer>[] = [];
    const endMs = clocks.systemClock.now() + periodMs;
    while (clocks.systemClock.now() < endMs) {
        answers.push(fleet.call(path, { headers, entry: answers.length % fleet.entries.length }));
        await clocks.sleep(clocks.systemClock, intervalMs);
    }
    return Promise.all(answers);
}

/** Sends calls at the same time, so that all instances get some of them. */
async function sendTogether(): Promise<void> {
    await Promise.all(Array.from({ length: 10 }, () => fleet.call("/look/1")));
}

/** The first `count` instances of a service that get a call from now on ask for a hold; filled as they do so. */
function holdOff(service: string, count: number): ReadonlySet<engines.PlatformEngineStandIn> {
    const held = new Set<engines.PlatformEngineStandIn>();
    for (const engine of fleet.enginesOf(service)) {
        engine.faults = {
            get shed() {
                if (held.size < count) {
                    held.add(engine);
                }
                return held.has(engine);
            },
            retryAfter: String(HOLD_MS / 1_000),
        };
    }
    return held;
}

/** Arrivals in the hold that the first rejection asked for: all of them, and those that came later than in transit. */
function arrivalsInHold(
    engine: engines.PlatformEngineStandIn,
): { readonly all: number; readonly late: readonly engines.EngineArrival[] } {
    const first = engine.arrivals.find(arrival => arrival.retryAfter !== undefined)!;
    const inHold = engine.arrivals.filter(({ atMs }) => atMs > first.atMs && atMs < first.atMs + HOLD_MS);
    return { all: inHold.length, late: inHold.filter(({ atMs }) => atMs > first.atMs + TRANSIT_MS) };
}

interface Case {
    readonly name: string;
    readonly path: string;
    readonly headers: Record<string, string>;
    readonly service: string;
    /** The number of its two instances that ask for a hold; with one, all calls are served all the same. */
    readonly heldCount: 1 | 2;
}

const cases: readonly Case[] = [
    { name: "calls", path: "/look/1", headers: {}, service: "desk", heldCount: 1 },
    { name: "calls that may run once", path: "/book/1", headers: {}, service: "desk", heldCount: 1 },
    { name: "streams", path: "/notes/1", headers: PROMPT, service: "model", heldCount: 1 },
    { name: "stage calls", path: "/staged/1", headers: STAGED, service: "archive", heldCount: 1 },
    { name: "calls, from all instances", path: "/look/1", headers: {}, service: "desk", heldCount: 2 },
    {
        name: "stage calls, from all instances",
        path: "/staged/1",
        headers: { ...STAGED, "Deadline-Ms": "900" },
        service: "archive",
        heldCount: 2,
    },
];

vitest.describe("after a rejection with Retry-After, an instance gets no more", () => {
    vitest.it.each(cases)("$name", async ({ path, headers, service, heldCount }) => {
        const pending = sendCalls(path, headers, WARM_UP_MS + HOLD_MS);
        await clocks.sleep(clocks.systemClock, WARM_UP_MS);
        const held = holdOff(service, heldCount);
        const answers = await pending;
        vitest.expect(held.size).toBe(heldCount);
        for (const engine of held) {
            const { all, late } = arrivalsInHold(engine);
            vitest.expect(late, engine.options.id).toEqual([]);
            vitest.expect(all, engine.options.id).toBeLessThanOrEqual(2);
        }
        const statuses = new Set(answers.map(answer => answer.status));
        vitest.expect([...statuses].sort()).toEqual(heldCount === 1 ? [200] : [200, 503]);
    });
});

vitest.it("stage calls for the orders of another entry are held back too", async () => {
    await fleet.addEntry();
    await fleet.waitUntil(async () => (await fleet.call("/staged/1", { headers: STAGED, entry: 1 })).status === 200);
    const pending = sendCalls("/staged/1", STAGED, WARM_UP_MS + HOLD_MS);
    await clocks.sleep(clocks.systemClock, WARM_UP_MS);
    const held = holdOff("archive", 1);
    const statuses = new Set((await pending).map(answer => answer.status));
    const { all, late } = arrivalsInHold([...held][0]!);
    vitest.expect([...statuses]).toEqual([200]);
    vitest.expect(late).toEqual([]);
    vitest.expect(all).toBeLessThanOrEqual(2);
});

vitest.describe("while all instances hold off", () => {
    vitest.it.each([
        { name: "calls", path: "/look/1", headers: {}, held: ["desk-1", "desk-2"] },
        { name: "streams", path: "/once/1", headers: PROMPT, held: ["model-1", "model-2"] },
    ])("$name are rejected at once and told when to return", async ({ path, headers, held }) => {
        held.forEach(id => engineOf(id).faults = { shed: true, retryAfter: "1.5" });
        await sendCalls(path, headers, 300);
        const sentMs = clocks.systemClock.now();
        const heldSinceMs = Math.min(...held.map(id => engineOf(id).arrivals.find(a => a.retryAfter)!.atMs));
        const answers = await sendCalls(path, headers, 200);
        const delays = answers.map(answer => Number(answer.headers["retry-after"]) * 1_000);
        vitest.expect(answers.map(answer => answer.status)).toEqual(answers.map(() => 503));
        // The latest of these calls was sent 200 ms after the first.
        vitest.expect(Math.min(...delays)).toBeGreaterThan(heldSinceMs + 1_500 - sentMs - 250);
        vitest.expect(new Set(delays).size).toBeGreaterThan(1);
    });
});

vitest.it(
    "stages aren't computed for a call that all instances of its service hold off beyond its deadline",
    async () => {
        ["model-1", "model-2"].forEach(id => engineOf(id).faults = { shed: true, retryAfter: "30" });
        await sendCalls("/once/1", PROMPT, 200);
        const answer = await fleet.call("/staged/1", { headers: STAGED });
        vitest.expect(answer.status).toBe(503);
        vitest.expect(Number(answer.headers["retry-after"])).toBeGreaterThanOrEqual(10);
        vitest.expect(fleet.engines.flatMap(engine => engine.batches)).toEqual([]);
    },
);

vitest.describe("after the hold", () => {
    vitest.it("the instance serves again", async () => {
        const [first] = fleet.enginesOf("desk");
        first!.faults = { shed: true, retryAfter: "0.6" };
        await fleet.waitUntil(async () => {
            await sendTogether();
            return first!.arrivals.some(arrival => arrival.retryAfter !== undefined);
        });
        first!.faults = {};
        const before = first!.runs.length;
        await sendCalls("/look/1", {}, 1_500);
        vitest.expect(first!.runs.length).toBeGreaterThan(before);
    });

    vitest.it("a new incarnation at the same address isn't bound", async () => {
        const [first] = fleet.enginesOf("desk");
        first!.faults = { shed: true, retryAfter: "3600" };
        await fleet.waitUntil(async () => {
            await sendTogether();
            return first!.arrivals.some(arrival => arrival.retryAfter !== undefined);
        });
        first!.faults = {};
        first!.runs.splice(0);
        const record = first!.createStoreRecord() as Record<string, unknown>;
        fleet.store.put("servers/desk-1", { ...record, born: 1_700_000_009_000 });
        await fleet.waitUntil(async () => {
            await sendTogether();
            return first!.runs.length > 0;
        });
    });
});
