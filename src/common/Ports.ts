/**
 * Ports: the interfaces through which the rest of the code reaches external systems. Exactly one adapter module
 * under src/process implements each, so that a change of a wire format touches one file. Every function resolves
 * to a result and never throws; durations are in milliseconds.
 */
import * as result from "true-myth/result";
import * as codes from "./Codes";
import * as emitters from "./Emitter";

/** The result of a call to an external system. */
export type Reply<T> = Promise<result.Result<T, codes.Failure>>;

/** The platform's read-only configuration service. Each call counts against its rate limit. */
export interface ConfigurationSource {
    /** Reads the published document; its content isn't validated. */
    read(signal: AbortSignal): Reply<unknown>;
    /** Long-polls for a document with a version above `version`; undefined when the poll times out. */
    watch(version: number, signal: AbortSignal): Reply<unknown>;
}

/** One entry of the platform's list of instances. */
export interface ListedInstance {
    readonly instance: string;
    readonly role: "entry" | "agent";
    /** The service of an agent's upstream. */
    readonly service?: string | undefined;
    readonly failureDomain: string;
    /** IP address and port of the peer listener; empty for an instance known only from a connection it opened. */
    readonly address: string;
    readonly state: "live" | "leaving";
}

/** The platform's list of instances, which lags behind the actual state. */
export interface InstanceList {
    read(signal: AbortSignal): Reply<readonly ListedInstance[]>;
}

/** The rate-limited weight store. */
export interface WeightStore {
    /** Reads a model's weights once; fails with `overloaded` above the store's rate limit. */
    read(model: string, signal: AbortSignal): Reply<void>;
}

/** One call to an upstream. */
export interface UpstreamCall {
    readonly request: string;
    readonly operation: string;
    readonly model?: string | undefined;
    readonly priority: number;
    readonly key?: string | undefined;
    /** Time that the upstream has to answer. */
    readonly remainingMs: number;
    /** Time after which the exchange is aborted; undefined for `remainingMs`. */
    readonly timeoutMs?: number | undefined;
    readonly body: unknown;
    /** Whether to open a new connection: a reset on a reused one doesn't show whether the call ran. */
    readonly usesFreshConnection: boolean;
}

/** An upstream's answer. */
export interface UpstreamAnswer {
    readonly code: codes.ResultCode;
    readonly body: unknown;
    readonly tokens: number;
    /** Identifies the run of the upstream process and changes when it restarts; undefined if not reported. */
    readonly boot?: string | undefined;
}

/** Consecutive tokens of a stream, the first at `offset`. */
export interface UpstreamPart {
    readonly offset: number;
    readonly tokens: readonly string[];
}

/** Any upstream that answers calls. */
export interface PlainService {
    /** Fires when the upstream closes a keep-alive connection, as it does on a restart; undefined if unsupported. */
    readonly onDisconnect?: emitters.Event<void>;
    /** Of all failures, only `connect-failed` proves that the call didn't run. */
    call(call: UpstreamCall, signal: AbortSignal): Reply<UpstreamAnswer>;
    /** Reads the process's identity without running work. Fails with `draining` when the upstream is draining. */
    probe(signal: AbortSignal): Reply<{ readonly boot: string }>;
}

/** A model engine's state as it reports it, with a lag. */
export interface EngineReport {
    readonly boot: string;
    readonly active: number;
    readonly models: readonly string[];
    /** Highest fencing token that the engine has seen. */
    readonly fence: number;
    readonly role: string;
}

/** A change of an engine's prefix cache. Events arrive late, and some are lost. */
export interface CacheEvent {
    readonly sequence: number;
    readonly prefix: string;
    /** Whether the engine holds the prefix after this event. */
    readonly held: boolean;
}

/** A control command to an engine. */
export interface EngineOrder {
    /** Fencing token of the sender. */
    readonly fence: number;
    readonly action: "load" | "unload" | "role";
    /** The model to load or unload, or the role to assume. */
    readonly subject: string;
}

/** An upstream that runs models and streams their tokens. */
export interface ModelEngine extends PlainService {
    /** Streams tokens from `offset`; the promise resolves when the stream ends. */
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
