/**
 * Compares what the retry budget counts with what arrives at an instance, for each way in which a send can end.
 */
import * as net from "node:net";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as upstreamConnections from "../../connection/UpstreamConnections";
import * as pools from "../../process/instances/InstancePool";
import * as histories from "./CallHistory";
import * as calls from "./RoutedCall";
import * as fixtures from "./SenderFixture";
import * as senders from "./UpstreamSender";

const BODY = Buffer.alloc(200_000, "x");
const END_OF_HEAD = "\r\n\r\n";
/** The stand-in's own start; the start check reads it from the body. */
const STARTED_MS = 1_700_000_000_000;
const DEADLINE_MS = 600;

/** What the stand-in does with the head of a request. */
type Reaction = (socket: net.Socket) => void;

function respond(head: string, body = ""): Reaction {
    return socket => socket.write(`HTTP/1.1 ${head}\r\nContent-Length: ${body.length}${END_OF_HEAD}${body}`);
}

/** An instance that counts the heads of calls that it has read, before it reacts to them. */
class StandIn {
    private readonly server: net.Server;
    private readonly sockets = new Set<net.Socket>();
    arrivals = 0;
    startedMs = STARTED_MS;

    constructor(private readonly react: Reaction) {
        this.server = net.createServer(socket => this.accept(socket));
    }

    listen(): Promise<string> {
        return new Promise(resolve =>
            this.server.listen(
                0,
                "127.0.0.1",
                () => resolve(`127.0.0.1:${(this.server.address() as net.AddressInfo).port}`),
            )
        );
    }

    close(): void {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    private accept(socket: net.Socket): void {
        let head = "";
        this.sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("data", chunk => {
            head += chunk.toString("latin1");
            if (!head.includes(END_OF_HEAD)) {
                return;
            }
            const isState = head.startsWith("GET /state");
            head = "";
            if (isState) {
                respond("200 OK", String(this.startedMs))(socket);
                return;
            }
            this.arrivals++;
            socket.removeAllListeners("data");
            socket.resume();
            this.react(socket);
        });
    }
}

/** The wire of the stand-in: its answers are signed and state that they didn't run by header. */
const wire = {
    forwardHeaders: () => ["Host", "desk", "Content-Length", String(BODY.length)],
    stateRequest: () => ({ path: "/state", headers: [] }),
    readStart: (body: string) => Number(body),
    readAnswer: (status: number, headers: Record<string, unknown>) => ({
        effect: status === 421 ? "other-instance" : headers["x-not-run"] === undefined ? "ran" : "not-run",
        attempt: undefined,
        isInputLost: status === 409,
        isSigned: true,
        load: undefined,
        isLeaving: false,
        instance: undefined,
        holdMs: undefined,
        limitPerSecond: undefined,
    }),
} as unknown as routingPorts.RoutedCallWire;

interface EndCase {
    readonly name: string;
    readonly react?: Reaction;
    /** What happens before the send. */
    readonly prepare?: (scenario: Scenario) => void;
    /** What happens as soon as the send has begun. */
    readonly meanwhile?: (scenario: Scenario) => void;
    readonly softwareVersion?: string;
    readonly arrivals: number;
}

interface Scenario {
    readonly standIn: StandIn;
    readonly pool: pools.InstancePool;
    readonly caller: AbortController;
    readonly address: string;
}

const refuse = respond("503 Service Unavailable\r\nX-Not-Run: 1");

const endCases: readonly EndCase[] = [
    { name: "an answer", react: respond("200 OK", "done"), arrivals: 1 },
    {
        name: "an answer before the body is read, and a reset",
        arrivals: 1,
        react: socket => {
            refuse(socket);
            socket.end();
        },
    },
    { name: "a rejection", react: refuse, arrivals: 1 },
    { name: "an input that is lost", react: respond("409 Conflict\r\nX-Not-Run: 1"), arrivals: 1 },
    { name: "another instance at the address", react: respond("421 Misdirected Request"), arrivals: 1 },
    { name: "a failure", react: respond("500 Internal Server Error"), arrivals: 1 },
    { name: "a reset", react: socket => socket.resetAndDestroy(), arrivals: 1 },
    { name: "a close", react: socket => socket.end(), arrivals: 1 },
    { name: "bytes that are no answer", react: socket => socket.end("HTTQ/7 bad\r\n\r\n"), arrivals: 1 },
    { name: "no answer until the deadline", react: () => undefined, arrivals: 1 },
    {
        name: "a caller that leaves while the instance works",
        react: () => undefined,
        meanwhile: ({ caller }) => setTimeout(() => caller.abort(), 200),
        arrivals: 1,
    },
    { name: "a caller that has left", prepare: ({ caller }) => caller.abort(), arrivals: 0 },
    { name: "a refused connection", prepare: ({ standIn }) => standIn.close(), arrivals: 0 },
    {
        name: "a hold that begins before the connection is established",
        meanwhile: ({ pool, address }) =>
            pool.holds.start(address, pool.usableInstances(fixtures.SERVICE)[0], 1_000, "call"),
        arrivals: 0,
    },
    {
        name: "a start check that finds another start",
        softwareVersion: "v1",
        prepare: ({ standIn }) => standIn.startedMs++,
        arrivals: 0,
    },
    { name: "an answer after a start check", react: respond("200 OK", "done"), softwareVersion: "v1", arrivals: 1 },
];

/** Sends one call; the arrivals at the instance, and what the budget has counted. */
async function send(testCase: EndCase, earlierSends: number) {
    const standIn = new StandIn(testCase.react ?? refuse);
    const address = await standIn.listen();
    const pool = fixtures.createPool(address, STARTED_MS);
    const caller = new AbortController();
    const scenario = { standIn, pool, caller, address };
    const budget = fixtures.createBudget({ windowMs: 60_000, ratio: 1, slack: 100 });
    const connections = new upstreamConnections.UpstreamConnections();
    const context = fixtures.createContext({ pool, budget, connections, wire });
    const call = {
        metadata: { attempt: "a-1", promptTokens: 0, promptParts: [], pieces: [] },
        route: { kind: "idempotent", attempts: 2 } as Partial<routing.Route>,
        service: fixtures.SERVICE,
        method: "POST",
        path: "/look/1",
        headers: [],
        body: BODY,
        hardDeadlineAtMs: clocks.systemClock.now() + DEADLINE_MS,
        buffers: { addAnswer: () => true, endRead: () => undefined, holdEvent: () => true },
        progress: { mayHaveRun: false },
        signal: caller.signal,
    } as unknown as calls.RoutedCall;
    testCase.prepare?.(scenario);
    const history = { ...histories.createHistory(), sends: earlierSends, softwareVersion: testCase.softwareVersion };
    const pending = senders.sendCall(context, call, history, {
        lastEventId: undefined,
        inputs: [],
        answerWaitMs: () => Infinity,
        signal: caller.signal,
    });
    testCase.meanwhile?.(scenario);
    const outcome = await pending;
    if (outcome.kind === "answer") {
        outcome.answer.cancel();
    }
    connections.destroy();
    standIn.close();
    return { arrivals: standIn.arrivals, state: budget.state, sends: history.sends - earlierSends };
}

vitest.describe("the retry budget counts what arrives at the instance", () => {
    vitest.describe.each(endCases)("of a send that ends with $name", testCase => {
        vitest.it("if it is the first", async () => {
            const { arrivals, state, sends } = await send(testCase, 0);
            vitest.expect(arrivals).toBe(testCase.arrivals);
            vitest.expect(sends).toBe(arrivals);
            vitest.expect(state).toMatchObject({ firstCalls: arrivals, retries: 0 });
        });

        vitest.it("if it is a retry", async () => {
            const { arrivals, state, sends } = await send(testCase, 1);
            vitest.expect(arrivals).toBe(testCase.arrivals);
            vitest.expect(sends).toBe(arrivals);
            vitest.expect(state).toMatchObject({ firstCalls: 0, retries: arrivals });
        });
    });
});
