/**
 * Writes answers to a caller: complete ones, event streams, and answers that this process produces itself.
 */
import * as http from "node:http";
import * as codes from "../../common/Codes";
import * as answerFramings from "../../connection/AnswerFraming";

/** Size up to which the kernel accepts an answer in a single write, so that no part of it is lost with this process. */
const MAX_SINGLE_WRITE_BYTES = 8 * 1024;

/** The answer to one request. */
export class CallerResponse {
    constructor(private readonly response: http.ServerResponse) {}

    /** Whether the headers have been written. */
    get hasBegun(): boolean {
        return this.response.headersSent;
    }

    /**
     * Writes an instance's complete answer. Only its reader can tell whether a close-delimited one is truncated, so that
     * a short one stays close-delimited. A longer one gets a length: if this process is killed while it writes the
     * answer, the connection is closed with a FIN, which would end a close-delimited answer as if it were complete.
     */
    writeComplete(status: number, headers: readonly string[], body: Buffer, framing: answerFramings.Framing): void {
        if (framing === "connection" && body.length <= MAX_SINGLE_WRITE_BYTES) {
            this.writeCloseDelimited(status, headers, body);
            return;
        }
        const hasNoBody = status === 204 || status === 304;
        const length = hasNoBody ? [] : ["Content-Length", String(body.length)];
        this.response.writeHead(status, [...headers, ...length]);
        this.response.end(hasNoBody ? undefined : body);
    }

    /**
     * Starts a stream, in chunks whatever the framing of the instance's answer: without the last chunk, the caller sees
     * that the stream is incomplete, also if this process is killed. Callers that speak HTTP/1.0 can't read chunks.
     */
    begin(status: number, headers: readonly string[]): void {
        this.response.socket?.setNoDelay(true);
        this.response.writeHead(status, [...headers]);
    }

    /** Writes a chunk of a stream; resolves when the socket can buffer more or is closed, undefined if that is so. */
    write(bytes: Buffer): Promise<void> | undefined {
        if (this.response.write(bytes) || this.response.destroyed) {
            return undefined;
        }
        return new Promise(resolve => {
            const finish = (): void => {
                this.response.off("drain", finish);
                this.response.off("close", finish);
                resolve();
            };
            this.response.on("drain", finish);
            this.response.on("close", finish);
        });
    }

    /** Ends a stream as complete. */
    end(): void {
        this.response.end();
    }

    /** Aborts an answer, so that the caller sees it as incomplete: a close-delimited one is reset. */
    abort(): void {
        if (!this.response.useChunkedEncodingByDefault) {
            this.response.socket?.resetAndDestroy();
        }
        this.response.destroy();
    }

    private writeCloseDelimited(status: number, headers: readonly string[], body: Buffer): void {
        this.response.shouldKeepAlive = false;
        this.response.useChunkedEncodingByDefault = false;
        this.response.removeHeader("transfer-encoding");
        this.response.writeHead(status, [...headers]);
        this.response.end(body);
    }
}

/**
 * Writes an answer that this process produces itself, with the result code as its body. The connection of a request that
 * hasn't been read completely is closed after the answer, once `bodyEnd` has resolved.
 */
export function writeLocalAnswer(
    response: http.ServerResponse,
    status: number,
    headers: readonly string[],
    code: codes.ResultCode,
    bodyEnd: Promise<void> | undefined,
): void {
    const body = JSON.stringify({ code: code.code, name: code.name, outcome: code.outcome });
    const length = String(Buffer.byteLength(body));
    response.shouldKeepAlive &&= bodyEnd === undefined; // Unread bytes can't be told from a next request.
    response.writeHead(status, [...headers, "Content-Type", "application/json", "Content-Length", length]);
    if (bodyEnd === undefined) {
        response.end(body);
        return;
    }
    response.write(body);
    void bodyEnd.then(() => response.end());
}
