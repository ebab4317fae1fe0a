// Two engines leave, each just after the store has cut the watches that wait.
import * as kit from "../lib/kit.mjs";

const DRAIN_MS = 2_000;
/** The engine serves on for a little longer than `DRAIN_MS`, and ends then. */
const SERVES_ON_MS = DRAIN_MS + 200;
const LEAVES_AFTER_CUT_MS = 20;
const REQUEST_INTERVAL_MS = 5;
const WORK_MS = 60;
const ENGINES_PER_ZONE = 2;
const LENGTH_MS = 16_000;
const LEAVES_AT_MS = [4_000, 10_000];

const record = new kit.Record(import.meta.dirname);
const zones = ["cascadia-a", "cascadia-b", "cascadia-c", "cascadia-d"];
const owned = [];
const store = await new kit.Store().start();
owned.push(store);

const leftAtMs = new Map();
/** The latest arrival at an engine, after the removal of its entry. */
let latestMs = -Infinity;
const late = [];
const runsOf = new Map();
const engines = [];
for (const zone of [...zones, ...zones].slice(0, zones.length * ENGINES_PER_ZONE)) {
    engines.push(
        await new kit.Engine("desk", zone, 6, async (request, response, _, engine) => {
            const attempt = request.headers["attempt-id"];
            if (attempt === undefined) {
                response.writeHead(400, { "Not-Executed": "1" }).end();
                return;
            }
            runsOf.set(attempt, engine.id);
            const sinceMs = performance.now() - (leftAtMs.get(engine) ?? Infinity);
            latestMs = Math.max(latestMs, sinceMs);
            if (sinceMs > DRAIN_MS) {
                late.push(attempt);
                record.add(
                    `BROKEN: ${attempt} reaches ${engine.id} ${
                        Math.round(sinceMs)
                    } ms after it was acknowledged as gone`,
                );
            }
            await kit.sleep(WORK_MS);
            response.writeHead(200, {
                "Attempt-Id": attempt,
                "Route-Stamp": `3e1b.07.${engine.id}`,
                "Engine-Load": "1,0,6",
            });
            response.end(`booked ${attempt}`);
        }).start(),
    );
}
owned.push(...engines);
const route = { Name: "r-booking", Prefix: "/booking/", Kind: "non_idempotent", Service: "desk" };
store.put("op/config", kit.configuration(7, [{ ...route, TimeoutMs: 2_000, GoalMs: 386 }]));
engines.forEach(engine => store.put(`servers/${engine.id}`, engine.record));
const entries = await kit.startEntries(store, zones);
owned.push(...entries);
await kit.waitUntil("readiness", async () => (await Promise.all(entries.map(entry => entry.isReady()))).every(Boolean));
await kit.sleep(5_000); // All machines are in touch.

const ends = new Map();
async function call(index) {
    const attempt = kit.randomId();
    const { callerAddress } = entries[index % entries.length];
    const answer = await kit.send({
        address: callerAddress,
        method: "POST",
        path: "/booking/2f",
        headers: kit.clientHeaders(attempt, 4_000),
        body: "x".repeat(600),
    });
    ends.set(attempt, `${answer.status} ${answer.end}`);
    if (answer.status !== 200) {
        record.add(`client of ${attempt}: status ${answer.status}, ends as ${answer.end}, at ${runsOf.get(attempt)}`);
    }
}

const beginMs = performance.now();
async function leave(engine, atMs) {
    await kit.sleep(atMs);
    await kit.waitUntil("a watch of each entry", () => store.watches.size === entries.length);
    if (kit.isTroubled) {
        record.add(`the store cuts ${store.cutWatches()} watches`);
    }
    await kit.sleep(LEAVES_AFTER_CUT_MS);
    store.delete(`servers/${engine.id}`);
    leftAtMs.set(engine, performance.now());
    record.add(`the entry of ${engine.id} is removed`);
    await kit.sleep(SERVES_ON_MS);
    engine.dispose();
    record.add(`${engine.id} ends`);
}

const left = LEAVES_AT_MS.map((atMs, index) => leave(engines[index], atMs));
const calls = [];
while (performance.now() < beginMs + LENGTH_MS) {
    calls.push(call(calls.length));
    await kit.sleep(REQUEST_INTERVAL_MS);
}
await Promise.all([...calls, ...left]);
const counts = {};
ends.forEach(end => counts[end] = (counts[end] ?? 0) + 1);
const summary = `${calls.length} requests, ends ${JSON.stringify(counts)}; ${late.length} reached an engine later than `
    + `${DRAIN_MS} ms after it was acknowledged as gone, the last one ${Math.round(latestMs)} ms`;
record.finish(late.length > 0 ? 1 : (counts["200 complete"] ?? 0) > calls.length / 2 ? 0 : 2, summary, owned);
