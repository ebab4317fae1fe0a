/**
 * Stand-in of the rate-limited weight store: `POST /weights/MODEL/reads`.
 */
import * as http from "node:http";
import * as standIns from "./HttpStandIn";
import * as tokenBuckets from "./TokenBucket";

/** Options; an undefined rate sets no limit. */
export interface WeightStoreOptions extends standIns.ListenOptions {
    readonly readsPerSecond?: number | undefined;
}

/** Counts reads of model weights and rejects those above the rate with status 429. */
export class WeightStoreStandIn extends standIns.HttpStandIn {
    /** Number of admitted reads, by model. */
    readonly reads: Record<string, number> = {};
    private readonly rateLimit: tokenBuckets.TokenBucket;

    private constructor(options: WeightStoreOptions) {
        super();
        this.rateLimit = new tokenBuckets.TokenBucket(options.readsPerSecond ?? Infinity);
    }

    static async listen(options: WeightStoreOptions = {}): Promise<WeightStoreStandIn> {
        const standIn = new WeightStoreStandIn(options);
        await standIn.start(options.port ?? 0);
        return standIn;
    }

    /** Number of reads rejected because of the rate limit. */
    get overRate(): number {
        return this.rateLimit.rejectedCount;
    }

    override describe(): Record<string, unknown> {
        return { calls: this.calls, reads: this.reads, overRate: this.overRate };
    }

    protected override handle(incoming: standIns.IncomingRequest, response: http.ServerResponse): Promise<void> {
        const model = /^\/weights\/([^/]+)\/reads$/.exec(incoming.path)?.[1];
        const waitMs = model === undefined ? undefined : this.rateLimit.tryTake();
        if (model === undefined) {
            standIns.sendJson(response, 404);
        }
        else if (waitMs !== undefined) {
            standIns.sendJson(response, 429, undefined, { "retry-after": String(waitMs / 1_000) });
        }
        else {
            const name = decodeURIComponent(model);
            this.reads[name] = (this.reads[name] ?? 0) + 1;
            standIns.sendJson(response, 200, {});
        }
        return Promise.resolve();
    }
}
