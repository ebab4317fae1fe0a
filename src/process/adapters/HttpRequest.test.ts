import * as net from "node:net";
import * as vitest from "vitest";
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
