import * as vitest from "vitest";
import * as engines from "../standins/platform/PlatformEngineStandIn";
import * as fleets from "../standins/platform/RoutedFleet";

const CALLS = 40;
const PARALLEL = 4;
const ENGINES: readonly engines.EngineOptions[] = [
    { id: "model-1", service: "model", failureDomain: "zone-a", events: 3 },
    { id: "archive-1", service: "archive", failureDomain: "zone-a", stageMs: 10 },
    { id: "ledger-1", service: "ledger", failureDomain: "zone-a", stageMs: 10 },
    { id: "desk-1", service: "desk", failureDomain: "zone-a" },
];

let fleet: fleets.RoutedFleet;

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start(ENGINES);
    await fleet.addServingEntry();
});

vitest.afterEach(() => fleet.dispose());

/** Sends calls with stages, a few at a time; resolves to the number that is served. */
async function callStaged(): Promise<number> {
    let served = 0;
    const callInTurn = async (): Promise<void> => {
        for (let index = 0; index < CALLS / PARALLEL; index++) {
            const answer = await fleet.call("/staged/1", { headers: fleets.STAGED_HEADERS });
            served += answer.status === 200 && answer.isComplete ? 1 : 0;
        }
    };
    await Promise.all(Array.from({ length: PARALLEL }, callInTurn));
    return served;
}

/** A piece that a stage engine was asked for. */
interface AskedPiece {
    readonly Id: string;
    readonly Inputs?: readonly string[];
}

/** The attempts for which a model engine or a later stage read results of another attempt. */
function findMixedAttempts(): string[] {
    const results = new Map(fleet.engines.flatMap(engine => [...engine.results]));
    const runs = fleet.enginesOf("model").flatMap(engine => engine.runs).map(({ headers }) => ({
        Id: String(headers["attempt-id"]),
        Inputs: String(headers["inputs"]).split(","),
    }));
    const pieces = fleet.engines.flatMap(engine => engine.batches).flat() as AskedPiece[];
    return [...runs, ...pieces].flatMap(({ Id, Inputs = [] }) =>
        Inputs.every(handle => results.get(handle) === Id) ? [] : Id
    );
}

vitest.describe("stage engines that send answers a second time, late", () => {
    // Guards against calls that are given the results of others, since an answer was taken for that to the next call.
    vitest.it.each(["archive", "ledger"])("give no call the results of another one: %s", async service => {
        fleet.enginesOf(service).forEach(engine => engine.faults = { repeatsStageAnswers: true });
        vitest.expect(await callStaged()).toBeGreaterThan(0);
        vitest.expect(findMixedAttempts()).toEqual([]);
    });

    vitest.it.each(["archive", "ledger"])("give none later, once they are sound: %s", async service => {
        fleet.enginesOf(service).forEach(engine => engine.faults = { repeatsStageAnswers: true });
        await callStaged();
        fleet.enginesOf(service).forEach(engine => engine.faults = {});
        vitest.expect(await callStaged()).toBe(CALLS);
        vitest.expect(findMixedAttempts()).toEqual([]);
    });
});

const refusalCases: readonly { readonly name: string; readonly path: string; readonly refused: string }[] = [
    { name: "a call that may run once, a refusal without an attempt", path: "/book/1", refused: "unnamed" },
    { name: "a call that may run once, the refusal of another attempt", path: "/book/1", refused: "another" },
    { name: "a call that may be repeated, a refusal without an attempt", path: "/look/1", refused: "unnamed" },
    { name: "a call that may be repeated, the refusal of another attempt", path: "/look/1", refused: "another" },
    { name: "a stream, a refusal without an attempt", path: "/once/1", refused: "unnamed" },
    { name: "a resumable stream, a refusal without an attempt", path: "/notes/1", refused: "unnamed" },
];

vitest.describe("an engine that has refused a call and sends that once more on a kept connection", () => {
    // Guards against callers that are told that a call hasn't run, or calls that run again, while an engine runs them.
    vitest.it.each(refusalCases)("doesn't make its caller believe so: $name", async ({ path, refused }) => {
        const engine = fleet.enginesOf(path.startsWith("/b") || path.startsWith("/l") ? "desk" : "model")[0]!;
        await fleet.call(path, { headers: fleets.PROMPT_HEADERS }); // Opens a connection.
        engine.runs.splice(0);
        engine.faults = { repeatsRefusals: refused };
        const answer = await fleet.call(path, { headers: fleets.PROMPT_HEADERS });
        vitest.expect(engine.runs).toHaveLength(1);
        vitest.expect([429, 503]).not.toContain(answer.status);
    });
});
