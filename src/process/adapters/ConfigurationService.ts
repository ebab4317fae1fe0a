/**
 * The platform's configuration service by HTTP: `GET /configuration`, and the long poll
 * `GET /configuration/watch?after=VERSION`, which answers 204 when its wait ran out.
 */
import * as z from "zod";
import * as ports from "../../common/Ports";
import * as httpRequests from "./HttpRequest";
import * as platformRequests from "./PlatformRequest";

const READ_TIMEOUT_MS = 3_000;
/** Above the longest wait of the service, so that a waiting watch is not taken for a failed one. */
const WATCH_TIMEOUT_MS = 60_000;
const MAX_DOCUMENT_BYTES = 2 * 1024 * 1024;

/** A document is an object; the rest is checked by its readers. */
const documentSchema = z.record(z.string(), z.unknown());
/** No body when the wait ran out. */
const watchResponseSchema = documentSchema.optional();

/** Connects the port to the service at `address`, an IP number and a port. */
export function createConfigurationSource(address: string): ports.ConfigurationSource {
    const client = httpRequests.createClient(address);
    return {
        read(signal) {
            return platformRequests.fetchJson<unknown>(
                client,
                createRequest("/configuration", READ_TIMEOUT_MS),
                documentSchema,
                signal,
            );
        },
        watch(version, signal) {
            const request = createRequest(`/configuration/watch?after=${version}`, WATCH_TIMEOUT_MS);
            return platformRequests.fetchJson<unknown>(client, request, watchResponseSchema, signal);
        },
    };
}

function createRequest(path: string, timeoutMs: number): httpRequests.Request {
    return { method: "GET", path, timeoutMs, maxResponseBytes: MAX_DOCUMENT_BYTES };
}
