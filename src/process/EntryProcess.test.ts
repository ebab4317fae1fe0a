/**
 * Streams through an entry, with the complete system in one process.
 */
import * as vitest from "vitest";
import * as fleets from "../../standins/LocalFleet";
import * as streamCallers from "../../standins/StreamCaller";
import * as demoConfigurations from "../commands/DemoConfiguration";
import * as randoms from "../common/Random";

const { afterEach, expect, it } = vitest;
const PATH = "/v1/services/engines/generate";
const TEAM = "bench";
const ENTRY_NAME = "entry-1";

let fleet: fleets.LocalFleet | undefined;
afterEach(() => fleet?.dispose());

async function startFleet(engine: { msPerToken: number; tokensPerPart: number }): Promise<fleets.LocalFleet> {
    fleet = await fleets.LocalFleet.start({
        configuration: demoConfigurations.demoConfiguration,
        entries: 1,
        random: randoms.createRandom(1),
        engineOptions: () => engine,
    });
    return fleet;
}

const deadlineCases: [string, number, string][] = [
    ["a stream with its first token before the deadline completes after the deadline", 2_000, "completed"],
    ["a stream with a late first token ends with an error", 20, "unknown"],
];
it.each(deadlineCases)("%s", async (_name, deadlineMs, outcome) => {
    const running = await startFleet({ msPerToken: 15, tokensPerPart: 4 });
    const body = { prompt: "note", maxTokens: 200 };
    const reply = await running.call(ENTRY_NAME, { path: PATH, team: TEAM, deadlineMs, streams: true, body });
    const check = streamCallers.checkStream(body, reply);
    expect(reply.answer?.outcome).toBe(outcome);
    expect(check).toEqual({ isExact: true, isComplete: outcome === "completed", hasEnded: true });
});

it("accepts streams after earlier ones that lasted longer than the deadline", async () => {
    const running = await startFleet({ msPerToken: 10, tokensPerPart: 4 });
    const call = { path: PATH, team: TEAM, deadlineMs: 2_000, streams: true, body: { maxTokens: 240 } };
    for (let round = 0; round < 4; round++) {
        const replies = await Promise.all(Array.from({ length: 8 }, () => running.call(ENTRY_NAME, call)));
        expect(replies.map(reply => reply.answer?.name)).toEqual(Array.from({ length: 8 }, () => "ok"));
    }
});

it("lets a slow caller read its complete answer before a planned stop ends", async () => {
    const running = await startFleet({ msPerToken: 0, tokensPerPart: 2_000 });
    const entry = running.entries.get(ENTRY_NAME)!;
    const body = { prompt: "late", maxTokens: 70_000 };
    const answerText = streamCallers.readAfterDelay(entry.callerAddress, PATH, TEAM, body, 1_000);
    await running.waitFor(() => (entry.status() as { active: number }).active > 0);
    expect(await entry.stop()).toBe(0);
    expect(await answerText).toContain("event: end");
});
