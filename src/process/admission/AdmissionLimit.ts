/**
 * The exact concurrency limit of one upstream. It starts cold, rises only with successful completions at
 * healthy latency, and falls on failures and on any sign of a restart.
 */
import * as emitters from "../../common/Emitter";
import * as ranges from "./LatencyRange";

/** Factor by which a failure lowers the limit. */
const FAILURE_FACTOR = 0.7;
/** Share of the limit that one round of successes adds while it is far from warm. */
const RISE_RATIO = 0.5;
/** Share of the warm limit that one round adds close to warm. */
const NEAR_WARM_RISE_RATIO = 1 / 16;

/** Calls that an upstream bears. */
export interface ConcurrencyBounds {
    readonly coldConcurrency: number;
    readonly warmConcurrency: number;
    /** Successes after a cold start before the limit rises; undefined for one round at the cold concurrency. */
    readonly coldCalls?: number | undefined;
}

/** How an admitted call ended; neutral says nothing about the upstream. Durations are in milliseconds. */
export type Completion =
    | { readonly kind: "success"; readonly latencyMs: number; readonly firstTokenMs?: number | undefined }
    | { readonly kind: "failed" }
    | { readonly kind: "refused-connection" }
    | { readonly kind: "neutral" };

/** One admitted call; given back exactly once. */
export interface Ticket {
    /** Count of cold starts when the call was admitted. */
    readonly coldEpoch: number;
    /** Count of reductions when the call was admitted. */
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
    /** The limit while warm or warming; unused while cold. */
    private risenLimit = 0;

    /** Fires when a call was given back or the limit moved. */
    readonly onChange: emitters.Event<void> = this.changeEmitter.event;
    /** Fires with the reason when the limit fell to cold. */
    readonly onCold: emitters.Event<string> = this.coldEmitter.event;

    constructor(private readonly bounds: () => ConcurrencyBounds) {}

    /** Calls that may be active at once. */
    get limit(): number {
        return this.isRestartSuspected ? this.readBounds().cold : this.learnedLimit;
    }

    /** Calls admitted and not given back. May exceed the limit after a fall. */
    get active(): number {
        return this.admitted.size;
    }

    /** Whether the limit is held at the cold concurrency: since a cold start, or while a restart is suspected. */
    get isCold(): boolean {
        return this.isInColdStart || this.isRestartSuspected;
    }

    /** Holds the limit at the cold concurrency while it is unknown whether the upstream restarted. */
    setRestartSuspected(isSuspected: boolean): void {
        this.isRestartSuspected = isSuspected;
        this.changeEmitter.fire();
    }

    /** Admits one call; undefined at the limit. */
    tryAcquire(): Ticket | undefined {
        if (this.admitted.size >= this.limit) {
            return undefined;
        }
        const ticket: Ticket = { coldEpoch: this.coldEpoch, reductions: this.reductions };
        this.admitted.add(ticket);
        return ticket;
    }

    /** Gives an admitted call back. A second call with the same ticket does nothing. */
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

    /** Falls to cold at once; calls admitted before don't count towards warming. */
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

    /** The limit without regard to a suspicion. */
    private get learnedLimit(): number {
        const { cold, warm } = this.readBounds();
        return this.isInColdStart ? cold : Math.min(warm, Math.max(cold, this.risenLimit));
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
        this.risenLimit = Math.min(warm, limit + Math.max(1, Math.floor(step)));
        this.isInColdStart = false;
    }

    /** Lowers the limit once for all the calls that were admitted under the same limit. */
    private reduce(ticket: Ticket): void {
        this.successesTowardsRise = 0;
        if (ticket.reductions !== this.reductions) {
            return;
        }
        this.reductions += 1;
        this.risenLimit = Math.floor(this.learnedLimit * FAILURE_FACTOR);
    }

    private readBounds(): { cold: number; warm: number; coldCalls: number } {
        const bounds = this.bounds();
        const warm = atLeastOne(bounds.warmConcurrency);
        const cold = Math.min(warm, atLeastOne(bounds.coldConcurrency));
        return { cold, warm, coldCalls: bounds.coldCalls ?? 0 };
    }
}

function atLeastOne(value: number): number {
    return value >= 1 ? Math.floor(value) : 1;
}
