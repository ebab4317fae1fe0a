/**
 * Callers read streams of a route that may be resumed, from model engines that number their events with 16 digits. One engine of
 * six crashes while it sends. Checks ORDER: no piece is missing or comes twice.
 */
import * as http from "node:http";
import * as path from "node:path";
import * as url from "node:url";
import * as kit from "../lib3/kit.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const directory = path.dirname(url.fileURLToPath(import.meta.url));
/** Digits of an event's id. The id of a stream's piece n is this number plus n, whatever engine sends it. */
const DIGITS = Number(process.env.DIGITS ?? 16);
const BASE = 10 ** (DIGITS - 1);
const ENGINES = 6;
const PIECES = 20;
const PIECE_MS = 100;
const ROUNDS = 3;
const STREAMS_PER_ROUND = 24;
const CRASH_AFTER_MS = 1_000;
/** How long an engine that has crashed is down. */
const DOWN_MS = 4_500;
const ROUND_MS = 6_000;
const DEADLINE_MS = 6_000;

/** A model engine, which sends the pieces of a stream from the one after `Last-Event-Id` on. */
class ModelEngine {
    /** Runs by attempt: the piece with which each began, and the last one that was sent. */
    runs = [];
    service = "pool";

    constructor(id, port, record) {
        this.id = id;
        this.port = port;
        this.record = record;
    }

    async start() {
        this.server = http.createServer((request, response) => this.answer(request, response));
        this.address = await kit.listen(this.server, this.port);
    }

    stop() {
        this.server.closeAllConnections();
        this.server.close();
    }

    answer(request, response) {
        const { "attempt-id": attempt, "expect-instance": expected, "last-event-id": last } = request.headers;
        if (expected !== this.id) {
            response.writeHead(421, { "Attempt-Id": attempt ?? "", "Not-Executed": "1", "Content-Length": 0 });
            response.end();
            return;
        }
        request.resume();
        const run = { attempt, lastEventId: last, next: last === undefined ? 1 : Number(last) - BASE + 1, sent: 0 };
        this.runs.push(run);
        this.record.add(`${this.id}: ${attempt} begins at piece ${run.next}, Last-Event-Id ${last ?? "none"}`);
        response.writeHead(200, {
            "Attempt-Id": attempt,
            "Route-Stamp": `stamp-${this.id}`,
            "Content-Type": "text/event-stream",
        });
        const timer = setInterval(() => {
            if (run.next > PIECES) {
                clearInterval(timer);
                response.end();
                return;
            }
            response.write(`id: ${BASE + run.next}\ndata: piece ${run.next}\n\n`);
            run.sent = run.next++;
        }, PIECE_MS);
        response.on("close", () => clearInterval(timer));
    }
}

/** Requests one stream; resolves to what its caller has seen. */
function readStream(port, attempt) {
    return new Promise(resolve => {
        const seen = { attempt, status: 0, text: "", isComplete: false };
        const headers = {
            "Host": "notes.example",
            "Attempt-Id": attempt,
            "Deadline-Ms": DEADLINE_MS,
            "Model": "m",
            "Token-Count": "700,80",
        };
        const options = { host: kit.HOST, port, method: "POST", path: "/notes/write", agent: false, headers };
        const request = http.request(options, response => {
            seen.status = response.statusCode;
            response.on("data", chunk => seen.text += chunk);
            response.on("end", () => seen.isComplete = response.complete);
            response.on("error", () => undefined);
            response.on("close", () => resolve(seen));
        });
        request.on("error", () => resolve(seen));
        request.end("write treatment notes");
    });
}

/** Why a stream that a caller has seen breaks ORDER; undefined if it doesn't. One that is cut may lack its end. */
function findFault({ status, text, isComplete }) {
    if (status !== 200) {
        return undefined;
    }
    const pieces = [...text.matchAll(/^data: piece (\d+)$/gm)].map(match => Number(match[1]));
    const wrong = pieces.findIndex((piece, index) => piece !== index + 1);
    if (wrong >= 0) {
        return `${pieces.length} pieces: ${pieces.join(" ")}`;
    }
    return isComplete && pieces.length < PIECES ? `ends as complete after ${pieces.length} pieces` : undefined;
}

async function startDeployment(record, onEnd) {
    const store = new kit.Store();
    await store.start();
    onEnd(() => store.stop());
    // All ports are below those that the system gives to outgoing connections, so that an engine can start again on its own.
    const ports = await kit.findPorts(8 + ENGINES);
    const engines = ports.slice(8).map((port, index) => new ModelEngine(`i-${index + 1}`, port, record));
    for (const engine of engines) {
        await engine.start();
        onEnd(() => engine.stop());
    }
    const route = { Name: "notes", Host: "notes.example", Prefix: "/notes/", Kind: "streaming", Service: "pool" };
    const times = { TimeoutMs: 15_000, GoalMs: 1600, GapAimMs: 400, Priority: 2, Attempts: 2 };
    const service = { Name: "pool", HealthPath: "/health", MaxConns: 360, ColdS: 0, ColdPerS: 0 };
    const engine = { Engine: { Slots: 64, KvTokens: 317304 } };
    const routes = [{ ...route, ...times, Sticky: true, Resumable: true, Public: true }];
    store.put("op/config", kit.createConfiguration(1, routes, [{ ...service, ...engine }]));
    for (const modelEngine of engines) {
        store.put(`servers/${modelEngine.id}`, kit.engineRecord(modelEngine));
    }
    const seeds = [`${kit.HOST}:${ports[2]}`, `${kit.HOST}:${ports[6]}`];
    const entries = [0, 4].map((first, index) => {
        const own = ports.slice(first, first + 4);
        return new kit.Entry({ name: `front-${index + 1}`, ports: own, store: store.address, seeds }).start();
    });
    for (const entry of entries) {
        onEnd(() => entry.stop());
        await entry.waitUntilReady();
    }
    await kit.sleep(1_500);
    return { engines, entries };
}

/** Crashes the engine that sends the most streams: its connections are closed, and its port refuses for a while. */
async function crash(engines, attempts, record) {
    const countOf = engine => engine.runs.filter(run => attempts.includes(run.attempt)).length;
    const [engine] = [...engines].sort((left, right) => countOf(right) - countOf(left));
    engine.stop();
    record.add(`${engine.id} crashes; it has sent ${countOf(engine)} of the ${attempts.length} streams so far`);
    await kit.sleep(DOWN_MS);
    await engine.start();
}

await kit.runCase(directory, async (record, onEnd) => {
    const { engines, entries } = await startDeployment(record, onEnd);
    record.add(`two entries ready; ${hasTrouble ? "one engine of six crashes in each round" : "no engine crashes"}`);
    const all = [];
    for (let round = 1; round <= ROUNDS; round++) {
        const attempts = Array.from({ length: STREAMS_PER_ROUND }, (_, index) => `r${round}-${index}`);
        const streams = attempts.map((attempt, index) => readStream(entries[index % 2].frontPort, attempt));
        await kit.sleep(CRASH_AFTER_MS);
        const crashed = hasTrouble ? crash(engines, attempts, record) : undefined;
        await Promise.all([kit.sleep(ROUND_MS), crashed]);
        all.push(...await Promise.all(streams));
    }
    const faults = [];
    for (const seen of all) {
        const fault = findFault(seen);
        const end = seen.isComplete ? "complete" : "cut";
        record.add(`${seen.attempt}: status ${seen.status}, ${end}${fault === undefined ? "" : `; WRONG: ${fault}`}`);
        if (fault !== undefined) {
            faults.push(fault);
        }
    }
    const complete = all.filter(({ isComplete, status }) => isComplete && status === 200).length;
    record.add(
        `streams: ${all.length}, complete: ${complete}, with a piece that is missing or comes twice: ${faults.length}`,
    );
    return faults.length === 0;
});
