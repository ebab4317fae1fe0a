/**
 * Reads and validates a caller's HTTP request: path, headers and a JSON body of limited size.
 */
import * as crypto from "node:crypto";
import * as http from "node:http";
import * as result from "true-myth/result";
import * as z from "zod";
import * as codes from "../common/Codes";
import * as configurations from "../common/Configuration";
import * as byteCollectors from "../connection/ByteCollector";

const DEFAULT_PRIORITY = 5;
const MAX_DEADLINE_MS = 600_000;
const MAX_KEY_CHARACTERS = 200;
/** Shorter prompts get no prefix hash, since a cache hit would save too little. */
const MIN_PREFIX_CHARACTERS = 64;
/** Length of the part of a prompt that is hashed to identify its prefix. */
const PREFIX_CHARACTERS = 256;

const headersSchema = z.object({
    "cumincrank-team": configurations.nameSchema,
    "cumincrank-deadline-ms": z.coerce.number().int().min(1).max(MAX_DEADLINE_MS).optional(),
    "cumincrank-priority": z.coerce.number().int().min(0).max(9).default(DEFAULT_PRIORITY),
    "idempotency-key": z.string().min(1).max(MAX_KEY_CHARACTERS).regex(/^[\x21-\x7e]+$/).optional(),
    accept: z.string().optional(),
});

/** What a request addresses: a pipeline, or one operation of a service. */
export type Target =
    | { readonly kind: "pipeline"; readonly pipeline: string }
    | { readonly kind: "operation"; readonly service: string; readonly operation: string };

/** A syntactically valid request; whether its team and target exist has not been checked. */
export interface CallerRequest {
    /** Generated identifier of the request. */
    readonly request: string;
    readonly target: Target;
    readonly team: string;
    readonly deadlineMs: number | undefined;
    readonly priority: number;
    /** Idempotency key. */
    readonly key: string | undefined;
    /** Whether the caller accepts server-sent events. */
    readonly isStream: boolean;
    readonly input: unknown;
    /** Hash of the beginning of the prompt. */
    readonly prefix: string | undefined;
}

/** Reads and validates a request. Failures: unknown-path, invalid-request, body-too-large, request-timeout. */
export async function readCallerRequest(
    message: http.IncomingMessage,
    maxBodyBytes: number,
): Promise<result.Result<CallerRequest, codes.Failure>> {
    const target = parseTarget(message.method, message.url ?? "");
    if (target === undefined) {
        return result.err(codes.failure(codes.codes.unknownPath, `${message.method} ${message.url}`.slice(0, 200)));
    }
    const headers = headersSchema.safeParse(message.headers);
    if (!headers.success) {
        const issue = headers.error.issues[0];
        const detail = `${issue?.path.join(".") ?? "headers"}: ${issue?.message ?? "malformed"}`;
        return result.err(codes.failure(codes.codes.invalidRequest, detail));
    }
    const body = await readBody(message, maxBodyBytes);
    return body.map(input => ({
        request: crypto.randomUUID(),
        target,
        team: headers.data["cumincrank-team"],
        deadlineMs: headers.data["cumincrank-deadline-ms"],
        priority: headers.data["cumincrank-priority"],
        key: headers.data["idempotency-key"],
        isStream: headers.data.accept?.includes("text/event-stream") ?? false,
        input,
        prefix: hashPrefix(input),
    }));
}

function parseTarget(method: string | undefined, url: string): Target | undefined {
    const parts = url.split("?")[0]!.split("/");
    if (method !== "POST" || parts[0] !== "" || parts[1] !== "v1") {
        return undefined;
    }
    const [pipelineOrService, operation] = [parts[3], parts[4]];
    if (parts[2] === "pipelines" && parts.length === 4 && isName(pipelineOrService)) {
        return { kind: "pipeline", pipeline: pipelineOrService };
    }
    if (parts[2] === "services" && parts.length === 5 && isName(pipelineOrService) && isName(operation)) {
        return { kind: "operation", service: pipelineOrService, operation };
    }
    return undefined;
}

function isName(text: string | undefined): text is string {
    return configurations.nameSchema.safeParse(text).success;
}

async function readBody(
    message: http.IncomingMessage,
    maxBodyBytes: number,
): Promise<result.Result<unknown, codes.Failure>> {
    const collector = new byteCollectors.ByteCollector(maxBodyBytes);
    try {
        for await (const chunk of message as AsyncIterable<Buffer>) {
            collector.add(chunk);
            if (collector.size > maxBodyBytes) {
                return result.err(codes.failure(codes.codes.bodyTooLarge, `more than ${maxBodyBytes} bytes`));
            }
        }
    }
    catch (error) {
        return result.err(codes.failure(codes.codes.requestTimeout, String(error)));
    }
    return parseJson(collector.take().toString("utf8"));
}

function parseJson(text: string): result.Result<unknown, codes.Failure> {
    if (text.length === 0) {
        return result.ok({});
    }
    try {
        return result.ok(JSON.parse(text));
    }
    catch (error) {
        return result.err(codes.failure(codes.codes.invalidRequest, `body: ${String(error)}`));
    }
}

/** Hashes the beginning of a prompt, so that engines that have it cached can be preferred. */
export function hashPrefix(input: unknown): string | undefined {
    if (typeof input !== "object" || !(input instanceof Object) || !("prompt" in input)) {
        return undefined;
    }
    const prompt = input.prompt;
    if (typeof prompt !== "string" || prompt.length < MIN_PREFIX_CHARACTERS) {
        return undefined;
    }
    return crypto.createHash("sha1").update(prompt.slice(0, PREFIX_CHARACTERS)).digest("hex");
}
