/**
 * Watches the flow of a response body and reports when its transfer is to be given up.
 */
import * as clocks from "../common/Clock";
import * as readTimers from "../common/ReadTimer";
import * as transferLimits from "../common/TransferLimit";

/** What the time-out needs from its exchange. */
export interface BodyTimeoutOptions {
    readonly clock: clocks.Clock;
    readonly limits: transferLimits.TransferLimits;
    /** Called once, with what has arrived and how long it took. */
    readonly onTimeout: (receivedBytes: number, elapsedMs: number) => void;
}

/** The time-out of one body, which begins when it is created. */
export class BodyTimeout implements clocks.Disposable {
    private readonly startedAtMs: number;
    private receivedAtMs: number;
    private receivedBytes = 0;
    private timer: clocks.Disposable | undefined;

    constructor(private readonly options: BodyTimeoutOptions) {
        this.startedAtMs = options.clock.now();
        this.receivedAtMs = this.startedAtMs;
        this.scheduleCheck();
    }

    /** Notes that bytes of the body have arrived. */
    receive(bytes: number): void {
        this.receivedAtMs = this.options.clock.now();
        this.receivedBytes += bytes;
    }

    dispose(): void {
        this.timer?.dispose();
    }

    private scheduleCheck(): void {
        this.timer = readTimers.scheduleAfterReads(this.options.clock, this.remainingMs, () => {
            if (this.remainingMs > 0) {
                this.scheduleCheck();
                return;
            }
            this.options.onTimeout(this.receivedBytes, this.options.clock.now() - this.startedAtMs);
        });
    }

    private get remainingMs(): number {
        const { startedAtMs, receivedAtMs, receivedBytes } = this;
        const state = { startedAtMs, receivedAtMs, receivedBytes };
        return transferLimits.remainingMs(this.options.limits, state, this.options.clock.now());
    }
}
