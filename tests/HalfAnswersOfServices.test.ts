/**
 * Guards against an answer that breaks off and is taken for the whole by one of those that ask: the store's lists, watches and
 * positions, instances' questions, stage calls and releases, and the external systems of pipelines.
 */
import * as net from "node:net";
import * as vitest from "vitest";
import * as platformCalls from "../platform/PlatformCalls";
import * as platformStores from "../platform/PlatformStore";
import * as clocks from "../src/common/Clock";
import * as ports from "../src/common/Ports";
import * as upstreamConnections from "../src/connection/UpstreamConnections";
import * as configurationServices from "../src/process/adapters/ConfigurationService";
import * as engineUpstreams from "../src/process/adapters/EngineUpstream";
import * as instanceListServices from "../src/process/adapters/InstanceListService";
import * as plainUpstreams from "../src/process/adapters/PlainUpstream";
import * as weightStoreServices from "../src/process/adapters/WeightStoreService";
import * as instanceQuestions from "../src/process/instances/InstanceQuestion";
import * as answerReaders from "../standins/AnswerReaders";
import * as halfAnswers from "../standins/platform/HalfAnswerEngine";
import * as fleets from "../standins/platform/RoutedFleet";

const HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nRoute-Stamp: stamp\r\nx-boot: b-1\r\n";
const TIMEOUT_MS = 2_000;
/** Repetitions of each row, since a reset and the bytes before it only sometimes arrive at once. */
const REPETITIONS = 20;

interface Ending {
    readonly name: string;
    /** The answer with this body, which is valid by itself. */
    readonly encode: (body: string) => string;
    readonly end: (socket: net.Socket) => void;
}

const fin = (socket: net.Socket): void => void socket.end();
const reset = (socket: net.Socket): void => void socket.resetAndDestroy();
const resetSoon = (socket: net.Socket): void => void setTimeout(() => socket.resetAndDestroy(), 1);

function withLength(body: string, length: number): string {
    return `${HEAD}Content-Length: ${length}\r\n\r\n${body}`;
}

function inChunks(body: string): string {
    return `${HEAD}Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n`;
}

const halves: readonly Ending[] = [
    { name: "shorter than its length, then a FIN", encode: body => withLength(body, body.length + 1), end: fin },
    { name: "shorter than its length, then a reset", encode: body => withLength(body, body.length + 1), end: reset },
    { name: "in chunks without the last one, then a FIN", encode: inChunks, end: fin },
    { name: "in chunks without the last one, then a reset", encode: inChunks, end: reset },
    { name: "without framing, then a reset at once", encode: body => `${HEAD}\r\n${body}`, end: reset },
    { name: "without framing, then a reset 1 ms later", encode: body => `${HEAD}\r\n${body}`, end: resetSoon },
    {
        name: "in an unknown coding, then a FIN",
        encode: body => `${HEAD}Transfer-Encoding: gzip\r\n\r\n${body}`,
        end: fin,
    },
];
const wholes: readonly Ending[] = [
    { name: "with its length, on an open connection", encode: body => withLength(body, body.length), end: () => {} },
    { name: "in chunks, then a reset", encode: body => `${inChunks(body)}0\r\n\r\n`, end: reset },
    { name: "without framing, then a FIN", encode: body => `${HEAD}\r\n${body}`, end: fin },
];

/** Who asks, the body of a valid answer, and whether it was accepted. */
interface Asker {
    readonly asker: string;
    readonly body: string;
    readonly ask: (address: string, signal: AbortSignal) => Promise<boolean>;
}

const CALL: ports.UpstreamCall = {
    request: "r",
    operation: "book",
    priority: 0,
    remainingMs: TIMEOUT_MS,
    body: {},
    usesFreshConnection: true,
};
const REPORT = JSON.stringify({ boot: "b-1", active: 0, models: [], fence: 0, role: "a" });
const PAGE = JSON.stringify({ Items: [], CurrentRev: 3 });

async function isAccepted<T>(reply: ports.Reply<T>): Promise<boolean> {
    return (await reply).isOk;
}

async function askInstance(address: string, signal: AbortSignal, path?: string): Promise<boolean> {
    const connections = new upstreamConnections.UpstreamConnections();
    const instance = {
        id: "i-1",
        startedMs: 1,
        service: "desk",
        softwareVersion: "v1",
        address,
        failureDomain: "a",
        state: "ready",
        slots: 1,
        coldLeftMs: 0,
    } as const;
    const context = { clock: clocks.systemClock, wire: platformCalls.platformCalls, connections };
    const outcome = await instanceQuestions.askInstance(context, instance, { path, isNewConnection: true, signal });
    connections.destroy();
    return outcome.kind === "answer";
}

const askers: readonly Asker[] = [
    {
        asker: "the store's list",
        body: PAGE,
        ask: (address, signal) => isAccepted(platformStores.createPlatformStore(address).list(undefined, signal)),
    },
    {
        asker: "the store's position",
        body: PAGE,
        ask: (address, signal) => isAccepted(platformStores.createPlatformStore(address).readPosition(signal)),
    },
    {
        asker: "the store's watch",
        body: JSON.stringify({ events: [], CurrentRev: 3 }),
        ask: (address, signal) => isAccepted(platformStores.createPlatformStore(address).watch(1, TIMEOUT_MS, signal)),
    },
    { asker: "an instance's state", body: JSON.stringify({ born: 1 }), ask: askInstance },
    { asker: "an instance's health", body: "ok", ask: (address, signal) => askInstance(address, signal, "/health") },
    {
        asker: "the weight store",
        body: "{}",
        ask: (address, signal) => isAccepted(weightStoreServices.createWeightStore(address).read("m", signal)),
    },
    {
        asker: "the configuration service",
        body: "{}",
        ask: (address, signal) => isAccepted(configurationServices.createConfigurationSource(address).read(signal)),
    },
    {
        asker: "a watch of the configuration service",
        body: "{}",
        ask: (address, signal) => isAccepted(configurationServices.createConfigurationSource(address).watch(1, signal)),
    },
    {
        asker: "the list of instances",
        body: "[]",
        ask: (address, signal) => isAccepted(instanceListServices.createInstanceList(address).read(signal)),
    },
    {
        asker: "a call of a plain service",
        body: "{}",
        ask: (address, signal) => isAccepted(plainUpstreams.createPlainService(address).call(CALL, signal)),
    },
    {
        asker: "a probe of a plain service",
        body: "ok",
        ask: (address, signal) => isAccepted(plainUpstreams.createPlainService(address).probe(signal)),
    },
    {
        asker: "a report of a model engine",
        body: REPORT,
        ask: (address, signal) => isAccepted(engineUpstreams.createModelEngine(address).report(signal)),
    },
    {
        asker: "an order to a model engine",
        body: REPORT,
        ask: (address, signal) =>
            isAccepted(
                engineUpstreams.createModelEngine(address).order({ fence: 1, action: "load", subject: "m" }, signal),
            ),
    },
    {
        asker: "a model engine's stream",
        body: `${JSON.stringify({ end: true, tokens: 0, body: {} })}\n`,
        ask: (address, signal) =>
            isAccepted(engineUpstreams.createModelEngine(address).stream(CALL, 0, () => undefined, signal)),
    },
];

/** How often the asker accepts the answer. */
async function countAccepted({ ask, body }: Asker, { encode, end }: Ending): Promise<number> {
    const server = await answerReaders.serve(socket => {
        socket.write(encode(body));
        end(socket);
    });
    let accepted = 0;
    for (let count = 0; count < REPETITIONS; count++) {
        accepted += await ask(server.address, new AbortController().signal) ? 1 : 0;
    }
    server.dispose();
    return accepted;
}

vitest.describe("an answer that isn't whole", () => {
    const cases = askers.flatMap(asker => halves.map(half => ({ ...asker, ...half })));
    vitest.it.each(cases)("isn't accepted: $asker, $name", async row => {
        vitest.expect(await countAccepted(row, row)).toBe(0);
    });
});

vitest.describe("a whole answer", () => {
    const cases = askers.flatMap(asker => wholes.map(whole => ({ ...asker, ...whole })));
    vitest.it.each(cases)("is accepted: $asker, $name", async row => {
        vitest.expect(await countAccepted(row, row)).toBe(REPETITIONS);
    });
});

vitest.describe("an answer to a stage call", () => {
    let fleet: fleets.RoutedFleet;
    let engine: halfAnswers.HalfAnswerEngine;

    vitest.beforeEach(async () => {
        fleet = new fleets.RoutedFleet();
        await fleet.start([
            { id: "model-1", service: "model", failureDomain: "zone-a", events: 6 },
            { id: "ledger-1", service: "ledger", failureDomain: "zone-a" },
        ]);
        await fleet.addEntry();
        await fleet.waitUntil(async () => await fleet.readyStatus() === 200);
    });

    vitest.afterEach(() => {
        engine.dispose();
        fleet.dispose();
    });

    /** Calls with stages whose first stage is answered so, until the stage worker has been asked. */
    async function callWithStages({ encode, end }: Ending): Promise<fleets.Answer> {
        const createItems = (request: string): string => {
            const count = request.split("\"Id\":").length - 1;
            const items = Array.from({ length: count }, (_, index) => ({ Handle: `127.0.0.1:9/${index}` }));
            return encode(JSON.stringify({ Items: items }));
        };
        engine = new halfAnswers.HalfAnswerEngine("archive", { write: createItems, end });
        await engine.listen();
        fleet.store.put("servers/half-1", engine.storeRecord);
        for (;;) {
            const headers = { ...fleets.STAGED_HEADERS, "Deadline-Ms": String(TIMEOUT_MS) };
            const answer = await fleet.call("/drafts/1", { headers });
            if (engine.calls > 0) {
                return answer;
            }
        }
    }

    vitest.it.each(halves)("that isn't whole gives no results: $name", async half => {
        vitest.expect((await callWithStages(half)).status).not.toBe(200);
    });

    vitest.it.each(wholes)("that is whole gives results, and its release ends: $name", async whole => {
        vitest.expect((await callWithStages(whole)).status).toBe(200);
        await fleet.waitUntil(async () => (await fleet.status(0))["active"] === 0);
    });
});
