/**
 * Adaptive concurrency limit of one upstream; no call is admitted above it. It starts at the cold concurrency, rises
 * only with successful completions at healthy latency, and falls on failures and on any sign of a restart.
 */
import * as emitters from "../../common/Emitter";
import * as ranges from "./LatencyRange";

/** Factor applied to the limit on a failure. */
const FAILURE_FACTOR = 0.7;
/**
 * Relative increase of the limit per rise while it is below half of the warm concurrency. A rise takes a round of at
 * least as many successes as the limit.
 */
const RISE_RATIO = 0.5;
/** Increase of the limit per rise from that point on, as a share of the warm concurrency. */
const NEAR_WARM_RISE_RATIO = 1 / 16;

/** Concurrency that an upstream can handle. */
export interface ConcurrencyBounds {
    readonly coldConcurrency: number;
    readonly warmConcurrency: number;
    /** Successes required for the first rise after a cold start; at least, and by default, the cold concurrency. */
    readonly coldCalls?: number | undefined;
}

/** Outcome of an admitted call; `neutral` carries no information about the upstream. */
export type Completion =
    | { readonly kind: "success"; readonly latencyMs: number; readonly firstTokenMs?: number | undefined }
    | { readonly kind: "failed" }
    | { readonly kind: "refused-connection" }
    | { readonly kind: "neutral" };

/** One admitted call; must be released. */
export interface Ticket {
    /** Number of cold starts at the time of admission. */
    readonly coldEpoch: number;
    /** Number of reductions of the limit at the time of admission. */
    readonly reductions: number;
}

/** Admits calls up to a limit that follows the health of the upstream. */
export class AdmissionLimit {
    private readonly admitted = new Set<Ticket>();
    private readonly firstTokens = new ranges.LatencyRange();
    private readonly latencies = new ranges.LatencyRange();
    private readonly changeEmitter = new emitters.Emitter<void>();
    private readonly coldEmitter = new emitters.Emitter<string>();
    private coldEpoch = 0;
    private reductions = 0;
    private successesTowardsRise = 0;
    private isInColdStart = true;
    private isRestartSuspected = false;
    /** Limit adapted to successes and failures; unused until the first rise after a cold start. */
    private adaptedLimit = 0;

    /** Fires when a call is released, or a restart is suspected, ruled out or detected; not when the bounds change. */
    readonly onChange: emitters.Event<void> = this.changeEmitter.event;
    /** Fires with the reason when a cold start begins, or begins again and discards progress towards its first rise. */
    readonly onCold: emitters.Event<string> = this.coldEmitter.event;

    constructor(private readonly bounds: () => ConcurrencyBounds) {}

    /** Maximum number of concurrently active calls. */
    get limit(): number {
        return this.isRestartSuspected ? this.readBounds().cold : this.learnedLimit;
    }

    /** Calls admitted and not yet released; may exceed the limit after it has dropped. */
    get active(): number {
        return this.admitted.size;
    }

    /** Whether the limit is at the cold concurrency, after a cold start or while a restart is suspected. */
    get isCold(): boolean {
        return this.isInColdStart || this.isRestartSuspected;
    }

    /** Holds the limit at the cold concurrency while it is unknown whether the upstream has restarted. */
    setRestartSuspected(isSuspected: boolean): void {
        this.isRestartSuspected = isSuspected;
        this.changeEmitter.fire();
    }

    /** Admits one call; undefined when the limit is reached. */
    tryAcquire(): Ticket | undefined {
        if (this.admitted.size >= this.limit) {
            return undefined;
        }
        const ticket: Ticket = { coldEpoch: this.coldEpoch, reductions: this.reductions };
        this.admitted.add(ticket);
        return ticket;
    }

    /** Releases an admitted call and adapts the limit to its outcome. Releasing it again has no effect. */
    release(ticket: Ticket, completion: Completion): void {
        if (!this.admitted.delete(ticket)) {
            return;
        }
        if (completion.kind === "refused-connection") {
            this.becomeCold("connection refused");
        }
        else if (ticket.coldEpoch === this.coldEpoch) {
            this.applyCompletion(ticket, completion);
        }
        this.changeEmitter.fire();
    }

    /** Drops to the cold concurrency at once; calls admitted before don't count towards the next rise. */
    becomeCold(reason: string): void {
        const hasChanged = !this.isInColdStart || this.successesTowardsRise > 0;
        this.coldEpoch += 1;
        this.successesTowardsRise = 0;
        this.isInColdStart = true;
        if (hasChanged) {
            this.coldEmitter.fire(reason);
            this.changeEmitter.fire();
        }
    }

    dispose(): void {
        this.changeEmitter.dispose();
        this.coldEmitter.dispose();
    }

    /** Limit derived from completed calls, regardless of a suspected restart. */
    private get learnedLimit(): number {
        const { cold, warm } = this.readBounds();
        return this.isInColdStart ? cold : Math.min(warm, Math.max(cold, this.adaptedLimit));
    }

    private applyCompletion(ticket: Ticket, completion: Completion): void {
        if (completion.kind === "failed") {
            this.reduce(ticket);
        }
        else if (completion.kind === "success") {
            this.applySuccess(completion.latencyMs, completion.firstTokenMs);
        }
    }

    private applySuccess(latencyMs: number, firstTokenMs: number | undefined): void {
        const isFirstTokenHealthy = firstTokenMs === undefined || this.firstTokens.observe(firstTokenMs);
        const isLatencyHealthy = this.latencies.observe(latencyMs);
        if (!isFirstTokenHealthy && !this.isInColdStart) {
            this.becomeCold("first-token latency out of range");
        }
        else if (isFirstTokenHealthy && isLatencyHealthy) {
            this.countSuccess();
        }
    }

    private countSuccess(): void {
        this.successesTowardsRise += 1;
        const limit = this.learnedLimit;
        const { warm, coldCalls } = this.readBounds();
        if (this.successesTowardsRise < Math.max(limit, this.isInColdStart ? coldCalls : 0)) {
            return;
        }
        const step = limit < warm / 2 ? limit * RISE_RATIO : warm * NEAR_WARM_RISE_RATIO;
        this.successesTowardsRise = 0;
        this.adaptedLimit = Math.min(warm, limit + Math.max(1, Math.floor(step)));
        this.isInColdStart = false;
    }

    /** Lowers the limit, at most once for all calls admitted since the previous reduction. */
    private reduce(ticket: Ticket): void {
        this.successesTowardsRise = 0;
        if (ticket.reductions !== this.reductions) {
            return;
        }
        this.reductions += 1;
        this.adaptedLimit = Math.floor(this.learnedLimit * FAILURE_FACTOR);
    }

    private readBounds(): { cold: number; warm: number; coldCalls: number } {
        const bounds = this.bounds();
        const warm = toPositiveInteger(bounds.warmConcurrency);
        const cold = Math.min(warm, toPositiveInteger(bounds.coldConcurrency));
        return { cold, warm, coldCalls: bounds.coldCalls ?? 0 };
    }
}

/** Rounds down; 1 for values below 1 and for NaN. */
function toPositiveInteger(value: number): number {
    return value >= 1 ? Math.floor(value) : 1;
}
