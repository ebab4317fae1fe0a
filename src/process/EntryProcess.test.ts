/**
 * Streams of an entry, with the whole system in one process.
 */
import * as vitest from "vitest";
import * as fleets from "../../standins/LocalFleet";
import * as streamCallers from "../../standins/StreamCaller";
import * as document from "../commands/DemoConfiguration";
import * as randoms from "../common/Random";

const { afterEach, expect, it } = vitest;
const PATH = "/v1/services/engines/generate";
const TEAM = "bench";
const ENTRY = "entry-1";

let fleet: fleets.LocalFleet | undefined;
afterEach(() => fleet?.dispose());

async function startFleet(engine: { msPerToken: number; tokensPerPart: number }): Promise<fleets.LocalFleet> {
    fleet = await fleets.LocalFleet.start({
        configuration: document.demoConfiguration,
        entries: 1,
        random: randoms.createRandom(1),
        engine: () => engine,
    });
    return fleet;
}

it("lets a caller take its whole answer before a planned stop ends", async () => {
    const running = await startFleet({ msPerToken: 0, tokensPerPart: 2_000 });
    const entry = running.entries.get(ENTRY)!;
    const body = { prompt: "late", maxTokens: 70_000 };
    const text = streamCallers.readLate(entry.callerAddress, PATH, TEAM, body, 1_000);
    await running.waitFor(() => (entry.status() as { active: number }).active > 0);
    expect(await entry.stop()).toBe(0);
    expect(await text).toContain("event: end");
});
