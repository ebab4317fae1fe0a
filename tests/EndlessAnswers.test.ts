import * as vitest from "vitest";
import * as clocks from "../src/common/Clock";
import * as endlessEngines from "../standins/platform/EndlessEngine";
import * as engines from "../standins/platform/PlatformEngineStandIn";
import * as fleets from "../standins/platform/RoutedFleet";

const { PROMPT_HEADERS: PROMPT, STAGED_HEADERS: STAGED } = fleets;
const CHUNK = "x".repeat(16 * 1024);
const HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nRoute-Stamp: stamp-bad\r\n";
/** Time after which a caller must have its answer: that of its request and a margin. */
const CALLER_WAIT_MS = 5_000;
const MAX_ELAPSED_MS = CALLER_WAIT_MS + 500;
/** Bytes that a process may take of an answer that never ends. */
const MAX_TAKEN_BYTES = 20 * 1024 * 1024;

const ENGINES: readonly engines.EngineOptions[] = [
    { id: "desk-1", service: "desk", failureDomain: "zone-a" },
    { id: "model-1", service: "model", failureDomain: "zone-a", events: 6 },
    { id: "archive-1", service: "archive", failureDomain: "zone-a" },
    { id: "ledger-1", service: "ledger", failureDomain: "zone-a" },
];

let fleet: fleets.RoutedFleet;
let endless: endlessEngines.EndlessEngine;

async function startFleet(service: string, start: string, filler: string): Promise<void> {
    fleet = new fleets.RoutedFleet();
    await fleet.start(ENGINES.filter(options => options.service !== service));
    endless = new endlessEngines.EndlessEngine(start, filler);
    await endless.listen();
    const engine = new engines.PlatformEngineStandIn({ id: "bad", service, failureDomain: "zone-a" });
    fleet.store.put("servers/bad", engine.createStoreRecord("ready", endless.address));
    await fleet.addEntry();
    await fleet.waitUntil(async () => (await fleet.readyStatus()) === 200);
}

vitest.afterEach(() => {
    fleet.dispose();
    endless.dispose();
});

const chunked = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;
const chunk = `${CHUNK.length.toString(16)}\r\n${CHUNK}\r\n`;
const cases: readonly {
    readonly name: string;
    readonly service: string;
    readonly path: string;
    readonly headers: Record<string, string>;
    readonly start: string;
    readonly filler: string;
}[] = [
    { name: "a line that is no answer", service: "desk", path: "/look/1", headers: {}, start: "", filler: CHUNK },
    { name: "a head", service: "desk", path: "/look/1", headers: {}, start: `${HEAD}More: `, filler: CHUNK },
    {
        name: "a head of many lines",
        service: "desk",
        path: "/look/1",
        headers: {},
        start: HEAD,
        filler: "A: b\r\n".repeat(900),
    },
    { name: "a body", service: "desk", path: "/look/1", headers: {}, start: chunked, filler: chunk },
    {
        name: "a body without a length",
        service: "desk",
        path: "/look/1",
        headers: {},
        start: `${HEAD}\r\n`,
        filler: CHUNK,
    },
    {
        name: "the body of an error",
        service: "desk",
        path: "/look/1",
        headers: {},
        start: chunked.replace("200 OK", "500 No"),
        filler: chunk,
    },
    { name: "an event", service: "model", path: "/once/1", headers: PROMPT, start: chunked, filler: chunk },
    {
        name: "an event without a length",
        service: "model",
        path: "/once/1",
        headers: PROMPT,
        start: `${HEAD}\r\n`,
        filler: CHUNK,
    },
    {
        name: "the head of a stream",
        service: "model",
        path: "/once/1",
        headers: PROMPT,
        start: `${HEAD}More: `,
        filler: CHUNK,
    },
    {
        name: "the head of a stage's answer",
        service: "archive",
        path: "/staged/1",
        headers: STAGED,
        start: `${HEAD}More: `,
        filler: CHUNK,
    },
    {
        name: "the body of a stage's answer",
        service: "archive",
        path: "/staged/1",
        headers: STAGED,
        start: chunked,
        filler: chunk,
    },
];

vitest.describe("an answer without an end", { timeout: 30_000 }, () => {
    vitest.it.each(cases)("that is $name is given up", async ({ service, path, headers, start, filler }) => {
        await startFleet(service, start, filler);
        const startedMs = clocks.systemClock.now();
        const answer = await fleet.call(path, { headers: { ...headers, "Deadline-Ms": String(CALLER_WAIT_MS) } });
        vitest.expect(clocks.systemClock.now() - startedMs).toBeLessThan(MAX_ELAPSED_MS);
        vitest.expect(answer.status === 200 && answer.isComplete).toBe(false);
        vitest.expect(endless.arrivals).toBeGreaterThan(0);
        await fleet.waitUntil(() => endless.openConnections === 0);
        vitest.expect(endless.takenBytes).toBeLessThan(MAX_TAKEN_BYTES * endless.arrivals);
    });
});

vitest.describe("a stage call whose answer has a head and nothing more", { timeout: 30_000 }, () => {
    // Such stage calls were never ended: their connections stayed open for as long as the engine did.
    vitest.it("is made again elsewhere in time, and ended", async () => {
        fleet = new fleets.RoutedFleet();
        endless = new endlessEngines.EndlessEngine("", "");
        await endless.listen();
        await fleet.start([...ENGINES, { id: "archive-2", service: "archive", failureDomain: "zone-a" }]);
        await fleet.addEntry();
        await fleet.waitUntil(async () => (await fleet.call("/staged/1", { headers: STAGED })).status === 200);
        const [archive] = fleet.enginesOf("archive");
        archive!.faults = { stalledBody: true };
        const answers = await Promise.all(
            Array.from({ length: 4 }, () => fleet.call("/staged/2", { headers: STAGED })),
        );
        vitest.expect(archive!.batches.length).toBeGreaterThan(0);
        vitest.expect(answers.map(answer => answer.status)).toEqual([200, 200, 200, 200]);
        vitest.expect(archive!.stalledAnswers).toBeGreaterThan(0);
        await fleet.waitUntil(() => archive!.stalledAnswers === 0);
    });
});
