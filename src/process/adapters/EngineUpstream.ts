/**
 * HTTP client of a model engine: calls as for a plain service, `POST /stream/OPERATION` from the offset in
 * `x-offset`, `GET /report`, `GET /cache/events?after=N`, `GET` and `PUT /cache/entries/PREFIX`, and
 * `POST /orders`, which answers 409 to an outdated fencing token.
 */
import * as result from "true-myth/result";
import * as z from "zod";
import * as codes from "../../common/Codes";
import * as deadlines from "../../common/Deadline";
import * as ports from "../../common/Ports";
import * as httpRequests from "./HttpRequest";
import * as plainUpstreams from "./PlainUpstream";
import * as responseHeaders from "./ResponseHeader";
import * as tokenStreamParsers from "./TokenStreamParser";

const REPORT_TIMEOUT_MS = 1_000;
const CACHE_TIMEOUT_MS = 10_000;
const ORDER_TIMEOUT_MS = 120_000;
const MAX_CACHE_BYTES = 64 * 1024 * 1024;
const MAX_MODELS = 1_000;
const MAX_CACHE_EVENTS = 10_000;
const CONFLICT_STATUS = 409;

const reportSchema = z.object({
    boot: z.string().min(1).max(200),
    active: z.int().min(0),
    models: z.array(z.string().max(200)).max(MAX_MODELS),
    fence: z.int().min(0),
    role: z.string().max(200),
});

const eventsSchema = z.array(z.object({
    sequence: z.int().min(0),
    prefix: z.string().max(10_000),
    held: z.boolean(),
})).max(MAX_CACHE_EVENTS);

/** Creates a client of the engine at `address`, an IP address and a port. */
export function createModelEngine(address: string): ports.ModelEngine {
    const client = httpRequests.createClient(address, "instance");
    return {
        onDisconnect: client.onDisconnect,
        call: (call, signal) => plainUpstreams.callUpstream(client, call, signal),
        probe: signal => plainUpstreams.probeUpstream(client, signal),
        stream: (call, offset, onPart, signal) => streamCall(client, call, offset, onPart, signal),
        report(signal) {
            return requestJson(
                client,
                { method: "GET", path: "/report", timeoutMs: REPORT_TIMEOUT_MS },
                reportSchema,
                signal,
            );
        },
        cacheEvents(afterSequence, signal) {
            const path = `/cache/events?after=${afterSequence}`;
            return requestJson(client, { method: "GET", path, timeoutMs: REPORT_TIMEOUT_MS }, eventsSchema, signal);
        },
        exportCache(prefix, signal) {
            return requestJson<unknown>(client, createCacheRequest("GET", prefix), z.unknown(), signal);
        },
        async importCache(prefix, content, signal) {
            const request = { ...createCacheRequest("PUT", prefix), body: content };
            const reply = await requestJson<unknown>(client, request, z.unknown(), signal);
            return reply.isErr ? result.err(reply.error) : result.ok(undefined);
        },
        order: (order, signal) => sendOrder(client, order, signal),
    };
}

async function streamCall(
    client: httpRequests.Client,
    call: ports.UpstreamCall,
    offset: number,
    onPart: (part: ports.UpstreamPart) => void,
    signal: AbortSignal,
): ports.Reply<ports.UpstreamAnswer> {
    const parser = new tokenStreamParsers.TokenStreamParser(offset, onPart);
    const callRequest = plainUpstreams.createCallRequest("stream", call);
    const request: httpRequests.Request = {
        ...callRequest,
        headers: { ...callRequest.headers, "x-offset": String(offset) },
        progressTimeoutMs: deadlines.STREAM_PROGRESS_TIMEOUT_MS,
        onChunk: chunk => parser.push(chunk),
    };
    const reply = await httpRequests.send(client, request, signal);
    if (reply.isErr) {
        return result.err(reply.error);
    }
    if (!httpRequests.isSuccess(reply.value.status)) {
        return plainUpstreams.parseAnswer(reply.value);
    }
    const streamEnd = parser.end;
    if (streamEnd === undefined) {
        return result.err(codes.failure(codes.codes.streamBroken, "no last line"));
    }
    const boot = responseHeaders.readHeader(reply.value, "x-boot");
    return result.ok({ code: codes.codes.ok, body: streamEnd.body, tokens: streamEnd.tokens, boot });
}

async function sendOrder(
    client: httpRequests.Client,
    order: ports.EngineOrder,
    signal: AbortSignal,
): ports.Reply<ports.EngineReport> {
    const request: httpRequests.Request = {
        method: "POST",
        path: "/orders",
        body: order,
        timeoutMs: ORDER_TIMEOUT_MS,
        usesFreshConnection: true,
    };
    return requestJson(client, request, reportSchema, signal);
}

function createCacheRequest(method: "GET" | "PUT", prefix: string): httpRequests.Request {
    return {
        method,
        path: `/cache/entries/${encodeURIComponent(prefix)}`,
        timeoutMs: CACHE_TIMEOUT_MS,
        maxResponseBytes: MAX_CACHE_BYTES,
    };
}

/** Sends a request and validates the JSON body of the response with `schema`. */
async function requestJson<T>(
    client: httpRequests.Client,
    request: httpRequests.Request,
    schema: z.ZodType<T>,
    signal: AbortSignal,
): ports.Reply<T> {
    const reply = await httpRequests.send(client, request, signal);
    if (reply.isErr) {
        return result.err(reply.error);
    }
    const { status } = reply.value;
    if (status === CONFLICT_STATUS) {
        return result.err(codes.failure(codes.codes.orderRefused, request.path));
    }
    const answer = plainUpstreams.parseAnswer(reply.value);
    if (answer.isErr) {
        return result.err(answer.error);
    }
    if (answer.value.code !== codes.codes.ok) {
        return result.err(codes.failure(codes.codes.upstreamRejected, `status ${status}`));
    }
    const parsed = schema.safeParse(answer.value.body);
    return parsed.success
        ? result.ok(parsed.data)
        : result.err(codes.failure(codes.codes.malformedAnswer, parsed.error.issues[0]?.message ?? "schema"));
}
