/**
 * Writes the answer to a caller: one JSON object, or server-sent events with offsets and an explicit last
 * event. Every answer contains its outcome and its numeric result code.
 */
import * as http from "node:http";
import * as codes from "../common/Codes";
import * as pipelineRuns from "./PipelineRun";

/** Unsent bytes above which the connection of a caller that does not read its stream is closed. */
const MAX_UNSENT_BYTES = 4 * 1024 * 1024;
const MS_PER_SECOND = 1_000;

/** JSON body of an answer, and data of the last event of a stream. */
export interface AnswerBody {
    readonly outcome: codes.Outcome;
    readonly code: number;
    readonly name: string;
    readonly request?: string | undefined;
    readonly stage?: string | undefined;
    readonly detail?: string | undefined;
    readonly retryAfterMs?: number | undefined;
    readonly result?: unknown;
    readonly stages?: pipelineRuns.PipelineOutcome["costs"];
}

/** Builds the answer body for the outcome of a request. */
export function createOutcomeBody(request: string, outcome: pipelineRuns.PipelineOutcome): AnswerBody {
    return {
        outcome: outcome.code.outcome ?? "unknown",
        code: outcome.code.code,
        name: outcome.code.name,
        request,
        stage: outcome.stage,
        detail: outcome.detail,
        retryAfterMs: outcome.retryAfterMs,
        result: outcome.body,
        stages: outcome.costs,
    };
}

/** Builds the answer body for a request that was rejected before its first stage. */
export function createFailureBody(failure: codes.Failure, request?: string): AnswerBody {
    const { code, detail, retryAfterMs } = failure;
    return { outcome: code.outcome ?? "unknown", code: code.code, name: code.name, request, detail, retryAfterMs };
}

/** Writes a non-streaming answer with its HTTP status; does nothing if headers were sent or the caller has gone. */
export function writeAnswer(response: http.ServerResponse, status: number, body: AnswerBody): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const headers: http.OutgoingHttpHeaders = {
        "content-type": "application/json",
        "cumincrank-outcome": body.outcome,
        "cumincrank-code": String(body.code),
    };
    if (body.retryAfterMs !== undefined) {
        headers["retry-after"] = String(Math.ceil(body.retryAfterMs / MS_PER_SECOND));
    }
    response.writeHead(status, headers);
    response.end(JSON.stringify(body));
}

/** A stream of server-sent events; the headers are sent with the first event. */
export class EventStream {
    /** Events of this turn of the event loop, which are sent in one write. */
    private buffered = "";

    constructor(private readonly response: http.ServerResponse) {}

    /** Whether the headers have been sent. */
    get hasBegun(): boolean {
        return this.response.headersSent;
    }

    /** Buffers one token until the end of this turn of the event loop. A caller that does not read is disconnected. */
    writeToken(offset: number, token: string): void {
        this.begin();
        if (this.buffered === "") {
            setImmediate(() => this.flush());
        }
        this.buffered += `id: ${offset}\nevent: token\ndata: ${JSON.stringify(token)}\n\n`;
    }

    /** Sends the last event: `end` if the answer is complete, else `error`. */
    writeEnd(body: AnswerBody): void {
        this.begin();
        const event = body.outcome === "completed" ? "end" : "error";
        const last = `event: ${event}\ndata: ${JSON.stringify(body)}\n\n`;
        this.response.end(this.buffered + last);
        this.buffered = "";
    }

    private flush(): void {
        if (this.buffered === "") {
            return;
        }
        this.response.write(this.buffered);
        this.buffered = "";
        if (this.response.writableLength > MAX_UNSENT_BYTES) {
            this.response.destroy();
        }
    }

    private begin(): void {
        if (!this.response.headersSent) {
            this.response.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-store" });
        }
    }
}
