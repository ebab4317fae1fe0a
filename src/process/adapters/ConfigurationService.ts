/**
 * HTTP client of the platform's configuration service: `GET /configuration`, and the long poll
 * `GET /configuration/watch?after=VERSION`, which answers 204 when the poll times out.
 */
import * as z from "zod";
import * as ports from "../../common/Ports";
import * as httpRequests from "./HttpRequest";
import * as platformRequests from "./PlatformRequest";

const READ_TIMEOUT_MS = 3_000;
/** Longer than the service's maximum poll time, so that a pending poll isn't treated as a failure. */
const WATCH_TIMEOUT_MS = 60_000;
const MAX_DOCUMENT_BYTES = 2 * 1024 * 1024;

/** Checks only that the document is an object; its content is validated later. */
const documentSchema = z.record(z.string(), z.unknown());
/** The body is empty if the poll timed out. */
const watchResponseSchema = documentSchema.optional();

/** Creates a source that reads from the service at `address`, an IP address and a port. */
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
