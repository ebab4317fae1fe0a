import * as http from "node:http";
import * as net from "node:net";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as listeners from "../../connection/Listener";
import * as idleConnections from "./IdleConnections";

const REQUEST = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";
/** More than the operating system buffers of a connection. */
const LARGE_BYTES = 15_000_000;

vitest.describe("a connection", () => {
    vitest.it.each([
        { name: "that waits for its next request is closed", sent: [REQUEST], answerBytes: 1, isClosed: true },
        {
            name: "whose next request has arrived in part stays open",
            sent: [REQUEST, REQUEST.slice(0, 9)],
            answerBytes: 1,
            isClosed: false,
        },
        {
            name: "whose ended answer is not sent completely stays open",
            sent: [REQUEST],
            answerBytes: LARGE_BYTES,
            isClosed: false,
        },
        { name: "without a request so far stays open", sent: [], answerBytes: 1, isClosed: false },
    ])("$name", async ({ sent, answerBytes, isClosed }) => {
        const server = http.createServer((_, response) => response.end(Buffer.alloc(answerBytes)));
        const idle = new idleConnections.IdleConnections(server);
        const listener = await listeners.listen(server, "127.0.0.1:0");
        const [host, port] = listener.address.split(":");
        const socket = net.connect(Number(port), host);
        socket.once("data", () => socket.pause());
        for (const part of sent) {
            socket.write(part);
            await clocks.sleep(clocks.systemClock, 100);
        }
        const closed = new Promise(resolve => socket.once("close", () => resolve(true)));
        idle.close();
        socket.on("data", () => undefined);
        const waited = clocks.sleep(clocks.systemClock, 200).then(() => false);
        vitest.expect(await Promise.race([closed, waited])).toBe(isClosed);
        socket.destroy();
        listener.dispose();
    });
});
