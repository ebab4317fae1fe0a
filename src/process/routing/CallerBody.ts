/**
 * Reads the body of a caller's request, with limits on its size and on its idle time.
 */
import * as http from "node:http";
import * as result from "true-myth/result";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as bodyTimeouts from "../../connection/BodyTimeout";
import * as byteCollectors from "../../connection/ByteCollector";
import * as bufferAccounts from "../buffers/BufferAccount";

/** Longest time in which the rest of a body is read whose request has already been answered. */
const DISCARD_LIMIT_MS = 2_000;
/** Retry delay of a request for whose body there is no room. */
const NO_ROOM_RETRY_MS = 500;

/** Limits on a request body. */
export interface BodyLimits {
    readonly maxBytes: number;
    /** Longest time between two chunks. */
    readonly idleMs: number;
}

/**
 * Reads a complete body, whose bytes `buffers` accounts for: those of a stated length before the first arrives, otherwise
 * those that are held. However a proper caller cuts its body, it is read as long as it flows. Failures:
 * `body-too-large`, `request-timeout`, `buffers-full`, and `cancelled` if the caller disconnected.
 */
export function readCallerBody(
    message: http.IncomingMessage,
    limits: BodyLimits,
    buffers: Pick<bufferAccounts.BufferHold, "tryAddBody">,
    clock: clocks.Clock,
): Promise<result.Result<Buffer, codes.Failure>> {
    const statedBytes = Number(message.headers["content-length"] ?? 0);
    if (statedBytes > limits.maxBytes) {
        return Promise.resolve(result.err(codes.failure(codes.codes.bodyTooLarge, "content-length")));
    }
    if (statedBytes > 0 && !buffers.tryAddBody(statedBytes)) {
        return Promise.resolve(result.err(createNoRoomFailure(statedBytes)));
    }
    return new Promise(resolve => {
        const collector = new byteCollectors.ByteCollector(statedBytes > 0 ? statedBytes : limits.maxBytes);
        let accountedBytes = statedBytes;
        const timeout = new bodyTimeouts.BodyTimeout({
            clock,
            limits: { silenceMs: limits.idleMs, minBytesPerSecond: 0 },
            onTimeout: () =>
                finish(result.err(codes.failure(codes.codes.requestTimeout, `idle for ${limits.idleMs} ms`))),
        });
        const finish = (outcome: result.Result<Buffer, codes.Failure>): void => {
            timeout.dispose();
            message.removeAllListeners("data");
            resolve(outcome);
        };
        message.on("data", (chunk: Buffer) => {
            timeout.receive(chunk.length);
            collector.add(chunk);
            const addedBytes = collector.heldBytes - accountedBytes;
            if (collector.size > limits.maxBytes) {
                finish(result.err(codes.failure(codes.codes.bodyTooLarge, `${collector.size} bytes`)));
            }
            else if (addedBytes > 0 && !buffers.tryAddBody(addedBytes)) {
                finish(result.err(createNoRoomFailure(collector.size)));
            }
            else {
                accountedBytes += Math.max(0, addedBytes);
            }
        });
        message.on("end", () => finish(result.ok(collector.take())));
        message.on("error", () => undefined); // The close event follows.
        message.on("close", () => finish(result.err(codes.failure(codes.codes.cancelled, "the caller left"))));
    });
}

function createNoRoomFailure(bytes: number): codes.Failure {
    return codes.failure(codes.codes.buffersFull, `no room for ${bytes} bytes`, NO_ROOM_RETRY_MS);
}

/**
 * Reads the rest of a body and discards it; resolves at its end, when the caller disconnects, or at a time limit. A
 * connection that is closed with unread bytes is reset, and its caller may lose the answer.
 */
export function discardCallerBody(message: http.IncomingMessage, clock: clocks.Clock): Promise<void> {
    if (message.complete || message.destroyed) {
        return Promise.resolve();
    }
    return new Promise(resolve => {
        const timer = clock.schedule(DISCARD_LIMIT_MS, resolve);
        const finish = (): void => {
            timer.dispose();
            resolve();
        };
        message.on("end", finish);
        message.on("close", finish);
        message.resume();
    });
}
