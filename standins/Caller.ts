/**
 * HTTP client that calls an entry as callers do and collects the answer or stream.
 */
import * as http from "node:http";
import * as addresses from "../src/common/Address";
import * as clocks from "../src/common/Clock";
import * as answers from "../src/request/CallerAnswer";

/** A call to an entry. */
export interface EntryCall {
    /** IP address and port of the entry. */
    readonly address: string;
    readonly path: string;
    readonly team: string;
    readonly body: unknown;
    readonly key?: string | undefined;
    readonly deadlineMs?: number | undefined;
    readonly priority?: number | undefined;
    /** Whether to request the answer as a stream. */
    readonly streams?: boolean | undefined;
    readonly agent?: http.Agent | undefined;
    readonly signal?: AbortSignal | undefined;
}

/** A token of a stream with its offset. */
export interface ReceivedToken {
    readonly offset: number;
    readonly token: string;
}

/** The reply to a call. */
export interface EntryReply {
    /** HTTP status; 0 if the connection ended before an answer. */
    readonly status: number;
    /** The answer, or the end or error event of a stream; undefined if none was received. */
    readonly answer: answers.AnswerBody | undefined;
    readonly retryAfter: string | undefined;
    readonly tokens: readonly ReceivedToken[];
    readonly elapsedMs: number;
    readonly firstTokenMs: number | undefined;
}

/** Sends a call. The promise never rejects. */
export function callEntry(call: EntryCall): Promise<EntryReply> {
    const clock = clocks.systemClock;
    const startedMs = clock.now();
    const { host, port } = addresses.parseAddress(call.address);
    const content = Buffer.from(JSON.stringify(call.body));
    return new Promise(resolve => {
        const events = new EventReader(() => clock.now() - startedMs);
        const finish = (status: number, text: string, retryAfter?: string): void => {
            const elapsedMs = clock.now() - startedMs;
            const { tokens, firstTokenMs } = events;
            resolve({
                status,
                answer: events.lastAnswer ?? parseAnswer(text),
                retryAfter,
                tokens,
                elapsedMs,
                firstTokenMs,
            });
        };
        const request = http.request({
            host,
            port,
            method: "POST",
            path: call.path,
            agent: call.agent,
            signal: call.signal,
            headers: describeHeaders(call, content.length),
        }, response => {
            const isStream = response.headers["content-type"] === "text/event-stream";
            const chunks: string[] = [];
            response.setEncoding("utf8");
            response.on("data", (chunk: string) => isStream ? events.push(chunk) : chunks.push(chunk));
            response.on("error", () => finish(response.statusCode ?? 0, ""));
            response.on(
                "end",
                () => finish(response.statusCode ?? 0, chunks.join(""), response.headers["retry-after"]),
            );
        });
        request.on("error", () => finish(0, ""));
        request.end(content);
    });
}

function describeHeaders(call: EntryCall, length: number): http.OutgoingHttpHeaders {
    return {
        "content-type": "application/json",
        "content-length": length,
        "cumincrank-team": call.team,
        ...(call.key === undefined ? {} : { "idempotency-key": call.key }),
        ...(call.deadlineMs === undefined ? {} : { "cumincrank-deadline-ms": call.deadlineMs }),
        ...(call.priority === undefined ? {} : { "cumincrank-priority": call.priority }),
        ...(call.streams ? { accept: "text/event-stream" } : {}),
    };
}

function parseAnswer(text: string): answers.AnswerBody | undefined {
    try {
        return JSON.parse(text) as answers.AnswerBody;
    }
    catch {
        return undefined;
    }
}

/** Parses server-sent events. */
class EventReader {
    readonly tokens: ReceivedToken[] = [];
    firstTokenMs: number | undefined;
    lastAnswer: answers.AnswerBody | undefined;
    private incompleteEvent = "";

    constructor(private readonly getElapsedMs: () => number) {}

    push(chunk: string): void {
        const events = (this.incompleteEvent + chunk).split("\n\n");
        this.incompleteEvent = events.pop() ?? "";
        events.forEach(event => this.handleEvent(event));
    }

    private handleEvent(event: string): void {
        const fields = new Map(
            event.split("\n").map(line => {
                const colon = line.indexOf(": ");
                return [line.slice(0, colon), line.slice(colon + 2)];
            }),
        );
        const data = fields.get("data") ?? "";
        if (fields.get("event") === "token") {
            this.firstTokenMs ??= this.getElapsedMs();
            this.tokens.push({ offset: Number(fields.get("id")), token: JSON.parse(data) as string });
        }
        else {
            this.lastAnswer = parseAnswer(data);
        }
    }
}
