// Stand-ins and helpers of the review's scripts: the platform's store, engines, clients and the entries as processes.
// Only modules of Node.js are used. Everything listens on and connects to 127.0.0.1.
import * as childProcess from "node:child_process";
import * as crypto from "node:crypto";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";

export const root = path.resolve(import.meta.dirname, "../..");
export const isTroubled = process.env.TROUBLE !== "0";
/** The command of the deploy file's role; the settings file takes the place of the last word. */
const RUN = [
    "--max-old-space-size=160",
    "--max-semi-space-size=4",
    "target/cumincrank.cjs",
    "entry",
    "--settings",
];
export const KEY = "9dnn2ctnfzs989anu6ws";
export const HOST = "desk.example";
const startedMs = performance.now();

// A failure of the script itself, or its time-out, isn't a broken rule.
process.on("uncaughtException", error => {
    console.log(`couldn't run: ${error.stack}`);
    process.exit(2);
});
for (const signal of ["SIGTERM", "SIGINT"]) {
    process.on(signal, () => process.exit(2));
}

export function sleep(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

export function nowS() {
    return (performance.now() - startedMs) / 1_000;
}

export function randomId() {
    return crypto.randomBytes(8).toString("hex");
}

/** The record of what was sent, answered and run. */
export class Record {
    constructor(folder) {
        this.lines = [];
        this.file = path.join(folder, "record.txt");
    }

    add(text) {
        this.lines.push(`${nowS().toFixed(3)} ${text}`);
    }

    /** Writes the file, ends everything and exits. */
    finish(code, summary, owned) {
        this.add(`${summary}; exit ${code}`);
        fs.writeFileSync(this.file, this.lines.join("\n") + "\n");
        owned.forEach(one => one.dispose());
        console.log(summary);
        process.exit(code);
    }
}

/** Ports below those that the system gives to outgoing connections, which would take them before the entries listen. */
const FIRST_PORT = 15_000;
const PORT_COUNT = 16_000;

/** Finds free ports for the entries. */
export async function freePorts(count) {
    const ports = new Set();
    while (ports.size < count) {
        const port = FIRST_PORT + crypto.randomInt(PORT_COUNT);
        const server = net.createServer();
        const isFree = await new Promise(resolve => {
            server.on("error", () => resolve(false));
            server.listen(port, "127.0.0.1", () => resolve(true));
        });
        if (isFree) {
            ports.add(port);
            await new Promise(resolve => server.close(resolve));
        }
    }
    return [...ports];
}

function listen(server) {
    return new Promise(resolve => server.listen(0, "127.0.0.1", () => resolve(`127.0.0.1:${server.address().port}`)));
}

function closeServer(server) {
    server.close();
    server.closeAllConnections();
}

/** The platform's store: `kv-range` and `kv-watch`, linearizable, with its whole history. */
export class Store {
    items = new Map();
    events = [];
    revision = 100;
    waiting = new Set();
    /** Answers of the watches that wait. */
    watches = new Set();

    async start() {
        this.server = http.createServer((request, response) => void this.handle(request, response));
        this.server.keepAliveTimeout = 60_000;
        this.address = await listen(this.server);
        return this;
    }

    dispose() {
        closeServer(this.server);
    }

    put(key, value) {
        const Rev = ++this.revision;
        const Created = this.items.get(key)?.Created ?? Rev;
        const Value = Buffer.from(JSON.stringify(value)).toString("base64");
        const item = { Key: key, Value, Rev, Created, Lease: 0 };
        this.items.set(key, item);
        this.change(item);
    }

    delete(key) {
        this.items.delete(key);
        this.change({ Key: key, Rev: ++this.revision, Deleted: true });
    }

    /** Cuts the watches that wait: closes their connections without an answer. */
    cutWatches() {
        const cut = [...this.watches];
        cut.forEach(response => response.socket.end());
        return cut.length;
    }

    change(event) {
        this.events.push(event);
        this.waiting.forEach(wake => wake());
    }

    async handle(request, response) {
        const { pathname, searchParams } = new URL(request.url, "http://store");
        const prefix = searchParams.get("Prefix") ?? "";
        await sleep(4);
        if (pathname === "/kv-range") {
            const after = searchParams.get("After") ?? "";
            const found = [...this.items.values()].filter(({ Key }) => Key.startsWith(prefix) && Key > after)
                .sort((a, b) => a.Key < b.Key ? -1 : 1);
            const body = { Items: found.slice(0, 500), Truncated: found.length > 500, CurrentRev: this.revision };
            this.answer(response, body);
            return;
        }
        const afterRev = Number(searchParams.get("After"));
        const find = () => this.events.filter(event => event.Rev > afterRev && event.Key.startsWith(prefix));
        if (find().length === 0) {
            this.watches.add(response);
            await new Promise(resolve => {
                const wake = () => {
                    clearTimeout(timer);
                    this.waiting.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, Number(searchParams.get("WaitMs")));
                this.waiting.add(wake);
                response.on("close", wake);
            });
            this.watches.delete(response);
        }
        this.answer(response, { events: find(), CurrentRev: this.revision });
    }

    answer(response, body) {
        response.writeHead(200, { "Content-Type": "application/json" });
        response.end(JSON.stringify(body));
    }
}

/** One engine: an HTTP server that gives each call, with its body, to `handle`. */
export class Engine {
    id = `i-${randomId().slice(0, 8)}`;
    born = Date.now();

    constructor(service, zone, slots, handle) {
        Object.assign(this, { service, zone, slots, handle });
    }

    async start() {
        this.server = http.createServer((request, response) => void this.receive(request, response));
        this.server.keepAliveTimeout = 20_000;
        this.server.on("connection", socket => socket.setNoDelay(true));
        this.address = await listen(this.server);
        return this;
    }

    dispose() {
        closeServer(this.server);
    }

    get record() {
        return {
            Service: this.service,
            Address: this.address,
            Zone: this.zone,
            Version: "v1",
            Slots: this.slots,
            State: "ready",
            ColdLeftMs: 0,
            Seq: 1,
            born: this.born,
        };
    }

    async receive(request, response) {
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        }
        catch {
            return; // The sender closed the connection before its request was whole.
        }
        const expected = request.headers["expect-instance"];
        if (expected !== undefined && expected !== this.id) {
            response.writeHead(421, { "Instance-Id": this.id }).end();
            return;
        }
        if (request.url === "/report" || request.url === "/health") {
            response.writeHead(200, { "Content-Type": "application/json", "Instance-Id": this.id });
            response.end(JSON.stringify({ born: this.born, Busy: false, Seq: 1, Waiting: 0, Running: 0 }));
            return;
        }
        await this.handle(request, response, Buffer.concat(chunks).toString("utf8"), this);
    }
}

/** An entry as a process, started as the deploy file does. */
export class Entry {
    constructor(name, zone) {
        Object.assign(this, { name, zone });
    }

    get pid() {
        return this.child?.pid;
    }

    start() {
        this.child = childProcess.spawn("node", [...RUN, this.settingsFile], {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? "C" },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.log = [];
        const { child, log } = this;
        child.stdout.on("data", chunk => log.push(chunk));
        child.stderr.on("data", chunk => log.push(chunk));
        this.exit = new Promise(resolve => child.on("exit", (code, signal) => resolve({ code, signal })));
        this.isRunning = true;
        void this.exit.then(() => this.isRunning = this.child !== child && this.isRunning);
        return this;
    }

    signal(name) {
        this.child.kill(name);
    }

    /** The decoded lines of its log. */
    get logLines() {
        return Buffer.concat(this.log).toString("utf8").split("\n").filter(line => line.startsWith("{"))
            .map(line => JSON.parse(line));
    }

    async isReady() {
        try {
            return (await send({ address: this.readyAddress, method: "GET", path: "/ready", headers: [] })).status
                === 200;
        }
        catch {
            return false;
        }
    }

    dispose() {
        if (this.isRunning) {
            this.child.kill("SIGKILL");
        }
    }
}

/** Fills the template of the settings in as the platform does, for one entry. */
function fillTemplate(values) {
    const template = fs.readFileSync(path.join(root, "platform/entry.yaml"), "utf8");
    return template.replace(/\{\{#Seeds\}\}.*\{\{\/Seeds\}\}/, values.Seeds.map(seed => `"${seed}"`).join(","))
        .replace(/\{\{([\w.]+)\}\}/g, (_, name) => {
            if (values[name] === undefined) {
                throw new Error(`no value for ${name}`);
            }
            return values[name];
        });
}

/** Creates the entries of a small deployment, one in each zone; starts them. */
export async function startEntries(store, zones, bounds = {}) {
    if (!fs.existsSync(path.join(root, "target/cumincrank.cjs"))) {
        console.log("target/cumincrank.cjs is missing: build it as the deploy file does");
        process.exit(2);
    }
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
    const ended = [];
    process.on("exit", () => {
        ended.forEach(entry => entry.dispose());
        fs.rmSync(folder, { recursive: true, force: true });
    });
    const ports = await freePorts(zones.length * 4);
    const entries = zones.map((zone, index) => {
        const entry = new Entry(`front-${zone}-1`, zone);
        const own = ports.slice(index * 4, index * 4 + 4).map(port => `127.0.0.1:${port}`);
        [entry.callerAddress, entry.readyAddress, entry.peerAddress, entry.adminAddress] = own;
        entry.settingsFile = path.join(folder, `${entry.name}.yaml`);
        return entry;
    });
    ended.push(...entries);
    for (const entry of entries) {
        const text = fillTemplate({
            Node: entry.name,
            Zone: entry.zone,
            Region: "cascadia",
            "Listen.Front": entry.callerAddress,
            "Listen.Ready": entry.readyAddress,
            "Listen.Control": entry.peerAddress,
            Ip: "127.0.0.1",
            "InternalPorts.0": entry.adminAddress.split(":")[1],
            "Platform.Address": store.address,
            Seeds: entries.slice(0, 3).map(other => other.peerAddress),
            "Limits.CpuShare": 0.513,
            "Bounds.GraceS": 8,
            "Bounds.BudgetWindowS": 10,
            "Bounds.BudgetRatio": 0.2,
            "Bounds.BudgetSlack": 52,
            "Bounds.ColdOver": 1.5,
            "Bounds.ColdSlack": 5,
            ...bounds,
        });
        fs.writeFileSync(entry.settingsFile, text);
        entry.start();
    }
    return entries;
}

/** Waits until a condition holds; exits with 2 if it doesn't in time. */
export async function waitUntil(what, condition, limitMs = 15_000) {
    const untilMs = performance.now() + limitMs;
    while (!await condition()) {
        if (performance.now() > untilMs) {
            console.log(`couldn't run: ${what} not reached`);
            process.exit(2);
        }
        await sleep(50);
    }
}

/**
 * Sends one request on a connection of its own and reads the answer from the bytes, as a sound client does. `end` is how
 * it ended: `complete` as its length, its chunks or, without either, the close of the connection say; `cut` or `reset`
 * if it ended before; `open` while it lasts.
 */
export function send({ address, method, path: url, headers, body = "", onBytes = () => undefined }) {
    const [host, port] = address.split(":");
    const socket = net.connect({ host, port: Number(port) });
    socket.setNoDelay(true);
    const lines = [`${method} ${url} HTTP/1.1`, ...headers.map(([name, value]) => `${name}: ${value}`)];
    const length = method === "GET" ? [] : [`Content-Length: ${Buffer.byteLength(body)}`];
    const hasHost = headers.some(([name]) => name === "Host");
    socket.write([...lines, ...hasHost ? [] : [`Host: ${address}`], ...length, "", body].join("\r\n"));
    let bytes = Buffer.alloc(0);
    return new Promise(resolve => {
        const finish = end => {
            const answer = parseAnswer(bytes, end);
            if (answer.end !== "open") {
                socket.destroy();
                resolve(answer);
            }
        };
        socket.on("data", chunk => {
            bytes = Buffer.concat([bytes, chunk]);
            onBytes(socket);
            finish("open");
        });
        socket.on("end", () => finish("closed"));
        socket.on("error", error => finish(error.code === "ECONNREFUSED" ? "refused" : "reset"));
        socket.on("close", () => finish("closed"));
    });
}

function parseAnswer(bytes, end) {
    const text = bytes.toString("latin1");
    const headEnd = text.indexOf("\r\n\r\n");
    if (headEnd < 0) {
        return { status: 0, headers: {}, body: "", end: end === "closed" ? "cut" : end };
    }
    const [statusLine, ...lines] = text.slice(0, headEnd).split("\r\n");
    const headers = Object.fromEntries(
        lines.map(line => [line.slice(0, line.indexOf(":")).toLowerCase(), line.slice(line.indexOf(":") + 1).trim()]),
    );
    const rest = text.slice(headEnd + 4);
    const status = Number(statusLine.split(" ")[1]);
    const { body, isWhole } = readBody(headers, rest, end);
    return { status, headers, body, end: isWhole ? "complete" : end === "closed" ? "cut" : end };
}

function readBody(headers, rest, end) {
    if (headers["content-length"] !== undefined) {
        const length = Number(headers["content-length"]);
        return { body: rest.slice(0, length), isWhole: rest.length >= length };
    }
    if (headers["transfer-encoding"] === undefined) {
        return { body: rest, isWhole: end === "closed" };
    }
    let body = "";
    let at = 0;
    for (;;) {
        const lineEnd = rest.indexOf("\r\n", at);
        const size = lineEnd < 0 ? NaN : Number.parseInt(rest.slice(at, lineEnd), 16);
        if (Number.isNaN(size) || rest.length < lineEnd + 2 + size + 2) {
            return { body, isWhole: false };
        }
        body += rest.slice(lineEnd + 2, lineEnd + 2 + size);
        at = lineEnd + 2 + size + 2;
        if (size === 0) {
            return { body, isWhole: true };
        }
    }
}

const pieces = { Slots: 1, Queue: 2, CallMs: 150, HandleS: 4, LinkMbps: 10_000 };

/** A configuration like that of the sites; `routes` are merged with the usual fields. */
export function configuration(version, routes) {
    const route = {
        Host: HOST,
        Priority: 1,
        Public: false,
        TimeoutMs: 6_000,
        GoalMs: 1_300,
        Service: "bench",
        Attempts: 1,
        Stages: [],
    };
    const stream = { Kind: "streaming", Sticky: true, Resumable: false, GapAimMs: 400 };
    const service = { HealthPath: "/health", MaxConns: 360, Protocol: "h1", Tls: false, ColdS: 0, ColdPerS: 0 };
    return {
        Version: version,
        Routes: routes.map(own => ({ ...route, ...own.Kind === "streaming" ? stream : {}, ...own })),
        Services: [
            { ...service, Name: "bench", ColdS: 3, ColdPerS: 9.1, Engine: { Slots: 64, KvTokens: 317_304 } },
            { ...service, Name: "desk", MaxConns: 96 },
            { ...service, Name: "portal", Pieces: { ...pieces, Batch: 6, ItemMs: 21.3, RoomMb: 27 } },
        ],
        Limits: { HeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000 },
        Tenants: [{ Name: "bozi300", ApiKeys: [KEY], Priority: 1 }],
    };
}

/** The headers of a client's request. */
export function clientHeaders(attempt, deadlineMs, extra = []) {
    return [
        ["Host", HOST],
        ["Attempt-Id", attempt],
        ["Deadline-Ms", String(deadlineMs)],
        ["Authorization", `Token ${KEY}`],
        ...extra,
    ];
}

/** The headers of a prompt whose last part is the request's own. */
export function promptHeaders(attempt, outputTokens = 40) {
    return [
        ["Model", "m"],
        ["Token-Count", `640,${outputTokens}`],
        ["Prefix-Hash", `5c1e07a2:400,${attempt.slice(0, 8)}:240`],
    ];
}
