/**
 * The platform's configuration service by HTTP: `GET /configuration`, and the long poll
 * `GET /configuration/watch?after=VERSION`, which answers 204 when its wait ran out.
 */
import * as z from "zod";
import * as ports from "../../common/Ports";
import * as requests from "./HttpRequest";
import * as platform from "./PlatformRequest";

const READ_TIMEOUT_MS = 3_000;
/** Above the longest wait of the service, so that a waiting watch is not taken for a failed one. */
const WATCH_TIMEOUT_MS = 60_000;
const MAX_DOCUMENT_BYTES = 2 * 1024 * 1024;

/** A document is an object; the rest is checked by its readers. */
const documentSchema = z.record(z.string(), z.unknown());
/** No body when the wait ran out. */
const watchedSchema = documentSchema.optional();

/** Connects the port to the service at `address`, an IP number and a port. */
export function createConfigurationSource(address: string): ports.ConfigurationSource {
    const client = requests.createClient(address);
    return {
        read(signal) {
            return platform.read<unknown>(client, describe("/configuration", READ_TIMEOUT_MS), documentSchema, signal);
        },
        watch(version, signal) {
            const request = describe(`/configuration/watch?after=${version}`, WATCH_TIMEOUT_MS);
            return platform.read<unknown>(client, request, watchedSchema, signal);
        },
    };
}

function describe(path: string, timeoutMs: number): requests.Request {
    return { method: "GET", path, timeoutMs, maxAnswerBytes: MAX_DOCUMENT_BYTES };
}
