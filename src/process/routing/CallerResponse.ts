/**
 * Writes answers to a caller: whole ones, streams of events, and this system's own.
 */
import * as http from "node:http";
import * as codes from "../../common/Codes";

/** The answer to one request. */
export class CallerResponse {
    constructor(private readonly response: http.ServerResponse) {}

    /** Whether the headers have been written. */
    get hasBegun(): boolean {
        return this.response.headersSent;
    }

    /**
     * Writes an instance's whole answer. One whose instance didn't say where it ends is passed on in the same way:
     * only its reader can tell whether it is complete, so that it mustn't get a length here.
     */
    writeComplete(status: number, headers: readonly string[], body: Buffer, isFramed: boolean): void {
        if (!isFramed) {
            this.begin(status, headers, isFramed);
            this.response.end(body);
            return;
        }
        const hasNoBody = status === 204 || status === 304;
        const length = hasNoBody ? [] : ["Content-Length", String(body.length)];
        this.response.writeHead(status, [...headers, ...length]);
        this.response.end(hasNoBody ? undefined : body);
    }

    /** Whether the answer ends with its connection and nothing else. */
    get isUnframed(): boolean {
        return !this.response.useChunkedEncodingByDefault;
    }

    /** Begins a stream; one whose instance doesn't say where it ends is passed on in the same way. */
    begin(status: number, headers: readonly string[], isFramed: boolean): void {
        if (!isFramed) {
            this.response.shouldKeepAlive = false;
            this.response.useChunkedEncodingByDefault = false;
            this.response.removeHeader("transfer-encoding");
        }
        this.response.socket?.setNoDelay(true);
        this.response.writeHead(status, [...headers]);
    }

    /** Writes a part of a stream; resolves when the caller can take more or has left. */
    write(bytes: Buffer): Promise<void> {
        if (this.response.write(bytes) || this.response.destroyed) {
            return Promise.resolve();
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

    /** Ends a stream so that it doesn't look complete. */
    breakOff(): void {
        this.response.destroy();
    }
}

/** Writes an answer of this system's own, with the result code as its body. */
export function writeLocalAnswer(
    response: http.ServerResponse,
    status: number,
    headers: readonly string[],
    code: codes.ResultCode,
): void {
    const body = JSON.stringify({ code: code.code, name: code.name, outcome: code.outcome });
    const length = String(Buffer.byteLength(body));
    response.writeHead(status, [...headers, "Content-Type", "application/json", "Content-Length", length]);
    response.end(body);
}
