/**
 * Clients that keep a connection and pipeline requests on it, as HTTP/1.1 allows, and an engine that takes a stated time.
 */
import * as http from "node:http";
import * as net from "node:net";
import * as kit from "./kit.mjs";

/** One request with its answer, as its client sees it. */
export class Request {
    status = undefined;
    answeredAt = undefined;
    /** When its connection ended; undefined while it is open. */
    endedAt = undefined;

    constructor(id, path, deadlineMs) {
        this.id = id;
        this.path = path;
        this.deadlineMs = deadlineMs;
    }

    get text() {
        const head = [`GET ${this.path} HTTP/1.1`, "Host: desk.example", `Attempt-Id: ${this.id}`];
        return [...head, `Deadline-Ms: ${this.deadlineMs}`, "", ""].join("\r\n");
    }
}

/** A connection of one client. */
export class Connection {
    waiting = [];
    bytes = Buffer.alloc(0);

    constructor(port) {
        this.socket = net.connect(port, kit.HOST);
        this.socket.setNoDelay(true);
        this.socket.on("data", chunk => this.read(chunk));
        this.socket.on("error", () => undefined);
        this.closed = new Promise(resolve => this.socket.on("close", resolve));
        this.socket.on("close", () => {
            for (const request of this.waiting) {
                request.endedAt = kit.now();
            }
        });
    }

    /** Sends all requests at once. */
    send(requests) {
        for (const request of requests) {
            request.sentAt = kit.now();
        }
        this.waiting.push(...requests);
        this.socket.write(requests.map(request => request.text).join(""));
    }

    leave() {
        this.socket.destroy();
    }

    read(chunk) {
        this.bytes = Buffer.concat([this.bytes, chunk]);
        for (;;) {
            const headEnd = this.bytes.indexOf("\r\n\r\n");
            if (headEnd < 0) {
                return;
            }
            const head = this.bytes.subarray(0, headEnd).toString("latin1");
            const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
            if (this.bytes.length < headEnd + 4 + length) {
                return;
            }
            this.bytes = this.bytes.subarray(headEnd + 4 + length);
            const request = this.waiting.shift();
            request.status = Number(head.split(" ")[1]);
            request.answeredAt = kit.now();
        }
    }
}

/** An engine that answers `GET /desk/...?ms=M&bytes=B` after M ms with B bytes, and notes when it works on what. */
export class Engine {
    /** By attempt: when the work began, when it would end, and when it ended, was answered or was dropped. */
    runs = new Map();

    constructor(id, service) {
        this.id = id;
        this.service = service;
        this.server = http.createServer((request, response) => this.answer(request, response));
        this.server.keepAliveTimeout = 8_000;
    }

    async start() {
        this.address = await kit.listen(this.server);
    }

    stop() {
        this.server.closeAllConnections();
        this.server.close();
    }

    answer(request, response) {
        const { "attempt-id": attempt, "expect-instance": expected } = request.headers;
        if (expected !== undefined && expected !== this.id) {
            response.writeHead(421, { "Instance-Id": this.id, "Content-Length": 0 });
            response.end();
            return;
        }
        const query = new URL(request.url, "http://engine").searchParams;
        const ms = Number(query.get("ms") ?? 0);
        const body = Buffer.alloc(Number(query.get("bytes") ?? 2), "x");
        const run = { startedAt: kit.now(), endsAt: kit.now() + ms, endedAt: undefined, end: undefined };
        this.runs.set(attempt, run);
        const timer = setTimeout(() => {
            Object.assign(run, { endedAt: kit.now(), end: "answered" });
            response.writeHead(200, {
                "Attempt-Id": attempt,
                "Route-Stamp": `stamp-${this.id}`,
                "Content-Length": body.length,
            });
            response.end(body);
        }, ms);
        response.on("close", () => {
            if (run.end === undefined) {
                clearTimeout(timer);
                Object.assign(run, { endedAt: kit.now(), end: "dropped" });
            }
        });
    }
}

/** Adds a line for each request: when it was sent, what its client got, and what its engine did. Times are in ms. */
export function recordRequests(record, requests, engines) {
    record.add("requests: attempt, sent at; what the client got, at; engine, run from, to, how it ended");
    for (const { id, sentAt, status, answeredAt, endedAt } of requests) {
        const engine = engines.find(({ runs }) => runs.has(id));
        const run = engine?.runs.get(id);
        const seen = status ?? (endedAt === undefined ? "nothing" : "closed");
        const seenAt = answeredAt ?? endedAt;
        const times = [sentAt, seenAt, run?.startedAt, run?.endedAt].map(ms => ms === undefined ? "-" : Math.round(ms));
        record.lines.push(
            `${id} ${times[0]}; ${seen} ${times[1]}; ${engine?.id ?? "-"} ${times[2]} ${times[3]} ${run?.end ?? "-"}`,
        );
    }
}

/** Starts a store, two engines of one service and entries for it. */
export async function startDeployment(entryCount, onEnd) {
    const store = new kit.Store();
    await store.start();
    onEnd(() => store.stop());
    const engines = [new Engine("i-1", "desk"), new Engine("i-2", "desk")];
    for (const engine of engines) {
        await engine.start();
        onEnd(() => engine.stop());
    }
    const route = { Name: "lookup", Host: "desk.example", Prefix: "/desk/", Kind: "idempotent", Service: "desk" };
    const times = { TimeoutMs: 6000, GoalMs: 386, Priority: 2, Attempts: 2, Public: true };
    const service = { Name: "desk", HealthPath: "/health", MaxConns: 360, ColdS: 0, ColdPerS: 0 };
    store.put("op/config", kit.createConfiguration(1, [{ ...route, ...times }], [service]));
    for (const engine of engines) {
        store.put(`servers/${engine.id}`, kit.engineRecord(engine));
    }
    const ports = await kit.findPorts(4 * entryCount);
    const seeds = Array.from({ length: entryCount }, (_, index) => `${kit.HOST}:${ports[4 * index + 2]}`);
    const entries = seeds.map((_, index) => {
        const own = ports.slice(4 * index, 4 * index + 4);
        return new kit.Entry({ name: `front-${index + 1}`, ports: own, store: store.address, seeds }).start();
    });
    for (const entry of entries) {
        onEnd(() => entry.stop());
        await entry.waitUntilReady();
    }
    await kit.sleep(1_500);
    return { store, engines, entries };
}
