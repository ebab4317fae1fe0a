/**
 * Reads requests to the stand-in of an engine, and writes refusals.
 */
import * as http from "node:http";
import * as engineFaults from "./EngineFaults";

/** Whether a call has stages, so that it needs their results. */
export function hasPieces(headers: http.IncomingHttpHeaders): boolean {
    return String(headers["pieces"] ?? "").split(",").some(count => Number(count) > 0);
}

/** Whether a call's prompt has a part. */
export function hasPart(headers: http.IncomingHttpHeaders, part: string): boolean {
    return String(headers["prefix-hash"] ?? "").split(",").some(entry => entry.startsWith(`${part}:`));
}

/** Reads the body of a request. */
export async function readBody(request: http.IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString("utf8");
}

/** The header with which an engine names the attempt that it answers. */
export function echoAttempt(attempt: string | undefined): Record<string, string> {
    return attempt === undefined ? {} : { "Attempt-Id": attempt };
}

/** Answers a request with a part of the head of a success, if that is the engine's fault; returns whether it is. */
export function breakHead(
    { headers, socket }: http.IncomingMessage,
    engine: string,
    fault: engineFaults.BrokenHead | undefined,
): boolean {
    if (fault !== undefined) {
        const length = fault.hasLength ? "Content-Length: 24\r\n" : "";
        const attempt = String(headers["attempt-id"]);
        const head = `HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nRoute-Stamp: stamp-${engine}\r\n${length}\r\n`;
        socket.end(head.slice(0, fault.bytes));
    }
    return fault !== undefined;
}

/** The bytes of a refusal of another attempt; `unnamed` for one that names none. */
export function encodeRefusal(attempt: string): string {
    const name = attempt === "unnamed" ? "" : `Attempt-Id: ${attempt}\r\n`;
    return `HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n${name}Retry-After: 1\r\nContent-Length: 0\r\n\r\n`;
}
