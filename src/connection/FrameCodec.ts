/**
 * Framing on a byte stream: a big-endian 32-bit length, followed by one CBOR value of that many bytes.
 */
import * as cbor from "cbor-x";
import * as result from "true-myth/result";
import * as codes from "../common/Codes";
import * as messages from "../common/Messages";
import * as byteCollectors from "./ByteCollector";
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
    private readonly pending = new byteCollectors.ByteCollector();
    /** Bytes of the first pending frame, its prefix included; the prefix alone until it has arrived. */
    private neededBytes = PREFIX_BYTES;
    private hasFrame = false;

    /** Longer frames are malformed; the first one may have a limit of its own. */
    constructor(
        private readonly maxFrameBytes: number = messages.MAX_FRAME_BYTES,
        private readonly maxFirstFrameBytes: number = maxFrameBytes,
    ) {}

    /** Number of bytes received of frames that aren't complete. */
    get bufferedBytes(): number {
        return this.pending.size;
    }

    /** Appends received bytes and returns the envelopes that they complete. */
    push(chunk: Buffer): result.Result<messages.Envelope[], codes.Failure> {
        this.pending.add(chunk);
        return this.pending.size < this.neededBytes ? result.ok([]) : this.decodePending();
    }

    private decodePending(): result.Result<messages.Envelope[], codes.Failure> {
        const envelopes: messages.Envelope[] = [];
        let rest = this.pending.take();
        this.neededBytes = PREFIX_BYTES;
        while (rest.length >= PREFIX_BYTES) {
            const length = rest.readUInt32BE(0);
            if (length > (this.hasFrame ? this.maxFrameBytes : this.maxFirstFrameBytes)) {
                return result.err(codes.failure(codes.codes.frameTooLarge, `${length} bytes`));
            }
            this.neededBytes = PREFIX_BYTES + length;
            if (rest.length < this.neededBytes) {
                break;
            }
            const decoded = decodeContent(rest.subarray(PREFIX_BYTES, this.neededBytes));
            if (decoded.isErr) {
                return result.err(decoded.error);
            }
            this.hasFrame = true;
            envelopes.push(decoded.value);
            rest = rest.subarray(this.neededBytes);
            this.neededBytes = PREFIX_BYTES;
        }
        this.pending.add(rest);
        return result.ok(envelopes);
    }

    /** Forgets what has been received. */
    clear(): void {
        this.pending.take();
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
