/**
 * HTTP client of a plain service: `POST /call/OPERATION` with a JSON body, and `GET /healthz`. In each response,
 * the header `x-boot` identifies the run of the upstream process, `x-tokens` is the number of generated tokens, and
 * `x-request`, if present, must match the request.
 */
import * as result from "true-myth/result";
import * as codes from "../../common/Codes";
import * as ports from "../../common/Ports";
import * as httpRequests from "./HttpRequest";
import * as responseHeaders from "./ResponseHeader";

/** Status of the health check while the upstream accepts no new work. */
const UNAVAILABLE_STATUS = 503;
const PROBE_TIMEOUT_MS = 1_000;
/** Identifies the request; a response that repeats it must have the same value. */
const REQUEST_HEADER = "x-request";
/** Statuses from here to below `MIN_FAILED_STATUS` are errors of the caller. */
const MIN_REJECTED_STATUS = 400;
const MIN_FAILED_STATUS = 500;

/** Creates a client of the upstream at `address`, an IP address and a port. */
export function createPlainService(address: string): ports.PlainService {
    const client = httpRequests.createClient(address, "instance");
    return {
        onDisconnect: client.onDisconnect,
        call: (call, signal) => callUpstream(client, call, signal),
        probe: signal => probeUpstream(client, signal),
    };
}

/** Runs one call; fails as described at `ports.PlainService`. */
export async function callUpstream(
    client: httpRequests.Client,
    call: ports.UpstreamCall,
    signal: AbortSignal,
): ports.Reply<ports.UpstreamAnswer> {
    const reply = await httpRequests.send(client, createCallRequest("call", call), signal);
    return reply.isErr ? result.err(reply.error) : parseAnswer(reply.value);
}

/** Requests the boot identity from the health check. */
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
    const boot = responseHeaders.readHeader(reply.value, "x-boot");
    return boot === undefined
        ? result.err(codes.failure(codes.codes.malformedAnswer, "no boot identity"))
        : result.ok({ boot });
}

/** Creates the HTTP request of a call; `kind` is the first segment of its path. */
export function createCallRequest(kind: "call" | "stream", call: ports.UpstreamCall): httpRequests.Request {
    return {
        method: "POST",
        path: `/${kind}/${call.operation}`,
        headers: createHeaders(call),
        echoedHeader: REQUEST_HEADER,
        body: call.body,
        timeoutMs: call.timeoutMs ?? call.remainingMs,
        usesFreshConnection: call.usesFreshConnection,
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

/** Maps a complete response by its status: 2xx is ok, 4xx rejected, everything else failed. */
export function parseAnswer(response: httpRequests.Response): result.Result<ports.UpstreamAnswer, codes.Failure> {
    const isRejected = response.status >= MIN_REJECTED_STATUS && response.status < MIN_FAILED_STATUS;
    if (!httpRequests.isSuccess(response.status) && !isRejected) {
        return result.err(codes.failure(codes.codes.upstreamFailed, `status ${response.status}`));
    }
    return httpRequests.parseJson(response.body).map(body => ({
        code: isRejected ? codes.codes.upstreamRejected : codes.codes.ok,
        body,
        tokens: readTokenCount(response),
        boot: responseHeaders.readHeader(response, "x-boot"),
    }));
}

function readTokenCount(response: httpRequests.Response): number {
    const count = Number(responseHeaders.readHeader(response, "x-tokens"));
    return Number.isSafeInteger(count) && count >= 0 ? count : 0;
}
