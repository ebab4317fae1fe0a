/**
 * Framing on a byte stream: a big-endian 32-bit length, followed by one CBOR value of that many bytes.
 */
import * as cbor from "cbor-x";
import * as result from "true-myth/result";
import * as codes from "../common/Codes";
import * as messages from "../common/Messages";
import * as cborChecks from "./CborCheck";

const PREFIX_BYTES = 4;

const encoder = new cbor.Encoder({ useRecords: false, mapsAsObjects: true });

/** Encodes an envelope as one frame. */
export function encodeFrame(envelope: messages.Envelope): Buffer {
    const content = encoder.encode(envelope);
    const frame = Buffer.allocUnsafe(PREFIX_BYTES + content.length);
    frame.writeUInt32BE(content.length, 0);
    frame.set(content, PREFIX_BYTES);
    return frame;
}

/** Decodes a byte stream into validated envelopes. After a failure the rest of the stream can't be trusted. */
export class FrameDecoder {
    private chunks: Buffer[] = [];
    private receivedBytes = 0;

    private hasFrame = false;

    /** Longer frames are malformed; the first one may have a limit of its own. */
    constructor(
        private readonly maxFrameBytes: number = messages.MAX_FRAME_BYTES,
        private readonly maxFirstFrameBytes: number = maxFrameBytes,
    ) {}

    /** Number of bytes received of frames that aren't complete. */
    get bufferedBytes(): number {
        return this.receivedBytes;
    }

    /** Appends received bytes and returns the envelopes that they complete. */
    push(chunk: Buffer): result.Result<messages.Envelope[], codes.Failure> {
        this.chunks.push(chunk);
        this.receivedBytes += chunk.length;
        const envelopes: messages.Envelope[] = [];
        while (this.receivedBytes >= PREFIX_BYTES) {
            const length = this.peekLength();
            if (length > (this.hasFrame ? this.maxFrameBytes : this.maxFirstFrameBytes)) {
                return result.err(codes.failure(codes.codes.frameTooLarge, `${length} bytes`));
            }
            if (this.receivedBytes < PREFIX_BYTES + length) {
                break;
            }
            const decoded = decodeContent(this.consume(PREFIX_BYTES + length).subarray(PREFIX_BYTES));
            if (decoded.isErr) {
                return result.err(decoded.error);
            }
            this.hasFrame = true;
            envelopes.push(decoded.value);
        }
        return result.ok(envelopes);
    }

    /** Forgets what has been received. */
    clear(): void {
        this.chunks = [];
        this.receivedBytes = 0;
    }

    private peekLength(): number {
        const first = this.chunks[0];
        if (first === undefined || first.length < PREFIX_BYTES) {
            this.chunks = [Buffer.concat(this.chunks)];
        }
        return this.chunks[0]!.readUInt32BE(0);
    }

    private consume(length: number): Buffer {
        const first = this.chunks[0]!;
        const joined = first.length >= length ? first : Buffer.concat(this.chunks);
        if (joined !== first) {
            this.chunks = [joined];
        }
        const rest = joined.subarray(length);
        if (rest.length === 0) {
            this.chunks.shift();
        }
        else {
            this.chunks[0] = rest;
        }
        this.receivedBytes -= length;
        return joined.subarray(0, length);
    }
}

function decodeContent(content: Buffer): result.Result<messages.Envelope, codes.Failure> {
    if (!cborChecks.isDecodable(content)) {
        return result.err(codes.failure(codes.codes.frameMalformed, "a tag or a size that no message has"));
    }
    let value: unknown;
    try {
        value = encoder.decode(content);
    }
    catch (error) {
        return result.err(codes.failure(codes.codes.frameMalformed, String(error)));
    }
    const parsed = messages.envelopeSchema.safeParse(value);
    if (!parsed.success) {
        return result.err(codes.failure(codes.codes.frameMalformed, parsed.error.issues[0]?.message ?? "schema"));
    }
    return result.ok(parsed.data);
}
