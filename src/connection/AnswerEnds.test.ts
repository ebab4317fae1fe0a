/**
 * Guards against a part of an answer that is taken for the whole: both readers of answers, with real connections, each
 * framing and each end.
 */
import * as net from "node:net";
import * as vitest from "vitest";
import * as answerReaders from "../../standins/AnswerReaders";
import * as rawServers from "../../standins/platform/RawServer";

/** Valid JSON, and so are its beginnings. */
const BODY = "12345";
/** More than the operating system buffers of a connection. */
const UPLOAD = "x".repeat(6_000_000);
const RESETS = 100;

let server: rawServers.RawServer;

/** Calls `answer` when the first bytes of a request have arrived. */
async function serve(answer: (socket: net.Socket) => void): Promise<string> {
    server = await answerReaders.serve(answer);
    return server.address;
}

vitest.afterEach(() => server.dispose());

type End = "fin" | "reset" | "open";

/** Ends a connection, in the same turn as the last write, so that both can arrive at once. */
function endConnection(socket: net.Socket, end: End): void {
    if (end === "fin") {
        socket.end();
    }
    if (end === "reset") {
        socket.resetAndDestroy();
    }
}

const HEAD = "HTTP/1.1 200 OK\r\nX-Attempt: a-1\r\n";
const CHUNKS = `${HEAD}Transfer-Encoding: chunked\r\n\r\n5\r\n${BODY}\r\n`;
const answers: readonly { readonly name: string; readonly bytes: string; readonly wholeAfter: readonly End[] }[] = [
    { name: "with its length", bytes: `${HEAD}Content-Length: 5\r\n\r\n${BODY}`, wholeAfter: ["fin", "reset", "open"] },
    { name: "shorter than its length", bytes: `${HEAD}Content-Length: 9\r\n\r\n${BODY}`, wholeAfter: [] },
    { name: "in chunks with the last one", bytes: `${CHUNKS}0\r\n\r\n`, wholeAfter: ["fin", "reset", "open"] },
    { name: "in chunks without the last one", bytes: CHUNKS, wholeAfter: [] },
    { name: "in chunks with half of the last one", bytes: `${CHUNKS}0\r\n`, wholeAfter: [] },
    { name: "without framing", bytes: `${HEAD}\r\n${BODY}`, wholeAfter: ["fin"] },
    { name: "without framing, of HTTP/1.0", bytes: `HTTP/1.0 200 OK\r\n\r\n${BODY}`, wholeAfter: ["fin"] },
    { name: "in no coding by name", bytes: `${HEAD}Transfer-Encoding: identity\r\n\r\n${BODY}`, wholeAfter: ["fin"] },
    { name: "in an unknown coding", bytes: `${HEAD}Transfer-Encoding: gzip\r\n\r\n${BODY}`, wholeAfter: [] },
    { name: "in an unknown last coding", bytes: `${HEAD}Transfer-Encoding: chunked, x\r\n\r\n${BODY}`, wholeAfter: [] },
    { name: "in an unknown coding and chunks", bytes: CHUNKS.replace("chunked", "gzip, chunked"), wholeAfter: [] },
    {
        name: "with a length and chunks",
        bytes: CHUNKS.replace("\r\n\r\n", "\r\nContent-Length: 15\r\n\r\n"),
        wholeAfter: [],
    },
    { name: "with two lengths", bytes: `${HEAD}Content-Length: 5\r\nContent-Length: 4\r\n\r\n${BODY}`, wholeAfter: [] },
    { name: "of HTTP/2.0", bytes: `HTTP/2.0 200 OK\r\nContent-Length: 5\r\n\r\n${BODY}`, wholeAfter: [] },
];
const ends: readonly End[] = ["fin", "reset"];
const endings = answerReaders.READERS.flatMap(reader =>
    answers.flatMap(answer =>
        ends.map(end => ({ ...reader, ...answer, end, isWhole: answer.wholeAfter.includes(end) }))
    )
);

vitest.describe("an answer is whole only if its framing and its connection prove it", () => {
    vitest.it.each(endings)("$reader, $name, then $end: $isWhole", async ({ read, bytes, end, isWhole }) => {
        const address = await serve(socket => {
            socket.write(bytes);
            endConnection(socket, end);
        });
        vitest.expect(await read(address, undefined)).toBe(isWhole ? BODY : undefined);
    });

    vitest.it.each(answerReaders.READERS.flatMap(reader => answers.map(answer => ({ ...reader, ...answer }))))(
        "$reader, $name, on an open connection",
        async ({ read, bytes, wholeAfter }) => {
            const address = await serve(socket => {
                socket.write(bytes);
                setTimeout(() => socket.destroy(), wholeAfter.includes("open") ? 5_000 : 50).unref();
            });
            vitest.expect(await read(address, undefined)).toBe(wholeAfter.length > 0 ? BODY : undefined);
        },
    );
});

const resets = answerReaders.READERS.flatMap(reader =>
    [undefined, UPLOAD].flatMap(upload =>
        [
            { moment: "at once", delay: (reset: () => void) => reset() },
            { moment: "in the next turn", delay: (reset: () => void) => void setImmediate(reset) },
            { moment: "1 ms later", delay: (reset: () => void) => void setTimeout(reset, 1) },
            { moment: "3 ms later", delay: (reset: () => void) => void setTimeout(reset, 3) },
        ].map(row => ({ ...reader, ...row, upload, request: upload === undefined ? "a small request" : "an upload" }))
    )
);

vitest.describe("a part without framing, and a reset", () => {
    vitest.it.each(resets)("$moment, is never whole: $reader, $request", async ({ read, upload, delay }) => {
        const address = await serve(socket => {
            socket.pause(); // The upload is still being written.
            socket.write(`${HEAD}\r\n${BODY}`);
            delay(() => socket.resetAndDestroy());
        });
        const wholes = [];
        for (let count = 0; count < RESETS; count++) {
            wholes.push(await read(address, upload));
        }
        vitest.expect(wholes.filter(whole => whole !== undefined)).toEqual([]);
    });
});

/** Lines that are no field, or not the one that they look like. */
const oddLines = [
    ...[
        "Content-Length : 5",
        "Content Length: 5",
        "Content-Length\t: 5",
        "Content-\x01Length: 5",
        " Content-Length: 5",
    ],
    ...["Transfer-Encoding : chunked", "Transfer-Encoding\x00: chunked", "Transfer Encoding: chunked"],
    ...["X Odd: 1", "X\tOdd: 1", "X-Odd : 1", "\x0bX-Odd: 1", "X-Odd\x7f: 1", "X-Odd\x80: 1", ": 1", "X-Odd"],
    ...["X-Odd: a\x00b", "X-Odd: a\x01b", "X-Odd: a\x7fb", "X-Odd: a\rb", "(X): 1", "X[1]: 1"],
    ...[
        "Content-Length: +5",
        "Content-Length: -5",
        "Content-Length: 5 5",
        "Content-Length: 5, 5",
        "Content-Length: 0x5",
    ],
];
const statusLines = ["000", "001", "099", "100", "101", "199", "20", "2000", "-20", "abc", ""].map(status => ({
    name: `status ${status}`,
    head: `HTTP/1.1 ${status} Odd\r\nContent-Length: 5\r\n`,
}));
const oddHeads = [
    ...statusLines,
    ...oddLines.flatMap(line => [
        { name: JSON.stringify(line), head: `HTTP/1.1 200 OK\r\n${line}\r\nX-Attempt: a-1\r\n` },
        { name: `${JSON.stringify(line)} last`, head: `HTTP/1.1 200 OK\r\nX-Attempt: a-1\r\n${line}\r\n` },
        {
            name: `${JSON.stringify(line)} beside a length`,
            head: `HTTP/1.1 200 OK\r\nX-Attempt: a-1\r\n${line}\r\n${
                line.includes("Length") ? "" : "Content-Length: 5\r\n"
            }`,
        },
    ]),
];

vitest.describe("a head that isn't that of an answer", () => {
    vitest.it.each(answerReaders.READERS.flatMap(reader => oddHeads.map(head => ({ ...reader, ...head }))))(
        "is none to $reader: $name",
        async ({ read, head }) => {
            const address = await serve(socket => socket.end(`${head}\r\n${BODY}`));
            vitest.expect(await read(address, undefined)).toBeUndefined();
        },
    );
});
