/**
 * Stand-ins and process control for the scripts of the second review: the platform's store, engines with the timing of
 * a site sheet, clients, a load balancer and the entries as separate processes. All addresses are on loopback.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";

export const KEY = "9dnn2ctnfzs989anu6ws";
export const TROUBLE = process.env.TROUBLE !== "0";

const startedAt = performance.now();
const lines = [];
const children = new Set();
const folders = [];

/** Seconds since the start of the script. */
export function seconds() {
    return (performance.now() - startedAt) / 1_000;
}

/** Adds a line to the record. */
export function record(text) {
    lines.push(`${seconds().toFixed(3).padStart(8)} s  ${text}`);
}

export function sleep(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

export async function waitUntil(condition, what, limitMs = 15_000) {
    const untilMs = performance.now() + limitMs;
    while (!await condition()) {
        if (performance.now() > untilMs) {
            throw new Error(`not within ${limitMs} ms: ${what}`);
        }
        await sleep(20);
    }
}

/** Ports below those that the system gives to outgoing connections, which could take one between two starts. */
const FIRST_PORT = 12_000;
const LAST_PORT = 31_000;

/** Free ports, found by listening on them. */
export async function findFreePorts(count) {
    const ports = [];
    while (ports.length < count) {
        const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
        const server = net.createServer();
        const isFree = await new Promise(resolve =>
            server.once("error", () => resolve(false)).listen(port, "127.0.0.1", () => resolve(true))
        );
        if (isFree) {
            await new Promise(resolve => server.close(resolve));
        }
        if (isFree && !ports.includes(port)) {
            ports.push(port);
        }
    }
    return ports;
}

/** Listens on a loopback port; resolves to the address. */
export function listen(server, port = 0) {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, "127.0.0.1", () => resolve(`127.0.0.1:${server.address().port}`));
    });
}

/** The platform's store: lists and watches as in PROTOCOL.md. */
export class Store {
    revision = 10;
    items = new Map();
    events = [];
    waiters = new Set();
    /** Items on a page of a list. */
    pageItems = 500;
    /** Time that an answer takes. */
    answerMs = 4;
    /** Number of pages that were asked for. */
    lists = 0;

    async start() {
        this.server = http.createServer((request, response) => void this.handle(request, response));
        this.server.keepAliveTimeout = 60_000;
        this.address = await listen(this.server);
    }

    put(key, value) {
        const content = Buffer.from(JSON.stringify(value)).toString("base64");
        const created = this.items.get(key)?.Created;
        const Rev = ++this.revision;
        const item = { Key: key, Value: content, Rev, Created: created ?? Rev, Lease: 0 };
        this.items.set(key, item);
        this.append(item);
    }

    remove(key) {
        if (this.items.delete(key)) {
            this.append({ Key: key, Rev: ++this.revision, Deleted: true });
        }
    }

    append(event) {
        this.events.push(event);
        [...this.waiters].forEach(wake => wake());
    }

    /** Reads at once and answers after `answerMs`. */
    async handle(request, response) {
        const { pathname, searchParams } = new URL(request.url, "http://store");
        const prefix = searchParams.get("Prefix") ?? "";
        const after = searchParams.get("After") ?? "";
        if (pathname === "/kv-range") {
            this.lists++;
            const found = [...this.items.values()].filter(item => item.Key.startsWith(prefix) && item.Key > after)
                .sort((a, b) => a.Key < b.Key ? -1 : 1);
            const Items = found.slice(0, this.pageItems);
            const body = { Items, Truncated: found.length > Items.length, CurrentRev: this.revision };
            await sleep(this.answerMs);
            sendJson(response, body);
            return;
        }
        if (pathname !== "/kv-watch") {
            response.writeHead(404).end();
            return;
        }
        const find = () => this.events.filter(event => event.Rev > Number(after) && event.Key.startsWith(prefix));
        if (find().length === 0) {
            await this.waitForChange(Math.min(30_000, Number(searchParams.get("WaitMs"))), response);
        }
        const body = { events: find(), CurrentRev: this.revision };
        await sleep(this.answerMs);
        sendJson(response, body);
    }

    waitForChange(waitMs, response) {
        return new Promise(resolve => {
            const wake = () => {
                clearTimeout(timer);
                this.waiters.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, waitMs);
            response.on("close", wake);
            this.waiters.add(wake);
        });
    }
}

function sendJson(response, body) {
    const content = JSON.stringify(body);
    response.writeHead(200, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(content) });
    response.end(content);
}

/** A link to a server, as a proxy; it may lose a packet, which is sent again later. */
export class Link {
    constructor(target) {
        this.target = target;
    }

    async start() {
        const server = net.createServer(socket => this.connect(socket));
        this.address = await listen(server);
    }

    /** Delays the answer to the request with this number among those for `path` from now on. */
    loseAnswerTo(path, number, resendMs) {
        this.loss = { start: `GET ${path}`, number, resendMs };
    }

    connect(near) {
        const [host, port] = this.target.split(":");
        const far = net.connect(Number(port), host);
        let delayMs = 0;
        near.on("data", bytes => {
            if (
                this.loss !== undefined && bytes.toString("latin1").startsWith(this.loss.start)
                && --this.loss.number === 0
            ) {
                delayMs = this.loss.resendMs;
                record(`a packet of an answer is lost, and sent again ${delayMs} ms later`);
            }
            far.write(bytes);
        });
        let sent = Promise.resolve();
        far.on("data", bytes => {
            const ms = delayMs;
            delayMs = 0;
            sent = sent.then(() => ms === 0 ? undefined : sleep(ms)).then(() => near.destroyed || near.write(bytes));
        });
        const end = () => {
            near.destroy();
            far.destroy();
        };
        [near, far].forEach(socket => socket.setNoDelay(true).on("error", end).on("close", end));
    }
}

/** An engine of the platform; subclasses answer the requests. */
export class Engine {
    /** What was run: attempt, times and how it ended. */
    runs = [];
    running = 0;

    constructor(store, { id, service, zone = "zone-a", slots = 64, version = "v1" }) {
        Object.assign(this, { store, id, service, zone, slots, version, born: Date.now(), seq: 1, state: "ready" });
    }

    async start() {
        this.server = http.createServer((request, response) => void this.receive(request, response));
        this.server.keepAliveTimeout = 20_000;
        this.server.on("connection", socket => socket.setNoDelay(true));
        this.address = await listen(this.server);
        this.publish(); // Its entry changes only when more than `Seq` does.
    }

    publish() {
        this.store.put(`servers/${this.id}`, {
            Service: this.service,
            Address: this.address,
            Zone: this.zone,
            Version: this.version,
            Slots: this.slots,
            State: this.state,
            ColdLeftMs: 0,
            Seq: this.seq++,
            born: this.born,
        });
    }

    async receive(request, response) {
        const body = await readBody(request);
        response.setHeader("Instance-Id", this.id);
        const expected = request.headers["expect-instance"];
        if (expected !== undefined && expected !== this.id) {
            response.writeHead(421).end();
            return;
        }
        if (request.url === "/health") {
            response.writeHead(200).end();
            return;
        }
        if (request.url === "/report") {
            sendJson(response, { Stage: "colocated", Busy: false, Seq: 1, Waiting: 0, Running: 0, born: this.born });
            return;
        }
        const attempt = request.headers["attempt-id"];
        if (attempt === undefined) {
            response.writeHead(400, { "Not-Executed": "1" }).end();
            return;
        }
        response.setHeader("Attempt-Id", attempt);
        response.setHeader("Route-Stamp", `stamp.${this.id}.${attempt}`);
        response.setHeader("Engine-Load", `${this.running},0,${this.slots}`);
        const run = { attempt, engine: this.id, path: request.url, atS: seconds(), body, headers: request.headers };
        this.runs.push(run);
        this.running++;
        response.on("close", () => {
            this.running--;
            run.endS = seconds();
            run.end = response.writableFinished ? "whole" : "caller left";
        });
        await this.serve(request, response, run);
    }
}

async function readBody(request) {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

/** A service that answers after a fixed time. */
export class PlainEngine extends Engine {
    workMs = 60;

    async serve(request, response, run) {
        await sleep(this.workMs);
        const content = `answer to ${run.attempt} of ${this.id}`.padEnd(800);
        response.writeHead(200, { "Content-Length": content.length }).end(content);
    }
}

/**
 * A model engine with the figures of the site sheet: a step takes 4.34 ms and more, the more requests run; prompts are
 * read at 36.7 tokens a millisecond, in chunks between the steps; an event holds 4 tokens.
 */
export class ModelEngine extends Engine {
    stepMs = 4.34;
    stepPerRunMs = 0.16;
    chunkTokens = 512;
    tokensPerMs = 36.7;
    reading = [];
    writing = new Set();
    isStepping = false;

    async serve(request, response, run) {
        const [prompt, output] = request.headers["token-count"].split(",").map(Number);
        const first = Number(request.headers["last-event-id"] ?? 0);
        const job = { response, run, unread: prompt, tokens: first * 4, output, atMs: performance.now() };
        response.on("close", () => this.writing.delete(job));
        response.writeHead(200, { "Content-Type": "text/event-stream" });
        this.reading.push(job);
        if (!this.isStepping) {
            this.isStepping = true;
            void this.stepOn();
        }
    }

    async stepOn() {
        let dueMs = performance.now();
        while (this.reading.length > 0 || this.writing.size > 0) {
            dueMs += this.stepMs + this.stepPerRunMs * this.writing.size + this.readChunk();
            await sleep(Math.max(0, dueMs - performance.now()));
            [...this.writing].forEach(job => this.write(job));
        }
        this.isStepping = false;
    }

    /** Reads a chunk of the first prompt; returns the time that it takes. */
    readChunk() {
        while (this.reading[0]?.response.destroyed) {
            this.reading.shift();
        }
        const [job] = this.reading;
        if (job === undefined) {
            return 0;
        }
        const tokens = Math.min(this.chunkTokens, job.unread);
        job.unread -= tokens;
        if (job.unread === 0) {
            this.reading.shift();
            this.writing.add(job);
        }
        return tokens / this.tokensPerMs;
    }

    write(job) {
        job.tokens++;
        job.run.firstEventMs ??= Math.round(performance.now() - job.atMs);
        const isLast = job.tokens >= job.output;
        if (job.tokens % 4 === 0 || isLast) {
            const id = Math.ceil(job.tokens / 4);
            job.response.write(`id: ${id}\ndata: ${job.run.attempt} ${id}\n\n`);
        }
        if (isLast) {
            this.writing.delete(job);
            job.response.end();
        }
    }
}

/** Creates a configuration with the routes of a small deployment. */
export function createConfiguration(version, changes = {}) {
    const route = { Host: "desk.example", Public: false, Priority: 1, Attempts: 2 };
    const stream = { ...route, Kind: "streaming", Service: "model", Sticky: true, GapAimMs: 400, Stages: [] };
    const service = { HealthPath: "/health", MaxConns: 360, Protocol: "h1", Tls: false, ColdS: 0, ColdPerS: 0 };
    return {
        Version: version,
        Routes: [
            { ...stream, Name: "r-report", Prefix: "/report/", TimeoutMs: 6_000, GoalMs: 1_300, Resumable: true },
            { ...stream, Name: "r-query", Prefix: "/query/", TimeoutMs: 5_000, GoalMs: 1_700, Attempts: 1 },
            { ...stream, Name: "r-notes", Prefix: "/notes/", TimeoutMs: 15_000, GoalMs: 1_600, Resumable: true },
            {
                ...route,
                Name: "r-book",
                Prefix: "/book/",
                Kind: "non_idempotent",
                Service: "desk",
                TimeoutMs: 4_000,
                GoalMs: 386,
            },
            {
                ...route,
                Name: "r-look",
                Prefix: "/look/",
                Kind: "idempotent",
                Service: "desk",
                TimeoutMs: 4_000,
                GoalMs: 386,
            },
        ],
        Services: [
            { ...service, Name: "model", Engine: { Slots: 64, KvTokens: 317_304, Models: [{ Name: "m" }] } },
            { ...service, Name: "desk" },
        ],
        Limits: { HeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000 },
        Tenants: [{ Name: "bozi300", ApiKeys: [KEY], Priority: 1 }],
        ...changes,
    };
}

/** One entry of the deployment, started as the deploy file says. */
export class Entry {
    child = undefined;
    restarts = true;

    constructor(name, zone, ports, zones, store, seeds) {
        Object.assign(this, {
            name,
            zone,
            ports,
            zones,
            store,
            seeds,
            isFirstStart: true,
            isInRotation: true,
            misses: 0,
        });
        this.folder = fs.mkdtempSync(path.join(os.tmpdir(), "review2-"));
        folders.push(this.folder);
        this.callerAddress = `127.0.0.1:${ports[0]}`;
        this.readyAddress = `127.0.0.1:${ports[1]}`;
        this.peerAddress = `127.0.0.1:${ports[2]}`;
        this.logFile = path.join(this.folder, "entry.log");
    }

    /** The settings, rendered from the project's template as the platform does it. */
    writeSettings() {
        const file = path.join(this.folder, "settings.conf");
        const settings = {
            role: "route-entry",
            region: "cascadia",
            seeds: this.seeds,
            failureDomains: this.zones,
            ...(this.isFirstStart ? { isFirstStart: true } : {}),
            cores: 0.513,
            stopLimitSeconds: 8,
            repeats: { windowSeconds: 10, ratio: 0.2, slack: 52 },
            coldRate: { factor: 1.5, extra: 5 },
            memoryMegabytes: 350,
            maxDescriptors: 4_100,
            readyPath: "/ready",
            instance: this.name,
            failureDomain: this.zone,
            callerListen: this.callerAddress,
            readyListen: this.readyAddress,
            peerListen: this.peerAddress,
            adminListen: `127.0.0.1:${this.ports[3]}`,
            store: this.store,
        };
        fs.writeFileSync(file, JSON.stringify(settings));
        return file;
    }

    start() {
        const file = this.writeSettings();
        const out = fs.openSync(this.logFile, "a");
        const args = [
            "--max-old-space-size=160",
            "--max-semi-space-size=4",
            "target/cumincrank.cjs",
            "entry",
            "--settings",
            file,
        ];
        this.child = childProcess.spawn(process.execPath, args, { stdio: ["ignore", out, out] });
        fs.closeSync(out);
        children.add(this.child);
        const { child } = this;
        this.exited = new Promise(resolve =>
            child.once("exit", (code, signal) => {
                children.delete(child);
                record(`${this.name} ended (${signal ?? code})`);
                resolve();
            })
        );
        this.isFirstStart = false;
    }

    signal(name) {
        record(`${this.name} gets ${name}`);
        this.child.kill(name);
    }

    /** Planned restart: SIGTERM, SIGKILL after the grace, and a start shortly after the end. */
    async restart(graceMs = 8_000, delayMs = 500) {
        const { child } = this;
        this.signal("SIGTERM");
        const kill = setTimeout(() => child.kill("SIGKILL"), graceMs);
        await this.exited;
        clearTimeout(kill);
        await sleep(delayMs);
        this.start();
        record(`${this.name} starts again`);
    }

    async isReady() {
        try {
            return (await request({ address: this.readyAddress, method: "GET", path: "/ready", headers: {} })).status
                === 200;
        }
        catch {
            return false;
        }
    }
}

/** Starts entries, one in each zone, with other addresses of the store for some, and waits until all are ready and know each other. */
export async function startEntries(count, store, storeAddresses = {}) {
    const zones = Array.from({ length: count }, (_, index) => `zone-${"abcdefgh"[index]}`);
    const ports = await findFreePorts(count * 4);
    const seeds = zones.slice(0, 3).map((_, index) => `127.0.0.1:${ports[index * 4 + 2]}`);
    const entries = zones.map((zone, index) =>
        new Entry(
            `front-${zone}-1`,
            zone,
            ports.slice(index * 4, index * 4 + 4),
            zones,
            storeAddresses[index] ?? store.address,
            seeds,
        )
    );
    entries.forEach(entry => entry.start());
    await waitUntil(
        async () => (await Promise.all(entries.map(entry => entry.isReady()))).every(Boolean),
        "entries are ready",
    );
    await sleep(3_500);
    return entries;
}

/** The platform's readiness checks: once a second, two misses take an entry out of rotation. */
export function startReadinessChecks(entries) {
    return setInterval(() => {
        for (const entry of entries) {
            void entry.isReady().then(isReady => {
                entry.misses = isReady ? 0 : entry.misses + 1;
                entry.isInRotation = isReady || (entry.isInRotation && entry.misses < 2);
            });
        }
    }, 1_000);
}

/** Sends a request on a connection of its own, or of `agent`; resolves to how it ended. */
export function request({ address, method, path: target, headers, body, agent = false, onEvent }) {
    const [host, port] = address.split(":");
    return new Promise((resolve, reject) => {
        const outgoing = http.request({ host, port, method, path: target, headers, agent }, response => {
            const chunks = [];
            response.on("data", chunk => {
                chunks.push(chunk);
                onEvent?.(chunk);
            });
            response.on("error", () => undefined);
            response.on("close", () =>
                resolve({
                    status: response.statusCode,
                    headers: response.headers,
                    body: Buffer.concat(chunks).toString("latin1"),
                    isComplete: response.complete,
                }));
        });
        outgoing.setNoDelay(true);
        outgoing.on("error", reject);
        outgoing.end(body);
    });
}

let nextAttempt = 1;

/** A new attempt's id. */
export function newAttempt() {
    return (0x9c41d07b00000000n + BigInt(nextAttempt++)).toString(16);
}

/** Sends a client's request; resolves to what the client saw. */
export async function call(entry, target, { method = "POST", headers = {}, deadlineMs, body, agent, onEvent } = {}) {
    const attempt = newAttempt();
    const sentS = seconds();
    const all = {
        Host: "desk.example",
        "Attempt-Id": attempt,
        "Deadline-Ms": String(deadlineMs),
        Authorization: `Token ${KEY}`,
        ...headers,
    };
    const seen = { attempt, target, entry: entry.name, sentS, deadlineMs };
    try {
        const answer = await request({
            address: entry.callerAddress,
            method,
            path: target,
            headers: all,
            body,
            agent,
            onEvent,
        });
        Object.assign(seen, answer, { end: answer.isComplete ? String(answer.status) : `${answer.status}, cut` });
    }
    catch (error) {
        seen.end = error.code === "ECONNREFUSED" ? "no connection" : `closed without an answer (${error.code})`;
    }
    seen.endS = seconds();
    return seen;
}

/** Runs a script, writes its record beside it and ends all processes that it started; exits with 0, 1 or 2. */
export async function runScript(folder, main) {
    let code = 2;
    ["SIGTERM", "SIGINT"].forEach(name => process.once(name, () => finish(folder, 2)));
    const limit = setTimeout(() => {
        record("the script took too long");
        finish(folder, 2);
    }, 115_000);
    try {
        record(TROUBLE ? "with the disruption" : "without the disruption");
        code = await main();
    }
    catch (error) {
        record(`the case couldn't run: ${error.stack}`);
    }
    clearTimeout(limit);
    finish(folder, code);
}

function finish(folder, code) {
    record(`exit code ${code}`);
    fs.writeFileSync(path.join(folder, "record.txt"), `${lines.join("\n")}\n`);
    children.forEach(child => child.kill("SIGKILL"));
    if (process.env.KEEP_LOGS !== "1") {
        folders.forEach(each => fs.rmSync(each, { recursive: true, force: true }));
    }
    process.exit(code);
}
