/**
 * What the scripts share: a stand-in of the platform's store, entries as processes of their own, and small helpers. All
 * addresses are those of the loopback interface, with free ports.
 */
import * as childProcesses from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";

export const HOST = "127.0.0.1";

/** Resolves after `ms`. */
export function sleep(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** Time in milliseconds since the start of the script. */
export function now() {
    return performance.now();
}

/** Collects the lines of the record, with their times. */
export class Record {
    lines = [];

    add(text) {
        this.lines.push(`${(now() / 1000).toFixed(3).padStart(8)} s  ${text}`);
    }

    write(file) {
        fs.writeFileSync(file, `${this.lines.join("\n")}\n`);
    }
}

/** Starts a server on a free port, or on `port`; resolves to its address. */
export function listen(server, port = 0) {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, HOST, () => resolve(`${HOST}:${server.address().port}`));
    });
}

/** Finds free ports, below those that the system gives to outgoing connections. */
export async function findPorts(count) {
    const ports = [];
    while (ports.length < count) {
        const port = 10_000 + Math.floor(Math.random() * 20_000);
        if (!ports.includes(port) && await isFree(port)) {
            ports.push(port);
        }
    }
    return ports;
}

async function isFree(port) {
    const server = net.createServer();
    try {
        await listen(server, port);
    }
    catch {
        return false;
    }
    await new Promise(resolve => server.close(resolve));
    return true;
}

/** The platform's metadata store, as far as the system reads it. */
export class Store {
    items = new Map();
    log = [];
    revision = 1;
    waiting = new Set();
    /** Called before each call is answered; may answer it itself and return true. */
    intercept = () => false;

    async start() {
        this.server = http.createServer((request, response) => this.answer(request, response));
        this.address = await listen(this.server);
    }

    put(key, value) {
        this.revision++;
        const text = Buffer.from(typeof value === "string" ? value : JSON.stringify(value)).toString("base64");
        const item = { Key: key, Value: text, Rev: this.revision, Created: this.revision, Lease: 0 };
        this.items.set(key, item);
        this.publish(item);
        return this.revision;
    }

    delete(key) {
        this.revision++;
        this.items.delete(key);
        this.publish({ Key: key, Rev: this.revision, Deleted: true });
        return this.revision;
    }

    publish(event) {
        this.log.push(event);
        for (const wake of [...this.waiting]) {
            wake();
        }
    }

    answer(request, response) {
        const url = new URL(request.url, "http://store");
        if (this.intercept(url, request, response)) {
            return;
        }
        if (url.pathname === "/kv-range") {
            this.answerRange(url, response);
        }
        else if (url.pathname === "/kv-watch") {
            this.answerWatch(url, response);
        }
        else {
            sendJson(response, 404, {});
        }
    }

    answerRange(url, response) {
        const prefix = url.searchParams.get("Prefix") ?? "";
        const after = url.searchParams.get("After") ?? "";
        const keys = [...this.items.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
        const page = keys.slice(0, 500).map(key => this.items.get(key));
        sendJson(response, 200, { Items: page, Truncated: keys.length > 500, CurrentRev: this.revision });
    }

    answerWatch(url, response) {
        const prefix = url.searchParams.get("Prefix") ?? "";
        const after = Number(url.searchParams.get("After"));
        const find = () => this.log.filter(event => event.Rev > after && event.Key.startsWith(prefix));
        const finish = () => {
            clearTimeout(timer);
            this.waiting.delete(wake);
            sendJson(response, 200, { events: find(), CurrentRev: this.revision });
        };
        const wake = () => find().length > 0 && finish();
        const timer = setTimeout(finish, Number(url.searchParams.get("WaitMs") ?? 0));
        wake.cut = () => response.socket.end();
        this.waiting.add(wake);
        response.on("close", () => {
            clearTimeout(timer);
            this.waiting.delete(wake);
        });
        wake();
    }

    /** Cuts the watches that wait now: their connections are closed without an answer. Returns their number. */
    cutWaiting() {
        const wakes = [...this.waiting];
        for (const wake of wakes) {
            wake.cut();
        }
        return wakes.length;
    }

    stop() {
        this.server.closeAllConnections();
        this.server.close();
    }
}

function sendJson(response, status, body) {
    const text = JSON.stringify(body);
    response.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) });
    response.end(text);
}

/** The record of an engine in the store. */
export function engineRecord(engine) {
    return {
        Service: engine.service,
        Address: engine.address,
        Zone: engine.zone ?? "zone-a",
        Version: "v1",
        Slots: engine.slots ?? 64,
        State: engine.state ?? "ready",
        ColdLeftMs: engine.coldLeftMs ?? 0,
        Stage: "colocated",
        Seq: engine.seq ?? 1,
        ...(engine.born === undefined ? {} : { born: engine.born }),
    };
}

/** A configuration with the limits of a small deployment. */
export function createConfiguration(version, routes, services, tenants) {
    return {
        Version: version,
        Routes: routes,
        Services: services,
        Limits: { HeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 },
        ...(tenants === undefined ? {} : { Tenants: tenants }),
    };
}

/** An entry as a process of its own, started as the deploy file says. */
export class Entry {
    constructor(options) {
        this.options = options;
        [this.frontPort, this.readyPort, this.controlPort, this.adminPort] = options.ports;
        this.directory = fs.mkdtempSync(path.join(os.tmpdir(), "review-entry-"));
    }

    get settings() {
        const { name, zone = "zone-a", zones = ["zone-a"], store, seeds = [], bounds = {}, first = true } =
            this.options;
        const settings = {
            role: "route-entry",
            region: "here",
            seeds,
            failureDomains: zones,
            cores: 0.513,
            stopLimitSeconds: 8,
            repeats: { windowSeconds: 10, ratio: 0.2, slack: 52 },
            coldRate: { factor: 1.5, extra: 5 },
            memoryMegabytes: 350,
            maxDescriptors: 4100,
            readyPath: "/ready",
            instance: name,
            failureDomain: zone,
            callerListen: `${HOST}:${this.frontPort}`,
            readyListen: `${HOST}:${this.readyPort}`,
            peerListen: `${HOST}:${this.controlPort}`,
            adminListen: `${HOST}:${this.adminPort}`,
            store,
            ...bounds,
        };
        return first ? { isFirstStart: true, ...settings } : settings;
    }

    start() {
        const file = path.join(this.directory, "settings.conf");
        fs.writeFileSync(file, JSON.stringify(this.settings));
        const output = fs.openSync(path.join(this.directory, "entry.log"), "a");
        const args = ["--max-old-space-size=160", "--max-semi-space-size=4", "target/cumincrank.cjs"];
        this.child = childProcesses.spawn(process.execPath, [...args, "entry", "--settings", file], {
            stdio: ["ignore", output, output],
        });
        fs.closeSync(output);
        this.ended = new Promise(resolve => this.child.once("exit", (code, signal) => resolve({ code, signal })));
        return this;
    }

    signal(name) {
        this.child.kill(name);
    }

    get log() {
        return fs.readFileSync(path.join(this.directory, "entry.log"), "utf8");
    }

    /** Resolves once the entry says that it is ready; rejects after `limitMs`. */
    async waitUntilReady(limitMs = 10_000) {
        const untilMs = now() + limitMs;
        while (now() < untilMs) {
            if (await askReady(this.readyPort) === 200) {
                return;
            }
            await sleep(50);
        }
        throw new Error(`${this.options.name} isn't ready`);
    }

    async stop() {
        if (this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null) {
            this.child.kill("SIGCONT");
            this.child.kill("SIGKILL");
            await this.ended;
        }
        fs.rmSync(this.directory, { recursive: true, force: true });
    }
}

/** The status that an entry's readiness has; 0 without an answer. */
export function askReady(port) {
    return new Promise(resolve => {
        const request = http.get({ host: HOST, port, path: "/ready", agent: false, timeout: 900 }, response => {
            response.resume();
            resolve(response.statusCode);
        });
        request.on("error", () => resolve(0));
        request.on("timeout", () => request.destroy());
    });
}

/** Runs a case: `run` resolves to whether the rule held. Ends the process with 0, 1 or 2. */
export async function runCase(directory, run) {
    const record = new Record();
    const cleanups = [];
    const finish = async code => {
        for (const cleanup of cleanups.splice(0).reverse()) {
            await cleanup();
        }
        record.add(code === 0 ? "the rule held" : code === 1 ? "THE RULE WAS BROKEN" : "no result");
        record.write(path.join(directory, "record.txt"));
        process.stdout.write(`${record.lines.filter(line => line.includes(" s  ")).slice(-8).join("\n")}\n`);
        process.exit(code);
    };
    const giveUp = reason => {
        record.add(`the case couldn't run: ${reason instanceof Error ? reason.stack : reason}`);
        return finish(2);
    };
    for (const event of ["SIGTERM", "SIGINT", "uncaughtException", "unhandledRejection"]) {
        process.on(event, reason => void giveUp(reason));
    }
    try {
        await finish(await run(record, cleanup => cleanups.push(cleanup)) ? 0 : 1);
    }
    catch (error) {
        await giveUp(error);
    }
}
