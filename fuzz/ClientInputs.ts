/**
 * Inputs of HTTP clients: requests with one to three oddities, and what becomes of their connections.
 */
import * as randoms from "../src/common/Random";
import * as routedFleets from "../standins/platform/RoutedFleet";
import * as mutations from "./Mutation";

/** The HTTP servers of an entry. */
export const HTTP_ADDRESSES = ["callers", "ready", "admin"] as const;

/** How a connection ends once the bytes are sent; an open one is closed at the end of its batch. */
export type ConnectionEnd = "half-close" | "reset" | "leave-open";

/** What one client sends on one connection. */
export interface ClientInput {
    readonly address: typeof HTTP_ADDRESSES[number];
    readonly parts: readonly Buffer[];
    readonly end: ConnectionEnd;
}

const MAX_CUTS = 4;
const MAX_PIPELINED = 20;
/** Share of the requests whose bytes are changed in addition. */
const CHANGED_SHARE = 0.5;
const METHODS = ["CONNECT", "OPTIONS", "TRACE", "PRI", "get", "M-SEARCH", "X".repeat(300), "", "G\u0000T"];
const TARGETS = [
    "*",
    "http://desk.example/look/1",
    "desk.example:443",
    "/",
    "//",
    "/\u00ff",
    `/look/${"x".repeat(9_000)}`,
];
const VERSIONS = ["HTTP/1.0", "HTTP/0.9", "HTTP/2.0", "HTTP/1.1 ", "HTTP/9.9", "", "http/1.1"];
const HEADER_LINES = [
    "Expect: 100-continue",
    "Expect: 200-ok",
    "Connection: Upgrade\r\nUpgrade: websocket",
    "Connection: close, keep-alive, host",
    "Content-Length: 5",
    "Content-Length: -1",
    "Content-Length: 99999999999999999999",
    "Transfer-Encoding: chunked",
    "Transfer-Encoding: gzip, chunked",
    "Transfer-Encoding: identity",
    "Host: other.example",
    "Host:",
    "Attempt-Id: \u00ff\u00fe",
    "Attempt-Id:",
    `Attempt-Id: ${"a".repeat(60_000)}`,
    "Deadline-Ms: 999999999999999",
    "Deadline-Ms: -5",
    "Deadline-Ms: 0",
    "Token-Count: 999999999999999999999,1e300",
    `Prefix-Hash: ${"a:1,".repeat(5_000)}`,
    "Prefix-Hash: ,,,:::",
    "Pieces: 10000",
    "Pieces: 1e3,-1,NaN",
    `Pieces: ${"1,".repeat(400)}`,
    "Piece-Key: \u00e9",
    "Last-Event-Id: 999999999999999",
    "Last-Event-Id: x",
    "Resumes: \u00ff",
    `Resumes: ${"r".repeat(300)}`,
    " folded: value",
    "no colon",
    ": no name",
    "Bad Name: 1",
    ...Array.from({ length: 3 }, (_, index) => `X-Many: 1\r\n`.repeat(10 ** index * 5).trimEnd()),
];
const BODIES = [
    "hello",
    "5\r\nhello\r\n0\r\n\r\n",
    "zz\r\nhello",
    "ffffffffffffffff\r\n",
    "5;x=\"\r\nhello\r\n0\r\n\r\n",
    "0\r\nT: 1\r\n\r\n",
];
const PATHS = [
    "/look/1",
    "/book/1",
    "/notes/1",
    "/once/1",
    "/drafts/1",
    "/open/1",
    "/none",
    "/status",
    "/metrics",
    "/ready",
];

/** Creates the input of one client. */
export function createClientInput(random: randoms.Random): ClientInput {
    const count = random() < 0.2 ? mutations.pickInteger(random, 2, MAX_PIPELINED) : 1;
    const requests = Buffer.concat(Array.from({ length: count }, () => createRequest(random)));
    const bytes = random() < CHANGED_SHARE ? mutations.mutateBytes(random, requests) : requests;
    return {
        address: random() < 0.7 ? "callers" : mutations.pick(random, HTTP_ADDRESSES),
        parts: mutations.splitBytes(random, bytes, MAX_CUTS),
        end: mutations.pick(random, ["half-close", "reset", "leave-open"]),
    };
}

function createRequest(random: randoms.Random): Buffer {
    let method = mutations.pick(random, ["GET", "POST", "PUT", "HEAD"]);
    let target = mutations.pick(random, PATHS);
    let version = "HTTP/1.1";
    const lines = Object.entries({
        Host: "desk.example",
        "Attempt-Id": `fuzz-${mutations.pickInteger(random, 1, 1e9)}`,
        "Deadline-Ms": "1000",
        Authorization: `Token ${routedFleets.TEAM_KEY}`,
        ...routedFleets.STAGED_HEADERS,
    }).map(([name, value]) => `${name}: ${value}`);
    for (let count = mutations.pickInteger(random, 1, mutations.MAX_CHANGES); count > 0; count--) {
        switch (mutations.pickInteger(random, 0, 6)) {
            case 0:
                method = mutations.pick(random, METHODS);
                break;
            case 1:
                target = mutations.pick(random, TARGETS);
                break;
            case 2:
                version = mutations.pick(random, VERSIONS);
                break;
            case 3:
                lines.splice(mutations.pickInteger(random, 0, lines.length - 1), 1);
                break;
            default:
                lines.splice(mutations.pickInteger(random, 0, lines.length), 0, mutations.pick(random, HEADER_LINES));
        }
    }
    const body = random() < 0.5 ? mutations.pick(random, BODIES) : "";
    return Buffer.from(`${method} ${target} ${version}\r\n${lines.join("\r\n")}\r\n\r\n${body}`, "latin1");
}
