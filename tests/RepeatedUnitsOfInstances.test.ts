import * as vitest from "vitest";
import * as reports from "../standins/platform/EndlessReport";
import * as trials from "../standins/platform/EndlessTrial";

const WRITE_BYTES = 1024 * 1024;
const ANSWER = "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nRoute-Stamp: stamp-bad\r\n";
const REJECTION = "HTTP/1.1 503 Busy\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nRetry-After: 1\r\n";
const CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
const STREAM = `${ANSWER}Content-Type: text/event-stream\r\n${CHUNKED}`;
const CHUNK = `4000\r\n${"x".repeat(0x4000)}\r\n`;
const SMALL_ANSWER = `${ANSWER}Content-Length: 2\r\n\r\nok`;

/** A unit as one chunk. */
function toChunk(unit: string): string {
    return `${unit.length.toString(16)}\r\n${unit}\r\n`;
}

const PLAIN_CASES: readonly (readonly [name: string, start: string, unit: string])[] = [
    ["chunks of one byte", ANSWER + CHUNKED, toChunk("a")],
    ["chunks of one byte with an extension", ANSWER + CHUNKED, "1;a=b\r\na\r\n"],
    ["chunks of 16 KB", ANSWER + CHUNKED, CHUNK],
    ["an extension of a chunk", `${ANSWER}${CHUNKED}1;`, "a=b;"],
    ["trailers", `${ANSWER}${CHUNKED}0\r\n`, "A: b\r\n"],
    ["answers of status 100", "", "HTTP/1.1 100 Continue\r\n\r\n"],
    ["answers of status 103", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"],
    ["lines of a head", ANSWER, "A: b\r\n"],
    ["one line of a head", `${ANSWER}More: `, "x"],
    ["empty lines before an answer", "", "\r\n"],
    ["bytes of a body without a length", `${ANSWER}\r\n`, "x"],
    ["bytes after the stated length", SMALL_ANSWER, "x"],
    ["further answers", SMALL_ANSWER, SMALL_ANSWER],
    ["chunks of a rejection", REJECTION + CHUNKED, CHUNK],
    ["chunks of a rejection, of one byte", REJECTION + CHUNKED, toChunk("a")],
    ["chunks of an error", ANSWER.replace("200 OK", "500 No") + CHUNKED, CHUNK],
];

const STREAM_CASES: readonly (readonly [name: string, start: string, unit: string])[] = [
    ["comments", STREAM, toChunk(":\n")],
    ["comments in large chunks", STREAM, toChunk(":\n\n".repeat(0x4000))],
    ["empty lines", STREAM, toChunk("\n".repeat(0x4000))],
    ["the same event", STREAM, toChunk("id: 1\ndata: a\n\n")],
    ["the same event in large chunks", STREAM, toChunk("id: 1\ndata: a\n\n".repeat(0x400))],
    ["new events", `${ANSWER}Content-Type: text/event-stream\r\n\r\n`, "id: {n}\ndata: a\n\n"],
    ["bytes of one event, each a chunk", STREAM + toChunk("data: "), toChunk("a")],
    ["answers of status 100 before a stream", "", "HTTP/1.1 100 Continue\r\n\r\n"],
    ["chunks of a rejection", REJECTION + CHUNKED, CHUNK],
];

let trial: trials.EndlessTrial | undefined;

vitest.afterEach(() => trial?.dispose());

vitest.describe("an entry serves beside an instance that sends without an end", () => {
    const rows = [
        ...PLAIN_CASES.map(([name, start, unit]) => ({ name, at: "desk" as const, start, unit })),
        ...STREAM_CASES.map(([name, start, unit]) => ({
            name: `${name} of a stream`,
            at: "model" as const,
            start,
            unit,
        })),
    ];
    vitest.it.for(rows)("$name", async ({ at, start, unit }, { task }) => {
        trial = await trials.EndlessTrial.start([{ at, start, unit, writeBytes: WRITE_BYTES }]);
        const report = await trial.run();
        Object.assign(task.meta, { report });
        vitest.expect(reports.findViolations(report)).toEqual([]);
    });
});
