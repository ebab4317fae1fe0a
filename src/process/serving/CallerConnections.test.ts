import * as http from "node:http";
import * as net from "node:net";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as logs from "../../common/Log";
import * as listeners from "../../connection/Listener";
import * as callerConnections from "./CallerConnections";
import * as idleConnections from "./IdleConnections";

const MAX_CONNECTIONS = 10;

vitest.describe(`of at most ${MAX_CONNECTIONS} connections`, () => {
    vitest.it.each([
        { name: "idle ones make room for new ones", path: "/", opened: 30, answers: 30, closed: "idle" },
        {
            name: "new ones are closed while all have a request",
            path: "/silent",
            opened: 12,
            answers: 0,
            closed: "new",
        },
    ])("$name", async ({ path, opened, answers, closed }) => {
        const lines: Record<string, unknown>[] = [];
        const server = http.createServer((request, response) => {
            if (request.url === "/") {
                response.end("ok");
            }
        });
        const connections = new callerConnections.CallerConnections({
            clock: clocks.systemClock,
            log: logs.createLog("entry-1", "info", line => lines.push(JSON.parse(line) as Record<string, unknown>)),
            server,
            idle: new idleConnections.IdleConnections(server),
            maxConnections: MAX_CONNECTIONS,
        });
        const listener = await listeners.listen(server, "127.0.0.1:0");
        const [host, port] = listener.address.split(":");
        let answered = 0;
        let most = 0;
        const sockets: net.Socket[] = [];
        for (let index = 0; index < opened; index++) {
            const socket = net.connect(Number(port), host);
            sockets.push(socket);
            socket.on("error", () => undefined);
            const settled = new Promise<void>(resolve => {
                socket.once("data", () => {
                    answered++;
                    resolve();
                });
                socket.once("close", resolve);
                server.once("request", () => path === "/silent" && resolve());
            });
            socket.write(`GET ${path} HTTP/1.1\r\nHost: a.example\r\n\r\n`);
            await settled;
            most = Math.max(most, connections.count);
        }
        vitest.expect(answered).toBe(answers);
        vitest.expect(most).toBeLessThanOrEqual(MAX_CONNECTIONS);
        vitest.expect(connections.closedForRoom).toBeGreaterThanOrEqual(opened - MAX_CONNECTIONS);
        vitest.expect(new Set(lines.map(line => line["closed"]))).toEqual(new Set([closed]));
        sockets.forEach(socket => socket.destroy());
        listener.dispose();
    });
});
