/**
 * Reads from the platform's services: whatever fails there is `source-unavailable`, or `overloaded` above
 * the service's rate.
 */
import * as result from "true-myth/result";
import * as z from "zod";
import * as codes from "../../common/Codes";
import * as ports from "../../common/Ports";
import * as requests from "./HttpRequest";

/** Time to come back after a refusal that names none. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

/** Runs one exchange and checks its JSON body with `schema`; an empty body is undefined. */
export async function read<T>(
    client: requests.Client,
    request: requests.Request,
    schema: z.ZodType<T>,
    signal: AbortSignal,
): ports.Reply<T> {
    const reply = await requests.send(client, request, signal);
    if (reply.isErr) {
        return unavailable(`${reply.error.code.name}: ${reply.error.detail}`);
    }
    const answer = reply.value;
    if (answer.status === 429) {
        const retryAfterMs = requests.readRetryAfterMs(answer) ?? DEFAULT_RETRY_AFTER_MS;
        return result.err(codes.failure(codes.codes.overloaded, request.path, retryAfterMs));
    }
    if (!requests.isSuccess(answer.status)) {
        return unavailable(`status ${answer.status}`);
    }
    const body = requests.parseJson(answer.body);
    if (body.isErr) {
        return unavailable(body.error.detail);
    }
    const checked = schema.safeParse(body.value);
    return checked.success
        ? result.ok(checked.data)
        : unavailable(checked.error.issues[0]?.message ?? "schema");
}

function unavailable<T>(detail: string): result.Result<T, codes.Failure> {
    return result.err(codes.failure(codes.codes.sourceUnavailable, detail));
}
