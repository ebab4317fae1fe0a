/**
 * Watches an upstream for signs of a restart: a changed boot identity, or a refused connection. Each sign makes
 * the admission limit cold at once. Also tells whether the upstream leaves, by its own word or its absence.
 */
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as emitters from "../common/Emitter";
import * as ports from "../common/Ports";
import * as limits from "./AdmissionLimit";

const PROBE_PERIOD_MS = 500;
const PROBE_TIMEOUT_MS = 2_000;

/** Probes one upstream, one probe after another. */
export class UpstreamWatch implements clocks.Disposable {
    private readonly stopped = new AbortController();
    private readonly leavingEmitter = new emitters.Emitter<void>();
    private lastBoot: string | undefined;
    private leaves = false;

    /** Fires when `isLeaving` changed. */
    readonly onLeaving = this.leavingEmitter.event;

    constructor(
        private readonly clock: clocks.Clock,
        private readonly upstream: ports.PlainService,
        private readonly limit: limits.AdmissionLimit,
    ) {}

    /** The upstream process's identity by its last word. */
    get boot(): string | undefined {
        return this.lastBoot;
    }

    /** Whether the upstream said that it leaves, or accepts no connection. */
    get isLeaving(): boolean {
        return this.leaves;
    }

    /** Starts the task; call once. */
    start(): void {
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
        this.leavingEmitter.dispose();
    }

    private noteLeaving(leaves: boolean): void {
        if (leaves !== this.leaves && !this.stopped.signal.aborted) {
            this.leaves = leaves;
            this.leavingEmitter.fire();
        }
    }

    private async run(): Promise<void> {
        while (!this.stopped.signal.aborted) {
            const timeout = AbortSignal.any([this.stopped.signal, AbortSignal.timeout(PROBE_TIMEOUT_MS)]);
            const probed = await this.upstream.probe(timeout);
            if (probed.isOk) {
                this.noteBoot(probed.value.boot);
            }
            else if (probed.error.code.code === codes.codes.connectFailed.code && !this.stopped.signal.aborted) {
                this.limit.becomeCold("the upstream accepts no connection");
            }
            const code = probed.isErr ? probed.error.code.code : undefined;
            this.noteLeaving(code === codes.codes.draining.code || code === codes.codes.connectFailed.code);
            await clocks.sleep(this.clock, PROBE_PERIOD_MS, this.stopped.signal);
        }
    }
}
