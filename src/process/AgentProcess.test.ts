/**
 * An agent, with the complete system in one process.
 */
import * as vitest from "vitest";
import * as fleets from "../../standins/LocalFleet";
import * as demoConfigurations from "../commands/DemoConfiguration";
import * as configurations from "../common/Configuration";
import * as messages from "../common/Messages";
import * as randoms from "../common/Random";

const { afterEach, expect, it } = vitest;
const SERVICE = "bookings";
const SLOT = "booking-1";
const LOOKUP_PATH = "/v1/services/bookings/lookup";
/** Enough that both instances of the service receive some. */
const CONCURRENT_CALLS = 6;
/** Calls that one instance accepts without queueing. */
const COLD_CONCURRENCY = 4;
const BOOK_PATH = "/v1/services/bookings/book";
const TEAM = "bench";

let fleet: fleets.LocalFleet | undefined;
afterEach(() => fleet?.dispose());

async function startFleet(plainOptions: { serviceMs?: number } = {}): Promise<fleets.LocalFleet> {
    fleet = await fleets.LocalFleet.start({
        configuration: demoConfigurations.demoConfiguration,
        entries: 1,
        random: randoms.createRandom(1),
        plainOptions: () => plainOptions,
    });
    return fleet;
}

function readLoad(running: fleets.LocalFleet): messages.Load {
    return (running.agents.get(SLOT)!.status() as { load: messages.Load }).load;
}

const leavingCases: [string, (running: fleets.LocalFleet) => void][] = [
    ["is listed as leaving", running => running.setLeaving(SLOT)],
    ["has an upstream that reports leaving", running => running.upstreams.get(SLOT)!.faults = { leaving: true }],
    ["has an upstream that accepts no connection", running => running.upstreams.get(SLOT)!.stop()],
];
it.each(leavingCases)("drains without a planned stop when it %s", async (_name, leave) => {
    const running = await startFleet();
    leave(running);
    await running.waitFor(() => readLoad(running).draining);
    const entry = running.entries.get("entry-1")!;
    const isKnownAsLeaving = (): boolean => {
        const { agents } = entry.status() as { agents: { instance: string; load: messages.Load }[] };
        // If the instance list is faster than the agent's report, the entry closes its idle connection first.
        return agents.every(({ instance, load }) => instance !== SLOT || load.draining);
    };
    await running.waitFor(isKnownAsLeaving);
    const replies = await Promise.all(
        Array.from(
            { length: CONCURRENT_CALLS },
            () => running.call("entry-1", { path: LOOKUP_PATH, team: TEAM, body: {} }),
        ),
    );
    expect(replies.map(reply => reply.answer?.outcome)).toEqual(replies.map(() => "completed"));
    expect(running.upstreams.get(SLOT)!.log).toEqual([]);
});

it("during a planned stop, completes a non-idempotent call in progress, and its caller gets the answer", async () => {
    const running = await startFleet({ serviceMs: 2_500 });
    const calls = Array.from(
        { length: COLD_CONCURRENCY },
        () => running.call("entry-1", { path: BOOK_PATH, team: TEAM, body: {} }),
    );
    await running.waitFor(() => readLoad(running).active > 0);
    expect(await running.agents.get(SLOT)!.stop()).toBe(0);
    const replies = await Promise.all(calls);
    expect(replies.map(reply => reply.answer?.name)).toEqual(replies.map(() => "ok"));
});

type ConfigurationChange = (draft: configurations.Configuration, state: "in" | "out") => void;

const returnCases: [string, ConfigurationChange][] = [
    ["failure domain", (draft, state) => {
        const { failureDomain } = draft.services[SERVICE]!.slots[SLOT]!;
        draft.failureDomains[failureDomain]!.state = state;
    }],
    ["upstream", (draft, state) => draft.services[SERVICE]!.slots[SLOT]!.state = state],
];
it.each(returnCases)("starts cold when its %s returns to service", async (_name, change) => {
    const running = await startFleet();
    const agent = running.agents.get(SLOT)!;
    while (readLoad(running).cold) {
        const call = { path: LOOKUP_PATH, team: TEAM, body: {} };
        await Promise.all(Array.from({ length: CONCURRENT_CALLS }, () => running.call("entry-1", call)));
    }
    for (const state of ["out", "in"] as const) {
        const version = running.publish(draft => change(draft, state));
        await running.waitFor(() => agent.version === version);
    }
    expect(readLoad(running).cold).toBe(true);
});
