import * as net from "node:net";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as heapFixtures from "../../common/HeapFixture";
import * as httpRequests from "./HttpRequest";

const HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
/** Both this text and its first two characters are valid JSON. */
const BODY = "12345";

let server: net.Server;

/** Answers each request on a new connection with `bytes`, and ends the connection as `end` says. */
async function serve(bytes: string, end: "fin" | "reset"): Promise<httpRequests.Client> {
    server = net.createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => {
            socket.write(bytes);
            setTimeout(() => end === "fin" ? socket.end() : socket.resetAndDestroy(), 30);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return httpRequests.createClient(`127.0.0.1:${(server.address() as net.AddressInfo).port}`);
}

const MEGABYTE = 1024 * 1024;

vitest.it("a response in chunks of 16 bytes takes little more than its bytes", async () => {
    const chunks = 40_000;
    const unit = `10\r\n${"a".repeat(16)}\r\n`;
    const received = new Promise<net.Socket>(resolve => {
        server = net.createServer(socket => {
            const body = `${HEAD}Transfer-Encoding: chunked\r\n\r\n${unit.repeat(chunks)}`;
            socket.once("data", () => socket.write(body, () => resolve(socket)));
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const client = httpRequests.createClient(`127.0.0.1:${(server.address() as net.AddressInfo).port}`);
    const before = heapFixtures.usedBytes();
    const request = { method: "GET", path: "/", timeoutMs: 5_000 } as const;
    const replying = httpRequests.send(client, request, new AbortController().signal);
    const socket = await received;
    await clocks.sleep(clocks.systemClock, 300);
    const addedBytes = heapFixtures.usedBytes() - before;
    socket.write("0\r\n\r\n");
    const reply = await replying;
    vitest.expect(reply.isOk && reply.value.body.length).toBe(16 * chunks);
    vitest.expect(addedBytes).toBeLessThan(2 * 16 * chunks + 2 * MEGABYTE);
    socket.destroy();
});

/** Answers each request on a new connection with `head`, and `unit` again and again, as fast as it is read. */
async function serveEndless(head: string, unit: string): Promise<httpRequests.Client> {
    server = net.createServer(socket => {
        socket.on("error", () => undefined);
        const pump = (error?: Error | null): void => {
            if (!error && !socket.destroyed) {
                socket.write(unit.repeat(1_000), pump);
            }
        };
        socket.once("data", () => socket.write(head, pump));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return httpRequests.createClient(`127.0.0.1:${(server.address() as net.AddressInfo).port}`);
}

vitest.describe("a response without end", () => {
    const chunked = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;
    // Guards against a store that keeps the event loop busy, or fills the memory, with few bytes.
    vitest.it.each([
        { name: "of heads with a 1xx status", head: "", unit: "HTTP/1.1 103 Early Hints\r\n\r\n" },
        { name: "of heads that ask to continue", head: "", unit: "HTTP/1.1 100 Continue\r\n\r\n" },
        { name: "of chunks of one byte", head: chunked, unit: "1\r\na\r\n" },
    ])("$name fails as malformed", async ({ head, unit }) => {
        const client = await serveEndless(head, unit);
        const request = { method: "GET", path: "/", timeoutMs: 5_000 } as const;
        const reply = await httpRequests.send(client, request, new AbortController().signal);
        vitest.expect(reply.isErr && reply.error.code.name).toBe("malformed-answer");
    });
});

vitest.afterEach(() => server.close());

vitest.describe("a response of an external system", () => {
    // Guards against truncated responses that are taken for complete ones.
    vitest.it.each(
        [
            { name: "with a length", bytes: `${HEAD}Content-Length: 5\r\n\r\n${BODY}`, end: "reset", isComplete: true },
            {
                name: "cut before its length",
                bytes: `${HEAD}Content-Length: 9\r\n\r\n${BODY}`,
                end: "fin",
                isComplete: false,
            },
            { name: "without a length, closed with a FIN", bytes: `${HEAD}\r\n${BODY}`, end: "fin", isComplete: true },
            { name: "without a length, reset", bytes: `${HEAD}\r\n${BODY}`, end: "reset", isComplete: false },
        ] as const,
    )("$name is read as complete: $isComplete", async ({ bytes, end, isComplete }) => {
        const client = await serve(bytes, end);
        const request = { method: "GET", path: "/", timeoutMs: 2_000 } as const;
        const reply = await httpRequests.send(client, request, new AbortController().signal);
        vitest.expect(reply.isOk).toBe(isComplete);
    });
});
