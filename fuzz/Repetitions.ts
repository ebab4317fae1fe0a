/**
 * Units of bytes that a peer sends again and again, drawn at random, while sound calls are made.
 */
import * as randoms from "../src/common/Random";
import * as endlessPeers from "../standins/EndlessPeerProcess";
import * as endlessPlans from "../standins/EndlessPlan";
import * as trials from "../standins/platform/EndlessTrial";
import * as engines from "../standins/platform/PlatformEngineStandIn";
import * as routedFleets from "../standins/platform/RoutedFleet";
import * as soundCalls from "../standins/platform/SoundCalls";
import * as fuzzFleets from "./FuzzFleet";
import * as mutations from "./Mutation";
import * as peerInputs from "./PeerInputs";

const DURATION_MS = 2_000;
/** Longest time for a sound call. */
const MAX_ANSWER_MS = 1_000;
const MAX_CONNECTIONS = 32;
/** Writes are up to 2 to the power of this many bytes. */
const MAX_WRITE_EXPONENT = 20;
const CALL_INTERVAL_MS = 60;
const CALL_LIFETIME_MS = 4_000;
const SOUND_PATH = "/look/1";
const ANSWER_HEADERS = "Attempt-Id: {attempt}\r\nRoute-Stamp: stamp\r\nStore-Era: 1\r\n";
const CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
const SERVICES = [
    { service: "oddplain", path: "/oddplain/{n}", headers: {} },
    { service: "oddmodel", path: "/oddstream/{n}", headers: routedFleets.PROMPT_HEADERS },
    { service: "oddstage", path: "/oddstages/{n}", headers: routedFleets.STAGED_HEADERS },
] as const;
const EVENTS = [":\n", ":\n\n", "\n", "\r", "id: 1\ndata: a\n\n", "id: {n}\ndata: a\n\n", "data: a\n\n", "id: 0\n\n"];
const ANSWERS_OF_STORE = [
    "{\"Items\":[{\"Key\":\"other/{n}\",\"Rev\":1}],\"events\":[],\"CurrentRev\":{n},\"Truncated\":true}",
    "{\"Items\":[],\"events\":[],\"CurrentRev\":30}",
    "{\"Items\":[],\"events\":[{\"Key\":\"other/{n}\",\"Rev\":{n},\"Value\":\"AAAA\"}],\"CurrentRev\":{n}}",
    "{}",
    "",
];
const MESSAGES = [peerInputs.PRESENCE, peerInputs.CONTENT_REQUEST, peerInputs.createHello(1)];

/** Has one peer send for a while; what sound calls didn't get is noted at the fleet. */
export async function sendRepetition(fleet: fuzzFleets.FuzzFleet, random: randoms.Random): Promise<void> {
    const send = mutations.pick(random, [sendAsInstance, sendAsInstance, sendAsStore, sendAsClient]);
    await send(fleet, random);
}

async function sendAsInstance(fleet: fuzzFleets.FuzzFleet, random: randoms.Random): Promise<void> {
    const { service, path, headers } = mutations.pick(random, SERVICES);
    const answers = createAnswers(random);
    const server = await endlessPeers.EndlessPeerProcess.start({ kind: "server", ...answers });
    const engine = new engines.PlatformEngineStandIn({ id: `${service}-bad`, service, failureDomain: "zone-a" });
    fleet.store.put(`servers/${service}-bad`, engine.createStoreRecord("ready", server.address));
    const callers = await endlessPeers.EndlessPeerProcess.start({
        kind: "client",
        address: fleet.target.callerAddress,
        start: trials.encodeCall(path, { ...headers, "Content-Length": "0" }),
        unit: "",
        writeBytes: 0,
        connections: MAX_CONNECTIONS,
        openIntervalMs: CALL_INTERVAL_MS,
        readsAnswers: true,
        lifetimeMs: CALL_LIFETIME_MS,
    });
    callers.begin();
    await callBeside(fleet, { service, ...answers });
    callers.dispose();
    server.dispose();
    fleet.store.delete(`servers/${service}-bad`);
}

async function sendAsStore(fleet: fuzzFleets.FuzzFleet, random: randoms.Random): Promise<void> {
    const answers = createAnswers(random);
    fleet.relay.begin(answers);
    await callBeside(fleet, { store: true, ...answers });
    fleet.relay.relay();
    fleet.restoreStore();
}

async function sendAsClient(fleet: fuzzFleets.FuzzFleet, random: randoms.Random): Promise<void> {
    const { target } = fleet;
    const [address, input] = mutations.pick(random, [
        [target.callerAddress, createRequests(random)],
        [target.callerAddress, createRequests(random)],
        [target.peerAddress, createFrames(random)],
        [target.adminAddress, createQuestions(random, ["/metrics", "/status", "/healthz", "/"])],
        [target.readyAddress, createQuestions(random, ["/ready", "/"])],
    ]);
    const plan = {
        ...input,
        writeBytes: pickWriteBytes(random),
        connections: mutations.pickInteger(random, 1, MAX_CONNECTIONS),
        readsAnswers: random() < 0.5,
    };
    const client = await endlessPeers.EndlessPeerProcess.start({ ...plan, kind: "client", address, openIntervalMs: 1 });
    client.begin();
    await callBeside(fleet, { address: address === target.callerAddress ? "callers" : address, ...plan });
    client.dispose();
}

/** Makes sound calls, and notes with what they were disturbed. */
async function callBeside(fleet: fuzzFleets.FuzzFleet, input: object): Promise<void> {
    const address = fleet.target.callerAddress;
    const report = await soundCalls.makeSoundCalls({ address, path: SOUND_PATH, durationMs: DURATION_MS });
    if (Object.keys(report.failures).length > 0 || report.slowestMs > MAX_ANSWER_MS) {
        const detail = `${JSON.stringify(report)} beside ${JSON.stringify(input)}`;
        fleet.findings.push({ check: "calls beside endless input are served", detail });
    }
}

function pickWriteBytes(random: randoms.Random): number {
    return 2 ** mutations.pickInteger(random, 0, MAX_WRITE_EXPONENT);
}

/** A unit as a chunk, maybe with an extension, or as bare bytes. */
function createChunk(random: randoms.Random, content: string): string {
    const extension = random() < 0.2 ? ";a=b" : "";
    return `${content.length.toString(16)}${extension}\r\n${content}\r\n`;
}

function createContent(random: randoms.Random): string {
    const content = mutations.pick(random, ["a", " ", "x", ...EVENTS.filter(event => !event.includes("{n}"))]);
    return content.repeat(2 ** mutations.pickInteger(random, 0, 12));
}

function createAnswers(random: randoms.Random): endlessPlans.Answers {
    const status = mutations.pick(random, ["200 OK", "200 OK", "500 No", "404 No", "503 Busy\r\nNot-Executed: 1"]);
    const head = `HTTP/1.1 ${status}\r\n${ANSWER_HEADERS}Content-Type: text/event-stream\r\n`;
    const informational = `HTTP/1.1 ${mutations.pickInteger(random, 100, 199)} Wait\r\n`;
    const small = `${head}Content-Length: 2\r\n\r\nok`;
    const [start, unit, answersEach] = mutations.pick(random, [
        [head + CHUNKED, createChunk(random, createContent(random))],
        [head + CHUNKED, createChunk(random, createContent(random))],
        [`${head}\r\n`, mutations.pick(random, EVENTS)],
        [`${head}${CHUNKED}1;`, "a=b;"],
        [`${head}${CHUNKED}0\r\n`, "A: b\r\n"],
        ["", `${informational}${random() < 0.5 ? "Link: </a>\r\n" : ""}\r\n`],
        [head, "A: b\r\n"],
        ["", "\r\n"],
        [small, mutations.pick(random, ["x", "\r\n", small])],
        [`${head}Content-Length: {length}\r\n\r\n`, mutations.pick(random, ANSWERS_OF_STORE), true],
        ["HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 0\r\n\r\n", "", true],
    ] as (readonly [string, string, boolean?])[]);
    return { start, unit, answersEach: answersEach === true, writeBytes: pickWriteBytes(random) };
}

function createRequests(random: randoms.Random): Pick<endlessPlans.Repetition, "start" | "unit"> {
    const path = mutations.pick(random, [SOUND_PATH, "/none", "/oddplain/{n}"]);
    const chunked = trials.encodeCall(path, { "Transfer-Encoding": "chunked" });
    const head = "POST /look/1 HTTP/1.1\r\nHost: desk.example\r\n";
    const [start, unit] = mutations.pick(
        random,
        [
            [chunked, createChunk(random, createContent(random))],
            [`${chunked}1;`, "a=b;"],
            [`${chunked}0\r\n`, "A: b\r\n"],
            [head, "A: b\r\n"],
            ["", "\r\n"],
            ["", `${trials.encodeCall("/none", { "Content-Length": "1" })}a`],
            ["", "GET / HTTP/1.1\r\nHost: x\r\n\r\n"],
        ] as const,
    );
    return { start, unit };
}

function createFrames(random: randoms.Random): Pick<endlessPlans.Repetition, "start" | "unit"> {
    const frames = MESSAGES.map(message => peerInputs.encodeFrame({ version: 0, era: 0, message }).toString("latin1"));
    return { start: frames.at(-1)!, unit: mutations.pick(random, [...frames, "\0\0\0\0", "\0\0\0\x01\xf6"]) };
}

function createQuestions(
    random: randoms.Random,
    paths: readonly string[],
): Pick<endlessPlans.Repetition, "start" | "unit"> {
    return { start: "", unit: `GET ${mutations.pick(random, paths)} HTTP/1.1\r\nHost: entry\r\n\r\n` };
}
