/**
 * Answers of engines and stage workers with up to three oddities.
 */
import * as randoms from "../src/common/Random";
import * as mutations from "./Mutation";

/** What an answer is made for. */
export interface EngineQuestion {
    readonly path: string;
    readonly attempt: string;
    /** Number of pieces of a stage call. */
    readonly pieces: number;
    /** Address of the engine, as it is in handles of results. */
    readonly address: string;
}

/** The bytes of an answer, and what becomes of its connection. */
export interface EngineAnswer {
    readonly parts: readonly Buffer[];
    /** Pause before each part. */
    readonly pauseMs: number;
    readonly end: "keep-alive" | "close" | "reset";
}

const MAX_CUTS = 4;
const MAX_PAUSE_MS = 20;
const MAX_EVENTS = 6;
/** Share of the answers that are sound, so that the engines aren't avoided. */
const SOUND_SHARE = 0.3;
const STATUS_LINES = [
    ..."000 001 099 100 101 102 103 150 199 204 205 304 399 421 429 500 502 503 504 599 700 999 1000 -1 2x0".split(" ")
        .map(status => `HTTP/1.1 ${status} Text`),
    "HTTP/1.1 200",
    "HTTP/1.0 200 OK",
    "HTTP/0.9 200 OK",
    "HTTP/2.0 200 OK",
    "HTTP/1.1 200 \u00ff\u0001",
    `HTTP/1.1 200 ${"x".repeat(20_000)}`,
    "ICY 200 OK",
    "",
];
const HEADER_LINES = [
    "Content-Length: 0",
    "Content-Length: 3",
    "Content-Length: 99999999999999999999",
    "Content-Length: -1",
    "Transfer-Encoding: chunked",
    "Transfer-Encoding: gzip",
    "Connection: close",
    "Connection: Attempt-Id, Content-Type",
    "Upgrade: websocket\r\nConnection: Upgrade",
    "Trailer: X-End",
    "Attempt-Id: another",
    "Attempt-Id: \u00ff",
    "Instance-Id: \u00fe\u0009",
    "Not-Executed: 1",
    "Server-Leaving: 1",
    "Server-Leaving: 1,x",
    "Server-Limit: 0",
    "Server-Limit: 0.0000000001",
    `Server-Limit: ${"9".repeat(400)}`,
    "Retry-After: 0",
    "Retry-After: 99999999999",
    `Retry-After: ${"9".repeat(400)}`,
    "Retry-After: Wed, 01 Jan 9999 00:00:00 GMT",
    "Date: never",
    "Engine-Load: 999999999999999,999999999999999,1,999999999999999",
    "Engine-Load: -1,x",
    `Engine-Load: ${"1,".repeat(3_000)}`,
    "Content-Type: \u00e9",
    "Set-Cookie: a=1\r\nSet-Cookie: b=2",
    "X-Empty:",
    " folded: value",
    "no colon",
    "Bad Name: 1",
    `X-Long: ${"x".repeat(30_000)}`,
    "X-Many: 1\r\n".repeat(1_000).trimEnd(),
];
const CHUNK_ENDS = ["", "0\r\n", "0\r\nX-End: \u00ff\r\n\r\n", "zz\r\n", "-1\r\n", "ffffffffffffffffff\r\n", "5\r\nab"];
const EVENTS = [
    "id: 1\ndata: again\n\n",
    "id: -1\ndata: x\n\n",
    "id: 1e999\ndata: x\n\n",
    "id: 99999999999999999999\ndata: x\n\n",
    "data\n\n",
    "\n\n\n\n",
    "id: 3\r\ndata: x\r\n\r\n",
    ": comment\n\n",
    "id: \u0000\ndata: \u0000\n\n",
    `data: ${"x".repeat(100_000)}\n\n`,
    `id: 4\n${"data: y\n".repeat(5_000)}\n`,
];
const JSON_TEXTS = [
    "",
    "{",
    "[]",
    "\"\u0000\"",
    "{\"Items\":{}}",
    "{\"Items\":[1,2,3]}",
    "[".repeat(30_000),
    `{"Items":${"[".repeat(30_000)}${"]".repeat(30_000)}}`,
    `{"born":1e999}`,
    `{"Items":[${"{},".repeat(50_000)}{}]}`,
    `{"Items":[${"{},".repeat(1_300_000)}{}]}`,
    `{"Items":[${"1,".repeat(1_900_000)}1]}`,
];

/** Creates the answer to a request. */
export function createEngineAnswer(random: randoms.Random, question: EngineQuestion): EngineAnswer {
    const isSound = random() < SOUND_SHARE;
    const answer = createAnswer(random, question, !isSound);
    const bytes = !isSound && random() < 0.3 ? mutations.mutateBytes(random, answer) : answer;
    return {
        parts: mutations.splitBytes(random, bytes, MAX_CUTS),
        pauseMs: mutations.pickInteger(random, 0, MAX_PAUSE_MS),
        end: isSound ? "keep-alive" : mutations.pick(random, ["keep-alive", "keep-alive", "close", "reset"]),
    };
}

function createAnswer(random: randoms.Random, question: EngineQuestion, isOdd: boolean): Buffer {
    const lines = [
        `Attempt-Id: ${question.attempt}`,
        "Route-Stamp: stamp",
        "Engine-Load: 1,0,8",
    ];
    const isStream = question.path.startsWith("/oddstream");
    const body = isStream ? createEvents(random, isOdd) : createBody(random, question, isOdd);
    lines.push(
        ...isStream
            ? ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
            : ["Content-Type: application/json", `Content-Length: ${Buffer.byteLength(body, "latin1")}`],
    );
    let statusLine = "HTTP/1.1 200 OK";
    let prefix = "";
    let suffix = "";
    for (let count = isOdd ? mutations.pickInteger(random, 0, mutations.MAX_CHANGES) : 0; count > 0; count--) {
        switch (mutations.pickInteger(random, 0, 6)) {
            case 0:
                statusLine = mutations.pick(random, STATUS_LINES);
                break;
            case 1:
                prefix = `${mutations.pick(random, STATUS_LINES)}\r\nX-Hint: 1\r\n\r\n`;
                break;
            case 2:
                suffix = `HTTP/1.1 200 OK\r\nAttempt-Id: ${question.attempt}\r\nContent-Length: 2\r\n\r\nok`;
                break;
            case 3:
                lines.splice(mutations.pickInteger(random, 0, lines.length - 1), 1);
                break;
            default:
                lines.splice(mutations.pickInteger(random, 0, lines.length), 0, mutations.pick(random, HEADER_LINES));
        }
    }
    return Buffer.from(`${prefix}${statusLine}\r\n${lines.join("\r\n")}\r\n\r\n${body}${suffix}`, "latin1");
}

function createEvents(random: randoms.Random, isOdd: boolean): string {
    let text = "";
    for (let id = 1; id <= MAX_EVENTS; id++) {
        text += encodeChunk(`id: ${id}\ndata: part ${id}\n\n`);
        text += isOdd && random() < 0.2 ? encodeChunk(mutations.pick(random, EVENTS)) : "";
    }
    return text + (isOdd && random() < 0.3 ? mutations.pick(random, CHUNK_ENDS) : "0\r\n\r\n");
}

function encodeChunk(text: string): string {
    return `${Buffer.byteLength(text, "latin1").toString(16)}\r\n${text}\r\n`;
}

function createBody(random: randoms.Random, { path, pieces, address }: EngineQuestion, isOdd: boolean): string {
    if (isOdd && random() < 0.3) {
        return mutations.pick(random, JSON_TEXTS);
    }
    const document = path === "/stage-run"
        ? {
            Items: Array.from(
                { length: pieces },
                () => ({ Handle: `${address}/${mutations.pickInteger(random, 1, 1e9)}` }),
            ),
        }
        : { Stage: "colocated", Busy: false, Seq: 1, born: 1_700_000_000_000 };
    return JSON.stringify(isOdd && random() < 0.5 ? mutations.mutateDocument(random, document) : document) ?? "";
}
