import * as fs from "node:fs";
import * as vitest from "vitest";
import * as peerInputs from "../fuzz/PeerInputs";
import * as reports from "../standins/platform/EndlessReport";
import * as trials from "../standins/platform/EndlessTrial";

const WRITE_BYTES = 64 * 1024;
const CONNECTIONS = 12;
const CHUNKED_CALL = trials.encodeCall("/look/{n}", { "Transfer-Encoding": "chunked" });
const SMALL_CALL = `${trials.encodeCall("/look/{n}", { "Content-Length": "1" })}a`;
const HEAD = "POST /look/1 HTTP/1.1\r\nHost: desk.example\r\n";
const HELLO = encode(peerInputs.createHello(1));

/** A sound instance for the calls of faulty callers. */
const DESK: trials.FaultyPeer = {
    at: "desk",
    start: "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nRoute-Stamp: stamp\r\nContent-Length: {length}\r\n\r\n",
    unit: "ok",
    writeBytes: 0,
    answersEach: true,
};

/** A message of another entry as characters. */
function encode(message: Record<string, unknown>): string {
    return peerInputs.encodeFrame({ version: 0, era: 0, message }).toString("latin1");
}

interface RepeatedUnit extends Omit<trials.FaultyPeer, "writeBytes"> {
    readonly name: string;
}

const CALLER_CASES: readonly RepeatedUnit[] = [
    { name: "chunks of one byte", at: "callers", start: CHUNKED_CALL, unit: "1\r\na\r\n" },
    { name: "chunks of one byte with an extension", at: "callers", start: CHUNKED_CALL, unit: "1;a=b\r\na\r\n" },
    { name: "an extension of a chunk", at: "callers", start: `${CHUNKED_CALL}1;`, unit: "a=b;" },
    { name: "trailers", at: "callers", start: `${CHUNKED_CALL}0\r\n`, unit: "A: b\r\n" },
    { name: "lines of a head", at: "callers", start: HEAD, unit: "A: b\r\n" },
    { name: "empty lines before a call", at: "callers", start: "", unit: "\r\n" },
    { name: "calls whose answers it doesn't read", at: "callers", start: "", unit: SMALL_CALL, readsAnswers: false },
    { name: "calls whose answers it reads", at: "callers", start: "", unit: SMALL_CALL },
    {
        name: "calls of an unknown path",
        at: "callers",
        start: "",
        unit: "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        readsAnswers: false,
    },
].map(row => ({ connections: CONNECTIONS, ...row, at: "callers" }));

const ENTRY_CASES: readonly RepeatedUnit[] = [
    { name: "hellos", start: "", unit: HELLO },
    { name: "empty frames", start: HELLO, unit: "\0\0\0\0" },
    { name: "presences", start: HELLO, unit: encode(peerInputs.PRESENCE) },
    { name: "requests for the content", start: HELLO, unit: encode(peerInputs.CONTENT_REQUEST) },
    {
        name: "requests for the content, unread",
        start: HELLO,
        unit: encode(peerInputs.CONTENT_REQUEST),
        readsAnswers: false,
    },
    { name: "bytes of a large frame", start: `${HELLO}\0\x3f\0\0`, unit: "\0" },
].map(row => ({ ...row, at: "entries" }));

const ADMIN_CASES: readonly RepeatedUnit[] = [
    ["admin", "/metrics"],
    ["admin", "/status"],
    ["ready", "/ready"],
].flatMap(([at, path]) =>
    [{ connections: 1 }, { connections: CONNECTIONS }, { connections: 1, readsAnswers: false }].map(options => ({
        ...options,
        name: `${path} on ${options.connections}, ${options.readsAnswers === false ? "unread" : "read"}`,
        at: at as "admin" | "ready",
        start: "",
        unit: `GET ${path} HTTP/1.1\r\nHost: entry\r\n\r\n`,
    }))
);

const knownRed = fs.readFileSync("KNOWN-RED.txt", "utf8");

/** Whether CI passes over a row; run by hand, all rows run. */
function isPassedOver({ at, name }: RepeatedUnit): boolean {
    return process.env["PASS_OVER_KNOWN_RED"] === "1" && knownRed.includes(`"${at}: ${name}"`);
}

let trial: trials.EndlessTrial | undefined;

vitest.afterEach(() => trial?.dispose());

vitest.describe("an entry serves beside a client that sends without an end", () => {
    vitest.it.for([...CALLER_CASES, ...ENTRY_CASES, ...ADMIN_CASES])(
        "$at: $name",
        async (row, { task, skip }) => {
            skip(isPassedOver(row), "in KNOWN-RED.txt");
            const { name, ...peer } = row;
            const others = peer.at === "callers" ? [DESK] : [];
            trial = await trials.EndlessTrial.start([{ ...peer, writeBytes: WRITE_BYTES }, ...others]);
            const report = await trial.run();
            Object.assign(task.meta, { report });
            vitest.expect(reports.findViolations(report), name).toEqual([]);
        },
    );
});
