/**
 * The calls that this process has sent to one incarnation of an instance, and their outcomes.
 */
import * as clocks from "../../common/Clock";
import * as routingPorts from "../../common/RoutingPorts";
import * as arrivalWindows from "./ArrivalWindow";
import * as cachedParts from "./CachedParts";
import * as callCosts from "./CallCosts";
import * as faultPauses from "./FaultPause";
import * as holds from "./InstanceHold";
import * as instanceSpeeds from "./InstanceSpeed";
import * as limitedRates from "./LimitedRate";

/** First pause of an instance after failures; doubles with each further pause until a call succeeds. */
const MIN_PAUSE_MS = 500;
const MAX_PAUSE_MS = 4_000;
/** Weight of the newest call in the moving averages. */
const NEWEST_CALL_WEIGHT = 0.2;
/** Share of failed calls above which an instance is paused. */
const MAX_FAILURE_SHARE = 0.5;
/** How long a reported load is used. */
const LOAD_REPORT_LIFETIME_MS = 1_000;

/** How long a measured call time is used; after that, a slow instance may be chosen again. */
const CALL_TIME_LIFETIME_MS = 3_000;

/** Outcome of a call as evidence of its instance's health; `cancelled` is ignored. */
export type CallOutcome = "ok" | "failed" | "unreachable" | "refused" | "cancelled";

/** A call in progress at an instance. */
export interface Ticket {
    /** Expected time from sending the call to its first event, from the prompts that the instance has to read. */
    readonly expectedFirstEventMs: number;
    /** Records an event of the stream; the first one shows that the prompt has been read. */
    recordEvent(): void;
    end(outcome: CallOutcome): void;
}

/** Outcome of a rejected call: a hold that is as long as a pause takes its place. */
export function rejectionOutcome(holdMs: number | undefined): CallOutcome {
    return holdMs !== undefined && holdMs >= MIN_PAUSE_MS ? "cancelled" : "refused";
}

/** Counts and estimates for one incarnation. */
export class InstanceTraffic {
    inFlight = 0;
    /** Tokens that the instance has to read of prompts for which no first event has arrived yet. */
    waitingTokens = 0;
    /** Number of streams that have begun and not ended. */
    private openStreams = 0;
    private lastEventAtMs = -Infinity;
    readonly arrivals = new arrivalWindows.ArrivalWindow();
    private failureShare = 0;
    private pausesSinceSuccess = 0;
    private pausedUntilMs = -Infinity;
    private reportedLoad = 0;
    private reportedAtMs = -Infinity;
    private unreachableAtMs = -Infinity;
    private meanCallMs: number | undefined;
    private meanUpdatedMs = -Infinity;
    readonly faultPause = new faultPauses.FaultPause();
    private readonly cachedParts = new cachedParts.CachedParts();
    readonly speed: instanceSpeeds.InstanceSpeed;

    constructor(
        private readonly clock: clocks.Clock,
        readonly hold = new holds.InstanceHold(),
        readonly rate = new limitedRates.LimitedRate(),
        private readonly costs = new callCosts.CallCosts(clock),
    ) {
        this.speed = new instanceSpeeds.InstanceSpeed(clock);
    }

    /** Whether the instance is paused after failures: it gets calls only if all others are paused too. */
    get isPaused(): boolean {
        return this.clock.now() < this.pausedUntilMs || this.isGivenUp;
    }

    /** Whether its answers were faulty, so that it gets calls only if there is no other instance, and no retries. */
    get isGivenUp(): boolean {
        return this.faultPause.isActive(this.clock.now());
    }

    /** When a connection to it was last refused or lost; the instance may have restarted since then. */
    get lastUnreachableAtMs(): number {
        return this.unreachableAtMs;
    }

    /** Calls in progress there: this process's own count or a recent report, whichever is larger. */
    get load(): number {
        const isFresh = this.clock.now() - this.reportedAtMs < LOAD_REPORT_LIFETIME_MS;
        return Math.max(this.inFlight, isFresh ? this.reportedLoad : 0);
    }

    /** Time since the last event of any stream there; undefined without a stream that has begun and not ended. */
    get quietMs(): number | undefined {
        return this.openStreams > 0 ? this.clock.now() - this.lastEventAtMs : undefined;
    }

    /** Moving average of the time of successful calls without a prompt; undefined when none ended recently. */
    get recentCallMs(): number | undefined {
        return this.clock.now() - this.meanUpdatedMs < CALL_TIME_LIFETIME_MS ? this.meanCallMs : undefined;
    }

    /** Records the load that an answer reported. */
    recordLoadReport({ running, waiting, slowdown }: routingPorts.InstanceLoad): void {
        this.reportedLoad = running + waiting;
        this.reportedAtMs = this.clock.now();
        if (slowdown !== undefined) {
            this.speed.state(slowdown);
        }
    }

    /** Whether the prompt part is assumed to be cached there, since this process has recently sent it. */
    isPartCached(id: string): boolean {
        return this.cachedParts.has(id);
    }

    /**
     * Counts a call from its dispatch to its end. `missingTokens` are those of its prompt that aren't cached here;
     * `isMeasured`: whether the time to its first event shows the speed of the machine.
     */
    begin(missingTokens: number, parts: readonly string[], isMeasured = false): Ticket {
        this.inFlight++;
        this.waitingTokens += missingTokens;
        this.arrivals.add(this.clock.now());
        this.rate.add(this.clock.now());
        this.faultPause.recordSend(this.clock.now());
        this.cachedParts.add(parts);
        const startedAtMs = this.clock.now();
        const countedCall = this.hold.startCall();
        let unreadTokens = missingTokens;
        let isStreaming = false;
        let hasEnded = false;
        const tokens = this.waitingTokens;
        const expectedFirstEventMs = this.costs.firstEventMs(tokens) * this.speed.currentSlowness;
        const recordRead = (): void => {
            this.waitingTokens -= unreadTokens;
            unreadTokens = 0;
        };
        return {
            expectedFirstEventMs,
            recordEvent: () => {
                recordRead();
                if (isMeasured && !isStreaming && this.speed.isStated) {
                    this.recordFirstEvent(tokens, this.clock.now() - startedAtMs);
                }
                countedCall.accept();
                this.openStreams += isStreaming || hasEnded ? 0 : 1;
                isStreaming = true;
                this.lastEventAtMs = this.clock.now();
            },
            end: outcome => {
                if (!hasEnded) {
                    hasEnded = true;
                    recordRead();
                    if (outcome === "ok") {
                        countedCall.accept();
                    }
                    countedCall.end();
                    this.openStreams -= isStreaming ? 1 : 0;
                    this.inFlight--;
                    this.recordOutcome(outcome);
                    if (outcome === "ok" && missingTokens === 0) {
                        this.recordCallTime(this.clock.now() - startedAtMs);
                    }
                }
            },
        };
    }

    private recordFirstEvent(tokens: number, elapsedMs: number): void {
        const usualMs = elapsedMs / this.speed.currentSlowness;
        this.speed.record(this.costs.firstEventMs(tokens), usualMs);
        this.costs.record(tokens, usualMs);
    }

    private recordOutcome(outcome: CallOutcome): void {
        if (outcome === "cancelled") {
            return;
        }
        if (outcome === "ok") {
            this.failureShare *= 1 - NEWEST_CALL_WEIGHT;
            this.pausesSinceSuccess = 0;
            this.faultPause.recordSuccess();
            return;
        }
        this.failureShare += (1 - this.failureShare) * NEWEST_CALL_WEIGHT;
        if (outcome === "unreachable") {
            this.unreachableAtMs = this.clock.now();
            this.cachedParts.clear();
        }
        if (outcome === "unreachable" || this.failureShare > MAX_FAILURE_SHARE) {
            this.pause();
        }
    }

    private recordCallTime(elapsedMs: number): void {
        const previousMs = this.recentCallMs ?? elapsedMs;
        this.meanCallMs = previousMs + (elapsedMs - previousMs) * NEWEST_CALL_WEIGHT;
        this.meanUpdatedMs = this.clock.now();
    }

    private pause(): void {
        const durationMs = Math.min(MAX_PAUSE_MS, MIN_PAUSE_MS * 2 ** this.pausesSinceSuccess);
        this.pausesSinceSuccess++;
        this.pausedUntilMs = this.clock.now() + durationMs;
    }
}
