/**
 * A plain service by HTTP: `POST /call/OPERATION` with a JSON body, and `GET /healthz`. The header `x-boot`
 * of each answer names the upstream process, `x-tokens` counts what it produced, and `x-request`, where the
 * upstream repeats it, must be the request's own.
 */
import * as result from "true-myth/result";
import * as codes from "../../common/Codes";
import * as ports from "../../common/Ports";
import * as httpRequests from "./HttpRequest";

/** Answered by the health check of an upstream that takes no new work. */
const UNAVAILABLE_STATUS = 503;
const PROBE_TIMEOUT_MS = 1_000;
/** Names the request; an answer that repeats it must name the same. */
const REQUEST_HEADER = "x-request";
/** Status of a caller's error that the upstream answers with. */
const MIN_REJECTED_STATUS = 400;
const MIN_FAILED_STATUS = 500;

/** Connects the port to the upstream at `address`, an IP number and a port. */
export function createPlainService(address: string): ports.PlainService {
    const client = httpRequests.createClient(address);
    return {
        onDisconnect: client.onDisconnect,
        call: (call, signal) => callUpstream(client, call, signal),
        probe: signal => probeUpstream(client, signal),
    };
}

/** Runs one call; failures as the port says. */
export async function callUpstream(
    client: httpRequests.Client,
    call: ports.UpstreamCall,
    signal: AbortSignal,
): ports.Reply<ports.UpstreamAnswer> {
    const reply = await httpRequests.send(client, createCallRequest("call", call), signal);
    return reply.isErr ? result.err(reply.error) : parseAnswer(reply.value);
}

/** Asks for the boot identity. */
export async function probeUpstream(
    client: httpRequests.Client,
    signal: AbortSignal,
): ports.Reply<{ readonly boot: string }> {
    const request: httpRequests.Request = { method: "GET", path: "/healthz", timeoutMs: PROBE_TIMEOUT_MS };
    const reply = await httpRequests.send(client, request, signal);
    if (reply.isErr) {
        return result.err(reply.error);
    }
    if (reply.value.status === UNAVAILABLE_STATUS) {
        return result.err(codes.failure(codes.codes.draining, request.path));
    }
    if (!httpRequests.isSuccess(reply.value.status)) {
        return result.err(codes.failure(codes.codes.upstreamFailed, `status ${reply.value.status}`));
    }
    const boot = httpRequests.readHeader(reply.value, "x-boot");
    return boot === undefined
        ? result.err(codes.failure(codes.codes.malformedAnswer, "no boot identity"))
        : result.ok({ boot });
}

/** The request of a call; `kind` is the first part of its path. */
export function createCallRequest(kind: "call" | "stream", call: ports.UpstreamCall): httpRequests.Request {
    return {
        method: "POST",
        path: `/${kind}/${call.operation}`,
        headers: createHeaders(call),
        echoedHeader: REQUEST_HEADER,
        body: call.body,
        timeoutMs: call.timeoutMs ?? call.remainingMs,
        freshConnection: call.freshConnection,
    };
}

function createHeaders(call: ports.UpstreamCall): Record<string, string> {
    const headers: Record<string, string> = {
        [REQUEST_HEADER]: encodeURIComponent(call.request),
        "x-priority": String(call.priority),
        "x-remaining-ms": String(Math.floor(call.remainingMs)),
    };
    if (call.key !== undefined) {
        headers["x-key"] = encodeURIComponent(call.key);
    }
    if (call.model !== undefined) {
        headers["x-model"] = call.model;
    }
    return headers;
}

/** Maps a whole answer by its status: 2xx is ok, 4xx rejected, everything else failed. */
export function parseAnswer(response: httpRequests.Response): result.Result<ports.UpstreamAnswer, codes.Failure> {
    const isRejected = response.status >= MIN_REJECTED_STATUS && response.status < MIN_FAILED_STATUS;
    if (!httpRequests.isSuccess(response.status) && !isRejected) {
        return result.err(codes.failure(codes.codes.upstreamFailed, `status ${response.status}`));
    }
    return httpRequests.parseJson(response.body).map(body => ({
        code: isRejected ? codes.codes.upstreamRejected : codes.codes.ok,
        body,
        tokens: readTokenCount(response),
        boot: httpRequests.readHeader(response, "x-boot"),
    }));
}

function readTokenCount(response: httpRequests.Response): number {
    const count = Number(httpRequests.readHeader(response, "x-tokens"));
    return Number.isSafeInteger(count) && count >= 0 ? count : 0;
}
