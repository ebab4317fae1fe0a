/**
 * Reads headers of responses from external systems.
 */
import * as http from "node:http";

/** A response, as far as its headers are read. */
interface HeaderSource {
    readonly headers: http.IncomingHttpHeaders;
}

/** Converts a `retry-after` header, which is in seconds; undefined if it is missing or not a number. */
export function readRetryAfterMs(response: HeaderSource): number | undefined {
    const seconds = Number(response.headers["retry-after"]);
    return Number.isFinite(seconds) && seconds >= 0 ? Math.ceil(seconds * 1_000) : undefined;
}

/** Value of a header; undefined if it is missing, empty or longer than 200 characters. */
export function readHeader(response: HeaderSource, name: string): string | undefined {
    const value = response.headers[name];
    return typeof value === "string" && value.length > 0 && value.length <= 200 ? value : undefined;
}
