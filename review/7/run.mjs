/**
 * Beside a planned scale-in, an entry is restarted as planned; a packet of its list of the store is lost and sent again.
 * Meanwhile it learns the later state from another entry, then takes engines that have left from the list's first page.
 */
import * as path from "node:path";
import * as kit from "../lib2/kit.mjs";

const FOLDER = path.dirname(new URL(import.meta.url).pathname);
/** DrainMs and StableWindowMs of the sheet. */
const DRAIN_MS = 2_000;
const STABLE_MS = 3_000;
/** Time after which a lost packet is sent again. */
const RESEND_MS = 210;
/** How long the links lose packets. */
const LOSSY_S = 5;
const ENGINES = 120;
/** A quarter leaves, one after the other. */
const LEAVING = 30;
const LEAVE_INTERVAL_MS = 30;
/** How long an engine serves on that has left without reporting `draining`. */
const SERVES_ON_S = 20;

async function main() {
    const store = new kit.Store();
    store.pageItems = 50;
    await store.start();
    store.put("op/config", kit.createConfiguration(7));
    const engines = [];
    for (let index = 0; index < ENGINES; index++) {
        const id = `i-${(index * 2_654_435_761 % 4_294_967_296).toString(16).padStart(8, "0")}`;
        engines.push(new kit.PlainEngine(store, { id, service: "desk", zone: `zone-${"abcd"[index % 4]}`, slots: 6 }));
    }
    await Promise.all(engines.map(engine => engine.start()));
    const link = new kit.Link(store.address);
    await link.start();
    const entries = await kit.startEntries(4, store, { 1: link.address });
    kit.startReadinessChecks(entries);
    const seen = [];
    let isOver = false;
    const load = async () => {
        while (!isOver) {
            await kit.sleep(25);
            const entry = entries[Math.floor(Math.random() * entries.length)];
            void kit.call(entry, "/look/x", { method: "GET", deadlineMs: 4_000 }).then(call => seen.push(call));
        }
    };
    void load();
    await kit.sleep(3_000);

    const [, restarted] = entries;
    await restarted.restart(8_000, 500);
    const startS = kit.seconds();
    if (kit.TROUBLE) {
        link.loseAnswerTo("/kv-range", 3, RESEND_MS);
    }
    await kit.sleep(100);
    const left = new Map();
    const sorted = [...engines].sort((a, b) => a.id < b.id ? -1 : 1);
    for (const engine of sorted.slice(0, LEAVING)) {
        store.remove(`servers/${engine.id}`);
        left.set(engine.id, kit.seconds());
        await kit.sleep(LEAVE_INTERVAL_MS);
    }
    const [firstS, lastS] = [[...left.values()][0], [...left.values()].at(-1)];
    kit.record(
        `${left.size} engines have left the store, from ${firstS.toFixed(3)} to ${lastS.toFixed(3)} s; they serve on`,
    );
    await kit.sleep(firstS * 1_000 + SERVES_ON_S * 1_000 - kit.seconds() * 1_000);
    isOver = true;
    await kit.sleep(1_000);

    const calmS = startS + LOSSY_S + STABLE_MS / 1_000;
    const byAttempt = new Map(seen.map(call => [call.attempt, call]));
    let broken = 0;
    for (const engine of engines) {
        const ackS = left.get(engine.id);
        const late = engine.runs.filter(run =>
            ackS !== undefined && run.atS > ackS + DRAIN_MS / 1_000 && run.atS > calmS
        );
        if (late.length > 0) {
            broken += late.length;
            const via = new Set(late.map(run => byAttempt.get(run.attempt)?.entry));
            kit.record(
                `DRAIN: ${engine.id} was removed at ${ackS.toFixed(3)} s; ${late.length} requests reached it later than`
                    + ` DrainMs, from ${late[0].atS.toFixed(3)} to ${late.at(-1).atS.toFixed(3)} s, from ${
                        [...via].join(" ")
                    }`,
            );
        }
    }
    const ends = {};
    seen.forEach(call => ends[call.end] = (ends[call.end] ?? 0) + 1);
    kit.record(`in touch again from ${calmS.toFixed(3)} s`);
    kit.record(`${seen.length} requests: ${JSON.stringify(ends)}; ${broken} reached engines that had left`);
    return broken > 0 ? 1 : 0;
}

await kit.runScript(process.env.OUT ?? FOLDER, main);
