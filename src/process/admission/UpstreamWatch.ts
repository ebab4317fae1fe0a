/**
 * Watches an upstream for signs of a restart: a changed boot identity, or a refused connection. Each sign drops
 * the admission limit to the cold concurrency at once. When the upstream closes a connection, or a connection
 * fails, a restart is suspected, and the limit is held at the cold concurrency until a probe shows whether it
 * happened. A new agent waits, for a limited time, until its predecessor's calls have left the upstream. Also detects
 * whether the upstream is leaving: it reports so, or accepts no connection.
 */
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as emitters from "../../common/Emitter";
import * as ports from "../../common/Ports";
import * as limits from "./AdmissionLimit";

const PROBE_PERIOD_MS = 500;
const PROBE_TIMEOUT_MS = 2_000;
/** Interval between probes while a restart is suspected. */
const SUSPICION_PROBE_PERIOD_MS = 20;

/** Wait for a predecessor's calls at an upstream that doesn't report its load. */
const UNREPORTED_DRAIN_WAIT_MS = 500;
/** Maximum wait for the reported load to reach 0. */
const MAX_DRAIN_WAIT_MS = 10_000;
const REPORT_POLL_PERIOD_MS = 50;

/** An upstream that may report its load. */
export type WatchedUpstream = ports.PlainService & Partial<Pick<ports.ModelEngine, "report">>;

/** Probes one upstream. */
export class UpstreamWatch implements clocks.Disposable {
    private readonly disposables = new emitters.DisposableStore();
    private readonly stopController = new AbortController();
    private readonly leavingEmitter = new emitters.Emitter<void>();
    private lastBoot: string | undefined;
    private suspicionCount = 0;
    private isResolvingSuspicion = false;
    private hasDrainWaitEnded = false;
    private isUpstreamLeaving = false;

    /** Fires when `isLeaving` has changed. */
    readonly onLeavingChange = this.leavingEmitter.event;

    constructor(
        private readonly clock: clocks.Clock,
        private readonly upstream: WatchedUpstream,
        private readonly limit: limits.AdmissionLimit,
    ) {}

    /** Last reported boot identity of the upstream process. */
    get boot(): string | undefined {
        return this.lastBoot;
    }

    /** Whether the wait for an earlier agent's calls at the upstream is over; no call may be dispatched earlier. */
    get isDrainWaitOver(): boolean {
        return this.hasDrainWaitEnded;
    }

    /** Whether the upstream reported that it is leaving, or accepts no connection. */
    get isLeaving(): boolean {
        return this.isUpstreamLeaving;
    }

    /** Starts probing; call once. */
    start(): void {
        const listener = this.upstream.onDisconnect?.(() => this.suspectRestart());
        if (listener !== undefined) {
            this.disposables.add(listener);
        }
        void this.run();
    }

    /** Records a reported boot identity; a changed one drops the limit to the cold concurrency. */
    recordBoot(boot: string): void {
        if (this.lastBoot !== undefined && this.lastBoot !== boot) {
            this.limit.becomeCold("the upstream's boot identity changed");
        }
        this.lastBoot = boot;
    }

    dispose(): void {
        this.stopController.abort();
        this.disposables.dispose();
        this.leavingEmitter.dispose();
    }

    private suspectRestart(): void {
        this.suspicionCount += 1;
        this.limit.setRestartSuspected(true);
        if (!this.isResolvingSuspicion) {
            void this.resolveSuspicion();
        }
    }

    /** Probes until a probe that started after the last suspicion is conclusive. */
    private async resolveSuspicion(): Promise<void> {
        this.isResolvingSuspicion = true;
        for (;;) {
            const countBeforeProbe = this.suspicionCount;
            const isConclusive = await this.probe();
            if (this.stopController.signal.aborted || (isConclusive && countBeforeProbe === this.suspicionCount)) {
                break;
            }
            await clocks.sleep(this.clock, SUSPICION_PROBE_PERIOD_MS, this.stopController.signal);
        }
        this.isResolvingSuspicion = false;
        this.limit.setRestartSuspected(false);
    }

    private recordLeaving(isLeaving: boolean): void {
        if (isLeaving !== this.isUpstreamLeaving && !this.stopController.signal.aborted) {
            this.isUpstreamLeaving = isLeaving;
            this.leavingEmitter.fire();
        }
    }

    private async run(): Promise<void> {
        void this.awaitPredecessorDrain();
        while (!this.stopController.signal.aborted) {
            await this.probe();
            await clocks.sleep(this.clock, PROBE_PERIOD_MS, this.stopController.signal);
        }
    }

    private async awaitPredecessorDrain(): Promise<void> {
        const startedMs = this.clock.now();
        while (!this.stopController.signal.aborted && this.clock.now() - startedMs < MAX_DRAIN_WAIT_MS) {
            const reported = await this.upstream.report?.(this.stopController.signal);
            const waitedMs = this.clock.now() - startedMs;
            if (reported?.isOk ? reported.value.active === 0 : waitedMs >= UNREPORTED_DRAIN_WAIT_MS) {
                break;
            }
            await clocks.sleep(this.clock, REPORT_POLL_PERIOD_MS, this.stopController.signal);
        }
        this.hasDrainWaitEnded = true;
    }

    /** Probes once; true when the result shows whether the upstream has restarted. */
    private async probe(): Promise<boolean> {
        const timeout = AbortSignal.any([this.stopController.signal, AbortSignal.timeout(PROBE_TIMEOUT_MS)]);
        const result = await this.upstream.probe(timeout);
        if (result.isOk) {
            this.recordBoot(result.value.boot);
            this.recordLeaving(false);
            return true;
        }
        const isRefused = result.error.code.code === codes.codes.connectFailed.code;
        this.recordLeaving(isRefused || result.error.code.code === codes.codes.draining.code);
        if (isRefused && !this.stopController.signal.aborted) {
            this.limit.becomeCold("the upstream accepts no connection");
        }
        return isRefused;
    }
}
