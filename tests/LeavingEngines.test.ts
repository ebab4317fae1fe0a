import * as vitest from "vitest";
import * as engines from "../standins/platform/PlatformEngineStandIn";
import * as fleets from "../standins/platform/RoutedFleet";

const ENGINES: readonly engines.EngineOptions[] = [
    { id: "desk-1", service: "desk", failureDomain: "zone-a" },
    { id: "desk-2", service: "desk", failureDomain: "zone-a" },
    { id: "model-1", service: "model", failureDomain: "zone-a", events: 6, serviceMs: 150 },
    { id: "model-2", service: "model", failureDomain: "zone-a", events: 6, serviceMs: 150 },
    { id: "archive-1", service: "archive", failureDomain: "zone-a" },
    { id: "archive-2", service: "archive", failureDomain: "zone-a" },
    { id: "ledger-1", service: "ledger", failureDomain: "zone-a" },
    { id: "ledger-2", service: "ledger", failureDomain: "zone-a" },
];
const { PROMPT_HEADERS: PROMPT, STAGED_HEADERS: STAGED } = fleets;
/** Number of calls after which an engine that is in use would have had some. */
const CALLS = 12;

let fleet: fleets.RoutedFleet;

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start(ENGINES);
    for (let index = 0; index < 2; index++) {
        await fleet.addEntry();
        await fleet.waitUntil(async () => (await fleet.call("/look/ready", { entry: index })).status === 200);
    }
    await fleet.waitUntil(async () => JSON.stringify(await fleet.status(0)).includes("\"connected\":true"));
});

vitest.afterEach(() => fleet.dispose());

/** Number of calls and stage calls that an engine has received. */
function countWork(engine: engines.PlatformEngineStandIn): number {
    return engine.runs.length + engine.batches.length;
}

async function leavingAt(entry: number): Promise<unknown> {
    return (await fleet.status(entry))["leaving"];
}

/** Number of calls and stage calls that an engine receives of `CALLS` calls to each of two entries. */
async function countNewWork(
    engine: engines.PlatformEngineStandIn,
    path: string,
    headers: Record<string, string>,
): Promise<number> {
    const before = countWork(engine);
    for (let index = 0; index < CALLS; index++) {
        await Promise.all([0, 1].map(entry => fleet.call(path, { entry, headers })));
    }
    return countWork(engine) - before;
}

const signCases: readonly {
    readonly name: string;
    readonly service: string;
    readonly path: string;
    readonly headers: Record<string, string>;
    readonly faults?: engines.EngineFaults;
}[] = [
    { name: "a success", service: "desk", path: "/look/1", headers: {} },
    { name: "an error", service: "desk", path: "/look/1", headers: {}, faults: { status: 500 } },
    { name: "a rejection", service: "desk", path: "/look/1", headers: {}, faults: { shed: true } },
    { name: "the head of a stream", service: "model", path: "/notes/1", headers: PROMPT },
    { name: "the answer to a stage call", service: "archive", path: "/staged/1", headers: STAGED },
];

vitest.describe(
    "an engine that the store lists as ready and that says in one answer to one entry that it leaves",
    () => {
        vitest.it.each(signCases)("gets nothing more from any entry, if that is $name", async signCase => {
            const { service, path, headers, faults = {} } = signCase;
            const [engine] = fleet.enginesOf(service);
            engine!.faults = faults;
            engine!.isLeaving = true;
            await fleet.waitUntil(async () => {
                await fleet.call(path, { headers });
                return JSON.stringify(await leavingAt(0)) === JSON.stringify([engine!.options.id]);
            });
            await fleet.waitUntil(async () =>
                JSON.stringify(await leavingAt(1)) === JSON.stringify([engine!.options.id])
            );
            engine!.faults = {};
            engine!.isLeaving = false; // Answers without the header don't end the leaving of the same start.
            fleet.store.faults = { status: 503 };
            vitest.expect(await countNewWork(engine!, path, headers)).toBe(0);
        });

        vitest.it("gets nothing more, if that is the answer to a release of results", async () => {
            const [engine] = fleet.enginesOf("ledger");
            await fleet.waitUntil(async () => {
                engine!.isLeaving = false;
                const batchesBefore = engine!.batches.length;
                const call = fleet.call("/staged/1", { headers: STAGED });
                await fleet.waitUntil(() => fleet.enginesOf("model").some(model => model.runs.length > 0));
                engine!.isLeaving = engine!.batches.length > batchesBefore;
                await call;
                fleet.enginesOf("model").forEach(model => model.runs.splice(0));
                return engine!.isLeaving;
            });
            await fleet.waitUntil(async () => JSON.stringify(await leavingAt(1)) === "[\"ledger-1\"]");
            vitest.expect(await countNewWork(engine!, "/staged/1", STAGED)).toBe(0);
        });

        vitest.it.each([
            { name: "the same id", id: "desk-1" },
            { name: "another id", id: "desk-3" },
        ])("is replaced by a new start at its address with $name, which gets calls", async ({ id }) => {
            const [engine] = fleet.enginesOf("desk");
            engine!.isLeaving = true;
            await fleet.waitUntil(async () => {
                await fleet.call("/look/1");
                return JSON.stringify(await leavingAt(1)) === "[\"desk-1\"]";
            });
            vitest.expect(await countNewWork(engine!, "/look/1", {})).toBe(0);
            engine!.restart({ id });
            fleet.store.put(`servers/${id}`, engine!.createStoreRecord());
            if (id !== "desk-1") {
                fleet.store.delete("servers/desk-1");
            }
            for (const entry of [0, 1]) {
                await fleet.waitUntil(async () => {
                    const before = countWork(engine!);
                    await fleet.call("/look/1", { entry });
                    return countWork(engine!) > before;
                });
                vitest.expect(await leavingAt(entry)).toEqual([]);
            }
        });
    },
);

vitest.describe("an engine that only seems to say that it leaves", () => {
    vitest.it("keeps its calls, if that is an answer to another call", async () => {
        const [engine] = fleet.enginesOf("desk");
        engine!.faults = { otherAttempt: true };
        engine!.isLeaving = true;
        await fleet.waitUntil(async () => {
            await fleet.call("/book/1");
            return engine!.runs.length > 0;
        });
        vitest.expect(await leavingAt(0)).toEqual([]);
    });

    vitest.it("isn't marked, if that is the answer of another engine at its address", async () => {
        const [engine] = fleet.enginesOf("desk");
        engine!.isLeaving = true;
        fleet.store.put("servers/desk-9", engine!.createStoreRecord());
        fleet.store.delete("servers/desk-1");
        await fleet.waitUntil(async () => {
            await fleet.call("/look/1");
            return engine!.misdirectedCalls > 0;
        });
        vitest.expect(await leavingAt(0)).not.toContain("desk-9");
    });
});

vitest.describe("an engine that has reported that it leaves", () => {
    // Guards against calls to an engine that has stopped by then (review/14): the store does an earlier write after the report.
    vitest.it("gets nothing more though the store writes an earlier record of it late", async () => {
        const [engine] = fleet.enginesOf("desk");
        const write = (state: "ready" | "draining", Seq: number): void => {
            fleet.store.put("servers/desk-1", { ...engine!.createStoreRecord(state) as object, Seq });
        };
        const revisionOf = async (entry: number): Promise<unknown> => (await fleet.status(entry))["revision"];
        const writeAndWait = async (state: "ready" | "draining", sequence: number): Promise<void> => {
            const before = await Promise.all([0, 1].map(revisionOf));
            write(state, sequence);
            await fleet.waitUntil(async () => {
                const after = await Promise.all([0, 1].map(revisionOf));
                return after.every((revision, entry) => revision !== before[entry]);
            });
        };
        await writeAndWait("draining", 9);
        await writeAndWait("ready", 5);
        vitest.expect(await countNewWork(engine!, "/look/1", {})).toBe(0);
        await writeAndWait("ready", 10);
        vitest.expect(await countNewWork(engine!, "/look/1", {})).toBeGreaterThan(0);
    });
});
