// An entry is killed while it forwards a stream of which the engine's answer has no length.
import * as kit from "../lib/kit.mjs";
import * as streams from "../lib/streams.mjs";

const EVENTS = 40;
const GAP_MS = 100;
/** Each 20th of the answers of two of the four engines has no length, for 5 s. */
const UNFRAMED_EACH = 20;
const WINDOW_MS = 5_000;
const REQUESTS = 160;
const REQUEST_INTERVAL_MS = 50;
/** The entry is killed once this many events of such a stream have reached its client. */
const KILL_AFTER_EVENTS = 10;

const record = new kit.Record(import.meta.dirname);
const zones = ["cascadia-a", "cascadia-b", "cascadia-c", "cascadia-d"];
const owned = [];
const store = await new kit.Store().start();
owned.push(store);
let windowUntilMs = -Infinity;
const unframed = new Set();
let answers = 0;
const engines = [];
for (const zone of zones) {
    engines.push(
        await streams.startModel(zone, record, (engine, attempt) => {
            const isFaulty = engines.indexOf(engine) < 2 && performance.now() < windowUntilMs;
            answers += isFaulty ? 1 : 0;
            const isUnframed = isFaulty && answers % UNFRAMED_EACH === 0;
            if (isUnframed) {
                unframed.add(attempt);
            }
            return { events: EVENTS, gapMs: GAP_MS, isUnframed };
        }),
    );
}
owned.push(...engines);
store.put("op/config", kit.configuration(7, [{ Name: "r-notes", Prefix: "/notes/", Kind: "streaming" }]));
engines.forEach(engine => store.put(`servers/${engine.id}`, engine.record));
const entries = await kit.startEntries(store, zones);
owned.push(...entries);
await kit.waitUntil("readiness", async () => (await Promise.all(entries.map(entry => entry.isReady()))).every(Boolean));
await kit.sleep(2_000);

let killed;
const results = [];
windowUntilMs = performance.now() + WINDOW_MS;

async function call(index) {
    const entry = entries[index % entries.length];
    if (entry === killed?.entry) {
        return; // The platform takes it out of rotation.
    }
    const attempt = kit.randomId();
    const answer = await kit.send({
        address: entry.callerAddress,
        method: "POST",
        path: "/notes/2f",
        headers: kit.clientHeaders(attempt, 15_000, kit.promptHeaders(attempt)),
        body: "x".repeat(600),
        onBytes: socket => {
            const isDue = kit.isTroubled && killed === undefined && unframed.has(attempt)
                && socket.bytesRead > KILL_AFTER_EVENTS * 40;
            if (isDue) {
                killed = { entry, attempt };
                record.add(`kill -KILL ${entry.name}, process ${entry.pid}`);
                entry.signal("SIGKILL");
            }
        },
    });
    const isWhole = answer.body === streams.wholeBody(attempt, EVENTS);
    const events = answer.body.split("\n\n").length - 1;
    record.add(
        `client of ${attempt} at ${entry.name}: status ${answer.status}, ${events} of ${EVENTS} events, ends as `
            + `${answer.end}${unframed.has(attempt) ? ", without a length" : ""}`,
    );
    results.push({ attempt, answer, isWhole });
}

const calls = [];
for (let index = 0; index < REQUESTS; index++) {
    calls.push(call(index));
    await kit.sleep(REQUEST_INTERVAL_MS);
}
await Promise.all(calls);

const served = results.filter(({ answer }) => answer.status === 200);
const broken = served.filter(({ answer, isWhole }) => answer.end === "complete" && !isWhole);
broken.forEach(({ attempt }) => record.add(`BROKEN: the answer to ${attempt} ended early and looks complete`));
const hasRun = unframed.size > 0 && served.length > REQUESTS / 2 && (killed !== undefined || !kit.isTroubled);
const summary = `${served.length} answers of ${results.length}, ${unframed.size} without a length; `
    + `${killed === undefined ? "no process killed" : `${killed.entry.name} killed`}; `
    + `${broken.length} ended early and look complete`;
record.finish(broken.length > 0 ? 1 : hasRun ? 0 : 2, summary, owned);
