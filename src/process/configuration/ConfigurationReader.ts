/**
 * Decides when this process calls the configuration service. A bounded, rotating set of processes holds a watch.
 * The others receive versions from peers and read only while their version stays unconfirmed, at a rate divided
 * by the fleet size, so that all processes together stay within one read budget.
 */
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as logs from "../../common/Log";
import * as ports from "../../common/Ports";
import * as replicas from "./ConfigurationReplica";
import * as watcherChoices from "./WatcherChoice";

/** Limit on the calls of the entire fleet to the service, per second; each waiting watch counts as one call. */
export const READ_BUDGET_PER_SECOND = 200;
/** Rate of the first reads of processes that start together, over the entire fleet. */
const STARTUP_READS_PER_SECOND = 50;
/** Rate of the reads of processes whose version is unconfirmed, over the entire fleet. */
const FALLBACK_READS_PER_SECOND = 50;
/** Number of processes that hold a watch at the same time. */
export const MAX_WATCHERS = 8;
/** Time after which new watchers are chosen. */
export const WATCH_EPOCH_MS = 60_000;
/** Time-out of a watch; a read follows it to confirm the version. */
const WATCH_TIMEOUT_MS = 3_000;
const READ_TIMEOUT_MS = 2_000;
/** Wait between a call that didn't fail and the next one; after failures the backoff applies instead. */
const WAIT_AFTER_CALL_MS = 300;
/** Interval at which a process without a watch decides whether to read. */
const FALLBACK_CHECK_INTERVAL_MS = 1_000;
/** Age of the last confirmation above which a process without a watch may read. */
export const STALE_AFTER_MS = 10_000;
const INITIAL_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 2_000;
const MS_PER_SECOND = 1_000;

/** Dependencies and settings of a reader. */
export interface ConfigurationReaderOptions {
    readonly clock: clocks.Clock;
    /** Uniform in [0, 1). */
    readonly random: () => number;
    readonly source: ports.ConfigurationSource;
    readonly replica: replicas.ConfigurationReplica;
    /** Name of this instance. */
    readonly self: string;
    /** Names of all known instances of the system; this one may be missing. */
    readonly instances: () => readonly string[];
    readonly log: logs.Log;
}

/** How a call to the service ended; `nothing`: the service returned no newer version. */
type CallOutcome = "answered" | "rejected" | "nothing" | "failed";

/** Calls the configuration service and offers the documents that it returns to the replica. */
export class ConfigurationReader implements clocks.Disposable {
    private readonly stopController = new AbortController();
    private readonly watcherChoice: watcherChoices.WatcherChoice;
    private calls = 0;
    private consecutiveFailures = 0;
    private resolveFirstContact: () => void = () => undefined;

    /** Resolves after the first answer of the service. */
    readonly firstContact = new Promise<void>(resolve => this.resolveFirstContact = resolve);

    constructor(private readonly options: ConfigurationReaderOptions) {
        this.watcherChoice = new watcherChoices.WatcherChoice(options.self, MAX_WATCHERS);
    }

    /** Number of calls to the service since the start; each read and each watch counts as one. */
    get callCount(): number {
        return this.calls;
    }

    /** Starts the task that calls the service. */
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

    /** Spreads the first reads of processes that start together; a single process reads at once. */
    private async delayFirstRead(): Promise<void> {
        const spreadMs = (this.fleetSize() - 1) / STARTUP_READS_PER_SECOND * MS_PER_SECOND;
        await this.wait(this.options.random() * spreadMs);
    }

    private async watchThenRead(): Promise<void> {
        const { replica } = this.options;
        // Watching above the rejected versions keeps the service from returning them again at once.
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

    /** Makes one call; if it is aborted by `timeoutMs` or disposal, the result is `outcomeOnTimeout`. */
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

    /** Only a document of the version in force or above confirms it: an older document comes from a stale service. */
    private offerDocument(document: unknown): CallOutcome {
        const { replica, log } = this.options;
        const offered = replica.offer(document, "configuration-service");
        if (offered.isOk) {
            replica.confirm(0);
            return "answered";
        }
        log.debug({ code: offered.error.code.code, detail: offered.error.detail }, "configuration document rejected");
        return offered.error.code === codes.codes.configurationInvalid ? "rejected" : "failed";
    }

    private async waitAfter(outcome: CallOutcome): Promise<void> {
        this.consecutiveFailures = outcome === "failed" ? this.consecutiveFailures + 1 : 0;
        if (this.consecutiveFailures === 0) {
            await this.wait(WAIT_AFTER_CALL_MS);
            return;
        }
        const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (this.consecutiveFailures - 1));
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

    /** Number of processes that share the budget: the known ones, but at least the number of published slots. */
    private fleetSize(): number {
        const services = Object.values(this.options.replica.current?.configuration.services ?? {});
        const slots = services.reduce((sum, service) => sum + Object.keys(service.slots).length, 0);
        return Math.max(1, this.options.instances().length, slots);
    }

    private wait(delayMs: number): Promise<void> {
        return clocks.sleep(this.options.clock, delayMs, this.stopController.signal);
    }
}
