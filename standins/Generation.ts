/**
 * What an engine generates: tokens that depend on nothing but the body and their index, so that any engine
 * can continue another's answer. Where a body has a `token`, each generated token begins with those of the body
 * and of the earlier stages' inputs, so that a checker can tell whose result it is.
 */
import * as crypto from "node:crypto";
import * as http from "node:http";
import * as standIns from "./HttpStandIn";

const DEFAULT_MAX_TOKENS = 16;
const PREFIX_LENGTH = 64;

/** The parts of a body that the engine looks at. */
interface Prompt {
    readonly maxTokens?: unknown;
    readonly prefix?: unknown;
    readonly prompt?: unknown;
    readonly token?: unknown;
    /** Result of the stage before, as plain services answer. */
    readonly previous?: { readonly input?: unknown };
}

/** One generation, as read from a call. */
export interface Generation {
    readonly operation: string;
    readonly headers: http.IncomingHttpHeaders;
    readonly seed: string;
    readonly maxTokens: number;
    /** Prompt prefix by which the cache is asked. */
    readonly prefix: string;
    readonly priority: number;
    readonly model: string | undefined;
    /** Index of the first token wanted. */
    readonly offset: number;
    readonly isStream: boolean;
}

/** Reads a generation from a call or stream request. */
export function readGeneration(operation: string, isStream: boolean, incoming: standIns.IncomingRequest): Generation {
    const prompt = isObject(incoming.body) ? incoming.body : {};
    const { headers } = incoming;
    return {
        operation,
        headers,
        seed: [...findBodyTokens(prompt), hashBody(incoming.body)].join("/"),
        maxTokens: typeof prompt.maxTokens === "number" ? prompt.maxTokens : DEFAULT_MAX_TOKENS,
        prefix: String(prompt.prefix ?? prompt.prompt ?? "").slice(0, PREFIX_LENGTH),
        priority: Number(headers["x-priority"] ?? 0),
        model: headers["x-model"]?.toString(),
        offset: Number(headers["x-offset"] ?? 0),
        isStream,
    };
}

/** The tokens that name a body's owner, from the last stage's input to the first one's. */
function findBodyTokens(prompt: Prompt): string[] {
    const ownTokens = typeof prompt.token === "string" ? [prompt.token] : [];
    const previousInput = prompt.previous?.input;
    return isObject(previousInput) ? [...ownTokens, ...findBodyTokens(previousInput)] : ownTokens;
}

function hashBody(body: unknown): string {
    return crypto.createHash("sha256").update(JSON.stringify(body) ?? "").digest("hex").slice(0, 8);
}

/** The token at `index`. */
export function tokenAt(seed: string, index: number): string {
    return `${seed}.${index} `;
}

/** The tokens from `start` on, `count` of them. */
export function tokensFrom(seed: string, start: number, count: number): string[] {
    return Array.from({ length: Math.max(0, count) }, (_, index) => tokenAt(seed, start + index));
}

function isObject(body: unknown): body is Prompt {
    return typeof body === "object" && body !== undefined && Boolean(body);
}
