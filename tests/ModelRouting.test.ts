import * as vitest from "vitest";
import * as demoConfigurations from "../src/commands/DemoConfiguration";
import * as baselineChoices from "../src/process/choice/BaselineChoices";
import * as engines from "../standins/EngineStandIn";
import * as fleets from "../standins/LocalFleet";

const { afterAll, beforeAll, expect, it } = vitest;

const CALL_COUNT = 12;

let fleet: fleets.LocalFleet;

beforeAll(async () => {
    fleet = await fleets.LocalFleet.start({
        configuration: demoConfigurations.demoConfiguration,
        entries: 1,
        random: Math.random,
        entryOptions: { choose: baselineChoices.createRoundRobin() },
        engineOptions: (_service, slot) => ({ models: slot === "engine-1" ? ["drafting"] : [] }),
    });
});

afterAll(() => fleet.dispose());

it("runs a stage only on engines that have loaded its model, even if the entry doesn't know which ones", async () => {
    const engineWithoutModel = fleet.upstreams.get("engine-2") as engines.EngineStandIn;
    const call = { path: "/v1/pipelines/report", team: "bench", body: { maxTokens: 1 } };
    const replies = await Promise.all(Array.from({ length: CALL_COUNT }, () => fleet.call("entry-1", call)));
    expect(replies.map(reply => reply.answer?.name)).toEqual(Array.from({ length: CALL_COUNT }, () => "ok"));
    expect(engineWithoutModel.log).toEqual([]);
});
