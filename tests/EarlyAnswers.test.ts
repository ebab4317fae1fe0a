import * as net from "node:net";
import * as vitest from "vitest";
import * as clocks from "../src/common/Clock";
import * as fleets from "../standins/platform/RoutedFleet";

/** More than the operating system buffers of a connection. */
const BODY_BYTES = 8_000_000;

let fleet: fleets.RoutedFleet;

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start([{ id: "desk-1", service: "desk", failureDomain: "zone-a", serviceMs: 1_000 }]);
    await fleet.addEntry();
    await fleet.addEntry();
    await fleet.waitUntil(async () => await fleet.readyStatus() === 200);
    await fleet.waitUntil(async () => JSON.stringify(await fleet.status(0)).includes("\"connected\":true"));
    await fleet.waitUntil(async () => (await fleet.call("/look/ready")).status === 200);
});

vitest.afterEach(() => fleet.dispose());

async function connect(): Promise<net.Socket> {
    const [host, port] = fleet.entries[0]!.callerAddress.split(":");
    const socket = net.connect(Number(port), host);
    await new Promise(resolve => socket.once("connect", resolve));
    return socket;
}

/** Sends a request with a large body, reads nothing until all of it is written, and returns the status line. */
async function writeThenRead(socket: net.Socket, path: string, key: string, framing: string): Promise<string> {
    socket.pause();
    const failed = new Promise<string>(resolve => socket.once("error", error => resolve(error.message)));
    const headers = ["Host: desk.example", "Attempt-Id: early", `Authorization: Token ${key}`, framing];
    const body = framing.startsWith("Transfer-Encoding")
        ? `${BODY_BYTES.toString(16)}\r\n${"x".repeat(BODY_BYTES)}\r\n0\r\n\r\n`
        : "x".repeat(BODY_BYTES);
    const written = new Promise<string>(resolve => {
        socket.write(`POST ${path} HTTP/1.1\r\n${headers.join("\r\n")}\r\n\r\n${body}`, () => resolve(""));
    });
    const problem = await Promise.race([written, failed]);
    if (problem !== "") {
        return problem;
    }
    const received = new Promise<string>(resolve => socket.once("data", chunk => resolve(chunk.toString())));
    socket.resume();
    const answer = await Promise.race([received, failed]);
    socket.destroy();
    return answer.split("\r\n")[0]!;
}

const WITH_LENGTH = `Content-Length: ${BODY_BYTES}`;

// Guards against connections that are closed with unread bytes: they are reset, and the answer is lost.
vitest.describe("an answer that precedes the end of its request reaches a caller that writes all of it first", () => {
    vitest.it.each([
        { name: "for an unknown route", path: "/none/", status: 404 },
        { name: "for an unknown key", path: "/look/", key: "wrong", status: 401 },
        { name: "for a body that is too large", path: "/look/", status: 413 },
        { name: "for chunks that are too large", path: "/look/", framing: "Transfer-Encoding: chunked", status: 413 },
    ])("$name", async ({ path, key = fleets.TEAM_KEY, framing = WITH_LENGTH, status }) => {
        vitest.expect(await writeThenRead(await connect(), path, key, framing)).toContain(`HTTP/1.1 ${status} `);
    });

    vitest.it("while its process stops", async () => {
        const socket = await connect();
        const stopped = fleet.entries[0]!.stop();
        await clocks.sleep(clocks.systemClock, 1_800);
        const last = fleet.call("/look/last");
        await clocks.sleep(clocks.systemClock, 600);
        vitest.expect(await writeThenRead(socket, "/look/", fleets.TEAM_KEY, WITH_LENGTH)).toContain("HTTP/1.1 503 ");
        vitest.expect((await last).status).toBe(200);
        vitest.expect(await stopped).toBe(0);
    });
});
