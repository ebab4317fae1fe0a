/**
 * Reads a stream of newline-delimited JSON: parts `{offset, tokens}` that follow each other without a gap,
 * and a last line `{end: true, tokens}` with the whole answer's length.
 */
import * as z from "zod";
import * as codes from "../../common/Codes";
import * as ports from "../../common/Ports";
import * as requests from "./HttpRequest";

const MAX_LINE_BYTES = 256 * 1024;
const MAX_TOKENS_PER_PART = 10_000;
const NEWLINE = 0x0a;

const partSchema = z.object({ offset: z.int().min(0), tokens: z.array(z.string()).max(MAX_TOKENS_PER_PART) });
const endSchema = z.object({ end: z.literal(true), tokens: z.int().min(0), body: z.unknown().optional() });
/** Almost all lines are parts, so that is tried first; no line fits both. */
const lineSchema = z.union([partSchema, endSchema]);

/** The last line of a stream. */
export type StreamEnd = z.infer<typeof endSchema>;

/** Cuts chunks into lines and hands on their parts. */
export class TokenStream {
    private chunks: Buffer[] = [];
    private buffered = 0;
    private lastLine: StreamEnd | undefined;

    /** `offset` is that of the next token expected. */
    constructor(private offset: number, private readonly onPart: (part: ports.UpstreamPart) => void) {}

    /** The last line; undefined while it has not come. */
    get end(): StreamEnd | undefined {
        return this.lastLine;
    }

    /** Takes in bytes; the failure `malformed-answer` or `stream-broken` ends the stream. */
    push(chunk: Buffer): codes.Failure | undefined {
        let start = 0;
        let newline = chunk.indexOf(NEWLINE);
        while (newline !== -1) {
            this.chunks.push(chunk.subarray(start, newline));
            const problem = this.takeLine(Buffer.concat(this.chunks));
            this.chunks = [];
            this.buffered = 0;
            if (problem !== undefined) {
                return problem;
            }
            start = newline + 1;
            newline = chunk.indexOf(NEWLINE, start);
        }
        return this.keep(chunk.subarray(start));
    }

    private keep(rest: Buffer): codes.Failure | undefined {
        if (rest.length > 0) {
            this.chunks.push(rest);
            this.buffered += rest.length;
        }
        return this.buffered > MAX_LINE_BYTES ? malformed(`a line of ${this.buffered} bytes`) : undefined;
    }

    private takeLine(line: Buffer): codes.Failure | undefined {
        if (line.length > MAX_LINE_BYTES) {
            return malformed(`a line of ${line.length} bytes`);
        }
        if (this.lastLine !== undefined) {
            return malformed("a line after the last");
        }
        const content = requests.parseJson(line);
        if (content.isErr) {
            return content.error;
        }
        const parsed = lineSchema.safeParse(content.value);
        if (!parsed.success) {
            return malformed(parsed.error.issues[0]?.message ?? "schema");
        }
        return "end" in parsed.data ? this.takeEnd(parsed.data) : this.takePart(parsed.data);
    }

    private takePart(part: ports.UpstreamPart): codes.Failure | undefined {
        if (part.offset !== this.offset) {
            return malformed(`offset ${part.offset} in place of ${this.offset}`);
        }
        this.offset += part.tokens.length;
        this.onPart(part);
        return undefined;
    }

    private takeEnd(end: StreamEnd): codes.Failure | undefined {
        if (end.tokens !== this.offset) {
            return codes.failure(codes.codes.streamBroken, `ended at ${this.offset} of ${end.tokens} tokens`);
        }
        this.lastLine = end;
        return undefined;
    }
}

function malformed(detail: string): codes.Failure {
    return codes.failure(codes.codes.malformedAnswer, detail);
}
