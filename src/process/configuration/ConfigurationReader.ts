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
const STARTUP_READS_PER_SECOND = 50;
/** Reads of processes with unconfirmed knowledge, in calls per second over the fleet. */
const FALLBACK_READS_PER_SECOND = 50;
/** Processes that hold a watch at the same time. */
export const MAX_WATCHERS = 8;
/** Time after which the watchers are chosen anew. */
export const WATCH_EPOCH_MS = 60_000;
/** Longest wait of one watch; a read that confirms the version follows it. */
const WATCH_TIMEOUT_MS = 3_000;
/** Time after which a read is given up. */
const READ_TIMEOUT_MS = 2_000;
/** Shortest time between two calls of one process. */
const MIN_CALL_INTERVAL_MS = 300;
/** Time between two decisions of a process that holds no watch. */
const FALLBACK_CHECK_INTERVAL_MS = 1_000;
/** Age of the last confirmation above which a process that holds no watch may read. */
export const STALE_AFTER_MS = 10_000;
const INITIAL_BACKOFF_MS = 500;
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
    readonly instances: () => readonly string[];
    readonly log: logs.Log;
}

/** How a call on the service ended. */
type CallOutcome = "answered" | "rejected" | "nothing" | "failed";

/** Calls the configuration service and offers what it answers to the replica. */
export class ConfigurationReader implements clocks.Disposable {
    private readonly stopController = new AbortController();
    private readonly watcherChoice: watcherChoices.WatcherChoice;
    private calls = 0;
    private failures = 0;
    private resolveFirstContact: () => void = () => undefined;

    /** Resolves when the service has answered for the first time. */
    readonly firstContact = new Promise<void>(resolve => this.resolveFirstContact = resolve);

    constructor(private readonly options: ConfigurationReaderOptions) {
        this.watcherChoice = new watcherChoices.WatcherChoice(options.self, MAX_WATCHERS);
    }

    /** Calls made on the service since the start; each read and each watch counts as one. */
    get callCount(): number {
        return this.calls;
    }

    /** Starts the one task that calls the service. */
    start(): void {
        void this.run();
    }

    dispose(): void {
        this.stopController.abort();
    }

    private async run(): Promise<void> {
        await this.delayFirstRead();
        if (!this.stopController.signal.aborted) {
            await this.readAndWait();
        }
        while (!this.stopController.signal.aborted) {
            if (this.isWatcher()) {
                await this.watchThenRead();
            }
            else {
                await this.wait(FALLBACK_CHECK_INTERVAL_MS);
                if (!this.stopController.signal.aborted && this.shouldRead()) {
                    await this.readAndWait();
                }
            }
        }
    }

    /** Spreads the first reads of processes that start together; a lone process reads at once. */
    private async delayFirstRead(): Promise<void> {
        const spreadMs = (this.fleetSize() - 1) / STARTUP_READS_PER_SECOND * MS_PER_SECOND;
        await this.wait(this.options.random() * spreadMs);
    }

    private async watchThenRead(): Promise<void> {
        const { replica } = this.options;
        // A rejected version isn't waited for again.
        const version = Math.max(replica.version, ...replica.rejected.map(rejected => rejected.version));
        const timeoutMs = Math.min(WATCH_TIMEOUT_MS, this.remainingEpochMs());
        const outcome = await this.call(signal => this.options.source.watch(version, signal), timeoutMs, "nothing");
        await this.waitAfter(outcome);
        if (outcome === "nothing" && !this.stopController.signal.aborted) {
            await this.readAndWait();
        }
    }

    private async readAndWait(): Promise<void> {
        const outcome = await this.call(signal => this.options.source.read(signal), READ_TIMEOUT_MS, "failed");
        await this.waitAfter(outcome);
    }

    /** Makes one call; one that `limitMs` cuts off ends as `whenCut`. */
    private async call(
        request: (signal: AbortSignal) => ports.Reply<unknown>,
        timeoutMs: number,
        outcomeOnTimeout: CallOutcome,
    ): Promise<CallOutcome> {
        this.calls++;
        const callController = new AbortController();
        const abort = () => callController.abort();
        const timer = this.options.clock.schedule(timeoutMs, abort);
        this.stopController.signal.addEventListener("abort", abort, { once: true });
        const reply = await request(callController.signal);
        timer.dispose();
        this.stopController.signal.removeEventListener("abort", abort);
        if (reply.isErr) {
            return callController.signal.aborted ? outcomeOnTimeout : "failed";
        }
        this.resolveFirstContact();
        return reply.value === undefined ? "nothing" : this.offerDocument(reply.value);
    }

    /** Only a document of the version in force, or one above it, confirms: an older answer comes from a stale service. */
    private offerDocument(document: unknown): CallOutcome {
        const { replica, log } = this.options;
        const offered = replica.offer(document, "configuration-service");
        if (offered.isOk) {
            replica.confirm(0);
            return "answered";
        }
        log.debug({ code: offered.error.code.code, detail: offered.error.detail }, "document not taken");
        return offered.error.code === codes.codes.configurationInvalid ? "rejected" : "failed";
    }

    private async waitAfter(outcome: CallOutcome): Promise<void> {
        this.failures = outcome === "failed" ? this.failures + 1 : 0;
        if (this.failures === 0) {
            await this.wait(MIN_CALL_INTERVAL_MS);
            return;
        }
        const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (this.failures - 1));
        await this.wait(backoffMs * (0.5 + this.options.random() / 2));
    }

    private shouldRead(): boolean {
        const { replica, random } = this.options;
        const isStale = replica.unconfirmedMs === undefined || replica.unconfirmedMs > STALE_AFTER_MS;
        const readProbability = FALLBACK_READS_PER_SECOND * FALLBACK_CHECK_INTERVAL_MS / MS_PER_SECOND
            / this.fleetSize();
        return isStale && random() < readProbability;
    }

    private isWatcher(): boolean {
        const epoch = Math.floor(this.options.clock.wall() / WATCH_EPOCH_MS);
        return this.watcherChoice.isChosen(this.options.instances(), epoch);
    }

    private remainingEpochMs(): number {
        return WATCH_EPOCH_MS - this.options.clock.wall() % WATCH_EPOCH_MS;
    }

    /** Processes that share the budget: those known, and at least one for each published slot. */
    private fleetSize(): number {
        const services = Object.values(this.options.replica.current?.configuration.services ?? {});
        const slots = services.reduce((sum, service) => sum + Object.keys(service.slots).length, 0);
        return Math.max(1, this.options.instances().length, slots);
    }

    private wait(delayMs: number): Promise<void> {
        return clocks.sleep(this.options.clock, delayMs, this.stopController.signal);
    }
}
