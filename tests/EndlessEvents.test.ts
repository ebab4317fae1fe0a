import * as net from "node:net";
import * as vitest from "vitest";
import * as clocks from "../src/common/Clock";
import * as listeners from "../src/connection/Listener";
import * as engines from "../standins/platform/PlatformEngineStandIn";
import * as fleets from "../standins/platform/RoutedFleet";

const { PROMPT_HEADERS: PROMPT } = fleets;
const STREAM_BODY = [1, 2, 3, 4, 5, 6].map(id => `id: ${id}\ndata: part ${id}\n\n`).join("");
const HEAD = "HTTP/1.1 200 OK\r\nRoute-Stamp: stamp-bad\r\nContent-Type: text/event-stream\r\n";
const CHUNK_BYTES = 256 * 1024;
const DEADLINE_MS = 1_500;
/** Time after which a caller that has no end of its answer leaves. */
const CALLER_WAIT_MS = 4_000;
const MAX_CALLS = 50;

/** An engine that sends the same text without end, as fast as its caller reads, but leaves the event loop to others. */
class EndlessStream implements clocks.Disposable {
    private readonly sockets = new Set<net.Socket>();
    private listener: listeners.Listener | undefined;
    arrivals = 0;

    constructor(private readonly unit: string) {}

    get address(): string {
        return this.listener!.address;
    }

    get openConnections(): number {
        return this.sockets.size;
    }

    async listen(): Promise<void> {
        this.listener = await listeners.listen(net.createServer(socket => this.accept(socket)), "127.0.0.1:0");
    }

    dispose(): void {
        this.sockets.forEach(socket => socket.destroy());
        this.listener?.dispose();
    }

    private accept(socket: net.Socket): void {
        this.sockets.add(socket);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => this.sockets.delete(socket));
        socket.once("data", head => {
            this.arrivals++;
            const attempt = /^attempt-id: *(.*)\r\n/im.exec(head.toString())![1]!;
            socket.write(`${HEAD}Attempt-Id: ${attempt}\r\n\r\n`);
            this.writeOn(socket);
        });
    }

    private writeOn(socket: net.Socket): void {
        if (socket.destroyed) {
            return;
        }
        if (socket.write(this.unit.repeat(CHUNK_BYTES / this.unit.length))) {
            setImmediate(() => this.writeOn(socket));
        }
        else {
            socket.once("drain", () => this.writeOn(socket));
        }
    }
}

let fleet: fleets.RoutedFleet;
let endless: EndlessStream;

async function startFleet(unit: string): Promise<void> {
    fleet = new fleets.RoutedFleet();
    await fleet.start([
        { id: "desk-1", service: "desk", failureDomain: "zone-a" },
        { id: "model-1", service: "model", failureDomain: "zone-a", events: 6 },
    ]);
    endless = new EndlessStream(unit);
    await endless.listen();
    const engine = new engines.PlatformEngineStandIn({ id: "bad", service: "model", failureDomain: "zone-a" });
    fleet.store.put("servers/bad", engine.createStoreRecord("ready", endless.address));
    await fleet.addEntry();
    await fleet.waitUntil(async () => (await fleet.readyStatus()) === 200);
}

/** Calls until a call has reached the faulty engine, and returns the answer to that call. */
async function callFaulty(path: string): Promise<fleets.Answer> {
    for (let call = 0; call < MAX_CALLS; call++) {
        const answer = await fleet.call(path, {
            headers: { ...PROMPT, "Prefix-Hash": `${call}:1460`, "Deadline-Ms": String(DEADLINE_MS) },
            signal: AbortSignal.timeout(CALLER_WAIT_MS),
        });
        if (endless.arrivals > 0) {
            return answer;
        }
    }
    throw new Error("no call has reached the faulty engine");
}

vitest.afterEach(() => {
    fleet.dispose();
    endless.dispose();
});

vitest.describe("a stream of an instance that sends without end", { timeout: 60_000 }, () => {
    // Guards against streams that hang at an instance, and calls beside them that wait, since it sends nothing new.
    vitest.it.each([
        { name: "comments", unit: ": alive\n\n", prefix: /^(?:: alive\n\n)*/ },
        { name: "blank lines", unit: "\n", prefix: /^\n*/ },
        { name: "blank lines of two bytes", unit: "\r\n", prefix: /^(?:\r\n)*/ },
    ])("$name goes on elsewhere", async ({ unit, prefix }) => {
        await startFleet(unit);
        const answer = await callFaulty("/notes/1");
        vitest.expect(answer).toMatchObject({ status: 200, isComplete: true });
        vitest.expect(answer.body.replace(prefix, "")).toBe(STREAM_BODY);
        await fleet.waitUntil(() => endless.openConnections === 0);
    });

    vitest.it("the same event goes on elsewhere after that event", async () => {
        await startFleet("id: 1\ndata: x\n\n");
        const answer = await callFaulty("/notes/1");
        vitest.expect(answer).toMatchObject({ status: 200, isComplete: true });
        vitest.expect(answer.body).toMatch(/^id: 1\ndata: x\n\nid: 2\n/);
        vitest.expect(answer.body.match(/^id: /gm)).toHaveLength(6);
        await fleet.waitUntil(() => endless.openConnections === 0);
    });

    vitest.it.each([
        { name: "nothing new", unit: ": alive\n\n" },
        { name: "events without ids, until the deadline", unit: "data: x\n\n" },
    ])("$name is broken off where it can't be resumed", async ({ unit }) => {
        await startFleet(unit);
        const answer = await callFaulty("/once/1");
        vitest.expect(answer).toMatchObject({ status: 200, isComplete: false });
        await fleet.waitUntil(() => endless.openConnections === 0);
    });
});
