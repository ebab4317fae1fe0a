/**
 * Requests to the platform's services. They fail with `overloaded` above the service's rate limit, and with
 * `source-unavailable` for all other reasons.
 */
import * as result from "true-myth/result";
import * as z from "zod";
import * as codes from "../../common/Codes";
import * as ports from "../../common/Ports";
import * as httpRequests from "./HttpRequest";
import * as responseHeaders from "./ResponseHeader";

/** Delay before a retry if a response with status 429 has no `retry-after` header. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

/** Sends a request and validates the JSON body of the response with `schema`; an empty body is undefined. */
export async function fetchJson<T>(
    client: httpRequests.Client,
    request: httpRequests.Request,
    schema: z.ZodType<T>,
    signal: AbortSignal,
): ports.Reply<T> {
    const reply = await httpRequests.send(client, request, signal);
    if (reply.isErr) {
        return unavailable(`${reply.error.code.name}: ${reply.error.detail}`);
    }
    const response = reply.value;
    if (response.status === 429) {
        const retryAfterMs = responseHeaders.readRetryAfterMs(response) ?? DEFAULT_RETRY_AFTER_MS;
        return result.err(codes.failure(codes.codes.overloaded, request.path, retryAfterMs));
    }
    if (!httpRequests.isSuccess(response.status)) {
        return unavailable(`status ${response.status}`);
    }
    const body = httpRequests.parseJson(response.body);
    if (body.isErr) {
        return unavailable(body.error.detail);
    }
    const parsed = schema.safeParse(body.value);
    return parsed.success
        ? result.ok(parsed.data)
        : unavailable(parsed.error.issues[0]?.message ?? "schema");
}

function unavailable<T>(detail: string): result.Result<T, codes.Failure> {
    return result.err(codes.failure(codes.codes.sourceUnavailable, detail));
}
