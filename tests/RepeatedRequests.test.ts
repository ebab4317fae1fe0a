import * as vitest from "vitest";
import * as clocks from "../src/common/Clock";
import * as fleets from "../standins/platform/RoutedFleet";

const ENTRIES = 3;
const ENGINES = 4;
const CRASH_BODY = "the request that crashes engines";
/** Engines that a request has ended from which on it must be known, the time to learn it, and sends allowed later. */
const KNOWN_CRASHES = 3;
const LEARN_MS = 3_000;
const MAX_LATER_SENDS = 3;
const ROUNDS = 12;
const ROUND_MS = 500;
const { PROMPT_HEADERS: PROMPT } = fleets;

let fleet: fleets.RoutedFleet;

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start(
        ["desk", "model"].flatMap(service =>
            Array.from({ length: ENGINES }, (_, index) => ({
                id: `${service}-${index}`,
                service,
                failureDomain: "zone-a",
                serviceMs: 20,
                ...(service === "model" ? { events: 6 } : {}),
            }))
        ),
    );
    for (let index = 0; index < ENTRIES; index++) {
        await fleet.addServingEntry();
    }
});

vitest.afterEach(() => fleet.dispose());

/** Times at which a request ended engines, in their order. */
function crashTimes(): number[] {
    return fleet.engines.flatMap(engine => engine.runs)
        .filter(run => run.body === CRASH_BODY)
        .map(run => run.atMs)
        .sort((a, b) => a - b);
}

vitest.describe("a request that crashes each engine that runs it, and comes again", { timeout: 60_000 }, () => {
    vitest.it.each([
        { name: "an idempotent call", path: "/look/1", headers: {} },
        { name: "a call that may run once", path: "/book/1", headers: {} },
        { name: "a stream", path: "/notes/1", headers: PROMPT },
        { name: "a stream that isn't resumed", path: "/once/1", headers: PROMPT },
    ])("is held back by all entries: $name", async ({ path, headers }) => {
        fleet.engines.forEach(engine => engine.crashBody = CRASH_BODY);
        const statuses: number[] = [];
        for (let round = 0; round < ROUNDS; round++) {
            for (let entry = 0; entry < ENTRIES; entry++) {
                statuses.push((await fleet.call(path, { entry, headers, body: CRASH_BODY })).status);
            }
            await clocks.sleep(clocks.systemClock, ROUND_MS);
        }
        const times = crashTimes();
        const knownAtMs = (times[KNOWN_CRASHES - 1] ?? Infinity) + LEARN_MS;
        vitest.expect(times.length).toBeGreaterThanOrEqual(KNOWN_CRASHES);
        vitest.expect(times.filter(atMs => atMs > knownAtMs).length).toBeLessThanOrEqual(MAX_LATER_SENDS);
        vitest.expect(statuses.slice(-ENTRIES)).toEqual(statuses.slice(-ENTRIES).map(() => 503));
        // Others of the same path and caller are served.
        const others = Array.from(
            { length: 12 },
            (_, index) => fleet.call(path, { entry: index % ENTRIES, headers, body: `sound ${index}` }),
        );
        vitest.expect((await Promise.all(others)).map(({ status }) => status)).toEqual(others.map(() => 200));
    });
});
