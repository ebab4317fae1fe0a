import * as net from "node:net";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as upstreamConnections from "../../connection/UpstreamConnections";
import * as plainRuns from "./PlainRun";
import * as calls from "./RoutedCall";
import * as fixtures from "./SenderFixture";

const MEGABYTE = 1024 * 1024;
const CALLS = 3;
const CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const REJECTION = "HTTP/1.1 503 Busy\r\nContent-Length: 1000000000\r\n\r\n";

/** Starts an instance that answers each request with `head`, and `unit` again and again, as fast as it is read. */
async function serve(head: string, unit: string) {
    const sockets = new Set<net.Socket>();
    const sent = { bytes: 0 };
    const server = net.createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
        const repeated = unit.repeat(Math.ceil(65_536 / Math.max(1, unit.length)));
        const pump = (error?: Error | null): void => {
            if (unit === "") {
                socket.end();
            }
            else if (!error && !socket.destroyed) {
                sent.bytes += repeated.length;
                socket.write(repeated, pump);
            }
        };
        socket.on("data", () => socket.write(head, pump));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return { server, sockets, sent, address: `127.0.0.1:${(server.address() as net.AddressInfo).port}` };
}

function createCall(): calls.RoutedCall {
    return {
        metadata: { attempt: "a-1", promptTokens: 0, promptParts: [], pieces: [] },
        route: { kind: "idempotent", attempts: 1 } as Partial<routing.Route>,
        service: fixtures.SERVICE,
        method: "GET",
        path: "/look/1",
        headers: [],
        hardDeadlineAtMs: clocks.systemClock.now() + 20_000,
        buffers: { addAnswer: () => true, endRead: () => undefined },
        progress: { mayHaveRun: false },
        signal: new AbortController().signal,
    } as unknown as calls.RoutedCall;
}

const wire: Partial<routingPorts.RoutedCallWire> = {
    forwardHeaders: () => [],
    answerHeaders: headers => [...headers],
    readAnswer: status => ({
        effect: status === 503 ? "not-run" : "ran",
        attempt: undefined,
        instance: undefined,
        isSigned: true,
        isInputLost: false,
    } as unknown as routingPorts.UpstreamAnswerMetadata),
};

/** Sends calls one after the other to an instance; returns how they ended, and whether it is given up then. */
async function callInstance(address: string, beforeClose = (): Promise<void> => Promise.resolve()) {
    const pool = fixtures.createPool(address, 1);
    const instance = pool.usableInstances(fixtures.SERVICE)[0]!;
    const connections = new upstreamConnections.UpstreamConnections();
    const budget = fixtures.createBudget({ windowMs: 10_000, ratio: 0, slack: 0 });
    const context = fixtures.createContext({ pool, budget, connections, wire });
    const ends: string[] = [];
    for (let count = 0; count < CALLS; count++) {
        const outcome = await plainRuns.runPlain(context, createCall());
        ends.push(outcome.kind === "local-failure" ? outcome.failure.code.name : outcome.kind);
    }
    await beforeClose();
    connections.destroy();
    return { ends, isGivenUp: pool.trafficOf(instance).isGivenUp, counts: [...pool.faults.counts] };
}

vitest.describe("an instance that always answers with", () => {
    const malformed = "malformed-answer";
    const cases: readonly {
        readonly name: string;
        readonly head: string;
        readonly unit: string;
        readonly end: string;
        readonly isGivenUp: boolean;
    }[] = [
        { name: "bytes that are no head", head: "", unit: "no answer at all ", end: malformed, isGivenUp: true },
        {
            name: "informational heads",
            head: "",
            unit: "HTTP/1.1 103 Early Hints\r\n\r\n",
            end: malformed,
            isGivenUp: true,
        },
        { name: "chunks of one byte", head: CHUNKED, unit: "1\r\na\r\n", end: malformed, isGivenUp: true },
        {
            name: "a body without end",
            head: CHUNKED,
            unit: `10000\r\n${"a".repeat(65_536)}\r\n`,
            end: malformed,
            isGivenUp: true,
        },
        {
            name: "an answer that is cut short",
            head: `${CHUNKED}2\r\nok\r\n`,
            unit: "",
            end: "upstream-reset",
            isGivenUp: false,
        },
        { name: "nothing", head: "", unit: "", end: "upstream-reset", isGivenUp: false },
        {
            name: "failures",
            head: "HTTP/1.1 500 Failed\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
            unit: "",
            end: "buffered",
            isGivenUp: false,
        },
    ];
    vitest.it.each(cases)("$name is given up: $isGivenUp", async ({ head, unit, end, isGivenUp }) => {
        const { server, sockets, address } = await serve(head, unit);
        const called = await callInstance(address);
        vitest.expect(called).toEqual({
            ends: Array.from({ length: CALLS }, () => end),
            isGivenUp,
            counts: isGivenUp ? [["desk-1", CALLS]] : [],
        });
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
});

// Guards against a rejection of which hundreds of megabytes are read since nothing of it is used.
vitest.it("a rejection whose body never ends stays one, and its connection is closed", async () => {
    const { server, sockets, sent, address } = await serve(REJECTION, "a".repeat(65_536));
    const openCounts: number[] = [];
    const called = await callInstance(address, async () => {
        await clocks.sleep(clocks.systemClock, 300);
        openCounts.push(sockets.size);
    });
    vitest.expect(called).toEqual({
        ends: Array.from({ length: CALLS }, () => "overloaded"),
        isGivenUp: false,
        counts: [],
    });
    vitest.expect(openCounts).toEqual([0]);
    vitest.expect(sent.bytes).toBeLessThan(CALLS * 32 * MEGABYTE); // The buffers of both sides.
    server.close();
});
