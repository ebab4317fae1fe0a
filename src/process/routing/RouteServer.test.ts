import * as net from "node:net";
import * as pino from "pino";
import * as result from "true-myth/result";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as routing from "../../common/Routing";
import * as tables from "../../version/RouteTable";
import * as pauseMonitors from "../membership/PauseMonitor";
import * as metrics from "../metrics/RouteMetrics";
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
const PAUSE_MS = 500;
const ANSWER_TIMEOUT_MS = 3_000;
const REQUEST = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";

/**
 * Starts a server whose calls find no instance; `choose` is called when a call would be sent, `onRead` on arrival.
 * `ended` resolves once the first request has ended.
 */
async function startServer(
    remainingMs: number,
    choose: () => undefined,
    onRead = (): void => undefined,
): Promise<
    clocks.Disposable & {
        readonly address: string;
        readonly server: servers.RouteServer;
        readonly ended: Promise<void>;
    }
> {
    const metadata = { attempt: "1", remainingMs, promptParts: [], promptTokens: 0, outputTokens: 0, pieces: [] };
    const readCall = (): unknown => {
        onRead();
        return result.ok(metadata);
    };
    const routeMetrics = new metrics.RouteMetrics();
    const ended = new Promise<void>(resolve => {
        vitest.vi.spyOn(routeMetrics, "countEnd").mockImplementation(() => resolve());
    });
    const log = pino.pino({ level: "silent" });
    const pauses = new pauseMonitors.PauseMonitor({ clock: clocks.systemClock, thresholdMs: PAUSE_THRESHOLD_MS });
    const context = {
        clock: clocks.systemClock,
        log,
        random: () => 0,
        metrics: routeMetrics,
        resources: { memoryMegabytes: 100 },
        table: () => table,
        catchUp: () => Promise.resolve(true),
        isClosing: () => false,
        pauses,
        plannedStop: () => undefined,
        run: {
            clock: clocks.systemClock,
            log,
            crashes: { findHeld: () => undefined },
            pool: { choose, holds: { callerRetryAfterMs: () => undefined } },
            wire: { readCall, readAttempt: () => "1", errorHeaders: () => [] },
        },
    };
    const server = new servers.RouteServer(context as unknown as servers.RouteServerContext);
    await server.listen("127.0.0.1:0");
    return {
        address: server.address,
        ended,
        server,
        dispose: () => {
            server.dispose();
            pauses.dispose();
        },
    };
}

/** Keeps the event loop busy. */
function block(durationMs: number): void {
    const untilMs = clocks.systemClock.now() + durationMs;
    while (clocks.systemClock.now() < untilMs) {
        // Nothing else runs.
    }
}

/**
 * Connects, sends a request and lets the process do nothing else for `pauseMs`; the caller may leave meanwhile. The
 * timers after the pause take `timersMs` before the request is read.
 */
async function requestInPause(
    { address, ended }: { readonly address: string; readonly ended: Promise<void> },
    pauseMs: number,
    isLeaving: boolean,
    timersMs: number,
): Promise<void> {
    const [host, port] = address.split(":");
    const socket = net.connect(Number(port), host);
    await new Promise(resolve => socket.once("connect", resolve));
    await clocks.sleep(clocks.systemClock, 100);
    await new Promise(resolve => setImmediate(resolve)); // Timers run before the next read.
    socket.write(REQUEST);
    if (isLeaving) {
        socket.destroy();
    }
    clocks.systemClock.schedule(pauseMs - 10, () => block(timersMs)); // Later than the monitor's.
    block(pauseMs);
    await ended;
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
        { name: "is sent", remainingMs: 2_000, isLeaving: false, timersMs: 0, readMs: 0, sends: 1 },
        {
            name: "isn't sent when its caller has left",
            remainingMs: 2_000,
            isLeaving: true,
            timersMs: 0,
            readMs: 0,
            sends: 0,
        },
        {
            name: "isn't sent when its caller has left, if the process is late again",
            remainingMs: 2_000,
            isLeaving: true,
            timersMs: 0,
            readMs: 50,
            sends: 0,
        },
        {
            name: "isn't sent when its caller has left, if it is read long after the pause was detected",
            remainingMs: 2_000,
            isLeaving: true,
            timersMs: 150,
            readMs: 0,
            sends: 0,
        },
        { name: "isn't sent after its deadline", remainingMs: 400, isLeaving: false, timersMs: 0, readMs: 0, sends: 0 },
        {
            name: "isn't sent after its deadline, if it is read long after the pause was detected",
            remainingMs: 600,
            isLeaving: false,
            timersMs: 150,
            readMs: 0,
            sends: 0,
        },
    ])("$name", async ({ remainingMs, isLeaving, timersMs, readMs, sends }) => {
        const choose = vitest.vi.fn(() => undefined);
        const server = disposables.add(await startServer(remainingMs, choose, () => setImmediate(() => block(readMs))));
        await requestInPause(server, PAUSE_MS, isLeaving, timersMs);
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
