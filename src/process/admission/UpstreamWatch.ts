/**
 * Watches an upstream for signs of a restart: a changed boot identity, or a refused connection. Each sign makes
 * the admission limit cold at once. A connection that the upstream ended raises a suspicion, during which the
 * limit is held at the cold concurrency until a probe tells the boot identity. A new agent waits until its
 * predecessor's calls have left the upstream. Also tells whether the upstream leaves, by its own word or its
 * absence.
 */
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as emitters from "../../common/Emitter";
import * as ports from "../../common/Ports";
import * as limits from "./AdmissionLimit";

const PROBE_PERIOD_MS = 500;
const PROBE_TIMEOUT_MS = 2_000;
/** Time between the probes of a suspicion. */
const SUSPECTED_PERIOD_MS = 20;

/** Wait for a predecessor's calls at an upstream that reports no load. */
const UNREPORTED_WAIT_MS = 500;
/** Longest wait for the reported load to reach 0. */
const PREDECESSOR_LIMIT_MS = 10_000;
const REPORT_PERIOD_MS = 50;

/** An upstream that may report its load. */
export type WatchedUpstream = ports.PlainService & Partial<Pick<ports.ModelEngine, "report">>;

/** Probes one upstream. */
export class UpstreamWatch implements clocks.Disposable {
    private readonly store = new emitters.DisposableStore();
    private readonly stopped = new AbortController();
    private readonly leavingEmitter = new emitters.Emitter<void>();
    private lastBoot: string | undefined;
    private suspicions = 0;
    private isChecking = false;
    private hasSettled = false;
    private leaves = false;

    /** Fires when `isLeaving` changed. */
    readonly onLeaving = this.leavingEmitter.event;

    constructor(
        private readonly clock: clocks.Clock,
        private readonly upstream: WatchedUpstream,
        private readonly limit: limits.AdmissionLimit,
    ) {}

    /** The upstream process's identity by its last word. */
    get boot(): string | undefined {
        return this.lastBoot;
    }

    /** Whether no call of an earlier agent is at the upstream any more; nothing may be dispatched before. */
    get isSettled(): boolean {
        return this.hasSettled;
    }

    /** Whether the upstream said that it leaves, or accepts no connection. */
    get isLeaving(): boolean {
        return this.leaves;
    }

    /** Starts the task; call once. */
    start(): void {
        const listener = this.upstream.onDisconnect?.(() => this.suspect());
        if (listener !== undefined) {
            this.store.add(listener);
        }
        void this.run();
    }

    /** Takes in a boot identity that came with an answer. */
    noteBoot(boot: string): void {
        if (this.lastBoot !== undefined && this.lastBoot !== boot) {
            this.limit.becomeCold("the upstream's boot identity changed");
        }
        this.lastBoot = boot;
    }

    dispose(): void {
        this.stopped.abort();
        this.store.dispose();
        this.leavingEmitter.dispose();
    }

    private suspect(): void {
        this.suspicions += 1;
        this.limit.suspect(true);
        if (!this.isChecking) {
            void this.check();
        }
    }

    /** Probes until an answer to a probe that began after the last suspicion. */
    private async check(): Promise<void> {
        this.isChecking = true;
        for (;;) {
            const asked = this.suspicions;
            const isKnown = await this.probe();
            if (this.stopped.signal.aborted || (isKnown && asked === this.suspicions)) {
                break;
            }
            await clocks.sleep(this.clock, SUSPECTED_PERIOD_MS, this.stopped.signal);
        }
        this.isChecking = false;
        this.limit.suspect(false);
    }

    private noteLeaving(leaves: boolean): void {
        if (leaves !== this.leaves && !this.stopped.signal.aborted) {
            this.leaves = leaves;
            this.leavingEmitter.fire();
        }
    }

    private async run(): Promise<void> {
        void this.awaitPredecessor();
        while (!this.stopped.signal.aborted) {
            await this.probe();
            await clocks.sleep(this.clock, PROBE_PERIOD_MS, this.stopped.signal);
        }
    }

    private async awaitPredecessor(): Promise<void> {
        const startedMs = this.clock.now();
        while (!this.stopped.signal.aborted && this.clock.now() - startedMs < PREDECESSOR_LIMIT_MS) {
            const reported = await this.upstream.report?.(this.stopped.signal);
            const waitedMs = this.clock.now() - startedMs;
            if (reported?.isOk ? reported.value.active === 0 : waitedMs >= UNREPORTED_WAIT_MS) {
                break;
            }
            await clocks.sleep(this.clock, REPORT_PERIOD_MS, this.stopped.signal);
        }
        this.hasSettled = true;
    }

    /** Whether the probe told if the upstream restarted. */
    private async probe(): Promise<boolean> {
        const timeout = AbortSignal.any([this.stopped.signal, AbortSignal.timeout(PROBE_TIMEOUT_MS)]);
        const probed = await this.upstream.probe(timeout);
        if (probed.isOk) {
            this.noteBoot(probed.value.boot);
            this.noteLeaving(false);
            return true;
        }
        const isRefused = probed.error.code.code === codes.codes.connectFailed.code;
        this.noteLeaving(isRefused || probed.error.code.code === codes.codes.draining.code);
        if (isRefused && !this.stopped.signal.aborted) {
            this.limit.becomeCold("the upstream accepts no connection");
        }
        return isRefused;
    }
}
