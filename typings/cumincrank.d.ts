/**
 * The public API of the cumincrank library: coordination parts for systems that send work to upstreams which
 * may start cold, fail, pause and leave. Every part lives in one process and keeps its state in memory.
 *
 * Durations and points in time are in milliseconds. Failures are values with a numbered code; the codes are
 * listed in docs/RESULT-CODES.md. What has a `dispose` owns timers or sockets and must be disposed by its owner.
 */
import * as result from "true-myth/result";

/** Undoes something started earlier. Calling it twice does nothing more. */
export interface Disposable {
    dispose(): void;
}

/** Registers a listener; the result removes it. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** A source of time. */
export interface Clock {
    /** Milliseconds on a scale that never goes back; only differences have a meaning. */
    now(): number;
    /** Milliseconds since 1970; for identities and keys, never for intervals. */
    wall(): number;
    /** Calls back once after `delayMs`. */
    schedule(delayMs: number, callback: () => void): Disposable;
}

/** The machine's own time. */
export const systemClock: Clock;

/** A clock for tests that moves only when told to. */
export class ManualClock implements Clock {
    /** Starts at `startMs`, 1,000,000 when left out. */
    constructor(startMs?: number);
    now(): number;
    wall(): number;
    schedule(delayMs: number, callback: () => void): Disposable;
    /** Moves time on and runs the timers that fall due, in their order. */
    advance(byMs: number): void;
}

/** What is known of a request's effects. */
export type Outcome = "completed" | "not-run" | "unknown";

/** One numbered result code. */
export interface ResultCode {
    readonly code: number;
    readonly name: string;
    /** Undefined for codes that never end a request. */
    readonly outcome: Outcome | undefined;
    /** The HTTP status towards callers. */
    readonly status: number;
    readonly text: string;
}

/** All codes by name. */
export const codes: Readonly<Record<string, ResultCode>>;

/** Finds a code by its number; undefined when there is none. */
export function findCode(code: number): ResultCode | undefined;

/** An error as a value. */
export interface Failure {
    readonly code: ResultCode;
    readonly detail: string;
    /** When to come back; undefined when waiting doesn't help. */
    readonly retryAfterMs?: number | undefined;
}

/** Calls that an upstream bears at once. */
export interface ConcurrencyBounds {
    /** Right after its start. */
    readonly coldConcurrency: number;
    /** Once it has shown that it bears more. */
    readonly warmConcurrency: number;
}

/** How an admitted call ended; neutral says nothing about the upstream. */
export type Completion =
    | { readonly kind: "success"; readonly latencyMs: number; readonly firstTokenMs?: number | undefined }
    | { readonly kind: "failed" }
    | { readonly kind: "refused-connection" }
    | { readonly kind: "neutral" };

/** One admitted call; given back exactly once. */
export interface Ticket {
    readonly coldEpoch: number;
    readonly reductions: number;
}

/**
 * The exact concurrency limit of one upstream. It starts cold, rises only with successful completions at
 * healthy latency, and falls on failures and on any sign of a restart.
 */
export class AdmissionLimit implements Disposable {
    /** `bounds` is read at each use, so it may change. */
    constructor(bounds: () => ConcurrencyBounds);
    /** Calls that may be active at once. */
    get limit(): number;
    /** Calls admitted and not given back. */
    get active(): number;
    /** Whether no call has completed since the last sign of a restart. */
    get isCold(): boolean;
    /** Admits one call; undefined at the limit. */
    tryAcquire(): Ticket | undefined;
    /** Gives a call back and learns from how it ended. */
    release(ticket: Ticket, completion: Completion): void;
    /** Falls to the cold limit. Calls dispatched before don't count towards warming. */
    becomeCold(reason: string): void;
    /** Fires when a call was given back or the limit moved. */
    readonly onChange: Event<void>;
    /** Fires with the reason when the limit fell to cold. */
    readonly onCold: Event<string>;
    dispose(): void;
}

/** A call that asks a queue for admission. */
export interface CallTicket {
    readonly team: string;
    /** 0 to 9; higher goes first within the team. */
    readonly priority: number;
    /** On the scale of the clock's `now`. */
    readonly deadlineMs: number;
    readonly signal: AbortSignal;
    /** What service times are learned by, such as operation and model. */
    readonly operation?: string | undefined;
}

/** Leave to dispatch one call now. */
export interface Permit {
    /** Time that the call waited. */
    readonly queuedMs: number;
    /** Gives the place back; must be called once, and a second call does nothing. */
    finish(completion: Completion): void;
}

/** What a queue needs from its owner. */
export interface FairQueueOptions {
    readonly clock: Clock;
    readonly limit: AdmissionLimit;
    /** A team's weight, above 0. */
    readonly weight: (team: string) => number;
    /** Under overload, lower priorities are refused. */
    readonly shedBelowPriority: () => number;
}

/**
 * The queue in front of one upstream: shares its admission limit among teams by weight, lends unused share, and
 * holds only work that can still meet its deadline.
 */
export class FairQueue implements Disposable {
    constructor(options: FairQueueOptions);
    /** Calls waiting. */
    get queued(): number;
    /** Expected time from arrival to answer for a new call; 0 while nothing was learned. */
    get expectedMs(): number;
    /** Waits for admission. Failures: cancelled, expired, overloaded, deadline-unreachable, shed; none ran. */
    enter(ticket: CallTicket): Promise<result.Result<Permit, Failure>>;
    /** Refuses everything that waits. */
    failAll(failure: Failure): void;
    dispose(): void;
}

/** What a keyed call is known by. */
export interface CallIdentity {
    readonly team: string;
    readonly service: string;
    readonly operation: string;
    readonly key: string;
}

/** The answer to a keyed call, given alike to every retry. */
export interface LedgerRecord {
    readonly code: number;
    readonly body: unknown;
    readonly detail?: string | undefined;
}

/** The right to run a keyed call once. Only the first of settle and withdraw has an effect. */
export interface LedgerRun {
    /** Records the outcome, unknown ones included. */
    settle(record: LedgerRecord): void;
    /** Forgets the key; allowed only when certainly nothing was dispatched. */
    withdraw(failure: Failure): void;
}

/** What to do with a keyed call. */
export type Decision =
    | { readonly kind: "run"; readonly run: LedgerRun }
    | { readonly kind: "running"; readonly settled: Promise<LedgerRecord> }
    | { readonly kind: "settled"; readonly record: LedgerRecord }
    | { readonly kind: "refused"; readonly failure: Failure };

/** What a ledger needs from its owner. */
export interface LedgerOptions {
    readonly clock: Clock;
    /** Most entries held; a full ledger refuses. */
    readonly capacity: number;
    /** How long a caller may retry with the same key. */
    readonly lifetimeMs: () => number;
    /** When this process started, in milliseconds since 1970. */
    readonly startedWallMs: number;
}

/**
 * The at-most-once ledger of keyed calls that may not be repeated. It never forgets a call within the key
 * lifetime, and refuses keys that may be older than its memory.
 */
export class Ledger implements Disposable {
    constructor(options: LedgerOptions);
    /** Entries held. */
    get size(): number;
    /** Decides a call and remembers it when it may run; `fingerprint` stands for its body. */
    begin(identity: CallIdentity, fingerprint: string): Decision;
    dispose(): void;
}

/** What a retry budget needs from its owner. */
export interface RetryBudgetOptions {
    readonly clock: Clock;
    /** Share of first attempts that may be repeated, 0 to 1; 0 allows none. */
    readonly ratio: () => number;
    /** Extra attempts allowed without traffic; refilled slowly. */
    readonly reserve?: number;
}

/** Bounds how many extra attempts a process makes. */
export class RetryBudget {
    constructor(options: RetryBudgetOptions);
    /** Counts one first attempt. */
    earn(): void;
    /** Takes one extra attempt; false when the budget is spent. */
    trySpend(): boolean;
    /** Extra attempts available now. */
    get balance(): number;
}

/** What an instance says of its load; counts of calls and milliseconds. */
export interface Load {
    readonly limit: number;
    readonly active: number;
    readonly queued: number;
    readonly cold: boolean;
    readonly draining: boolean;
    readonly expectedMs: number;
    readonly models: string[];
}

/** An instance that may be chosen. */
export interface Candidate {
    readonly instance: string;
    readonly failureDomain: string;
    readonly region: string;
    /** Its last word; undefined before the first. */
    readonly load: Load | undefined;
    /** Calls sent to it since that word. */
    readonly pending: number;
}

/** What is to be chosen. */
export interface ChoiceRequest {
    readonly service: string;
    readonly operation: string;
    readonly model?: string | undefined;
    /** Identity of the prompt's beginning, for engines that cache it. */
    readonly prefix?: string | undefined;
    readonly avoidInstances: ReadonlySet<string>;
    readonly avoidDomains: ReadonlySet<string>;
    readonly candidates: readonly Candidate[];
}

/** A choice with its grounds. */
export interface Choice {
    readonly candidate: Candidate;
    readonly reason: string;
    /** Names of the instances that were compared. */
    readonly considered: readonly string[];
}

/** What a choice needs from its owner. */
export interface UpstreamChoiceOptions {
    readonly clock: Clock;
    /** Draws from 0 up to 1. */
    readonly random: () => number;
    readonly failureDomain: string;
    readonly region: string;
}

/**
 * Chooses an instance: near ones first, two random ones compared by expected completion, a holder of the
 * prompt's prefix at a discount; instances that fail are left out for a growing time.
 */
export class UpstreamChoice {
    constructor(options: UpstreamChoiceOptions);
    /** Chooses a candidate; undefined when none takes work. */
    choose(request: ChoiceRequest): Choice | undefined;
    /** Learns from an answer: time at the upstream, and time waited in all. */
    recordSuccess(instance: string, upstreamMs: number, totalMs: number): void;
    /** Learns from a failed call; refusals by a limit aren't failures. */
    recordFailure(instance: string): void;
    /** Takes in a cache event; a hint only. */
    recordPrefix(instance: string, prefix: string, held: boolean): void;
    /** Drops what was learned of an instance that left or restarted. */
    forget(instance: string): void;
}

/** One row of the platform's list of instances. */
export interface ListedInstance {
    readonly instance: string;
    readonly role: "entry" | "agent";
    readonly service?: string | undefined;
    readonly failureDomain: string;
    /** IP number and port. */
    readonly address: string;
    readonly state: "live" | "leaving";
}

/** What is known of another instance; reads are always current. */
export interface Member {
    readonly instance: string;
    readonly role: "entry" | "agent";
    readonly service?: string | undefined;
    readonly failureDomain: string;
    readonly address: string;
    readonly state: "live" | "leaving";
    readonly incarnation?: number | undefined;
    readonly connected: boolean;
    /** When the connection was last lost; undefined once connected again. */
    readonly lostAtMs?: number | undefined;
}

/** What a membership view needs from its owner. */
export interface MembershipOptions {
    readonly clock: Clock;
    /** This process's instance name. */
    readonly self: string;
    readonly failureDomain: string;
    readonly region: string;
    /** Most agents of one service that this process knows. */
    readonly subsetSize?: number;
    readonly regionOf?: (failureDomain: string) => string | undefined;
}

/** The first message of a peer. */
export interface Hello {
    readonly kind: "hello";
    readonly protocol: number;
    readonly role: "entry" | "agent" | "status";
    readonly instance: string;
    readonly failureDomain: string;
    readonly incarnation: number;
    readonly service?: string | undefined;
}

/** One process's view of the other instances: the platform's list nominates, connections decide. */
export class Membership implements Disposable {
    constructor(options: MembershipOptions);
    /** Takes in the list; an empty one is ignored. */
    updateList(rows: readonly ListedInstance[]): void;
    noteConnected(hello: Hello): void;
    /** Binding until a higher incarnation connects. */
    noteDraining(instance: string): void;
    noteLost(instance: string): void;
    /** A bounded subset of a service's agents, none of them leaving. */
    agents(service: string): readonly Member[];
    /** At most `count` instances of any role for gossip. */
    peers(count: number): readonly Member[];
    find(instance: string): Member | undefined;
    /** Names of all known instances and this one, sorted. */
    get instances(): readonly string[];
    /** Time since the last list; undefined before the first. */
    get listAgeMs(): number | undefined;
    /** Fires after the view changed. */
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

/** A frame between processes: the sender's version in force, and a message. */
export interface Envelope {
    readonly version: number;
    readonly message: { readonly kind: string };
}

/** A configuration that passed all checks. */
export interface VersionInForce {
    readonly configuration: { readonly version: number };
    readonly digest: string;
    /** On the clock's scale. */
    readonly receivedMs: number;
}

/** A version that failed its checks. */
export interface RejectedVersion {
    readonly version: number;
    readonly reason: string;
    readonly atMs: number;
}

/**
 * The published configuration in this process. Versions only go up; an invalid one is rejected whole; peers
 * exchange deltas.
 */
export class ConfigurationReplica implements Disposable {
    constructor(options: { readonly clock: Clock; readonly log: Log });
    get current(): VersionInForce | undefined;
    /** 0 for none. */
    get version(): number;
    /** Time since the source was last known to hold nothing newer; undefined when never. */
    get unconfirmedMs(): number | undefined;
    get rejected(): readonly RejectedVersion[];
    /** Takes in a document. Failures: configuration-older, configuration-conflict, configuration-invalid. */
    offer(content: unknown, source: string): result.Result<"applied" | "same", Failure>;
    /** Notes that `ageMs` ago the source held nothing newer. */
    confirm(ageMs: number): void;
    /** Takes in any frame of a peer; `send` answers on the same connection. */
    observe(envelope: Envelope, send: (message: Envelope["message"]) => boolean, peer: string): void;
    /** Fires after a higher version came into force. */
    readonly onVersion: Event<VersionInForce>;
    /** Fires once for each conflict and rejected version. */
    readonly onAlarm: Event<Failure>;
    dispose(): void;
}

/** What a peer connection needs from its owner. */
export interface PeerContext {
    readonly clock: Clock;
    hello(): Hello;
    /** This process's version in force; sent with every frame. */
    version(): number;
    heartbeat(): { readonly kind: "heartbeat" };
}

/** A framed connection to another process, with heartbeats, bounds and schema checks. */
export class PeerConnection implements Disposable {
    private constructor();
    /** Connects to an IP number and port. Failures: peer-unreachable, peer-silent, protocol-unknown. */
    static open(address: string, context: PeerContext): Promise<result.Result<PeerConnection, Failure>>;
    /** The peer's hello. */
    get remote(): Hello;
    get isClosed(): boolean;
    /** Time since the last frame from the peer. */
    get silentMs(): number;
    /** Sends a message; false when the connection has ended. */
    send(message: Envelope["message"]): boolean;
    /** The next envelope; undefined when the connection has ended. */
    next(): Promise<Envelope | undefined>;
    /** Fires once, when the connection ends. */
    readonly onClose: Event<Failure>;
    dispose(): void;
}
