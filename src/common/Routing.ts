/**
 * Routed calls: the configuration that operators publish for them and the records of the instances that serve
 * them, both read from the published store and decoded by its adapter. A routed call is opaque to the system:
 * method, path and body are forwarded unchanged.
 */
import * as positions from "./Position";

/** Kind of the calls of a route, which determines whether and how they are retried. */
export type RouteKind = "idempotent" | "non-idempotent" | "stream";

/** Work that another service has to do before a call can run. */
export interface RouteStage {
    readonly service: string;
    /** Indexes of the stages whose results this one reads; empty for stages without predecessors. */
    readonly after: readonly number[];
    /** Approximate size of the result of one piece. */
    readonly resultBytes: number;
}

/** A service that serves a route, with its weight in the distribution of the calls. */
export interface RouteTarget {
    readonly service: string;
    readonly weight: number;
}

/** The published settings for the calls to one host below one path prefix. */
export interface Route {
    readonly name: string;
    /** In lower case. */
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly prefix: string;
    readonly kind: RouteKind;
    /** Hard deadline, counted from the arrival of a call. */
    readonly timeoutMs: number;
    /** Target time for the answer, or for the first event of a stream, counted from the arrival of a call. */
    readonly goalMs: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly targets: readonly RouteTarget[];
    /** Maximum number of instances that one call is sent to. */
    readonly attempts: number;
    /** Whether another instance can resume an interrupted stream. */
    readonly isResumable: boolean;
    /** Whether calls need no API key. */
    readonly isPublic: boolean;
    readonly stages: readonly RouteStage[];
}

/** Capacity of one stage worker, an instance of a service that runs stages. */
export interface StageCapacity {
    /** Maximum number of concurrent calls. */
    readonly slots: number;
    /** Maximum number of pieces (work items) in a call. */
    readonly batch: number;
    /** Duration of a call without its pieces. */
    readonly callMs: number;
    /** Time that each piece adds to the duration of a call. */
    readonly pieceMs: number;
    /** Memory for results. */
    readonly resultMemoryBytes: number;
    /** Time until a result expires if it isn't released. */
    readonly resultLifetimeMs: number;
}

/** A service that serves routes or stages. */
export interface RoutedService {
    readonly name: string;
    /** Path at which each instance states its health; undefined if there is none. */
    readonly healthPath?: string | undefined;
    /** Time for which an instance is cold after its start. */
    readonly coldMs: number;
    /** Calls per second that a cold instance sustains; 0 if instances of the service aren't cold after a start. */
    readonly coldPerSecond: number;
    /** Set for services that run stages. */
    readonly stage?: StageCapacity | undefined;
    /** Set for model engines: concurrent calls and prefix-cache size of one instance. */
    readonly engine?: { readonly slots: number; readonly cacheTokens: number } | undefined;
}

/** A team, identified by its API keys. */
export interface RoutedTeam {
    readonly name: string;
    readonly keys: readonly string[];
    /** Overrides the route's priority; undefined keeps it. */
    readonly priority?: number | undefined;
}

/** Limits on the requests of callers. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** One published version of the configuration of all routes. */
export interface RoutingConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly RoutedService[];
    /** Undefined if no calls need an API key. */
    readonly teams: readonly RoutedTeam[] | undefined;
    readonly limits: CallerLimits;
}

/** An upstream instance, as it describes itself in the store. */
export interface RoutedInstance {
    readonly id: string;
    /** Start of the instance, in milliseconds since 1970; another value means another incarnation. */
    readonly startedMs: number;
    /** Rises from one record to the next that the instance writes after its start; undefined if not stated. */
    readonly recordNumber?: number | undefined;
    readonly service: string;
    /** Version of its software, not of its model's weights; versions have no order. */
    readonly softwareVersion: string;
    readonly address: string;
    readonly failureDomain: string;
    readonly state: "ready" | "draining";
    readonly slots: number;
    /** Time for which the instance remains cold after it wrote this record. */
    readonly coldLeftMs: number;
}

/** `startedMs` of an instance whose record doesn't state a start. */
export const UNSTATED_START_MS = 0;

/** Identifies one incarnation of an instance. */
export function incarnationKey({ id, startedMs }: Pick<RoutedInstance, "id" | "startedMs">): string {
    return `${id}@${startedMs}`;
}

/** The id in the key of an incarnation. */
export function idOfIncarnation(key: string): string {
    return key.slice(0, key.lastIndexOf("@"));
}

/** The decoded content of one key of the store; `unreadable` when it can't be decoded. */
export type PublishedRecord =
    | { readonly kind: "configuration"; readonly configuration: RoutingConfiguration }
    | { readonly kind: "instance"; readonly instance: RoutedInstance }
    | { readonly kind: "out-of-service"; readonly failureDomain: string }
    | { readonly kind: "unreadable"; readonly reason: string }
    | { readonly kind: "other" };

/**
 * One key of the store at the position of its last change, with its encoded content, which is undefined if the key has
 * been deleted.
 */
export interface PublishedItem extends positions.Position {
    readonly key: string;
    readonly content: Uint8Array | undefined;
}
