/**
 * Deterministic generation of tokens: they depend only on the body and their index, so that any engine can continue
 * the stream of another. Each generated token begins with the `token` fields, if any, of the body and of the preceding
 * stages' inputs, so that a check can tell which call a result belongs to.
 */
import * as crypto from "node:crypto";
import * as http from "node:http";
import * as standIns from "./HttpStandIn";

const DEFAULT_MAX_TOKENS = 16;
const MAX_PREFIX_LENGTH = 64;

/** The fields of a body that the engine reads. */
interface GenerationBody {
    readonly maxTokens?: unknown;
    readonly prefix?: unknown;
    readonly prompt?: unknown;
    readonly token?: unknown;
    /** Result of the preceding stage, in the format of plain services. */
    readonly previous?: { readonly input?: unknown };
}

/** The parameters of a generation. */
export interface Generation {
    readonly operation: string;
    readonly headers: http.IncomingHttpHeaders;
    readonly seed: string;
    readonly maxTokens: number;
    /** Prompt prefix, the key of the prompt cache. */
    readonly prefix: string;
    readonly priority: number;
    readonly model: string | undefined;
    /** Index of the first token to generate. */
    readonly offset: number;
    readonly isStream: boolean;
}

/** Reads the parameters from a call or stream request. */
export function readGeneration(operation: string, isStream: boolean, incoming: standIns.IncomingRequest): Generation {
    const body = isObject(incoming.body) ? incoming.body : {};
    const { headers } = incoming;
    return {
        operation,
        headers,
        seed: [...findBodyTokens(body), hashBody(incoming.body)].join("/"),
        maxTokens: typeof body.maxTokens === "number" ? body.maxTokens : DEFAULT_MAX_TOKENS,
        prefix: String(body.prefix ?? body.prompt ?? "").slice(0, MAX_PREFIX_LENGTH),
        priority: Number(headers["x-priority"] ?? 0),
        model: headers["x-model"]?.toString(),
        offset: Number(headers["x-offset"] ?? 0),
        isStream,
    };
}

/** The `token` fields of the body and of the preceding stages' inputs, from the last stage to the first. */
function findBodyTokens(body: GenerationBody): string[] {
    const ownTokens = typeof body.token === "string" ? [body.token] : [];
    const previousInput = body.previous?.input;
    return isObject(previousInput) ? [...ownTokens, ...findBodyTokens(previousInput)] : ownTokens;
}

function hashBody(body: unknown): string {
    return crypto.createHash("sha256").update(JSON.stringify(body) ?? "").digest("hex").slice(0, 8);
}

/** The token at `index`. */
export function tokenAt(seed: string, index: number): string {
    return `${seed}.${index} `;
}

/** The `count` tokens from `start` on; none if `count` is negative. */
export function tokensFrom(seed: string, start: number, count: number): string[] {
    return Array.from({ length: Math.max(0, count) }, (_, index) => tokenAt(seed, start + index));
}

function isObject(body: unknown): body is GenerationBody {
    return typeof body === "object" && body !== undefined && Boolean(body);
}
