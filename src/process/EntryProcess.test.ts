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
        engineOptions: () => engine,
    });
    return fleet;
}

const deadlines: [string, number, string][] = [
    ["a stream whose first token is in time ends whole after the deadline", 2_000, "completed"],
    ["a stream whose first token is late ends with an error", 20, "unknown"],
];
it.each(deadlines)("%s", async (_name, deadlineMs, outcome) => {
    const running = await startFleet({ msPerToken: 15, tokensPerPart: 4 });
    const body = { prompt: "note", maxTokens: 200 };
    const reply = await running.call(ENTRY, { path: PATH, team: TEAM, deadlineMs, streams: true, body });
    const verdict = streamCallers.checkStream(body, reply);
    expect(reply.answer?.outcome).toBe(outcome);
    expect(verdict).toEqual({ isExact: true, isComplete: outcome === "completed", hasEnded: true });
});

it("refuses no stream because earlier ones took longer than its deadline", async () => {
    const running = await startFleet({ msPerToken: 10, tokensPerPart: 4 });
    const call = { path: PATH, team: TEAM, deadlineMs: 2_000, streams: true, body: { maxTokens: 240 } };
    for (let round = 0; round < 4; round++) {
        const replies = await Promise.all(Array.from({ length: 8 }, () => running.call(ENTRY, call)));
        expect(replies.map(reply => reply.answer?.name)).toEqual(Array.from({ length: 8 }, () => "ok"));
    }
});

it("lets a caller take its whole answer before a planned stop ends", async () => {
    const running = await startFleet({ msPerToken: 0, tokensPerPart: 2_000 });
    const entry = running.entries.get(ENTRY)!;
    const body = { prompt: "late", maxTokens: 70_000 };
    const text = streamCallers.readAfterDelay(entry.callerAddress, PATH, TEAM, body, 1_000);
    await running.waitFor(() => (entry.status() as { active: number }).active > 0);
    expect(await entry.stop()).toBe(0);
    expect(await text).toContain("event: end");
});
