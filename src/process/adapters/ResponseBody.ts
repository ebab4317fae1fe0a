/**
 * Collects the body of a response, with limits on its size and on its framing.
 */
import * as codes from "../../common/Codes";
import * as answerLimits from "../../connection/AnswerLimits";
import * as byteCollectors from "../../connection/ByteCollector";

/** Maximum size of a response body if the request doesn't specify one. */
const DEFAULT_MAX_BYTES = 4 * 1024 * 1024;

/** Limits on a response body. */
export interface ResponseBodyLimits {
    readonly maxResponseBytes?: number;
    /** Code of the failure if the response is larger; undefined for `malformed-answer`. */
    readonly tooLargeCode?: codes.ResultCode;
}

/** The body of one response. */
export class ResponseBody {
    private readonly collector = new byteCollectors.ByteCollector();
    private readonly chunkCount = new answerLimits.ChunkCount();

    constructor(private readonly limits: ResponseBodyLimits) {}

    /** Counts a chunk, also of a body that isn't collected; fails if the body is mostly framing. */
    count(chunk: Buffer): codes.Failure | undefined {
        return this.chunkCount.add(chunk.length)
            ? undefined
            : codes.failure(codes.codes.malformedAnswer, "chunks that carry next to nothing");
    }

    /** Adds a chunk; fails if the body is too large. */
    add(chunk: Buffer): codes.Failure | undefined {
        const { maxResponseBytes = DEFAULT_MAX_BYTES, tooLargeCode = codes.codes.malformedAnswer } = this.limits;
        this.collector.add(chunk);
        return this.collector.size > maxResponseBytes
            ? codes.failure(tooLargeCode, `more than ${this.collector.size} bytes`)
            : undefined;
    }

    /** Removes and returns the collected bytes. */
    take(): Buffer {
        return this.collector.take();
    }
}
