/**
 * Decides when this process calls the configuration service. A bounded, rotating few hold a watch; the
 * others learn from peers and read only while their knowledge stays unconfirmed, at a rate that is divided
 * by the size of the fleet, so that all processes together stay within one read budget.
 */
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as logs from "../../common/Log";
import * as ports from "../../common/Ports";
import * as replicas from "./ConfigurationReplica";
import * as watcherChoices from "./WatcherChoice";

/** Calls on the service by the whole fleet, in calls per second; a waiting watch counts as one. */
export const READ_BUDGET_PER_SECOND = 200;
/** First reads of processes that start together, in calls per second over the fleet. */
const START_READS_PER_SECOND = 50;
/** Reads of processes with unconfirmed knowledge, in calls per second over the fleet. */
const FALLBACK_READS_PER_SECOND = 50;
/** Processes that hold a watch at the same time. */
export const WATCHERS = 8;
/** Time after which the watchers are chosen anew. */
export const WATCH_EPOCH_MS = 60_000;
/** Longest wait of one watch; a read that confirms the version follows it. */
const WATCH_LIMIT_MS = 3_000;
/** Time after which a read is given up. */
const READ_TIMEOUT_MS = 2_000;
/** Shortest time between two calls of one process. */
const CALL_INTERVAL_MS = 300;
/** Time between two decisions of a process that holds no watch. */
const DECISION_INTERVAL_MS = 1_000;
/** Age of the last confirmation above which a process that holds no watch may read. */
export const STALE_AFTER_MS = 10_000;
const FIRST_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 2_000;
const MS_PER_SECOND = 1_000;

/** What a reader needs from its owner. */
export interface ConfigurationReaderOptions {
    readonly clock: clocks.Clock;
    /** Uniform in [0, 1). */
    readonly random: () => number;
    readonly source: ports.ConfigurationSource;
    readonly replica: replicas.ConfigurationReplica;
    /** Name of this instance. */
    readonly self: string;
    /** Names of all known instances of the system, with or without this one. */
    readonly peers: () => readonly string[];
    readonly log: logs.Log;
}

/** How a call on the service ended. */
type CallOutcome = "answered" | "rejected" | "nothing" | "failed";

/** Calls the configuration service and offers what it answers to the replica. */
export class ConfigurationReader implements clocks.Disposable {
    private readonly stop = new AbortController();
    private readonly choice: watcherChoices.WatcherChoice;
    private readCount = 0;
    private failures = 0;
    private resolveFirstContact: () => void = () => undefined;

    /** Resolves when the service has answered for the first time. */
    readonly firstContact = new Promise<void>(resolve => this.resolveFirstContact = resolve);

    constructor(private readonly options: ConfigurationReaderOptions) {
        this.choice = new watcherChoices.WatcherChoice(options.self, WATCHERS);
    }

    /** Calls made on the service since the start; each read and each watch counts as one. */
    get reads(): number {
        return this.readCount;
    }

    /** Starts the one task that calls the service. */
    start(): void {
        void this.run();
    }

    dispose(): void {
        this.stop.abort();
    }

    private async run(): Promise<void> {
        await this.waitForStartRead();
        if (!this.stop.signal.aborted) {
            await this.readAndPause();
        }
        while (!this.stop.signal.aborted) {
            if (this.holdsWatch()) {
                await this.watchThenRead();
            }
            else {
                await this.pause(DECISION_INTERVAL_MS);
                if (!this.stop.signal.aborted && this.shouldFallBack()) {
                    await this.readAndPause();
                }
            }
        }
    }

    /** Spreads the first reads of processes that start together; a lone process reads at once. */
    private async waitForStartRead(): Promise<void> {
        const spreadMs = (this.fleetSize() - 1) / START_READS_PER_SECOND * MS_PER_SECOND;
        await this.pause(this.options.random() * spreadMs);
    }

    private async watchThenRead(): Promise<void> {
        const { replica } = this.options;
        // A rejected version isn't waited for again.
        const version = Math.max(replica.version, ...replica.rejected.map(rejected => rejected.version));
        const limitMs = Math.min(WATCH_LIMIT_MS, this.epochRestMs());
        const outcome = await this.call(signal => this.options.source.watch(version, signal), limitMs, "nothing");
        await this.pauseAfter(outcome);
        if (outcome === "nothing" && !this.stop.signal.aborted) {
            await this.readAndPause();
        }
    }

    private async readAndPause(): Promise<void> {
        const outcome = await this.call(signal => this.options.source.read(signal), READ_TIMEOUT_MS, "failed");
        await this.pauseAfter(outcome);
    }

    /** Makes one call; one that `limitMs` cuts off ends as `whenCut`. */
    private async call(
        ask: (signal: AbortSignal) => ports.Reply<unknown>,
        limitMs: number,
        whenCut: CallOutcome,
    ): Promise<CallOutcome> {
        this.readCount++;
        const limit = new AbortController();
        const cut = () => limit.abort();
        const timer = this.options.clock.schedule(limitMs, cut);
        this.stop.signal.addEventListener("abort", cut, { once: true });
        const reply = await ask(limit.signal);
        timer.dispose();
        this.stop.signal.removeEventListener("abort", cut);
        if (reply.isErr) {
            return limit.signal.aborted ? whenCut : "failed";
        }
        this.resolveFirstContact();
        return reply.value === undefined ? "nothing" : this.take(reply.value);
    }

    /** Only a document of the version in force, or one above it, confirms: an older answer comes from a stale service. */
    private take(content: unknown): CallOutcome {
        const { replica, log } = this.options;
        const offered = replica.offer(content, "configuration-service");
        if (offered.isOk) {
            replica.confirm(0);
            return "answered";
        }
        log.debug({ code: offered.error.code.code, detail: offered.error.detail }, "document not taken");
        return offered.error.code === codes.codes.configurationInvalid ? "rejected" : "failed";
    }

    private async pauseAfter(outcome: CallOutcome): Promise<void> {
        this.failures = outcome === "failed" ? this.failures + 1 : 0;
        if (this.failures === 0) {
            await this.pause(CALL_INTERVAL_MS);
            return;
        }
        const backoffMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (this.failures - 1));
        await this.pause(backoffMs * (0.5 + this.options.random() / 2));
    }

    private shouldFallBack(): boolean {
        const { replica, random } = this.options;
        const stale = replica.unconfirmedMs === undefined || replica.unconfirmedMs > STALE_AFTER_MS;
        const chance = FALLBACK_READS_PER_SECOND * DECISION_INTERVAL_MS / MS_PER_SECOND / this.fleetSize();
        return stale && random() < chance;
    }

    private holdsWatch(): boolean {
        const epoch = Math.floor(this.options.clock.wall() / WATCH_EPOCH_MS);
        return this.choice.isChosen(this.options.peers(), epoch);
    }

    private epochRestMs(): number {
        return WATCH_EPOCH_MS - this.options.clock.wall() % WATCH_EPOCH_MS;
    }

    /** Processes that share the budget: those known, and at least one for each published slot. */
    private fleetSize(): number {
        const services = Object.values(this.options.replica.current?.configuration.services ?? {});
        const slots = services.reduce((sum, service) => sum + Object.keys(service.slots).length, 0);
        return Math.max(1, this.options.peers().length, slots);
    }

    private pause(delayMs: number): Promise<void> {
        return clocks.sleep(this.options.clock, delayMs, this.stop.signal);
    }
}
