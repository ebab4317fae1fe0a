import * as net from "node:net";
import * as workers from "node:worker_threads";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as upstreamConnections from "../../connection/UpstreamConnections";
import * as exchanges from "./UpstreamExchange";

const STATUS_LINE = "HTTP/1.1 200 OK\r\n";

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

function request(address: string, isNewConnection = false): exchanges.ExchangeRequest {
    return {
        address,
        method: "GET",
        path: "/",
        headers: ["Host", address],
        body: undefined,
        isNewConnection,
        answerTimeoutMs: 300,
    };
}

const bodies: readonly {
    readonly name: string;
    readonly answer: string;
    readonly close: "fin" | "reset" | "open";
    readonly method?: string;
    readonly body: string | undefined;
}[] = [
    { name: "with a length", answer: `${STATUS_LINE}Content-Length: 2\r\n\r\nok`, close: "open", body: "ok" },
    {
        name: "with a length, truncated",
        answer: `${STATUS_LINE}Content-Length: 9\r\n\r\nok`,
        close: "fin",
        body: undefined,
    },
    {
        name: "chunked",
        answer: `${STATUS_LINE}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`,
        close: "open",
        body: "ok",
    },
    {
        name: "chunked, truncated",
        answer: `${STATUS_LINE}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n`,
        close: "fin",
        body: undefined,
    },
    { name: "of a status without one", answer: "HTTP/1.1 204 No Content\r\n\r\n", close: "open", body: "" },
    { name: "of a HEAD request", answer: `${STATUS_LINE}\r\n`, close: "open", method: "HEAD", body: "" },
    { name: "close-delimited, closed with a FIN", answer: `${STATUS_LINE}\r\nok`, close: "fin", body: "ok" },
    { name: "close-delimited, reset", answer: `${STATUS_LINE}\r\nok`, close: "reset", body: undefined },
];

vitest.describe("an answer body is read only if complete", () => {
    vitest.it.each(bodies)("$name", async ({ answer, close, method, body }) => {
        const served = await serve(socket => {
            socket.write(answer);
            if (close === "fin") {
                socket.end();
            }
            if (close === "reset") {
                setTimeout(() => socket.resetAndDestroy(), 30);
            }
        });
        const pool = new upstreamConnections.UpstreamConnections();
        const signal = new AbortController().signal;
        const sent = { ...request(served.address), method: method ?? "GET" };
        const opened = await exchanges.openExchange(pool, clocks.systemClock, sent, signal);
        vitest.expect(opened.kind).toBe("answer");
        const read = await exchanges.readBody(opened as exchanges.OpenAnswer, 1_000);
        vitest.expect(read?.toString()).toBe(body);
        pool.destroy();
        served.server.close();
    });
});

const failures: readonly {
    readonly name: string;
    readonly script: (socket: net.Socket) => void;
    readonly reason: exchanges.FailedExchange["reason"];
}[] = [
    { name: "no answer", script: () => undefined, reason: "timeout" },
    { name: "connection reset", script: socket => socket.resetAndDestroy(), reason: "reset" },
    { name: "connection closed", script: socket => socket.end(), reason: "reset" },
    { name: "malformed answer", script: socket => socket.end("\x00\x01garbage"), reason: "malformed" },
    {
        name: "a status that doesn't exist",
        script: socket => socket.end("HTTP/1.1 099 Odd\r\n\r\n"),
        reason: "malformed",
    },
    { name: "an interim answer only", script: socket => socket.end("HTTP/1.1 101 Odd\r\n\r\n"), reason: "malformed" },
];

vitest.describe("a failed exchange", () => {
    vitest.it.each(failures)("counts as dispatched after: $name", async ({ script, reason }) => {
        const served = await serve(script);
        const pool = new upstreamConnections.UpstreamConnections();
        const signal = new AbortController().signal;
        const outcome = await exchanges.openExchange(pool, clocks.systemClock, request(served.address, true), signal);
        vitest.expect(outcome).toMatchObject({ kind: "failed", isDispatched: true, reason });
        pool.destroy();
        served.server.close();
    });

    vitest.it("does not count as dispatched if the connection failed", async () => {
        const served = await serve(() => undefined);
        await new Promise(resolve => served.server.close(resolve));
        const pool = new upstreamConnections.UpstreamConnections();
        const signal = new AbortController().signal;
        const outcome = await exchanges.openExchange(pool, clocks.systemClock, request(served.address), signal);
        vitest.expect(outcome).toMatchObject({ kind: "failed", isDispatched: false, reason: "connect" });
    });
});

vitest.describe("a request that can't be made", () => {
    // Guards against an exception that nobody handles, which ends the process with all its requests.
    vitest.it.each([
        { name: "to a port that doesn't exist", change: { address: "127.0.0.1:70000" } },
        { name: "with a header that can't be sent", change: { headers: ["Inputs", "10.0.0.1:80/\n"] } },
    ])("$name fails as not dispatched", async ({ change }) => {
        const pool = new upstreamConnections.UpstreamConnections();
        const sent = { ...request("127.0.0.1:9"), ...change };
        const outcome = await exchanges.openExchange(pool, clocks.systemClock, sent);
        vitest.expect(outcome).toMatchObject({ kind: "failed", isDispatched: false, reason: "invalid" });
        pool.destroy();
    });
});

vitest.describe("a keep-alive connection", () => {
    vitest.it.each([
        { name: "is reused after a complete answer", extra: "", connections: 1 },
        {
            name: "is closed if bytes follow the answer",
            extra: `${STATUS_LINE}Content-Length: 5\r\n\r\nother`,
            connections: 2,
        },
    ])("$name", async ({ extra, connections }) => {
        const sockets: net.Socket[] = [];
        const served = await serve((socket, count) => {
            sockets.push(socket);
            socket.write(`${STATUS_LINE}Content-Length: 1\r\n\r\n${count}`);
        });
        const pool = new upstreamConnections.UpstreamConnections();
        const signal = new AbortController().signal;
        for (const expected of ["1", "2"]) {
            const opened = await exchanges.openExchange(pool, clocks.systemClock, request(served.address), signal);
            const read = await exchanges.readBody(opened as exchanges.OpenAnswer, 1_000);
            vitest.expect(read?.toString()).toBe(expected);
            // The connection is back in the pool.
            await new Promise<void>(resolve => clocks.systemClock.afterReads(resolve));
            if (extra !== "" && expected === "1") {
                const isClosed = new Promise(resolve => sockets[0]!.once("close", resolve));
                sockets[0]!.write(extra);
                await isClosed;
            }
        }
        vitest.expect(served.connections).toBe(connections);
        pool.destroy();
        served.server.close();
    });
});

vitest.describe("a request to an instance that begins to hold off while the connection is opened", () => {
    vitest.it.each([{ connection: "a new", warmUp: 0 }, { connection: "a reused", warmUp: 1 }])(
        "isn't sent on $connection connection",
        async ({ warmUp }) => {
            const requests: number[] = [];
            const served = await serve((socket, count) => {
                requests.push(count);
                socket.write(`${STATUS_LINE}Content-Length: 2\r\n\r\nok`);
            });
            const connections = new upstreamConnections.UpstreamConnections();
            for (let count = 0; count < warmUp; count++) {
                const answer = await exchanges.openExchange(connections, clocks.systemClock, request(served.address));
                await exchanges.readBody(answer as exchanges.OpenAnswer, 10);
            }
            let isHeld = false;
            const pending = exchanges.openExchange(connections, clocks.systemClock, {
                ...request(served.address),
                isHeld: () => isHeld,
            });
            isHeld = true;
            const expected = { kind: "failed", isDispatched: false, isStaleConnection: false, reason: "held" };
            vitest.expect(await pending).toEqual(expected);
            await clocks.sleep(clocks.systemClock, 50);
            vitest.expect(requests).toHaveLength(warmUp);
            connections.destroy();
            served.server.close();
        },
    );
});

/** Source of a thread with a TCP server that answers each request after 50 ms, and reports its port. */
const SERVER_THREAD = `
    const net = require("node:net");
    const server = net.createServer(socket => socket.on("error", () => {}).on("data", () => setTimeout(
        () => socket.write("HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n"), 50)));
    server.listen(0, "127.0.0.1", () => require("node:worker_threads").parentPort.postMessage(server.address().port));
`;

vitest.describe("a process that was late", () => {
    // Guards against calls that were given up for the silence of an instance whose answer, or whose acceptance of the
    // connection, was only unread.
    vitest.it.each([
        { name: "reads an answer that arrived in time", lateAfterMs: 30, answerTimeoutMs: 300 },
        { name: "reads that it's connected", lateAfterMs: 0, answerTimeoutMs: 2_000 },
    ])("$name", async ({ lateAfterMs, answerTimeoutMs }) => {
        const thread = new workers.Worker(SERVER_THREAD, { eval: true });
        const port = await new Promise<number>(resolve => thread.once("message", resolve));
        const pool = new upstreamConnections.UpstreamConnections();
        await new Promise(resolve => setImmediate(resolve)); // Timers run before the next read.
        const opening = exchanges.openExchange(pool, clocks.systemClock, {
            ...request(`127.0.0.1:${port}`),
            answerTimeoutMs,
        });
        await new Promise<void>(resolve => process.nextTick(resolve)); // The client begins to connect.
        if (lateAfterMs > 0) {
            await clocks.sleep(clocks.systemClock, lateAfterMs);
            await new Promise(resolve => setImmediate(resolve)); // Timers run before the next read.
        }
        const untilMs = clocks.systemClock.now() + 600;
        while (clocks.systemClock.now() < untilMs) {
            // Keeps the event loop busy.
        }
        vitest.expect((await opening).kind).toBe("answer");
        pool.destroy();
        await thread.terminate();
    });
});
