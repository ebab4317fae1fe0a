/**
 * Routed calls: what operators publish for them, and what is known of the instances that serve them. A routed
 * call is opaque to the system: method, path and body pass unchanged.
 * Source: a published store, decoded by its adapter.
 */

/** What may be repeated on a route. */
export type RouteKind = "idempotent" | "non-idempotent" | "stream";

/** Work that has to be done on another service before a call can run. */
export interface RouteStage {
    readonly service: string;
    /** Indexes of the stages whose results this one takes; empty for the first ones. */
    readonly after: readonly number[];
    /** Approximate size of one result. */
    readonly resultBytes: number;
}

/** A service with its share of a route's calls. */
export interface RouteTarget {
    readonly service: string;
    readonly weight: number;
}

/** Calls of one host below one path. */
export interface Route {
    readonly name: string;
    /** In lower case. */
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly prefix: string;
    readonly kind: RouteKind;
    /** Longest time that a call may take. */
    readonly timeoutMs: number;
    /** Time within which an answer, or a stream's first event, is in time. */
    readonly goalMs: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly targets: readonly RouteTarget[];
    /** Most instances that one call may be sent to. */
    readonly attempts: number;
    /** Whether a stream may go on at another instance. */
    readonly isResumable: boolean;
    /** Whether calls need no key. */
    readonly isPublic: boolean;
    readonly stages: readonly RouteStage[];
}

/** What one instance of a stage's service carries. */
export interface StageCapacity {
    /** Calls in progress at the same time. */
    readonly slots: number;
    /** Most pieces in a call. */
    readonly batch: number;
    readonly callMs: number;
    /** Time that each piece adds to a call. */
    readonly pieceMs: number;
    /** Memory for results. */
    readonly resultMemoryBytes: number;
    /** How long a result is kept if it isn't given back. */
    readonly resultLifetimeMs: number;
}

/** A service that routes or stages name. */
export interface RoutedService {
    readonly name: string;
    /** How long an instance stays cold after its start. */
    readonly coldMs: number;
    /** Arrivals that a cold instance bears in a second; 0 when starts make no difference. */
    readonly coldPerSecond: number;
    /** Set for services that run stages. */
    readonly stage?: StageCapacity | undefined;
    /** Set for model engines: how much one instance runs and remembers. */
    readonly engine?: { readonly slots: number; readonly cacheTokens: number } | undefined;
}

/** A team, found by its keys. */
export interface RoutedTeam {
    readonly name: string;
    readonly keys: readonly string[];
    /** Goes before the route's priority; undefined leaves the route's. */
    readonly priority?: number | undefined;
}

/** Bounds on what callers send. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** One published version of everything that routes need. */
export interface RoutingConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly RoutedService[];
    /** Undefined when calls need no key. */
    readonly teams: readonly RoutedTeam[] | undefined;
    readonly limits: CallerLimits;
}

/** An upstream instance as its own entry in the store describes it. */
export interface RoutedInstance {
    readonly id: string;
    /** Start of the instance, in milliseconds since 1970; a new value is a new incarnation. */
    readonly startedMs: number;
    readonly service: string;
    readonly address: string;
    readonly failureDomain: string;
    readonly state: "ready" | "draining";
    readonly slots: number;
    /** How long the instance stays cold from the moment of this entry. */
    readonly coldLeftMs: number;
}

/** What one key of the store says; `unreadable` names nothing to use. */
export type PublishedRecord =
    | { readonly kind: "configuration"; readonly configuration: RoutingConfiguration }
    | { readonly kind: "instance"; readonly instance: RoutedInstance }
    | { readonly kind: "out-of-service"; readonly failureDomain: string }
    | { readonly kind: "unreadable"; readonly reason: string }
    | { readonly kind: "other" };

/** One key of the store, still encoded; `content` is undefined once the key is deleted. */
export interface PublishedItem {
    readonly key: string;
    /** The store's revision of the last change of this key. */
    readonly revision: number;
    readonly content: Uint8Array | undefined;
}
