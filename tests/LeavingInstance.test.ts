import * as vitest from "vitest";
import * as demoConfigurations from "../src/commands/DemoConfiguration";
import * as engines from "../standins/EngineStandIn";
import * as fleets from "../standins/LocalFleet";

const { afterEach, expect, it } = vitest;

const TOKEN_COUNT = 400;
const ENGINE_NAME = "engine-1";

let fleet: fleets.LocalFleet | undefined;

afterEach(() => fleet?.dispose());

it("completes a stream in one attempt, on one connection, when its instance is listed as leaving", async () => {
    const configuration = structuredClone(demoConfigurations.demoConfiguration);
    delete configuration.services["engines"]!.slots["engine-2"];
    const startedFleet = await fleets.LocalFleet.start({
        configuration,
        entries: 1,
        random: () => 0.5,
        engineOptions: () => ({ msPerToken: 8 }),
    });
    fleet = startedFleet;
    const engine = startedFleet.upstreams.get(ENGINE_NAME) as engines.EngineStandIn;
    const reply = startedFleet.call("entry-1", {
        path: "/v1/pipelines/report",
        team: "bench",
        body: { maxTokens: TOKEN_COUNT },
        streams: true,
    });
    await startedFleet.waitFor(() => engine.capacity.active > 0);
    startedFleet.setLeaving(ENGINE_NAME);
    const { answer, tokens } = await reply;
    expect([answer?.name, answer?.stages?.at(-1)?.attempts, tokens.length]).toEqual(["ok", 1, TOKEN_COUNT]);
});
