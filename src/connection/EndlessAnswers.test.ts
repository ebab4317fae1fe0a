import * as events from "node:events";
import * as net from "node:net";
import * as vitest from "vitest";
import * as clocks from "../common/Clock";
import * as heapFixtures from "../common/HeapFixture";
import * as upstreamConnections from "./UpstreamConnections";
import * as exchanges from "./UpstreamExchange";

const STATUS_LINE = "HTTP/1.1 200 OK\r\n";
const MEGABYTE = 1024 * 1024;

/** Starts a TCP server on 127.0.0.1 that calls `script` with the number of each request received. */
async function serve(script: (socket: net.Socket, request: number) => void): Promise<{
    readonly address: string;
    readonly server: net.Server;
    connections: number;
}> {
    let requests = 0;
    const server = net.createServer(socket => {
        served.connections++;
        socket.on("error", () => undefined);
        socket.on("data", () => script(socket, ++requests));
    });
    const served = { address: "", server, connections: 0 };
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    served.address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    return served;
}

function request(address: string): exchanges.ExchangeRequest {
    return {
        address,
        method: "GET",
        path: "/",
        headers: ["Host", address],
        body: undefined,
        isNewConnection: false,
        answerTimeoutMs: 300,
    };
}

/** An answer whose body consists of the chunks that the test emits. */
function createAnswer() {
    const calls = { destroy: 0 };
    const body = Object.assign(new events.EventEmitter(), {
        destroyed: false,
        pause: () => undefined,
        resume: () => undefined,
        destroy: () => {
            calls.destroy++;
            body.destroyed = true;
            body.emit("close");
        },
    });
    const answer = { headers: {}, body, end: { isWhole: true, bodyBytes: 0 } };
    return { answer: answer as unknown as exchanges.OpenAnswer, body, calls };
}

vitest.describe("a body in many chunks", () => {
    const chunkCount = 40_000;

    // Guards against an answer of 16 MB that takes more than a gigabyte.
    vitest.it("takes little more than its bytes, which are accounted for", async () => {
        const { answer, body } = createAnswer();
        let gatedBytes = 0;
        const gate = (bytes: number): boolean => {
            gatedBytes += bytes;
            return true;
        };
        const reading = exchanges.readWholeBody(answer, 16 * MEGABYTE, gate);
        const before = heapFixtures.usedBytes();
        for (let count = 0; count < chunkCount; count++) {
            body.emit("data", Buffer.alloc(16, "a"));
        }
        const addedBytes = heapFixtures.usedBytes() - before;
        vitest.expect(addedBytes).toBeLessThan(2 * 16 * chunkCount + MEGABYTE);
        vitest.expect(gatedBytes).toBeGreaterThanOrEqual(16 * chunkCount);
        body.emit("end");
        vitest.expect((await reading).unwrapOr(Buffer.alloc(0))).toHaveLength(16 * chunkCount);
    });

    vitest.it.each([
        { name: "of one byte", bytes: 1, maxBytes: MEGABYTE, fault: "framing", chunks: 17_477 },
        { name: "of 64 KB beyond its limit", bytes: 65_536, maxBytes: MEGABYTE, fault: "too-large", chunks: 17 },
    ])("$name without end is given up as $fault", async ({ bytes, maxBytes, fault, chunks }) => {
        const { answer, body, calls } = createAnswer();
        const reading = exchanges.readWholeBody(answer, maxBytes);
        let count = 0;
        for (; count < chunkCount && calls.destroy === 0; count++) {
            body.emit("data", Buffer.alloc(bytes));
        }
        vitest.expect(await reading).toMatchObject({ variant: "Err", error: fault });
        vitest.expect({ count, destroy: calls.destroy }).toEqual({ count: chunks, destroy: 1 });
    });
});

vitest.describe("a body that isn't used", () => {
    vitest.it.each([
        { name: "of 1 KB", body: "a".repeat(1_000), isEndless: false, connections: 1 },
        { name: "that never ends", body: "a".repeat(1_000), isEndless: true, connections: 2 },
        { name: "that stops", body: "", isEndless: false, connections: 2 },
    ])("$name is read: $connections connections for two requests", async ({ body, isEndless, connections }) => {
        let sentBytes = 0;
        const served = await serve((socket, count) => {
            if (count > 1) {
                socket.write(`${STATUS_LINE}Content-Length: 2\r\n\r\nok`);
                return;
            }
            socket.write(`HTTP/1.1 503 Busy\r\nContent-Length: ${isEndless ? 1e9 : 1_000}\r\n\r\n${body}`);
            const pump = (error?: Error | null): void => {
                if (isEndless && !error && !socket.destroyed) {
                    sentBytes += MEGABYTE;
                    socket.write(Buffer.alloc(MEGABYTE), pump);
                }
            };
            pump();
        });
        const pool = new upstreamConnections.UpstreamConnections();
        const first = await exchanges.openExchange(pool, clocks.systemClock, request(served.address));
        const isClosed = new Promise(resolve => (first as exchanges.OpenAnswer).body.once("close", resolve));
        exchanges.discardBody(first as exchanges.OpenAnswer, clocks.systemClock);
        await isClosed;
        await new Promise<void>(resolve => clocks.systemClock.afterReads(resolve));
        const second = await exchanges.openExchange(pool, clocks.systemClock, request(served.address));
        const read = await exchanges.readBody(second as exchanges.OpenAnswer, 1_000);
        vitest.expect(read?.toString()).toBe("ok");
        vitest.expect(served.connections).toBe(connections);
        vitest.expect(sentBytes).toBeLessThan(32 * MEGABYTE); // The buffers of both sides.
        pool.destroy();
        served.server.close();
    });
});

/** Writes a text again and again, as fast as the other side reads it. */
function repeat(socket: net.Socket, text: string): void {
    const pump = (error?: Error | null): void => {
        if (!error && !socket.destroyed) {
            socket.write(text.repeat(1_000), pump);
        }
    };
    pump();
}

vitest.describe("informational heads", () => {
    vitest.it.each([{ count: 1, kind: "answer" }, { count: 16, kind: "answer" }, { count: 17, kind: "failed" }])(
        "$count before an answer: $kind",
        async ({ count, kind }) => {
            const heads = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(count);
            const answer = `${heads}${STATUS_LINE}Content-Length: 2\r\n\r\nok`;
            const served = await serve(socket => socket.write(answer));
            const pool = new upstreamConnections.UpstreamConnections();
            const outcome = await exchanges.openExchange(pool, clocks.systemClock, request(served.address));
            vitest.expect(outcome).toMatchObject(kind === "failed" ? { kind, fault: "informational" } : { kind });
            pool.destroy();
            served.server.close();
        },
    );

    vitest.it.each([100, 102, 103])("of status %d without end fail at once", async status => {
        const served = await serve(socket => repeat(socket, `HTTP/1.1 ${status} Odd\r\n\r\n`));
        const pool = new upstreamConnections.UpstreamConnections();
        const outcome = await exchanges.openExchange(pool, clocks.systemClock, request(served.address));
        const expected = { kind: "failed", isDispatched: true, reason: "malformed", fault: "informational" };
        vitest.expect(outcome).toMatchObject(expected);
        pool.destroy();
        served.server.close();
    });
});
