/**
 * Guards against an answer that is broken off in its head, and counts as complete with an empty or short body.
 */
import * as net from "node:net";
import * as vitest from "vitest";
import * as clocks from "../common/Clock";
import * as upstreamConnections from "./UpstreamConnections";
import * as exchanges from "./UpstreamExchange";

const STATUS_LINES = "HTTP/1.1 200 OK\r\nX-Attempt: a-1\r\nX-Signature: 3e1b.07\r\n";
const BODY = "whole answer";
const FIRST_ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
const heads = [
    { name: "with a length", head: `${STATUS_LINES}Content-Length: ${BODY.length}\r\n\r\n` },
    { name: "in chunks", head: `${STATUS_LINES}Transfer-Encoding: chunked\r\n\r\n` },
    { name: "that ends with its connection", head: `${STATUS_LINES}Connection: close\r\n\r\n` },
    { name: "without any framing", head: `${STATUS_LINES}\r\n` },
];
const ends = [
    { end: "a FIN", close: (socket: net.Socket) => void socket.end() },
    { end: "a reset", close: (socket: net.Socket) => void socket.resetAndDestroy() },
];

vitest.describe.each(heads)("an answer $name that is broken off in its head", ({ head }) => {
    vitest.describe.each(ends)("with $end", ({ close }) => {
        vitest.it.each([
            { connection: "a new connection", isReused: false },
            { connection: "a kept one", isReused: true },
        ])("is no answer at any position, on $connection", async ({ isReused }) => {
            let bytes = 0;
            const server = net.createServer(socket => {
                let requests = 0;
                socket.on("error", () => undefined);
                socket.on("data", () => {
                    requests++;
                    if (isReused && requests === 1) {
                        socket.write(FIRST_ANSWER);
                        return;
                    }
                    socket.write(head.slice(0, bytes), () => close(socket));
                });
            });
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
            for (bytes = 0; bytes < head.length; bytes++) {
                const connections = new upstreamConnections.UpstreamConnections();
                if (isReused) {
                    const first = await send(connections, address, false);
                    vitest.expect(await exchanges.readBody(first as exchanges.OpenAnswer, 100)).toHaveLength(5);
                    await clocks.sleep(clocks.systemClock, 1);
                }
                const outcome = await send(connections, address, !isReused);
                vitest.expect({ bytes, kind: outcome.kind }).toEqual({ bytes, kind: "failed" });
                vitest.expect(outcome).toMatchObject({ isDispatched: true });
                connections.destroy();
            }
            server.close();
        });
    });
});

function send(
    connections: upstreamConnections.UpstreamConnections,
    address: string,
    isNewConnection: boolean,
): Promise<exchanges.OpenAnswer | exchanges.FailedExchange> {
    return exchanges.openExchange(connections, clocks.systemClock, {
        address,
        method: "GET",
        path: "/",
        headers: ["Host", address],
        body: undefined,
        isNewConnection,
        answerTimeoutMs: 2_000,
    });
}
