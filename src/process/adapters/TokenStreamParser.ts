/**
 * Parser for token streams in newline-delimited JSON: parts `{offset, tokens}` that follow each other without a gap,
 * and a last line `{end: true, tokens}` with the total number of tokens.
 */
import * as z from "zod";
import * as codes from "../../common/Codes";
import * as ports from "../../common/Ports";
import * as byteCollectors from "../../connection/ByteCollector";
import * as httpRequests from "./HttpRequest";

const MAX_LINE_BYTES = 256 * 1024;
const MAX_TOKENS_PER_PART = 10_000;
/** Number of parts in a row that may have no tokens. */
const MAX_EMPTY_PARTS = 1_000;
const NEWLINE_BYTE = 0x0a;

const partSchema = z.object({ offset: z.int().min(0), tokens: z.array(z.string()).max(MAX_TOKENS_PER_PART) });
const endSchema = z.object({ end: z.literal(true), tokens: z.int().min(0), body: z.unknown().optional() });
/** Parts come first because almost all lines are parts; no line matches both schemas. */
const lineSchema = z.union([partSchema, endSchema]);

/** The last line of a stream. */
export type StreamEnd = z.infer<typeof endSchema>;

/** Splits chunks into lines and passes on their parts. */
export class TokenStreamParser {
    private readonly line = new byteCollectors.ByteCollector();
    private emptyParts = 0;
    private endLine: StreamEnd | undefined;

    /** `nextOffset` is the offset of the first token expected; `onPart` receives each part. */
    constructor(private nextOffset: number, private readonly onPart: (part: ports.UpstreamPart) => void) {}

    /** The last line; undefined until it was received. */
    get end(): StreamEnd | undefined {
        return this.endLine;
    }

    /** Parses a chunk; fails with `malformed-answer` or `stream-broken`, after which the stream must be closed. */
    push(chunk: Buffer): codes.Failure | undefined {
        let start = 0;
        let newline = chunk.indexOf(NEWLINE_BYTE);
        while (newline !== -1) {
            this.line.add(chunk.subarray(start, newline));
            const failure = this.parseLine(this.line.take());
            if (failure !== undefined) {
                return failure;
            }
            start = newline + 1;
            newline = chunk.indexOf(NEWLINE_BYTE, start);
        }
        return this.bufferRemainder(chunk.subarray(start));
    }

    private bufferRemainder(remainder: Buffer): codes.Failure | undefined {
        if (remainder.length > 0) {
            this.line.add(remainder);
        }
        return this.line.size > MAX_LINE_BYTES ? malformed(`a line of ${this.line.size} bytes`) : undefined;
    }

    private parseLine(line: Buffer): codes.Failure | undefined {
        if (line.length > MAX_LINE_BYTES) {
            return malformed(`a line of ${line.length} bytes`);
        }
        if (this.endLine !== undefined) {
            return malformed("a line after the last");
        }
        const json = httpRequests.parseJson(line);
        if (json.isErr) {
            return json.error;
        }
        const parsed = lineSchema.safeParse(json.value);
        if (!parsed.success) {
            return malformed(parsed.error.issues[0]?.message ?? "schema");
        }
        return "end" in parsed.data ? this.acceptEnd(parsed.data) : this.acceptPart(parsed.data);
    }

    private acceptPart(part: ports.UpstreamPart): codes.Failure | undefined {
        if (part.offset !== this.nextOffset) {
            return malformed(`offset ${part.offset} in place of ${this.nextOffset}`);
        }
        this.emptyParts = part.tokens.length === 0 ? this.emptyParts + 1 : 0;
        if (this.emptyParts > MAX_EMPTY_PARTS) {
            return codes.failure(codes.codes.streamBroken, `${this.emptyParts} parts without tokens in a row`);
        }
        this.nextOffset += part.tokens.length;
        this.onPart(part);
        return undefined;
    }

    private acceptEnd(end: StreamEnd): codes.Failure | undefined {
        if (end.tokens !== this.nextOffset) {
            return codes.failure(codes.codes.streamBroken, `ended at ${this.nextOffset} of ${end.tokens} tokens`);
        }
        this.endLine = end;
        return undefined;
    }
}

function malformed(detail: string): codes.Failure {
    return codes.failure(codes.codes.malformedAnswer, detail);
}
