/**
 * HTTP client of the rate-limited weight store: `POST /weights/MODEL/reads` reads once; 429 above the rate limit.
 */
import * as result from "true-myth/result";
import * as z from "zod";
import * as ports from "../../common/Ports";
import * as httpRequests from "./HttpRequest";
import * as platformRequests from "./PlatformRequest";

const READ_TIMEOUT_MS = 30_000;

/** Creates a client of the store at `address`, an IP address and a port. */
export function createWeightStore(address: string): ports.WeightStore {
    const client = httpRequests.createClient(address);
    return {
        async read(model, signal) {
            const path = `/weights/${encodeURIComponent(model)}/reads`;
            const request: httpRequests.Request = { method: "POST", path, timeoutMs: READ_TIMEOUT_MS };
            const reply = await platformRequests.fetchJson<unknown>(client, request, z.unknown(), signal);
            return reply.isErr ? result.err(reply.error) : result.ok(undefined);
        },
    };
}
