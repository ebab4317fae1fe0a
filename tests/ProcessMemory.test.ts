import * as http from "node:http";
import * as net from "node:net";
import * as vitest from "vitest";
import * as clocks from "../src/common/Clock";
import * as listeners from "../src/connection/Listener";
import * as entryPrograms from "../standins/platform/EntryProgram";
import * as fleets from "../standins/platform/RoutedFleet";

/** What a process may use on the machines of entries. */
const MEMORY_MEGABYTES = 350;
const NODE_OPTIONS = ["--max-old-space-size=160", "--max-semi-space-size=4"];
const MAX_BODY_BYTES = 4 * 1024 * 1024;
/** The operating system buffers answers of this size for callers that don't read. */
const LARGE_BYTES = 3_000_000;
/** It buffers only a part of these. */
const HUGE_BYTES = 15_000_000;
const HUGE_ANSWER = Buffer.alloc(HUGE_BYTES, "a");
/** Eight parts of this size take the share of answers in the account of bytes. */
const STALLED_BYTES = 6_000_000;
/** Above the size from which an answer has to wait for room. */
const PAUSED_BYTES = 20_000;
const FRAGMENTS = "1\r\na\r\n".repeat(30_000);
const ROUTES = 4_000;
const DEADLINE_MS = 4_000;
/** Of the route of calls below `/long/`. */
const LONG_DEADLINE_MS = 20_000;

/** An engine with large answers, which reads bodies and forgets them. */
class LargeEngine implements clocks.Disposable {
    private listener: listeners.Listener | undefined;

    get address(): string {
        return this.listener!.address;
    }

    async listen(): Promise<void> {
        const server = http.createServer((request, response) => void this.answer(request, response));
        this.listener = await listeners.listen(server, "127.0.0.1:0");
    }

    dispose(): void {
        this.listener?.dispose();
    }

    /**
     * Paths that end in `silent` get no answer, in `stalled` a part of a large one, in `fragmented` a body that goes on in
     * chunks of one byte and doesn't end; those that end in a number an answer of so many bytes.
     */
    private async answer(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        await new Promise(resolve => request.resume().once("end", resolve));
        if (request.url!.endsWith("silent")) {
            return;
        }
        const headers = { "Attempt-Id": request.headers["attempt-id"], "Route-Stamp": "stamp" };
        if (request.url!.endsWith("stalled")) {
            response.writeHead(200, { ...headers, "Content-Length": HUGE_BYTES });
            response.write(HUGE_ANSWER.subarray(0, STALLED_BYTES));
            return;
        }
        if (request.url!.endsWith("fragmented")) {
            response.writeHead(200, headers);
            response.write(HUGE_ANSWER.subarray(0, PAUSED_BYTES));
            request.socket.write(FRAGMENTS);
            return;
        }
        response.writeHead(200, headers);
        response.end(HUGE_ANSWER.subarray(0, Number(/\d+$/.exec(request.url!)?.[0] ?? 2)));
    }
}

let fleet: fleets.RoutedFleet;
let engine: LargeEngine;
let entry: entryPrograms.EntryProgram;
let sockets: net.Socket[];
let attempts = 0;

async function start(maxDescriptors?: number, seeds: readonly string[] = []): Promise<void> {
    const nodeOptions = NODE_OPTIONS;
    entry = await entryPrograms.EntryProgram.start(fleet.store.address, {
        nodeOptions,
        settings: { instance: "limited", memoryMegabytes: MEMORY_MEGABYTES, seeds },
        ...(maxDescriptors === undefined ? {} : { maxDescriptors }),
    });
    await fleet.waitUntil(async () => await callStatus() === 200);
}

vitest.beforeEach(async () => {
    sockets = [];
    fleet = new fleets.RoutedFleet();
    await fleet.start([]);
    engine = new LargeEngine();
    await engine.listen();
    publish(1, []);
    fleet.store.put("servers/desk-1", {
        Service: "desk",
        Address: engine.address,
        Zone: "zone-a",
        Version: "v1",
        Slots: 8,
        State: "ready",
        ColdLeftMs: 0,
        Seq: 1,
        born: 1,
    });
});

vitest.afterEach(async () => {
    sockets.forEach(socket => socket.destroy());
    await entry.dispose();
    engine.dispose();
    fleet.dispose();
});

/** Publishes a configuration with large bodies, and further routes. */
function publish(version: number, extraRoutes: readonly unknown[]): void {
    const configuration = fleets.createConfiguration(version) as { Routes: unknown[]; Limits: object };
    fleet.publish(version, {
        Routes: [...configuration.Routes, ...extraRoutes],
        Limits: { ...configuration.Limits, MaxBodyBytes: MAX_BODY_BYTES },
    });
}

function connect(): net.Socket {
    const [host, port] = entry.callerAddress.split(":");
    const socket = net.connect(Number(port), host);
    socket.on("error", () => undefined);
    sockets.push(socket);
    return socket;
}

function encodeHead(path: string, bodyBytes: number): string {
    const lines = [
        `POST ${path} HTTP/1.1`,
        "Host: desk.example",
        `Attempt-Id: memory-${++attempts}`,
        `Deadline-Ms: ${path.startsWith("/long/") ? LONG_DEADLINE_MS : DEADLINE_MS}`,
        `Authorization: Token ${fleets.TEAM_KEY}`,
        `Content-Length: ${bodyBytes}`,
    ];
    return `${lines.join("\r\n")}\r\n\r\n`;
}

/** Makes a small call on a connection of its own; resolves to its status, 0 if the connection ends without one. */
async function callStatus(path = "/look/ready"): Promise<number> {
    const socket = connect();
    socket.write(encodeHead(path, 0));
    const received = await new Promise<string>(resolve => {
        socket.once("data", chunk => resolve(chunk.toString("latin1")));
        socket.once("close", () => resolve(""));
    });
    socket.destroy();
    return Number(received.split(" ")[1] ?? 0);
}

/** Makes calls whose answers nobody reads. */
function callUnread(count: number, path: string, body?: Buffer): net.Socket[] {
    return Array.from({ length: count }, () => {
        const socket = connect();
        socket.write(encodeHead(path, body?.length ?? 0));
        socket.write(body ?? "");
        return socket;
    });
}

/** Makes a call with a body of the largest size, and reads its answer; resolves to its status. */
async function callWithBody(path: string, body: Buffer): Promise<number> {
    const [socket] = callUnread(1, path, body);
    const received = await new Promise<string>(resolve => {
        let text = "";
        socket!.on("data", chunk => {
            text += chunk.toString("latin1");
            resolve(text);
        });
        socket!.once("close", () => resolve(text));
    });
    socket!.resume();
    return Number(received.split(" ")[1] ?? 0);
}

async function readMetric(name: string): Promise<number> {
    const response = await fetch(`http://${entry.adminAddress}/metrics`);
    return Number(new RegExp(`^${name} (\\S+)$`, "m").exec(await response.text())?.[1]);
}

/** Whether the other entry, if there is one, has a connection to the process. */
async function isConnectedToPeer(): Promise<boolean> {
    const { entries } = await fleet.status(0) as { readonly entries: readonly { readonly connected: boolean }[] };
    return entries.some(({ connected }) => connected);
}

/** Expects that the process runs, serves small calls and has stayed within its memory. */
async function expectSound(name: string): Promise<void> {
    vitest.expect(entry.process.isRunning).toBe(true);
    vitest.expect(entry.peakMegabytes, name).toBeLessThan(MEMORY_MEGABYTES);
    vitest.expect(await callStatus()).toBe(200);
    vitest.expect(entry.readLog().filter(({ decision }) => decision === "exception")).toEqual([]);
}

vitest.describe("a process under load stays within its memory", () => {
    // Guards against a process that is killed for the answers that its callers don't read.
    vitest.it.each([
        { count: 200, bytes: LARGE_BYTES },
        { count: 60, bytes: HUGE_BYTES },
    ])("with $count answers of $bytes bytes that callers don't read", async ({ count, bytes }) => {
        await start();
        callUnread(count, `/look/${bytes}`);
        await clocks.sleep(clocks.systemClock, 3_000);
        await expectSound("unread answers");
        vitest.expect(await readMetric("cumincrank_buffered_bytes")).toBeLessThan(
            await readMetric("cumincrank_buffer_limit_bytes") * 1.5,
        );
    });

    // Guards against a process that is killed for the bodies of calls that wait for their instance.
    vitest.it("with bodies of the largest size that arrive at once", async () => {
        await start();
        const body = Buffer.alloc(MAX_BODY_BYTES, "b");
        const statuses = await Promise.all(
            Array.from({ length: 150 }, () => callWithBody("/look/silent", body)),
        );
        const rejected = statuses.filter(status => status === 503).length;
        await expectSound("bodies");
        vitest.expect(rejected).toBeGreaterThan(0);
        vitest.expect(rejected).toBe(await readMetric("cumincrank_buffer_rejections"));
        await fleet.waitUntil(async () => await readMetric("cumincrank_buffered_bytes") === 0);
        vitest.expect(await callWithBody("/look/a", body)).toBe(200);
    });

    vitest.it("with 4,000 routes and idle connections", async () => {
        await start();
        Array.from({ length: 950 }, connect).forEach(socket => socket.write(encodeHead("/look/a", 0)));
        const route = { Host: "desk.example", TimeoutMs: 4_000, GoalMs: 1_500, Priority: 1, Public: true, Attempts: 2 };
        for (let version = 2; version <= 6; version++) {
            const extraRoutes = Array.from({ length: ROUTES }, (_, index) => {
                const name = `route-${version}-${index}`;
                return { ...route, Name: name, Prefix: `/${name}/`, Kind: "idempotent", Service: "desk" };
            });
            publish(version, extraRoutes);
            await fleet.waitUntil(async () => await callStatus(`/route-${version}-${ROUTES - 1}/1`) === 200);
        }
        callUnread(100, `/look/${LARGE_BYTES}`);
        await clocks.sleep(clocks.systemClock, 1_000);
        await expectSound("routes");
    });
});

vitest.describe("a process with few descriptors", () => {
    const MAX_DESCRIPTORS = 200;
    const CALLER_CONNECTIONS = 75;
    const PEER_CONNECTIONS = 56;

    // Guards against a process that can't reach instances or other entries, since its callers hold all descriptors.
    vitest.it("keeps some for its work, and serves new connections in place of idle ones", async () => {
        await start(MAX_DESCRIPTORS);
        for (let round = 0; round < 4; round++) {
            callUnread(100, "/look/a");
            await clocks.sleep(clocks.systemClock, 200);
            vitest.expect(await callStatus()).toBe(200);
        }
        vitest.expect(await readMetric("cumincrank_caller_connections")).toBeLessThanOrEqual(CALLER_CONNECTIONS);
        await expectSound("descriptors");
        publish(2, []);
        await fleet.waitUntil(async () => await readMetric("cumincrank_revision") >= 4);
    });

    // Guards against a process that can't serve, since connections that nobody uses hold all descriptors.
    vitest.it("keeps some while others open connections at its address for peers", async () => {
        await start(MAX_DESCRIPTORS);
        const [host, port] = entry.peerAddress.split(":");
        for (let opened = 0; opened < 600; opened++) {
            const socket = net.connect(Number(port), host);
            socket.on("error", () => undefined);
            sockets.push(socket);
        }
        await fleet.addEntry(fleet.store.address, 8, [entry.peerAddress]);
        await fleet.waitUntil(isConnectedToPeer);
        vitest.expect(await callStatus()).toBe(200);
        vitest.expect(await readMetric("cumincrank_accepted_peer_connections")).toBeLessThanOrEqual(PEER_CONNECTIONS);
        vitest.expect(await readMetric("cumincrank_accepted_peers_closed_for_room")).toBeGreaterThan(0);
        vitest.expect(entry.readLog().some(({ decision }) => decision === "peer-connection-closed")).toBe(true);
        vitest.expect(entry.readLog().some(({ decision }) => decision === "accept-failed")).toBe(false);
        await expectSound("descriptors");
    });

    vitest.it("recovers when calls hold all the connections that there may be", async () => {
        const peer = await fleet.addEntry();
        await start(MAX_DESCRIPTORS, [peer.peerAddress]);
        await fleet.waitUntil(isConnectedToPeer);
        callUnread(300, "/look/silent");
        await clocks.sleep(clocks.systemClock, 1_000);
        vitest.expect(await isConnectedToPeer()).toBe(true);
        vitest.expect(await readMetric("cumincrank_caller_connections")).toBeLessThanOrEqual(CALLER_CONNECTIONS);
        await fleet.waitUntil(async () => await callStatus() === 200);
        await expectSound("descriptors");
    });
});

vitest.describe("a process whose answers have to wait for room", { timeout: 60_000 }, () => {
    // Guards against chunks that Node.js holds for each body that isn't read, and that no account counts.
    vitest.it("lives and serves while 200 of them go on in chunks of one byte", async () => {
        await start();
        publish(2, [{
            Name: "long",
            Host: "desk.example",
            Prefix: "/long/",
            Kind: "idempotent",
            Service: "desk",
            Public: true,
            Priority: 1,
            Attempts: 1,
            GoalMs: 1_500,
            TimeoutMs: LONG_DEADLINE_MS,
        }]);
        await fleet.waitUntil(async () => await callStatus("/long/1") === 200);
        callUnread(8, "/long/stalled");
        await clocks.sleep(clocks.systemClock, 700);
        callUnread(200, "/long/fragmented");
        await clocks.sleep(clocks.systemClock, 6_000);
        await expectSound("paused answers");
    });
});
