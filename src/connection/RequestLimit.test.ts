import * as events from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import * as vitest from "vitest";
import * as requestLimits from "./RequestLimit";

const MAX_REQUESTS = 8;

/** A server that holds its answers back until told to give them. */
class HoldingServer {
    readonly server = http.createServer((request, response) => {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.on("end", () => this.bodies.push(Buffer.concat(chunks).toString("latin1")));
        this.received.push(request.url ?? "");
        this.responses.push(response);
        this.mostOpen = Math.max(this.mostOpen, this.responses.length);
        if (this.isAnswering) {
            this.answer();
        }
    });
    readonly received: string[] = [];
    readonly bodies: string[] = [];
    private readonly responses: http.ServerResponse[] = [];
    isAnswering = false;
    mostOpen = 0;

    async connect(): Promise<net.Socket> {
        requestLimits.limitRequests(this.server, "caller", MAX_REQUESTS);
        this.server.listen(0, "127.0.0.1");
        await events.EventEmitter.once(this.server, "listening");
        const socket = net.connect((this.server.address() as net.AddressInfo).port, "127.0.0.1");
        socket.on("error", () => undefined);
        await events.EventEmitter.once(socket, "connect");
        return socket;
    }

    answer(): void {
        this.isAnswering = true;
        this.responses.splice(0).forEach(response => response.end(`${response.req.url};`));
    }

    close(): void {
        this.server.closeAllConnections();
        this.server.close();
    }
}

function createPost(number: number, body: string): string {
    return `POST /${number} HTTP/1.1\r\nhost: test\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

const inChunks = (number: number, chunks: readonly string[]): string =>
    `POST /${number} HTTP/1.1\r\nhost: test\r\ntransfer-encoding: chunked\r\n\r\n`
    + chunks.map(chunk => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join("") + "0\r\n\r\n";

const shapes = [
    { name: "without a body", create: (i: number) => `GET /${i} HTTP/1.1\r\nhost: test\r\n\r\n`, body: "" },
    {
        name: "that end with another blank line",
        create: (i: number) => `GET /${i} HTTP/1.1\r\nhost: t\r\n\n`,
        body: "",
    },
    { name: "with one byte", create: (i: number) => createPost(i, "a"), body: "a" },
    { name: "with one chunk", create: (i: number) => inChunks(i, ["a"]), body: "a" },
    { name: "with blank lines", create: (i: number) => createPost(i, "\r\n\r\n\r\n\r\n"), body: "\r\n\r\n\r\n\r\n" },
];

/** Whether this build of Node.js takes a request for one; the blank line after a head may have to end like the others. */
async function isParsed(request: string): Promise<boolean> {
    const server = http.createServer((_, response) => response.end());
    server.listen(0, "127.0.0.1");
    await events.EventEmitter.once(server, "listening");
    const socket = net.connect((server.address() as net.AddressInfo).port, "127.0.0.1");
    socket.write(request);
    const [answer] = await events.EventEmitter.once(socket, "data") as [Buffer];
    socket.destroy();
    server.close();
    return answer.toString().startsWith("HTTP/1.1 200 ");
}

vitest.describe.each(shapes)("pipelined requests $name", ({ create, body }) => {
    vitest.it.each([
        { writes: "in one write", perWrite: 3_000 },
        { writes: "in writes of ten", perWrite: 10 },
    ])("that come $writes wait unread beyond the limit, and are all answered in order", async ({ perWrite }) => {
        const count = 3_000;
        const holding = new HoldingServer();
        const socket = await holding.connect();
        let answers = "";
        socket.on("data", (chunk: Buffer) => answers += chunk.toString("latin1"));
        for (let first = 0; first < count; first += perWrite) {
            socket.write(Array.from({ length: perWrite }, (_, i) => create(first + i)).join(""));
        }
        await new Promise(resolve => setTimeout(resolve, 100));
        if (!await isParsed(create(0))) {
            await vitest.vi.waitUntil(() => socket.closed, { timeout: 10_000 });
            vitest.expect({ received: holding.received, answers }).toEqual({
                received: [],
                answers: vitest.expect.stringMatching(/^HTTP\/1\.1 400 Bad Request\r\n/),
            });
            holding.close();
            return;
        }
        vitest.expect(holding.mostOpen).toBeGreaterThanOrEqual(MAX_REQUESTS);
        vitest.expect(holding.mostOpen).toBeLessThanOrEqual(MAX_REQUESTS);
        holding.answer();
        await vitest.vi.waitUntil(() => answers.includes(`/${count - 1};`), { timeout: 10_000 });
        const names = Array.from({ length: count }, (_, i) => `/${i}`);
        vitest.expect(holding.received).toEqual(names);
        vitest.expect([...answers.matchAll(/\/\d+;/g)].map(([name]) => name)).toEqual(names.map(name => `${name};`));
        vitest.expect(holding.bodies).toHaveLength(count);
        vitest.expect(new Set(holding.bodies)).toEqual(new Set([body]));
        holding.close();
    });
});

vitest.describe("requests after a body", () => {
    vitest.it.each([
        { name: "of a stated length", first: createPost(0, "a".repeat(1_000_000)) },
        { name: "in chunks", first: inChunks(0, Array.from({ length: 20 }, () => "a".repeat(50_000))) },
    ])("$name wait unread beyond the limit", async ({ first }) => {
        const holding = new HoldingServer();
        const socket = await holding.connect();
        socket.write(
            first + Array.from({ length: 2_000 }, (_, i) => `GET /${i + 1} HTTP/1.1\r\nhost: a\r\n\r\n`).join(""),
        );
        await vitest.vi.waitUntil(() => holding.mostOpen >= MAX_REQUESTS, { timeout: 10_000 });
        await new Promise(resolve => setTimeout(resolve, 100));
        vitest.expect(holding.bodies[0]).toHaveLength(1_000_000);
        vitest.expect(holding.mostOpen).toBeLessThanOrEqual(MAX_REQUESTS);
        holding.close();
    });
});

// Guards against a turn of the event loop for each blank line of a body.
vitest.it("a body in chunks of blank lines is read in pieces of some size", async () => {
    const holding = new HoldingServer();
    const socket = await holding.connect();
    let pieces = 0;
    holding.server.on("request", (request: http.IncomingMessage) => request.on("data", () => pieces++));
    const blankLines = "\r\n".repeat(25_000);
    socket.write(inChunks(0, Array.from({ length: 8 }, () => blankLines)));
    await vitest.vi.waitUntil(() => holding.bodies.length === 1, { timeout: 10_000 });
    vitest.expect(holding.bodies[0]).toHaveLength(400_000);
    vitest.expect(pieces).toBeLessThan(10_000);
    holding.close();
});

vitest.it("the rest of a body is read while there are as many requests as allowed", async () => {
    const holding = new HoldingServer();
    const socket = await holding.connect();
    const heads = Array.from({ length: MAX_REQUESTS - 1 }, (_, i) => `GET /${i} HTTP/1.1\r\nhost: a\r\n\r\n`).join("");
    const post = createPost(MAX_REQUESTS, "b".repeat(300_000));
    socket.write(heads + post.slice(0, 1_000));
    await vitest.vi.waitUntil(() => holding.mostOpen === MAX_REQUESTS, { timeout: 10_000 });
    socket.write(post.slice(1_000));
    await vitest.vi.waitUntil(() => holding.bodies.length === MAX_REQUESTS, { timeout: 10_000 });
    vitest.expect(holding.bodies.at(-1)).toHaveLength(300_000);
    holding.close();
});
