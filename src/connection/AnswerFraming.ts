/**
 * How the body of an answer is delimited, and whether a body that has ended is whole: RFC 9112, section 6.3. All readers of
 * answers decide it here. Designed for instances that break off in the middle of an answer, or whose heads can be read in
 * more than one way.
 */
import * as http from "node:http";
import * as net from "node:net";

/**
 * What ends a body: `none`: it has none; `length` and `chunked`: its own framing; `connection`: the end of its connection,
 * which proves it whole only if the instance has closed it with a FIN.
 */
export type Framing = "none" | "length" | "chunked" | "connection";

/** How the connection of an answer has ended, as far as it has; `closed`: by this process. */
export type ConnectionEnd = "open" | "fin" | "reset" | "closed";

/** The head of an answer, as far as its framing depends on it. */
export interface AnswerHead {
    /** Method of the request. */
    readonly method: string;
    readonly status: number;
    /** Such as `1.1`. */
    readonly httpVersion: string;
    readonly headers: http.IncomingHttpHeaders;
    /** Alternating names and values. */
    readonly rawHeaders: readonly string[];
}

/** Lower statuses aren't those of an answer: Node.js parses them, but refuses to write them. */
const MIN_FINAL_STATUS = 200;
/** The only version whose framing is known, beside HTTP/1.0, which has no chunks. */
const CHUNKED_VERSION = "1.1";
const KNOWN_VERSIONS: ReadonlySet<string> = new Set(["1.0", CHUNKED_VERSION]);
const NO_BODY_STATUSES: ReadonlySet<number> = new Set([204, 304]);
/** Characters of a field's name (a token). With any other one the line isn't the field that it looks like. */
const FIELD_NAME_PATTERN = /^[\w!#$%&'*+\-.^`|~]+$/;
/** Characters of a field's value: no control characters but the tab. */
const FIELD_VALUE_PATTERN = /^[\t\x20-\x7e\x80-\xff]*$/;

/** How the body of an answer is delimited; `malformed` if the head isn't that of an answer, or can be read in two ways. */
export function findFraming(head: AnswerHead): Framing | "malformed" {
    const { headers, method, status } = head;
    const isKnown = KNOWN_VERSIONS.has(head.httpVersion) && status >= MIN_FINAL_STATUS;
    if (!isKnown || !hasSoundFields(head.rawHeaders)) {
        return "malformed";
    }
    const coding = headers["transfer-encoding"]?.trim().toLowerCase();
    const length = headers["content-length"];
    if (coding !== undefined && (length !== undefined || head.httpVersion !== CHUNKED_VERSION)) {
        return "malformed";
    }
    if (method === "HEAD" || NO_BODY_STATUSES.has(status)) {
        return "none";
    }
    if (coding !== undefined) {
        return framingOfCoding(coding);
    }
    return length === undefined ? "connection" : "length";
}

/** The framing of a body in a transfer coding. Other ones than these two aren't decoded, nor may they be passed on. */
function framingOfCoding(coding: string): Framing | "malformed" {
    switch (coding) {
        case "chunked":
            return "chunked";
        case "identity":
            return "connection";
        default:
            return "malformed";
    }
}

function hasSoundFields(rawHeaders: readonly string[]): boolean {
    return rawHeaders.every((text, index) => (index % 2 === 0 ? FIELD_NAME_PATTERN : FIELD_VALUE_PATTERN).test(text));
}

/** Whether a body is whole whose end has been parsed, given how its connection had ended by then. */
export function isWhole(framing: Framing, hasEnded: boolean, end: ConnectionEnd): boolean {
    return hasEnded && (framing !== "connection" || end === "fin");
}

/** Watches the end of an answer whose head has arrived; undefined if the head is malformed. */
export function openEnd(method: string, response: http.IncomingMessage): AnswerEnd | undefined {
    const { headers, httpVersion, rawHeaders, statusCode = 0 } = response;
    const framing = findFraming({ method, status: statusCode, httpVersion, headers, rawHeaders });
    return framing === "malformed" ? undefined : new AnswerEnd(response, framing);
}

/** The end of one answer. */
export class AnswerEnd {
    private readonly socket: net.Socket;
    private hasSeenFin = false;
    /** Bytes of the body that its reader has got. */
    bodyBytes = 0;

    constructor(private readonly response: http.IncomingMessage, readonly framing: Framing) {
        this.socket = response.socket;
        if (framing === "connection") {
            // The socket's reads are paced, which reports no end after a reset.
            this.socket.once("end", () => this.hasSeenFin = true);
        }
    }

    /** Whether a body that has ended is whole. */
    get isWhole(): boolean {
        return isWhole(this.framing, this.response.complete, this.connectionEnd);
    }

    /** How the connection has ended so far. */
    get connectionEnd(): ConnectionEnd {
        if (this.hasSeenFin) {
            return "fin";
        }
        if (this.socket.errored) {
            return "reset";
        }
        return this.socket.readableEnded ? "fin" : this.socket.destroyed ? "closed" : "open";
    }
}
