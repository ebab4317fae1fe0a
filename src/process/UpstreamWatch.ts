/**
 * Watches an upstream for signs of a restart: a changed boot identity, or a refused connection. Each sign makes
 * the admission limit cold at once.
 */
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as ports from "../common/Ports";
import * as limits from "./AdmissionLimit";

const PROBE_PERIOD_MS = 500;
const PROBE_TIMEOUT_MS = 2_000;

/** Probes one upstream, one probe after another. */
export class UpstreamWatch implements clocks.Disposable {
    private readonly stopped = new AbortController();
    private lastBoot: string | undefined;

    constructor(
        private readonly clock: clocks.Clock,
        private readonly upstream: ports.PlainService,
        private readonly limit: limits.AdmissionLimit,
    ) {}

    /** The upstream process's identity by its last word. */
    get boot(): string | undefined {
        return this.lastBoot;
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
            await clocks.sleep(this.clock, PROBE_PERIOD_MS, this.stopped.signal);
        }
    }
}
