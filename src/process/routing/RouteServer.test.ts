import * as net from "node:net";
import * as pino from "pino";
import * as result from "true-myth/result";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as routing from "../../common/Routing";
import * as tables from "../../version/RouteTable";
import * as pauseMonitors from "../membership/PauseMonitor";
import * as metrics from "./RouteMetrics";
import * as servers from "./RouteServer";

const route: routing.Route = {
    name: "look",
    host: "a.example",
    prefix: "/",
    kind: "idempotent",
    timeoutMs: 2_000,
    goalMs: 300,
    priority: 0,
    targets: [{ service: "desk", weight: 1 }],
    attempts: 1,
    isResumable: false,
    isPublic: true,
    stages: [],
};
const table = new tables.RouteTable({
    version: 1,
    routes: [route],
    services: [{ name: "desk", coldMs: 0, coldPerSecond: 0 }],
    teams: undefined,
    limits: { headerBytes: 10_000, bodyBytes: 10_000, headerTimeoutMs: 3_000, idleTimeoutMs: 3_000 },
});
const PAUSE_THRESHOLD_MS = 200;
const ANSWER_TIMEOUT_MS = 3_000;
const REQUEST = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";

/** Starts a server whose calls find no instance; `choose` is called when a call would be sent. */
async function startServer(
    remainingMs: number,
    choose: () => undefined,
): Promise<clocks.Disposable & { readonly address: string; readonly server: servers.RouteServer }> {
    const metadata = { attempt: "1", remainingMs, promptParts: [], promptTokens: 0, outputTokens: 0, pieces: [] };
    const log = pino.pino({ level: "silent" });
    const pauses = new pauseMonitors.PauseMonitor({ clock: clocks.systemClock, thresholdMs: PAUSE_THRESHOLD_MS });
    const context = {
        clock: clocks.systemClock,
        log,
        random: () => 0,
        metrics: new metrics.RouteMetrics(),
        table: () => table,
        isClosing: () => false,
        pauses,
        stopDeadlineMs: () => undefined,
        run: {
            clock: clocks.systemClock,
            log,
            pool: { choose, holds: { callerRetryAfterMs: () => undefined } },
            wire: { readCall: () => result.ok(metadata), readAttempt: () => "1", errorHeaders: () => [] },
        },
    };
    const server = new servers.RouteServer(context as unknown as servers.RouteServerContext);
    await server.listen("127.0.0.1:0");
    return {
        address: server.address,
        server,
        dispose: () => {
            server.dispose();
            pauses.dispose();
        },
    };
}

/** Connects, sends a request and lets the process do nothing else for `pauseMs`; the caller may leave meanwhile. */
async function requestInPause(address: string, pauseMs: number, isLeaving: boolean): Promise<void> {
    const [host, port] = address.split(":");
    const socket = net.connect(Number(port), host);
    await new Promise(resolve => socket.once("connect", resolve));
    await clocks.sleep(clocks.systemClock, 100);
    socket.write(REQUEST);
    if (isLeaving) {
        socket.destroy();
    }
    const untilMs = clocks.systemClock.now() + pauseMs;
    while (clocks.systemClock.now() < untilMs) {
        // Keeps the event loop busy.
    }
    await clocks.sleep(clocks.systemClock, 150);
    socket.destroy();
}

/** Sends a request and returns the first line of its answer; empty if the connection ends without one. */
async function requestStatusLine(address: string): Promise<string> {
    const [host, port] = address.split(":");
    const socket = net.connect(Number(port), host);
    socket.write(REQUEST);
    const received = await new Promise<string>(resolve => {
        socket.once("data", chunk => resolve(chunk.toString()));
        socket.once("close", () => resolve(""));
    });
    socket.destroy();
    return received.split("\r\n")[0]!;
}

vitest.describe("a request that arrived while the process was late", () => {
    const disposables = new emitters.DisposableStore();
    vitest.afterEach(() => disposables.dispose());

    vitest.it.each([
        { name: "is sent", pauseMs: 500, remainingMs: 2_000, isLeaving: false, sends: 1 },
        { name: "isn't sent when its caller has left", pauseMs: 500, remainingMs: 2_000, isLeaving: true, sends: 0 },
        { name: "isn't sent after its deadline", pauseMs: 500, remainingMs: 400, isLeaving: false, sends: 0 },
    ])("$name", async ({ pauseMs, remainingMs, isLeaving, sends }) => {
        const choose = vitest.vi.fn(() => undefined);
        const server = disposables.add(await startServer(remainingMs, choose));
        await requestInPause(server.address, pauseMs, isLeaving);
        vitest.expect(choose).toHaveBeenCalledTimes(sends);
    });
});

vitest.describe("a request whose run fails with an exception", () => {
    // Guards against a request without any answer, and a process that ends with all its requests.
    vitest.it("is answered, and the process goes on", async () => {
        const choose = vitest.vi.fn((): undefined => {
            throw new Error("a defect");
        });
        const server = await startServer(2_000, choose);
        for (let count = 0; count < 2; count++) {
            vitest.expect(await requestStatusLine(server.address)).toBe("HTTP/1.1 500 Internal Server Error");
        }
        server.dispose();
    });
});

vitest.describe("a request that is still read when the time of a planned stop is over", () => {
    // Guards against requests whose connection ended without an answer.
    vitest.it.each([
        { name: "is rejected as not run", rest: "" },
        { name: "isn't sent when the rest of it arrives", rest: "67890" },
    ])("$name", async ({ rest }) => {
        const choose = vitest.vi.fn(() => undefined);
        const { address, dispose, server } = await startServer(2_000, choose);
        const [host, port] = address.split(":");
        const socket = net.connect(Number(port), host);
        let received = "";
        socket.on("data", chunk => received += chunk.toString());
        socket.on("error", () => undefined);
        socket.write("POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 10\r\n\r\n12345");
        await vitest.vi.waitUntil(() => server.active === 1);
        server.failUnansweredRequests();
        socket.write(rest);
        await vitest.vi.waitUntil(() => received !== "", { timeout: ANSWER_TIMEOUT_MS });
        vitest.expect(received).toMatch(/^HTTP\/1.1 503 Service Unavailable\r\n(.+\r\n)*Connection: close\r\n/);
        vitest.expect(choose).not.toHaveBeenCalled();
        socket.destroy();
        dispose();
    });
});
