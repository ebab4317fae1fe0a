/**
 * Reads requests to the stand-in of an engine.
 */
import * as http from "node:http";

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
