/**
 * The outside systems as the rest of the code sees them. Each port is a set of functions, implemented by
 * exactly one adapter module under src/process, so that a change of a wire format touches one file.
 * Every function resolves to a result and never throws; durations are in milliseconds.
 */
import * as result from "true-myth/result";
import * as codes from "./Codes";
import * as emitters from "./Emitter";

/** The outcome of asking an outside system. */
export type Reply<T> = Promise<result.Result<T, codes.Failure>>;

/** The platform's read-and-watch-only configuration service. Each call counts against its rate. */
export interface ConfigurationSource {
    /** Reads the published document, unchecked. */
    read(signal: AbortSignal): Reply<unknown>;
    /** Waits until a document with a version above `version` is published; undefined when the wait ran out. */
    watch(version: number, signal: AbortSignal): Reply<unknown>;
}

/** One row of the platform's list. */
export interface ListedInstance {
    readonly instance: string;
    readonly role: "entry" | "agent";
    /** The service of an agent's upstream. */
    readonly service?: string | undefined;
    readonly failureDomain: string;
    /** IP number and port of the process's peer listener; empty for a member known by an accepted connection only. */
    readonly address: string;
    readonly state: "live" | "leaving";
}

/** The platform's lagging list of instances. */
export interface InstanceList {
    read(signal: AbortSignal): Reply<readonly ListedInstance[]>;
}

/** The rate-limited weight store. */
export interface WeightStore {
    /** Takes one read of a model's weights; fails with `overloaded` above the store's rate. */
    read(model: string, signal: AbortSignal): Reply<void>;
}

/** One call on an upstream. */
export interface UpstreamCall {
    readonly request: string;
    readonly operation: string;
    readonly model?: string | undefined;
    readonly priority: number;
    readonly key?: string | undefined;
    /** Time the upstream has for its answer. */
    readonly remainingMs: number;
    /** Time after which the exchange is given up; undefined for the remaining time. */
    readonly timeoutMs?: number | undefined;
    readonly body: unknown;
    /** Whether a connection of its own must be used, since a reset on a reused one proves nothing. */
    readonly freshConnection: boolean;
}

/** An upstream's answer. */
export interface UpstreamAnswer {
    readonly code: codes.ResultCode;
    readonly body: unknown;
    readonly tokens: number;
    /** The upstream process's identity, which changes at its restart; undefined when it says none. */
    readonly boot?: string | undefined;
}

/** Tokens of a stream, starting at `offset`. */
export interface UpstreamPart {
    readonly offset: number;
    readonly tokens: readonly string[];
}

/** Any upstream: answers calls. */
export interface PlainService {
    /** Fires when the upstream ended a kept connection, as it does when it restarts; undefined when unknown. */
    readonly onDisconnect?: emitters.Event<void>;
    /** Failures: connect-failed is the only one that proves the call didn't run. */
    call(call: UpstreamCall, signal: AbortSignal): Reply<UpstreamAnswer>;
    /** Asks for the process's identity without work. Fails with `draining` when the upstream says that it leaves. */
    probe(signal: AbortSignal): Reply<{ readonly boot: string }>;
}

/** A model engine's own report; lags. */
export interface EngineReport {
    readonly boot: string;
    readonly active: number;
    readonly models: readonly string[];
    /** Highest fencing number that the engine has seen. */
    readonly fence: number;
    readonly role: string;
}

/** A late and gappy notice about an engine's prefix cache. */
export interface CacheEvent {
    readonly sequence: number;
    readonly prefix: string;
    readonly held: boolean;
}

/** An order to an engine. */
export interface EngineOrder {
    readonly fence: number;
    readonly action: "load" | "unload" | "role";
    readonly subject: string;
}

/** A model engine. */
export interface ModelEngine extends PlainService {
    /** Streams from `offset` on; the promise resolves at the end of the stream. */
    stream(
        call: UpstreamCall,
        offset: number,
        onPart: (part: UpstreamPart) => void,
        signal: AbortSignal,
    ): Reply<UpstreamAnswer>;
    report(signal: AbortSignal): Reply<EngineReport>;
    cacheEvents(afterSequence: number, signal: AbortSignal): Reply<readonly CacheEvent[]>;
    exportCache(prefix: string, signal: AbortSignal): Reply<unknown>;
    importCache(prefix: string, content: unknown, signal: AbortSignal): Reply<void>;
    order(order: EngineOrder, signal: AbortSignal): Reply<EngineReport>;
}
