/**
 * HTTP client of the platform's list of instances, which lags behind the actual state: `GET /instances`.
 */
import * as z from "zod";
import * as configurations from "../../common/Configuration";
import * as ports from "../../common/Ports";
import * as httpRequests from "./HttpRequest";
import * as platformRequests from "./PlatformRequest";

const READ_TIMEOUT_MS = 3_000;
const MAX_LIST_BYTES = 32 * 1024 * 1024;
const MAX_ROWS = 100_000;

const rowSchema = z.object({
    instance: configurations.nameSchema,
    role: z.enum(["entry", "agent"]),
    service: configurations.nameSchema.optional(),
    failureDomain: configurations.nameSchema,
    address: z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/),
    state: z.enum(["live", "leaving"]),
});

/** Schema of the complete list. */
export const listSchema = z.array(rowSchema).max(MAX_ROWS);

/** Creates a reader of the list at `address`, an IP address and a port. */
export function createInstanceList(address: string): ports.InstanceList {
    const client = httpRequests.createClient(address);
    const request: httpRequests.Request = {
        method: "GET",
        path: "/instances",
        timeoutMs: READ_TIMEOUT_MS,
        maxResponseBytes: MAX_LIST_BYTES,
    };
    return { read: signal => platformRequests.fetchJson(client, request, listSchema, signal) };
}
