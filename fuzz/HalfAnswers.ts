/**
 * Answers of engines that break off anywhere: random framing, size, part and end of the connection; and what callers may take
 * for whole.
 */
import * as randoms from "../src/common/Random";
import * as engineInputs from "./EngineInputs";
import * as mutations from "./Mutation";

/** Less than the operating system delivers at once on loopback, so that a reset takes nothing away. */
const MAX_BODY_BYTES = 20_000;
const MAX_CHUNK_BYTES = 3_000;
const MAX_PARTS = 3;
const MAX_PAUSE_MS = 5;
/** Share of the answers of which everything is sent, so that the engines aren't avoided. */
const ALL_SENT_SHARE = 0.6;
const EVENT_COUNT = 8;
const MAX_EVENT_BYTES = 2_000;
const FRAMINGS = ["length", "chunked", "connection", "identity"] as const;

type Framing = typeof FRAMINGS[number];

/** The answers that were sent, and the bodies that their callers may get as whole. */
export class HalfAnswers {
    private readonly wholesByAttempt = new Map<string, Set<string>>();

    constructor(private readonly random: randoms.Random) {}

    /** Creates the answer to a request. */
    create(question: engineInputs.EngineQuestion): engineInputs.EngineAnswer {
        const { random } = this;
        const isStream = question.path.startsWith("/oddstream");
        const framing = mutations.pick(random, FRAMINGS);
        const body = isStream ? createEvents() : "b".repeat(mutations.pickInteger(random, 0, MAX_BODY_BYTES));
        const head = createHead(question.attempt, framing, body.length, isStream);
        const text = framing === "chunked" ? encodeChunks(random, body) : body;
        const allBytes = `${head}${text}`;
        const sent = random() < ALL_SENT_SHARE
            ? allBytes
            : allBytes.slice(0, mutations.pickInteger(random, 0, allBytes.length - 1));
        const hasAll = sent.length === allBytes.length;
        const isFramed = framing === "length" || framing === "chunked";
        // A FIN in the middle of an answer that the connection delimits can't be told from its end.
        const end = isFramed || hasAll ? mutations.pick(random, ["close", "reset"] as const) : "reset";
        if (hasAll && (isFramed || end === "close")) {
            this.wholesOf(question.attempt).add(body);
        }
        return {
            parts: mutations.splitBytes(random, Buffer.from(sent, "latin1"), MAX_PARTS),
            pauseMs: mutations.pickInteger(random, 0, MAX_PAUSE_MS),
            end,
        };
    }

    /** Whether a caller may get this body as the whole answer to its attempt. */
    mayBeWhole(attempt: string, body: string): boolean {
        return this.wholesOf(attempt).has(body);
    }

    private wholesOf(attempt: string): Set<string> {
        const wholes = this.wholesByAttempt.get(attempt) ?? new Set<string>();
        this.wholesByAttempt.set(attempt, wholes);
        return wholes;
    }
}

/** The same events in each answer, so that streams can be resumed. */
function createEvents(): string {
    return Array.from({ length: EVENT_COUNT }, (_, index) => {
        const data = `part ${index + 1} `.padEnd((index + 1) * MAX_EVENT_BYTES / EVENT_COUNT, "e");
        return `id: ${index + 1}\ndata: ${data}\n\n`;
    }).join("");
}

function createHead(attempt: string, framing: Framing, length: number, isStream: boolean): string {
    const lines = ["HTTP/1.1 200 OK", `Attempt-Id: ${attempt}`, "Route-Stamp: stamp"];
    lines.push(`Content-Type: ${isStream ? "text/event-stream" : "text/plain"}`);
    switch (framing) {
        case "length":
            lines.push(`Content-Length: ${length}`);
            break;
        case "chunked":
        case "identity":
            lines.push(`Transfer-Encoding: ${framing}`);
            break;
        case "connection":
    }
    return `${lines.join("\r\n")}\r\n\r\n`;
}

function encodeChunks(random: randoms.Random, body: string): string {
    let text = "";
    for (let start = 0; start < body.length;) {
        const chunk = body.slice(start, start + mutations.pickInteger(random, 1, MAX_CHUNK_BYTES));
        text += `${chunk.length.toString(16)}\r\n${chunk}\r\n`;
        start += chunk.length;
    }
    return `${text}0\r\n\r\n`;
}
