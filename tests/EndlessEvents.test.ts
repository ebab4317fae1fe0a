import * as vitest from "vitest";
import * as endlessEngines from "../standins/platform/EndlessEngine";
import * as engines from "../standins/platform/PlatformEngineStandIn";
import * as fleets from "../standins/platform/RoutedFleet";

const { PROMPT_HEADERS: PROMPT } = fleets;
const STREAM_BODY = [1, 2, 3, 4, 5, 6].map(id => `id: ${id}\ndata: part ${id}\n\n`).join("");
const HEAD = [
    "HTTP/1.1 200 OK",
    "Route-Stamp: stamp-bad",
    "Content-Type: text/event-stream",
    "Attempt-Id: {attempt}",
    "\r\n",
].join("\r\n");
const CHUNK_BYTES = 256 * 1024;
const DEADLINE_MS = 1_500;
/** Time after which a caller that has no end of its answer leaves. */
const CALLER_WAIT_MS = 4_000;
const MAX_CALLS = 50;

let fleet: fleets.RoutedFleet;
let endless: endlessEngines.EndlessEngine;

async function startFleet(unit: string): Promise<void> {
    fleet = new fleets.RoutedFleet();
    await fleet.start([
        { id: "desk-1", service: "desk", failureDomain: "zone-a" },
        { id: "model-1", service: "model", failureDomain: "zone-a", events: 6 },
    ]);
    endless = new endlessEngines.EndlessEngine(
        HEAD,
        unit.repeat(CHUNK_BYTES / unit.length),
        setImmediate,
    );
    await endless.listen();
    const engine = new engines.PlatformEngineStandIn({ id: "bad", service: "model", failureDomain: "zone-a" });
    fleet.store.put("servers/bad", engine.createStoreRecord("ready", endless.address));
    await fleet.addEntry();
    await fleet.waitUntil(async () => (await fleet.readyStatus()) === 200);
}

/** Calls until so many calls have reached the faulty engine, and returns the answer to the last one. */
async function callFaulty(path: string, arrivals = 1): Promise<fleets.Answer> {
    for (let call = 0; call < MAX_CALLS; call++) {
        const answer = await fleet.call(path, {
            headers: { ...PROMPT, "Prefix-Hash": `${arrivals}${call}:1460`, "Deadline-Ms": String(DEADLINE_MS) },
            signal: AbortSignal.timeout(CALLER_WAIT_MS),
        });
        if (endless.arrivals >= arrivals) {
            return answer;
        }
    }
    throw new Error("no call has reached the faulty engine");
}

vitest.afterEach(() => {
    fleet.dispose();
    endless.dispose();
});

vitest.describe("a stream of an instance that sends without end", { timeout: 60_000 }, () => {
    // Guards against streams that hang at an instance, and calls beside them that wait, since it sends nothing new.
    vitest.it.each([
        { name: "comments", unit: ": alive\n\n", prefix: /^(?:: alive\n\n)*/ },
        { name: "blank lines", unit: "\n", prefix: /^\n*/ },
        { name: "blank lines of two bytes", unit: "\r\n", prefix: /^(?:\r\n)*/ },
    ])("$name goes on elsewhere", async ({ unit, prefix }) => {
        await startFleet(unit);
        const answer = await callFaulty("/notes/1");
        vitest.expect(answer).toMatchObject({ status: 200, isComplete: true });
        vitest.expect(answer.body.replace(prefix, "")).toBe(STREAM_BODY);
        await fleet.waitUntil(() => endless.openConnections === 0);
    });

    vitest.it("the same event goes on elsewhere after that event", async () => {
        await startFleet("id: 1\ndata: x\n\n");
        const answer = await callFaulty("/notes/1");
        vitest.expect(answer).toMatchObject({ status: 200, isComplete: true });
        vitest.expect(answer.body).toMatch(/^id: 1\ndata: x\n\nid: 2\n/);
        vitest.expect(answer.body.match(/^id: /gm)).toHaveLength(6);
        await fleet.waitUntil(() => endless.openConnections === 0);
    });

    vitest.it("nothing new is counted as faulty answers of that instance", async () => {
        await startFleet(": alive\n\n");
        for (let faults = 1; faults <= 3; faults++) {
            await callFaulty("/notes/1", faults);
        }
        const { adminAddress } = fleet.entries[0]!;
        const { body } = await fleets.sendRequest(adminAddress, "GET", "/metrics", {}, undefined);
        vitest.expect(body).toContain("cumincrank_faulty_answers{instance=\"bad\"} 3");
    });

    vitest.it.each([
        { name: "nothing new", unit: ": alive\n\n" },
        { name: "events without ids, until the deadline", unit: "data: x\n\n" },
    ])("$name is broken off where it can't be resumed", async ({ unit }) => {
        await startFleet(unit);
        const answer = await callFaulty("/once/1");
        vitest.expect(answer).toMatchObject({ status: 200, isComplete: false });
        await fleet.waitUntil(() => endless.openConnections === 0);
    });
});
