/**
 * Engines leave without reporting it: the store deletes their entries. Shortly before each deletion the store cuts two watches
 * in a row. Checks DRAIN: no request reaches an engine later than `DrainMs` after its deletion was acknowledged.
 */
import * as path from "node:path";
import * as url from "node:url";
import * as clients from "../lib3/clients.mjs";
import * as kit from "../lib3/kit.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const directory = path.dirname(url.fileURLToPath(import.meta.url));
const LEAVING = ["i-3", "i-4", "i-5"];
const DRAIN_MS = 2_000;
/** The engines go on serving for that long after their deletion: "at times many seconds". */
const SERVES_MS = 4_000;
/** `StableWindowMs` and a margin between two engines that leave. */
const PAUSE_MS = 4_500;
const REQUEST_INTERVAL_MS = 8;
const DEADLINE_MS = 2_000;
const WORK_MS = 60;
const DELETION_DELAY_MS = 20;

/** Cuts the watches that wait: each connection is closed without an answer. Resolves when `count` have been cut. */
function cutWatches(store, count) {
    return new Promise(resolve => {
        let left = count;
        store.intercept = (target, request) => {
            if (target.pathname !== "/kv-watch") {
                return false;
            }
            const hasEvents = store.log.some(event => event.Rev > Number(target.searchParams.get("After")));
            if (hasEvents || left === 0) {
                return false;
            }
            left--;
            request.socket.end();
            if (left === 0) {
                store.intercept = () => false;
                resolve();
            }
            return true;
        };
        if (store.cutWaiting() > 0) {
            left--;
        }
    });
}

async function sendTraffic(port, sent, isOver) {
    for (let index = 0; !isOver(); index++) {
        const connection = new clients.Connection(port);
        const request = new clients.Request(`r${index}`, `/desk/frame?ms=${WORK_MS}`, DEADLINE_MS);
        connection.send([request]);
        sent.push(request);
        setTimeout(() => connection.leave(), DEADLINE_MS);
        await kit.sleep(REQUEST_INTERVAL_MS);
    }
}

await kit.runCase(directory, async (record, onEnd) => {
    const { store, engines, entries: [entry] } = await clients.startDeployment(1, onEnd);
    for (const id of LEAVING) {
        const engine = new clients.Engine(id, "desk");
        await engine.start();
        onEnd(() => engine.stop());
        engines.push(engine);
        store.put(`servers/${id}`, kit.engineRecord(engine));
    }
    record.add(`entry ready; ${hasTrouble ? "two watches are cut before each deletion" : "no watch is cut"}`);
    const sent = [];
    let isOver = false;
    void sendTraffic(entry.frontPort, sent, () => isOver);
    let lateCount = 0;
    for (const engine of engines.filter(({ id }) => LEAVING.includes(id))) {
        await kit.sleep(PAUSE_MS);
        if (hasTrouble) {
            await cutWatches(store, 2);
            record.add("two watches cut, one after the other");
            await kit.sleep(DELETION_DELAY_MS);
        }
        store.delete(`servers/${engine.id}`);
        const acknowledgedAt = kit.now();
        record.add(`${engine.id}: deletion acknowledged`);
        await kit.sleep(SERVES_MS);
        const arrivals = [...engine.runs.values()].map(({ startedAt }) => startedAt - acknowledgedAt);
        const late = arrivals.filter(afterMs => afterMs > DRAIN_MS);
        lateCount += late.length;
        record.add(
            `${engine.id}: last request ${Math.round(Math.max(...arrivals))} ms after that; later than ${DRAIN_MS} ms: `
                + `${late.length}`,
        );
    }
    isOver = true;
    await kit.sleep(DEADLINE_MS);
    const failed = sent.filter(({ status }) => status !== 200).length;
    record.add(`requests: ${sent.length}, of these not answered with 200: ${failed}`);
    clients.recordRequests(record, sent, engines);
    return lateCount === 0;
});
