/**
 * Guards against a part of an answer that is taken for the whole: answers of random framing, size and length of their part,
 * and a random end of the connection, for both readers.
 */
import * as net from "node:net";
import * as vitest from "vitest";
import * as answerReaders from "../../standins/AnswerReaders";
import * as randoms from "../common/Random";

const SEEDS = [6201, 6202, 6203, 6204];
const ANSWERS = 150;
/** Less than the operating system delivers at once on loopback, so that a reset takes nothing away. */
const MAX_BODY_BYTES = 20_000;
const MAX_CHUNK_BYTES = 3_000;
const MAX_DELAY_MS = 5;
const HEAD = "HTTP/1.1 200 OK\r\nX-Attempt: a-1\r\n";
const FRAMINGS = ["length", "chunked", "connection", "identity"] as const;
const UPLOAD = "x".repeat(3_000_000);

/** An answer as it is sent, and what a reader may take for whole. */
interface HalfAnswer {
    readonly bytes: string;
    readonly end: "fin" | "reset";
    /** Time from the last byte to the end; undefined for the same turn. */
    readonly delayMs: number | undefined;
    readonly upload: string | undefined;
    readonly whole: string | undefined;
    /** Whether a write that fails may close the connection before the answer is read. */
    readonly mayBeLost: boolean;
}

function pickInteger(random: randoms.Random, max: number): number {
    return Math.floor(random() * (max + 1));
}

function createAnswer(random: randoms.Random): HalfAnswer {
    const body = "b".repeat(pickInteger(random, MAX_BODY_BYTES));
    const framing = FRAMINGS[pickInteger(random, FRAMINGS.length - 1)]!;
    const { head, text } = encode(random, framing, body);
    const bytes = `${HEAD}${head}\r\n${text}`;
    const sent = bytes.slice(0, random() < 0.4 ? bytes.length : pickInteger(random, bytes.length));
    const end = random() < 0.5 ? "fin" : "reset";
    const headBytes = bytes.length - text.length;
    const isOfLength = framing === "length" || framing === "chunked";
    const upload = random() < 0.3 ? UPLOAD : undefined;
    const isFinWhole = !isOfLength && end === "fin" && sent.length >= headBytes;
    return {
        bytes: sent,
        end,
        delayMs: random() < 0.5 ? undefined : pickInteger(random, MAX_DELAY_MS),
        upload,
        whole: isOfLength && sent.length === bytes.length ? body : isFinWhole ? sent.slice(headBytes) : undefined,
        mayBeLost: upload !== undefined && end === "reset",
    };
}

function encode(
    random: randoms.Random,
    framing: typeof FRAMINGS[number],
    body: string,
): { readonly head: string; readonly text: string } {
    switch (framing) {
        case "length":
            return { head: `Content-Length: ${body.length}\r\n`, text: body };
        case "chunked":
            return { head: "Transfer-Encoding: chunked\r\n", text: encodeChunks(random, body) };
        case "connection":
            return { head: "", text: body };
        case "identity":
            return { head: "Transfer-Encoding: identity\r\n", text: body };
    }
}

function encodeChunks(random: randoms.Random, body: string): string {
    let text = "";
    for (let start = 0; start < body.length;) {
        const chunk = body.slice(start, start + 1 + pickInteger(random, MAX_CHUNK_BYTES));
        text += `${chunk.length.toString(16)}\r\n${chunk}\r\n`;
        start += chunk.length;
    }
    return `${text}0\r\n\r\n`;
}

function send(socket: net.Socket, { bytes, end, delayMs }: HalfAnswer): void {
    const close = (): void => void (end === "fin" ? socket.end() : socket.resetAndDestroy());
    socket.write(bytes);
    if (delayMs === undefined) {
        close();
    }
    else {
        setTimeout(close, delayMs);
    }
}

const cases = answerReaders.READERS.flatMap(reader => SEEDS.map(seed => ({ ...reader, seed })));

vitest.describe("answers that end anywhere", () => {
    vitest.it.each(cases)("are whole only if they are proved so: $reader, seed $seed", async ({ read, seed }) => {
        const random = randoms.createRandom(seed);
        for (let count = 0; count < ANSWERS; count++) {
            const answer = createAnswer(random);
            const server = await answerReaders.serve(socket => send(socket, answer));
            const body = await read(server.address, answer.upload);
            server.dispose();
            if (body !== undefined || !answer.mayBeLost) {
                const { whole, ...sent } = answer;
                const described = { ...sent, upload: sent.upload?.length, bytes: sent.bytes.slice(0, 100), count };
                vitest.expect({ ...described, body }).toEqual({ ...described, body: whole });
            }
        }
    });
});
