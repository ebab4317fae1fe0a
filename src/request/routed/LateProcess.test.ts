import * as net from "node:net";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as upstreamConnections from "../../connection/UpstreamConnections";
import * as chunks from "./ChunkReader";
import * as exchanges from "./UpstreamExchange";

const LIMIT_MS = 400;
const HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const CHUNK = "5\r\nevent\r\n";

/** Keeps the event loop busy, by default for longer than the limit. */
function beLate(forMs = 2 * LIMIT_MS): void {
    const untilMs = clocks.systemClock.now() + forMs;
    while (clocks.systemClock.now() < untilMs) {
        // The process does nothing else.
    }
}

/** Starts an upstream that answers in two parts; the process is late right after the part with the number `lateAt`. */
async function startUpstream(lateAt: number): Promise<net.Server> {
    const server = net.createServer(socket => {
        socket.setNoDelay(true);
        socket.on("error", () => undefined);
        const send = (part: string, number: number): void => {
            socket.write(part);
            if (number === lateAt) {
                beLate();
            }
        };
        socket.once("data", () => {
            send(HEAD, 1);
            setTimeout(() => setImmediate(() => send(CHUNK, 2)), LIMIT_MS / 2);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return server;
}

/** Milliseconds for which a connection may be opened, and some more. */
const CONNECT_PAUSE_MS = 600;

vitest.describe("an instance isn't taken for unreachable while this process is late", () => {
    // Guards against calls that are rejected after a pause, though their connection was established meanwhile.
    vitest.it("in opening the connection", async () => {
        const { systemClock } = clocks;
        const server = await startUpstream(0);
        const pool = new upstreamConnections.UpstreamConnections();
        const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
        const opening = exchanges.openExchange(pool, systemClock, {
            address,
            method: "GET",
            path: "/",
            headers: ["Host", address],
            body: undefined,
            isNewConnection: true,
            answerTimeoutMs: 5 * CONNECT_PAUSE_MS,
        });
        await new Promise(resolve => process.nextTick(resolve));
        beLate(CONNECT_PAUSE_MS);
        vitest.expect((await opening).kind).toBe("answer");
        pool.destroy();
        server.close();
    });
});

vitest.describe("an instance isn't taken for silent while this process is late", () => {
    // Guards against calls that a process gives up after a pause of its own, with their answers unread.
    vitest.it.each([
        { name: "before its answer", lateAt: 1 },
        { name: "between events", lateAt: 2 },
    ])("$name", async ({ lateAt }) => {
        const { systemClock } = clocks;
        const server = await startUpstream(lateAt);
        const pool = new upstreamConnections.UpstreamConnections();
        const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
        const opened = await exchanges.openExchange(pool, systemClock, {
            address,
            method: "GET",
            path: "/",
            headers: ["Host", address],
            body: undefined,
            isNewConnection: true,
            answerTimeoutMs: LIMIT_MS,
        });
        vitest.expect(opened.kind).toBe("answer");
        const { body } = opened as exchanges.OpenAnswer;
        const askedAtMs = systemClock.now();
        const waitMs = (): number => askedAtMs + LIMIT_MS - systemClock.now();
        vitest.expect(String(await chunks.readChunk(body, systemClock, waitMs))).toBe("event");
        pool.destroy();
        server.close();
    });
});
