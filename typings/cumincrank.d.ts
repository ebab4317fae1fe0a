/**
 * The public API of the cumincrank library: components for systems that send work to upstreams which may start
 * cold, fail, pause and leave. Each component runs in one process and keeps its state in memory.
 *
 * Durations and points in time are in milliseconds. Failures are values with a numbered code; the codes are
 * listed in docs/RESULT-CODES.md. Objects with a `dispose` method own timers or sockets and must be disposed
 * by their owner.
 */
import * as result from "true-myth/result";

/** Releases a resource, such as a timer, a listener or a connection. Further calls have no effect. */
export interface Disposable {
    dispose(): void;
}

/** Registers a listener; disposing the result removes it. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** A source of time and timers. */
export interface Clock {
    /** Monotonic time in milliseconds; only differences are meaningful. */
    now(): number;
    /** Wall-clock time in milliseconds since 1970; for identities and keys, never for intervals. */
    wall(): number;
    /** Calls `callback` once after `delayMs`. */
    schedule(delayMs: number, callback: () => void): Disposable;
}

/** The clock of the operating system. */
export const systemClock: Clock;

/** A clock for tests that advances only when told to. */
export class ManualClock implements Clock {
    /** `startMs` is the initial time, by default 1,000,000. */
    constructor(startMs?: number);
    now(): number;
    wall(): number;
    schedule(delayMs: number, callback: () => void): Disposable;
    /** Advances the time and runs due timers in the order of their due times. */
    advance(byMs: number): void;
}

/** Whether a request was executed, as far as is known. */
export type Outcome = "completed" | "not-run" | "unknown";

/** A numbered result code. */
export interface ResultCode {
    readonly code: number;
    readonly name: string;
    /** Undefined for codes that never end a request. */
    readonly outcome: Outcome | undefined;
    /** The HTTP status that callers receive. */
    readonly status: number;
    readonly text: string;
}

/** All codes by name. */
export const codes: Readonly<Record<string, ResultCode>>;

/** Finds a code by its number; undefined if there is none. */
export function findCode(code: number): ResultCode | undefined;

/** An error as a value: a code and its details. */
export interface Failure {
    readonly code: ResultCode;
    readonly detail: string;
    /** Delay before a retry, in milliseconds; undefined when waiting doesn't help. */
    readonly retryAfterMs?: number | undefined;
}

/** Concurrency that an upstream can handle. */
export interface ConcurrencyBounds {
    /** Maximum number of concurrent calls right after its start. */
    readonly coldConcurrency: number;
    /** Maximum number of concurrent calls once it is warm. */
    readonly warmConcurrency: number;
}

/** Outcome of an admitted call; `neutral` carries no information about the upstream. */
export type Completion =
    | { readonly kind: "success"; readonly latencyMs: number; readonly firstTokenMs?: number | undefined }
    | { readonly kind: "failed" }
    | { readonly kind: "refused-connection" }
    | { readonly kind: "neutral" };

/** One admitted call; must be released. */
export interface Ticket {
    /** Number of cold starts at the time of admission. */
    readonly coldEpoch: number;
    /** Number of reductions of the limit at the time of admission. */
    readonly reductions: number;
}

/**
 * Adaptive concurrency limit of one upstream; no call is admitted above it. It starts at the cold concurrency, rises
 * only with successful completions at healthy latency, and falls on failures and on any sign of a restart.
 */
export class AdmissionLimit implements Disposable {
    /** `bounds` is read on each use, so its result may change. */
    constructor(bounds: () => ConcurrencyBounds);
    /** Maximum number of concurrently active calls. */
    get limit(): number;
    /** Calls admitted and not yet released; may exceed the limit after it has dropped. */
    get active(): number;
    /** Whether the limit is at the cold concurrency, after a cold start or while a restart is suspected. */
    get isCold(): boolean;
    /** Admits one call; undefined when the limit is reached. */
    tryAcquire(): Ticket | undefined;
    /** Releases an admitted call and adapts the limit to its outcome. Releasing it again has no effect. */
    release(ticket: Ticket, completion: Completion): void;
    /** Drops to the cold concurrency at once; calls admitted before don't count towards the next rise. */
    becomeCold(reason: string): void;
    /** Fires when a call is released, or a restart is suspected, ruled out or detected; not when the bounds change. */
    readonly onChange: Event<void>;
    /** Fires with the reason when a cold start begins, or begins again and discards progress towards its first rise. */
    readonly onCold: Event<string>;
    dispose(): void;
}

/** A call that requests admission. */
export interface CallTicket {
    readonly team: string;
    /** Any finite number; higher priorities go first within the team. */
    readonly priority: number;
    /** On the time scale of `clock.now()`. */
    readonly deadlineMs: number;
    readonly signal: AbortSignal;
    /** Key by which service times are learned, such as operation and model. */
    readonly operation?: string | undefined;
}

/** Permission to dispatch one call now. */
export interface Permit {
    /** Time that the call waited for admission. */
    readonly queuedMs: number;
    /** Releases the admitted call. Must be called; further calls have no effect. */
    finish(completion: Completion): void;
}

/** Dependencies of a queue. */
export interface FairQueueOptions {
    readonly clock: Clock;
    readonly limit: AdmissionLimit;
    /** The relative weight of a team; above 0. */
    readonly weight: (team: string) => number;
    /** Calls of lower priority are shed under overload. */
    readonly shedBelowPriority: () => number;
}

/**
 * Queue in front of one upstream. Shares the admission limit among teams by weight, lends unused shares, and
 * holds only calls that can still meet their deadline according to the learned service times.
 */
export class FairQueue implements Disposable {
    constructor(options: FairQueueOptions);
    /** Number of waiting calls. */
    get queued(): number;
    /** Expected time from arrival to answer of a new call; 0 while service times are unknown. */
    get expectedMs(): number;
    /**
     * Waits for admission. Never throws; a rejected or cancelled call was not run. Failures: invalid-request,
     * cancelled, expired, overloaded, deadline-unreachable, shed, draining (on `dispose`), and that of `failAll`.
     */
    enter(ticket: CallTicket): Promise<result.Result<Permit, Failure>>;
    /** Rejects all waiting calls. */
    failAll(failure: Failure): void;
    dispose(): void;
}

/** Identifies a keyed call. */
export interface CallIdentity {
    readonly team: string;
    readonly service: string;
    readonly operation: string;
    readonly key: string;
}

/** The answer to a keyed call; every retry receives the same one. */
export interface LedgerRecord {
    readonly code: number;
    readonly body: unknown;
    readonly detail?: string | undefined;
}

/** Permission to run a keyed call once. Only the first call of `settle` or `withdraw` has an effect. */
export interface LedgerRun {
    /** Records the outcome, even if it is unknown. */
    settle(record: LedgerRecord): void;
    /** Removes the key; allowed only if nothing was dispatched. Waiting retries get the failure. */
    withdraw(failure: Failure): void;
}

/** How to handle a keyed call. */
export type Decision =
    | { readonly kind: "run"; readonly run: LedgerRun }
    | { readonly kind: "running"; readonly settled: Promise<LedgerRecord> }
    | { readonly kind: "settled"; readonly record: LedgerRecord }
    | { readonly kind: "refused"; readonly failure: Failure };

/** Dependencies and settings of a ledger. */
export interface LedgerOptions {
    readonly clock: Clock;
    /** Maximum number of entries; a full ledger rejects new keys. */
    readonly capacity: number;
    /** How long a caller may retry with the same key. */
    readonly lifetimeMs: () => number;
    /** When this process started, in milliseconds since 1970. */
    readonly startedWallMs: number;
}

/**
 * The at-most-once ledger of keyed non-idempotent calls. It keeps every call for the key lifetime, and rejects
 * keys that may have been used before its records begin.
 */
export class Ledger implements Disposable {
    constructor(options: LedgerOptions);
    /** Number of entries. */
    get size(): number;
    /** Decides how to handle a call, and adds an entry if it may run. `fingerprint` identifies its body. */
    begin(identity: CallIdentity, fingerprint: string): Decision;
    dispose(): void;
}

/** Dependencies and settings of a retry budget. */
export interface RetryBudgetOptions {
    readonly clock: Clock;
    /** Extra attempts allowed per first attempt, 0 to 1; read on each use. 0 allows none. */
    readonly ratio: () => number;
    /** Extra attempts allowed in addition to the earned ones; used ones are regained over time. */
    readonly reserve?: number;
}

/** Limits the extra attempts of a process to the ratio times the first attempts plus a slowly refilled reserve. */
export class RetryBudget {
    constructor(options: RetryBudgetOptions);
    /** Credits one first attempt. */
    earn(): void;
    /** Takes one extra attempt from the budget; false when it is exhausted, or when the ratio is 0. */
    trySpend(): boolean;
    /** Extra attempts currently available. */
    get balance(): number;
}

/** Load that an instance reports; `limit`, `active` and `queued` count calls. */
export interface Load {
    readonly limit: number;
    readonly active: number;
    readonly queued: number;
    readonly cold: boolean;
    readonly draining: boolean;
    /** Expected time from the arrival of a new call to its answer. */
    readonly expectedMs: number;
    /** Models loaded on the engine. */
    readonly models: string[];
}

/** An instance that may be chosen. */
export interface Candidate {
    readonly instance: string;
    readonly failureDomain: string;
    readonly region: string;
    /** Its last report; undefined before the first. */
    readonly load: Load | undefined;
    /** Calls sent to it since `load` was reported. */
    readonly pending: number;
}

/** Requirements and candidates of a choice. */
export interface ChoiceRequest {
    readonly service: string;
    readonly operation: string;
    /** Model that an engine should have loaded. */
    readonly model?: string | undefined;
    /** Identity of the prompt's prefix, for engines that cache it. */
    readonly prefix?: string | undefined;
    /** Instances that already failed this stage; one is used only if no other instance accepts calls. */
    readonly avoidInstances: ReadonlySet<string>;
    /** Failure domains that already failed this stage; used only if no other remains. */
    readonly avoidDomains: ReadonlySet<string>;
    readonly candidates: readonly Candidate[];
}

/** A choice with its reason. */
export interface Choice {
    readonly candidate: Candidate;
    /** One of `only`, `trial`, `prefix`, `expected`. */
    readonly reason: string;
    /** Names of the instances that were compared. */
    readonly considered: readonly string[];
}

/** Dependencies of the policy. */
export interface UpstreamChoiceOptions {
    readonly clock: Clock;
    /** Returns a random number from 0 up to 1, exclusive. */
    readonly random: () => number;
    readonly failureDomain: string;
    readonly region: string;
}

/**
 * Chooses an upstream instance: prefers this process's region, compares two random instances by expected completion
 * time, and prefers a holder of the prompt's prefix if its reduced expected time is no higher. Ejects failing
 * instances for increasing periods.
 */
export class UpstreamChoice {
    constructor(options: UpstreamChoiceOptions);
    /** Chooses a candidate; undefined when none can be used. */
    choose(request: ChoiceRequest): Choice | undefined;
    /** Records an answer with its time at the upstream and the total time waited. */
    recordSuccess(instance: string, upstreamMs: number, totalMs: number): void;
    /** Records a failed call; rejections by a limit aren't failures. */
    recordFailure(instance: string): void;
    /** Records a cache event, which is only a hint. */
    recordPrefix(instance: string, prefix: string, held: boolean): void;
    /** Discards the records of an instance that left or restarted. */
    forget(instance: string): void;
}

/** One row of the platform's list of instances. */
export interface ListedInstance {
    readonly instance: string;
    readonly role: "entry" | "agent";
    readonly service?: string | undefined;
    readonly failureDomain: string;
    /** IP address and port. */
    readonly address: string;
    readonly state: "live" | "leaving";
}

/** The state of another instance; its properties are updated in place. */
export interface Member {
    readonly instance: string;
    readonly role: "entry" | "agent";
    readonly service?: string | undefined;
    readonly failureDomain: string;
    readonly address: string;
    readonly state: "live" | "leaving";
    /** From the latest hello; undefined before the first. */
    readonly incarnation?: number | undefined;
    /** Calls may be sent to connected members only; the others are candidates for a connection. */
    readonly connected: boolean;
    /** When the connection was last lost; undefined before the first loss and while connected. */
    readonly lostAtMs?: number | undefined;
}

/** Dependencies and settings of a membership view. */
export interface MembershipOptions {
    readonly clock: Clock;
    /** This process's instance name. */
    readonly self: string;
    readonly failureDomain: string;
    readonly region: string;
    /** Maximum number of agents per service that this process uses. */
    readonly subsetSize?: number;
    /** Finds the region of a failure domain; if left out, all domains count as near. */
    readonly regionOf?: (failureDomain: string) => string | undefined;
}

/** The first message on a connection, in each direction. */
export interface Hello {
    readonly kind: "hello";
    readonly protocol: number;
    readonly role: "entry" | "agent" | "status";
    readonly instance: string;
    readonly failureDomain: string;
    /** Increases with each start of the instance. */
    readonly incarnation: number;
    /** The service of an agent's upstream. */
    readonly service?: string | undefined;
}

/** One process's view of other instances: the platform's lagging list names candidates, connections confirm them. */
export class Membership implements Disposable {
    constructor(options: MembershipOptions);
    /** Updates the view from the list. Ignores an empty list; keeps connected members that are missing from it. */
    updateList(rows: readonly ListedInstance[]): void;
    /** Records a new connection; ignored if its incarnation is earlier than the connected one's. */
    noteConnected(hello: Hello): void;
    /** Records that the instance reports draining, until a higher incarnation connects. */
    noteDraining(instance: string): void;
    /** Records that the connection was closed, and removes the instance if the list does not contain it. */
    noteLost(instance: string): void;
    /** A bounded subset of a service's agents, without leaving ones. It includes agents that aren't connected yet. */
    agents(service: string): readonly Member[];
    /** At most `count` live instances of any role to gossip with. */
    peers(count: number): readonly Member[];
    find(instance: string): Member | undefined;
    /** Names of all known instances and this one, sorted. */
    get instances(): readonly string[];
    /** Time since the last list that wasn't empty; undefined before the first. */
    get listAgeMs(): number | undefined;
    /** Fires after each change of the view. */
    readonly onChange: Event<void>;
    dispose(): void;
}

/** A logger with pino's methods. */
export interface Log {
    debug(fields: object, text?: string): void;
    info(fields: object, text?: string): void;
    warn(fields: object, text?: string): void;
    error(fields: object, text?: string): void;
}

/** The content of a frame between processes: the sender's configuration version in force, and a message. */
export interface Envelope {
    readonly version: number;
    readonly message: { readonly kind: string };
}

/** A configuration that passed all checks. */
export interface VersionInForce {
    readonly configuration: { readonly version: number };
    readonly digest: string;
    /** When it came into force in this process, on the clock's scale. */
    readonly receivedMs: number;
}

/** A configuration version that failed its checks. */
export interface RejectedVersion {
    readonly version: number;
    readonly reason: string;
    /** When it was rejected, on the clock's scale. */
    readonly atMs: number;
}

/**
 * The published configuration in force in this process. Versions only increase, invalid content is rejected
 * completely, and peers exchange deltas.
 */
export class ConfigurationReplica implements Disposable {
    constructor(options: { readonly clock: Clock; readonly log: Log });
    /** Undefined before the first version. */
    get current(): VersionInForce | undefined;
    /** 0 if there is none in force. */
    get version(): number;
    /** Time since the configuration service last confirmed that it has no newer version; undefined if it never did. */
    get unconfirmedMs(): number | undefined;
    /** Oldest first. */
    get rejected(): readonly RejectedVersion[];
    /**
     * Checks a document and puts it in force if its version is higher. `source` names its origin in the log. On
     * errors (configuration-older, configuration-conflict, configuration-invalid) the version in force stays.
     */
    offer(content: unknown, source: string): result.Result<"applied" | "same", Failure>;
    /** Records that `ageMs` ago the configuration service had no newer version. */
    confirm(ageMs: number): void;
    /** Processes a frame from a peer; `send` answers on the same connection. */
    observe(envelope: Envelope, send: (message: Envelope["message"]) => boolean, peer: string): void;
    /** Fires after a higher version has come into force. */
    readonly onVersion: Event<VersionInForce>;
    /** Fires once for each conflict and each rejected version. */
    readonly onAlarm: Event<Failure>;
    dispose(): void;
}

/** Callbacks and settings that the owner of a connection provides. */
export interface PeerContext {
    readonly clock: Clock;
    hello(): Hello;
    /** This process's configuration version in force; sent in every frame. */
    version(): number;
    heartbeat(): { readonly kind: "heartbeat" };
}

/** A framed connection to another process, with heartbeats, size limits and schema checks. */
export class PeerConnection implements Disposable {
    private constructor();
    /**
     * Connects to `address`, an IP address and a port, and waits for the peer's hello. Failures: peer-unreachable,
     * peer-silent (no hello), peer-closed, protocol-unknown, frame-malformed, frame-too-large.
     */
    static open(address: string, context: PeerContext): Promise<result.Result<PeerConnection, Failure>>;
    /** The peer's hello. */
    get remote(): Hello;
    get isClosed(): boolean;
    /** Time since bytes last arrived from the peer. */
    get silentMs(): number;
    /** Sends a message; false if the connection is closed. */
    send(message: Envelope["message"]): boolean;
    /** Waits for the next envelope; undefined once the connection is closed and all envelopes have been read. */
    next(): Promise<Envelope | undefined>;
    /** Fires once, when the connection closes. */
    readonly onClose: Event<Failure>;
    /** Closes the connection once all sent messages are written. */
    dispose(): void;
}
