/**
 * Polls the platform's list of instances. The list lags, and its service may be unavailable.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as ports from "../../common/Ports";

const POLL_INTERVAL_MS = 1_000;
const READ_TIMEOUT_MS = 3_000;

/** The platform's list and the time of its request. */
export interface InstanceListUpdate {
    readonly rows: readonly ports.ListedInstance[];
    /** When the request was sent, on the scale of the clock's `now`. */
    readonly requestedAtMs: number;
}

/** Dependencies and settings of a reader. */
export interface InstanceListReaderOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly instanceList: ports.InstanceList;
    /** Name of this instance. */
    readonly self: string;
}

/** Polls the list and holds whether the latest one shows this instance as leaving. */
export class InstanceListReader implements clocks.Disposable {
    private readonly stopController = new AbortController();
    private readonly listEmitter = new emitters.Emitter<InstanceListUpdate>();
    private hasRead = false;
    private isLeaving = false;

    /** Fires after each successful read. */
    readonly onList = this.listEmitter.event;

    constructor(private readonly options: InstanceListReaderOptions) {}

    /** Whether a list has been read. */
    get hasReadList(): boolean {
        return this.hasRead;
    }

    /** Whether the latest list shows this instance as leaving. */
    get isListedLeaving(): boolean {
        return this.isLeaving;
    }

    /** Reads the list, then again one second after each read; resolves after the first read, even a failed one. */
    async start(): Promise<void> {
        await this.read();
        void this.poll();
    }

    dispose(): void {
        this.stopController.abort();
        this.listEmitter.dispose();
    }

    private async poll(): Promise<void> {
        while (!this.stopController.signal.aborted) {
            await clocks.sleep(this.options.clock, POLL_INTERVAL_MS, this.stopController.signal);
            await this.read();
        }
    }

    private async read(): Promise<void> {
        const { clock, instanceList, log, self } = this.options;
        const requestedAtMs = clock.now();
        const signal = AbortSignal.any([this.stopController.signal, AbortSignal.timeout(READ_TIMEOUT_MS)]);
        const rows = await instanceList.read(signal);
        if (rows.isOk) {
            this.hasRead = true;
            this.isLeaving = rows.value.find(row => row.instance === self)?.state === "leaving";
            this.listEmitter.fire({ rows: rows.value, requestedAtMs });
        }
        else if (!this.stopController.signal.aborted) {
            log.debug({ code: rows.error.code.code, detail: rows.error.detail }, "instance list unavailable");
        }
    }
}
