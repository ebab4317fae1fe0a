import * as vitest from "vitest";
import * as demo from "../src/commands/DemoConfiguration";
import * as engines from "../standins/EngineStandIn";
import * as fleets from "../standins/LocalFleet";

const { afterEach, expect, it } = vitest;

const TOKENS = 400;
const ENGINE = "engine-1";

let fleet: fleets.LocalFleet | undefined;

afterEach(() => fleet?.dispose());

it("lets a stream end on its connection when the list calls its instance leaving", async () => {
    const configuration = structuredClone(demo.demoConfiguration);
    delete configuration.services["engines"]!.slots["engine-2"];
    const running = await fleets.LocalFleet.start({
        configuration,
        entries: 1,
        random: () => 0.5,
        engineOptions: () => ({ msPerToken: 8 }),
    });
    fleet = running;
    const engine = running.upstreams.get(ENGINE) as engines.EngineStandIn;
    const reply = running.call("entry-1", {
        path: "/v1/pipelines/report",
        team: "bench",
        body: { maxTokens: TOKENS },
        streams: true,
    });
    await running.waitFor(() => engine.capacity.active > 0);
    running.setLeaving(ENGINE);
    const { answer, tokens } = await reply;
    expect([answer?.name, answer?.stages?.at(-1)?.attempts, tokens.length]).toEqual(["ok", 1, TOKENS]);
});
