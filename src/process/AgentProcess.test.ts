/**
 * An agent among the others, with the whole system in one process.
 */
import * as vitest from "vitest";
import * as fleets from "../../standins/LocalFleet";
import * as document from "../commands/DemoConfiguration";
import * as configurations from "../common/Configuration";
import * as messages from "../common/Messages";
import * as randoms from "../common/Random";

const { afterEach, expect, it } = vitest;
const SERVICE = "bookings";
const SLOT = "booking-1";
const PATH = "/v1/services/bookings/lookup";
/** Enough for both instances of the service to get some. */
const CALLS_AT_ONCE = 6;
/** Calls that one instance takes without a queue. */
const COLD_CONCURRENCY = 4;
const BOOKING_PATH = "/v1/services/bookings/book";
const TEAM = "bench";

let fleet: fleets.LocalFleet | undefined;
afterEach(() => fleet?.dispose());

async function startFleet(plain: { serviceMs?: number } = {}): Promise<fleets.LocalFleet> {
    fleet = await fleets.LocalFleet.start({
        configuration: document.demoConfiguration,
        entries: 1,
        random: randoms.createRandom(1),
        plainOptions: () => plain,
    });
    return fleet;
}

function readLoad(running: fleets.LocalFleet): messages.Load {
    return (running.agents.get(SLOT)!.status() as { load: messages.Load }).load;
}

const leaves: [string, (running: fleets.LocalFleet) => void][] = [
    ["is listed as leaving", running => running.setLeaving(SLOT)],
    ["is told so by its upstream", running => running.upstreams.get(SLOT)!.faults = { leaving: true }],
    ["finds its upstream gone", running => running.upstreams.get(SLOT)!.stop()],
];
it.each(leaves)("drains by itself when it %s", async (_name, leave) => {
    const running = await startFleet();
    leave(running);
    await running.waitFor(() => readLoad(running).draining);
    const entry = running.entries.get("entry-1")!;
    const knows = (): boolean => {
        const { agents } = entry.status() as { agents: { instance: string; load: messages.Load }[] };
        // An entry that learns it from the list first drops its idle connection before the agent's own word.
        return agents.every(({ instance, load }) => instance !== SLOT || load.draining);
    };
    await running.waitFor(knows);
    const replies = await Promise.all(
        Array.from({ length: CALLS_AT_ONCE }, () => running.call("entry-1", { path: PATH, team: TEAM, body: {} })),
    );
    expect(replies.map(reply => reply.answer?.outcome)).toEqual(replies.map(() => "completed"));
    expect(running.upstreams.get(SLOT)!.log).toEqual([]);
});

it("finishes a call that may not be repeated at a planned stop, and its caller gets the answer", async () => {
    const running = await startFleet({ serviceMs: 2_500 });
    const calls = Array.from(
        { length: COLD_CONCURRENCY },
        () => running.call("entry-1", { path: BOOKING_PATH, team: TEAM, body: {} }),
    );
    await running.waitFor(() => readLoad(running).active > 0);
    expect(await running.agents.get(SLOT)!.stop()).toBe(0);
    const replies = await Promise.all(calls);
    expect(replies.map(reply => reply.answer?.name)).toEqual(replies.map(() => "ok"));
});

type Change = (draft: configurations.Configuration, state: "in" | "out") => void;

const changes: [string, Change][] = [
    ["failure domain", (draft, state) => {
        const { failureDomain } = draft.services[SERVICE]!.slots[SLOT]!;
        draft.failureDomains[failureDomain]!.state = state;
    }],
    ["upstream", (draft, state) => draft.services[SERVICE]!.slots[SLOT]!.state = state],
];
it.each(changes)("starts cold when its %s returns to service", async (_name, change) => {
    const running = await startFleet();
    const agent = running.agents.get(SLOT)!;
    while (readLoad(running).cold) {
        const call = { path: PATH, team: TEAM, body: {} };
        await Promise.all(Array.from({ length: CALLS_AT_ONCE }, () => running.call("entry-1", call)));
    }
    for (const state of ["out", "in"] as const) {
        const version = running.publish(draft => change(draft, state));
        await running.waitFor(() => agent.version === version);
    }
    expect(readLoad(running).cold).toBe(true);
});
