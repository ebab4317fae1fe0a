import * as vitest from "vitest";
import * as engines from "../standins/platform/PlatformEngineStandIn";
import * as fleets from "../standins/platform/RoutedFleet";

const ENGINES: readonly engines.EngineOptions[] = Array.from({ length: 6 }, (_, index) => ({
    id: `model-${index}`,
    service: "model",
    failureDomain: "zone-a",
    events: 6,
    serviceMs: 20,
}));
const ENTRIES = 3;
const CRASH_PART = "bad0";
/** Crashes from which on the entries must have learnt the part. */
const LEARNT_CRASHES = 5;
/** Requests with the part that may reach engines once that is so. */
const MAX_LATER_ARRIVALS = 3;

let fleet: fleets.RoutedFleet;
let nextPrompt = 0;

/** Headers of a prompt with these parts and one of its own. */
function prompt(...parts: readonly string[]): Record<string, string> {
    const all = [...parts, `e${nextPrompt++}`].map(part => `${part}:100`);
    return { Model: "m", "Token-Count": "400,80", "Prefix-Hash": all.join(",") };
}

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start(ENGINES);
    for (let index = 0; index < ENTRIES; index++) {
        await fleet.addServingEntry("/once/ready", prompt("aa"));
    }
});

vitest.afterEach(() => fleet.dispose());

function countCrashes(): number {
    return fleet.engines.reduce((sum, engine) => sum + engine.crashes.length, 0);
}

/** Sends prompts with the part to all entries in turn, with sound ones of the same caller beside them. */
async function crashEngines(): Promise<void> {
    fleet.engines.forEach(engine => engine.crashPart = CRASH_PART);
    let rejections = 0;
    for (let turn = 0; countCrashes() < LEARNT_CRASHES && rejections < ENTRIES; turn++) {
        const entry = turn % fleet.entries.length;
        const [answer] = await Promise.all([
            fleet.call("/once/1", { entry, headers: prompt("aa", CRASH_PART) }),
            fleet.call("/once/1", { entry: (entry + 1) % fleet.entries.length, headers: prompt("aa", "bb") }),
        ]);
        rejections = answer.status === 503 ? rejections + 1 : 0;
        await new Promise(resolve => setTimeout(resolve, 300));
    }
}

vitest.describe("a part of prompts that ends each engine", { timeout: 60_000 }, () => {
    vitest.it("is held back by all entries, those included that start later", async () => {
        await crashEngines();
        const crashes = countCrashes();
        await fleet.addServingEntry("/once/ready", prompt("aa"));
        await fleet.waitUntil(async () => JSON.stringify(await fleet.status(ENTRIES)).includes("\"connected\":true"));
        await new Promise(resolve => setTimeout(resolve, 600));
        const answers = await Promise.all(
            Array.from(
                { length: 24 },
                (_, index) =>
                    fleet.call("/once/1", { entry: index % fleet.entries.length, headers: prompt("aa", CRASH_PART) }),
            ),
        );
        vitest.expect(countCrashes() - crashes).toBeLessThanOrEqual(MAX_LATER_ARRIVALS);
        vitest.expect(answers.filter(answer => answer.status === 503).length).toBeGreaterThanOrEqual(
            24 - MAX_LATER_ARRIVALS,
        );
    });

    vitest.it("doesn't hold back prompts that share all else", async () => {
        await crashEngines();
        await new Promise(resolve => setTimeout(resolve, 1_500)); // All engines are back.
        const answers = await Promise.all(
            Array.from(
                { length: 24 },
                (_, index) => fleet.call("/once/1", { entry: index % ENTRIES, headers: prompt("aa", "bb") }),
            ),
        );
        vitest.expect(answers.map(answer => answer.status)).toEqual(answers.map(() => 200));
    });
});

vitest.describe("a part of prompts whose calls are interrupted while the engines serve on", { timeout: 60_000 }, () => {
    vitest.it("isn't held back", async () => {
        for (let turn = 0; turn < 12; turn++) {
            fleet.engines.forEach(engine => engine.faults = { reset: true });
            await fleet.call("/once/1", { entry: turn % ENTRIES, headers: prompt("aa", "cc") });
        }
        fleet.engines.forEach(engine => engine.faults = {});
        await new Promise(resolve => setTimeout(resolve, 600));
        const answer = await fleet.call("/once/1", { headers: prompt("aa", "cc") });
        vitest.expect(answer.status).toBe(200);
    });
});
