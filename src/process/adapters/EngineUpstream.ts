/**
 * A model engine by HTTP: calls as for a plain service, `POST /stream/OPERATION` from the offset in
 * `x-offset`, `GET /report`, `GET /cache/events?after=N`, `GET` and `PUT /cache/entries/PREFIX`, and
 * `POST /orders`, which answers 409 to an old fencing number.
 */
import * as result from "true-myth/result";
import * as z from "zod";
import * as codes from "../../common/Codes";
import * as ports from "../../common/Ports";
import * as deadlines from "../../request/Deadline";
import * as requests from "./HttpRequest";
import * as plain from "./PlainUpstream";
import * as streams from "./TokenStream";

const REPORT_TIMEOUT_MS = 1_000;
const CACHE_TIMEOUT_MS = 10_000;
const ORDER_TIMEOUT_MS = 120_000;
const MAX_CACHE_BYTES = 64 * 1024 * 1024;
const MAX_MODELS = 1_000;
const MAX_EVENTS = 10_000;
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
})).max(MAX_EVENTS);

/** Connects the port to the engine at `address`, an IP number and a port. */
export function createModelEngine(address: string): ports.ModelEngine {
    const client = requests.createClient(address);
    return {
        onDisconnect: client.onDisconnect,
        call: (call, signal) => plain.callUpstream(client, call, signal),
        probe: signal => plain.probeUpstream(client, signal),
        stream: (call, offset, onPart, signal) => stream(client, call, offset, onPart, signal),
        report(signal) {
            return ask(client, { method: "GET", path: "/report", timeoutMs: REPORT_TIMEOUT_MS }, reportSchema, signal);
        },
        cacheEvents(afterSequence, signal) {
            const path = `/cache/events?after=${afterSequence}`;
            return ask(client, { method: "GET", path, timeoutMs: REPORT_TIMEOUT_MS }, eventsSchema, signal);
        },
        exportCache(prefix, signal) {
            return ask<unknown>(client, describeCache("GET", prefix), z.unknown(), signal);
        },
        async importCache(prefix, content, signal) {
            const request = { ...describeCache("PUT", prefix), body: content };
            const reply = await ask<unknown>(client, request, z.unknown(), signal);
            return reply.isErr ? result.err(reply.error) : result.ok(undefined);
        },
        order: (order, signal) => sendOrder(client, order, signal),
    };
}

async function stream(
    client: requests.Client,
    call: ports.UpstreamCall,
    offset: number,
    onPart: (part: ports.UpstreamPart) => void,
    signal: AbortSignal,
): ports.Reply<ports.UpstreamAnswer> {
    const tokens = new streams.TokenStream(offset, onPart);
    const described = plain.describeCall("stream", call);
    const request: requests.Request = {
        ...described,
        headers: { ...described.headers, "x-offset": String(offset) },
        progressMs: deadlines.STREAM_PROGRESS_TIMEOUT_MS,
        onChunk: chunk => tokens.push(chunk),
    };
    const reply = await requests.send(client, request, signal);
    if (reply.isErr) {
        return result.err(reply.error);
    }
    if (!requests.isSuccess(reply.value.status)) {
        return plain.readAnswer(reply.value);
    }
    const end = tokens.end;
    if (end === undefined) {
        return result.err(codes.failure(codes.codes.streamBroken, "no last line"));
    }
    const boot = requests.readHeader(reply.value, "x-boot");
    return result.ok({ code: codes.codes.ok, body: end.body, tokens: end.tokens, boot });
}

async function sendOrder(
    client: requests.Client,
    order: ports.EngineOrder,
    signal: AbortSignal,
): ports.Reply<ports.EngineReport> {
    const request: requests.Request = {
        method: "POST",
        path: "/orders",
        body: order,
        timeoutMs: ORDER_TIMEOUT_MS,
        freshConnection: true,
    };
    return ask(client, request, reportSchema, signal);
}

function describeCache(method: "GET" | "PUT", prefix: string): requests.Request {
    return {
        method,
        path: `/cache/entries/${encodeURIComponent(prefix)}`,
        timeoutMs: CACHE_TIMEOUT_MS,
        maxAnswerBytes: MAX_CACHE_BYTES,
    };
}

/** Runs one exchange and checks its JSON body with `schema`. */
async function ask<T>(
    client: requests.Client,
    request: requests.Request,
    schema: z.ZodType<T>,
    signal: AbortSignal,
): ports.Reply<T> {
    const reply = await requests.send(client, request, signal);
    if (reply.isErr) {
        return result.err(reply.error);
    }
    const { status } = reply.value;
    if (status === CONFLICT_STATUS) {
        return result.err(codes.failure(codes.codes.orderRefused, request.path));
    }
    const answer = plain.readAnswer(reply.value);
    if (answer.isErr) {
        return result.err(answer.error);
    }
    if (answer.value.code !== codes.codes.ok) {
        return result.err(codes.failure(codes.codes.upstreamRejected, `status ${status}`));
    }
    const checked = schema.safeParse(answer.value.body);
    return checked.success
        ? result.ok(checked.data)
        : result.err(codes.failure(codes.codes.malformedAnswer, checked.error.issues[0]?.message ?? "schema"));
}
