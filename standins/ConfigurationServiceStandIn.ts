/**
 * Stand-in of the platform's configuration service: `GET /configuration` and the long poll
 * `GET /configuration/watch?after=VERSION`. The rate limit applies to both.
 */
import * as http from "node:http";
import * as clocks from "../src/common/Clock";
import * as standIns from "./HttpStandIn";
import * as tokenBuckets from "./TokenBucket";

const DEFAULT_WATCH_MS = 20_000;

/** Options; an undefined rate sets no limit. */
export interface ConfigurationServiceOptions extends standIns.ListenOptions {
    readonly document?: unknown;
    readonly callsPerSecond?: number | undefined;
    /** Time after which a watch is answered even without a new document. */
    readonly watchMs?: number | undefined;
}

/** Faults of this stand-in. */
export interface ConfigurationServiceFaults extends standIns.Faults {
    /** Whether the first published document is served instead of the latest. */
    answerOld?: boolean | undefined;
}

/** Serves the latest published document. */
export class ConfigurationServiceStandIn extends standIns.HttpStandIn {
    override faults: ConfigurationServiceFaults = {};
    /** Number of `GET /configuration` requests. */
    reads = 0;
    /** Number of waiting watches. */
    watching = 0;
    private readonly documents: unknown[] = [];
    private wakeCallbacks = new Set<() => void>();
    private readonly rateLimit: tokenBuckets.TokenBucket;

    private constructor(private readonly options: ConfigurationServiceOptions) {
        super();
        this.rateLimit = new tokenBuckets.TokenBucket(options.callsPerSecond ?? Infinity);
        if (options.document !== undefined) {
            this.documents.push(options.document);
        }
    }

    static async listen(options: ConfigurationServiceOptions = {}): Promise<ConfigurationServiceStandIn> {
        const standIn = new ConfigurationServiceStandIn(options);
        await standIn.start(options.port ?? 0);
        return standIn;
    }

    /** Publishes a document and completes the waiting watches. */
    publish(document: unknown): void {
        this.documents.push(document);
        for (const wake of [...this.wakeCallbacks]) {
            wake();
        }
    }

    override describe(): Record<string, unknown> {
        const { calls, reads, watching } = this;
        return { calls, reads, watching, refused: this.rateLimit.rejectedCount };
    }

    protected override async handle(incoming: standIns.IncomingRequest, response: http.ServerResponse): Promise<void> {
        const waitMs = this.rateLimit.tryTake();
        if (waitMs !== undefined) {
            standIns.sendJson(response, 429, undefined, { "retry-after": String(waitMs / 1_000) });
        }
        else if (incoming.path === "/configuration") {
            this.reads++;
            this.sendDocument(response, 404);
        }
        else if (incoming.path === "/configuration/watch") {
            await this.watch(Number(incoming.query.get("after") ?? 0), response);
        }
        else {
            standIns.sendJson(response, 404);
        }
    }

    private async watch(afterVersion: number, response: http.ServerResponse): Promise<void> {
        this.watching++;
        if (versionOf(this.documents.at(-1)) <= afterVersion) {
            await this.waitForDocument(response);
        }
        this.watching--;
        if (versionOf(this.documents.at(-1)) > afterVersion) {
            this.sendDocument(response, 204);
        }
        else {
            standIns.sendJson(response, 204);
        }
    }

    private waitForDocument(response: http.ServerResponse): Promise<void> {
        return new Promise(resolve => {
            const wake = () => {
                timer.dispose();
                this.wakeCallbacks.delete(wake);
                resolve();
            };
            const timer = clocks.systemClock.schedule(this.options.watchMs ?? DEFAULT_WATCH_MS, wake);
            this.wakeCallbacks.add(wake);
            response.once("close", wake);
        });
    }

    private sendDocument(response: http.ServerResponse, emptyStatus: number): void {
        const document = this.faults.answerOld === true ? this.documents[0] : this.documents.at(-1);
        standIns.sendJson(response, document === undefined ? emptyStatus : 200, document);
    }
}

function versionOf(document: unknown): number {
    return Number((document as { version?: unknown } | undefined)?.version ?? 0);
}
