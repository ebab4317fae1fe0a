/**
 * The limits that instances in need have named, each for all entries together, from their answers to this process and
 * to others. The newest sign of an incarnation counts.
 */
import * as clocks from "../../common/Clock";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as views from "../published/PublishedView";
import * as shares from "../shares/FleetShare";
import * as fleetSizes from "../shares/FleetSize";
import * as limitedRates from "./LimitedRate";

/** A sign is forgotten after this time, in which an instance with any demand has been asked again. */
const SIGN_LIFETIME_MS = 60_000;
/** How long a computed share is used; longer than a choice among many instances takes. */
const SHARE_LIFETIME_MS = 250;
/** A stage worker gets its calls from its host, and for a moment from two; both together keep within the limit. */
const HOST_SHARE = 0.75;

/** What an instance last said about its limit, as entries tell each other. */
export interface LimitSign {
    readonly instance: string;
    readonly startedMs: number;
    /** Undefined if it names no limit any more. */
    readonly perSecond: number | undefined;
    /** Time since the answer that said so. */
    readonly ageMs: number;
}

/** This process's share of a limit. */
export interface LimitState {
    /** Requests in a window. */
    readonly share: number;
    readonly used: number;
    /** Time until the next one may be sent; Infinity without a share. */
    readonly waitMs: number;
}

/** What the limits need from their process. */
export interface InstanceLimitsOptions {
    readonly clock: clocks.Clock;
    readonly view: views.PublishedView;
    /** The entries that share the limits. */
    readonly fleet: fleetSizes.Fleet;
}

interface KnownSign {
    readonly instance: string;
    readonly startedMs: number;
    readonly perSecond: number | undefined;
    /** On this process's clock. */
    readonly saidAtMs: number;
    readonly rate: limitedRates.LimitedRate;
    readonly steady: shares.SteadyShare;
    shareUntilMs: number;
}

/** Keeps the limits and this process's share of each. */
export class InstanceLimits {
    private readonly signs = new Map<string, KnownSign>();
    private readonly rates = new Map<string, limitedRates.LimitedRate>();

    constructor(private readonly options: InstanceLimitsOptions) {}

    /** Whether any sign is known; without one, callers needn't list instances. */
    get isAnyKnown(): boolean {
        return this.signs.size > 0;
    }

    /** Number of incarnations that name a limit now. */
    get count(): number {
        return [...this.signs.values()].filter(({ perSecond }) => perSecond !== undefined).length;
    }

    /** The requests of this process to an incarnation, created at the first use. */
    obtainRate(incarnation: string): limitedRates.LimitedRate {
        let rate = this.rates.get(incarnation);
        if (rate === undefined) {
            rate = new limitedRates.LimitedRate();
            this.rates.set(incarnation, rate);
        }
        return rate;
    }

    /**
     * The sign in an answer of the instance to a request that was sent at `sentAtMs`; undefined if it is none. An answer
     * without a limit counts only if it can't have been begun before the instance named one.
     */
    readSign(
        instance: Pick<routing.RoutedInstance, "id" | "startedMs">,
        answer: Pick<routingPorts.UpstreamAnswerMetadata, "limitPerSecond" | "instance" | "effect">,
        sentAtMs: number,
    ): LimitSign | undefined {
        if (this.signs.size === 0 && answer.limitPerSecond === undefined) {
            return undefined; // Asked for each answer.
        }
        const isFromOther = answer.effect === "other-instance"
            || (answer.instance !== undefined && answer.instance !== instance.id);
        const known = this.signs.get(routing.incarnationKey(instance));
        const isNews = answer.limitPerSecond !== undefined
            || (known?.perSecond !== undefined && sentAtMs >= known.saidAtMs);
        if (isFromOther || !isNews) {
            return undefined;
        }
        return { instance: instance.id, startedMs: instance.startedMs, perSecond: answer.limitPerSecond, ageMs: 0 };
    }

    /** Records a sign unless a newer one is known; returns whether the limit is another one now. */
    record({ instance, startedMs, perSecond, ageMs }: LimitSign): boolean {
        const nowMs = this.options.clock.now();
        const key = routing.incarnationKey({ id: instance, startedMs });
        const known = this.signs.get(key);
        const saidAtMs = nowMs - ageMs;
        if (ageMs >= SIGN_LIFETIME_MS || (known !== undefined && known.saidAtMs >= saidAtMs)) {
            return false;
        }
        const isChange = known === undefined ? perSecond !== undefined : known.perSecond !== perSecond;
        const rate = this.obtainRate(key);
        const steady = known?.perSecond === undefined ? new shares.SteadyShare() : known.steady;
        this.signs.set(key, { instance, startedMs, perSecond, saidAtMs, rate, steady, shareUntilMs: -Infinity });
        if (perSecond === undefined) {
            rate.setShare(Infinity);
        }
        else {
            this.updateShare(key);
        }
        return isChange;
    }

    /** The signs that are at most `withinMs` old. */
    list(withinMs = Infinity): LimitSign[] {
        const nowMs = this.options.clock.now();
        return [...this.signs.values()].flatMap(({ instance, startedMs, perSecond, saidAtMs }) => {
            const ageMs = nowMs - saidAtMs;
            return ageMs <= withinMs ? { instance, startedMs, perSecond, ageMs } : [];
        });
    }

    /** Forgets old signs, and rates of incarnations that aren't in use; returns the signs that were limits. */
    forgetOld(isInUse: (incarnation: string) => boolean): LimitSign[] {
        const nowMs = this.options.clock.now();
        const ended: LimitSign[] = [];
        for (const [key, { instance, startedMs, perSecond, saidAtMs, rate }] of this.signs) {
            if (nowMs - saidAtMs >= SIGN_LIFETIME_MS) {
                this.signs.delete(key);
                rate.setShare(Infinity);
                ended.push(...(perSecond === undefined ? [] : [{ instance, startedMs, perSecond, ageMs: 0 }]));
            }
        }
        for (const key of this.rates.keys()) {
            if (!this.signs.has(key) && !isInUse(key)) {
                this.rates.delete(key);
            }
        }
        return ended;
    }

    /** The limit that an instance names, in requests a second for all entries; undefined if it names none. */
    perSecondOf(instance: Pick<routing.RoutedInstance, "id" | "startedMs">): number | undefined {
        return this.signs.size === 0 ? undefined : this.signs.get(routing.incarnationKey(instance))?.perSecond;
    }

    /** Time until this process may send the instance another request; 0 without a limit, Infinity without a share. */
    waitMs(instance: Pick<routing.RoutedInstance, "id" | "startedMs">): number {
        if (this.signs.size === 0) {
            return 0; // Asked for each instance at each choice.
        }
        const key = routing.incarnationKey(instance);
        const sign = this.signs.get(key);
        if (sign?.perSecond === undefined) {
            return 0;
        }
        this.updateShare(key);
        return sign.rate.waitMs(this.options.clock.now());
    }

    /** This process's share of the limit that an instance names; undefined if it names none. */
    stateOf(instance: Pick<routing.RoutedInstance, "id" | "startedMs">): LimitState | undefined {
        if (this.perSecondOf(instance) === undefined) {
            return undefined;
        }
        const waitMs = this.waitMs(instance);
        return { ...this.rateOf(instance).usage(this.options.clock.now()), waitMs };
    }

    /** The same for a request that can be left out, at whichever instance the store lists at an address. */
    spareWaitMsAt(address: string): number {
        const instance = this.signs.size === 0 ? undefined : this.options.view.findByAddress(address);
        return instance === undefined ? 0 : this.rateOf(instance).spareWaitMs(this.options.clock.now());
    }

    /** Counts a request beside calls, such as one for the instance's state. */
    countRequest(instance: Pick<routing.RoutedInstance, "id" | "startedMs">): void {
        if (this.signs.size > 0) {
            this.rateOf(instance).add(this.options.clock.now());
        }
    }

    private rateOf(instance: Pick<routing.RoutedInstance, "id" | "startedMs">): limitedRates.LimitedRate {
        return this.obtainRate(routing.incarnationKey(instance));
    }

    private updateShare(key: string): void {
        const sign = this.signs.get(key)!;
        const nowMs = this.options.clock.now();
        if (nowMs >= sign.shareUntilMs) {
            sign.shareUntilMs = nowMs + SHARE_LIFETIME_MS;
            const window = { lengthMs: limitedRates.COUNTED_MS, nowMs };
            sign.rate.setShare(sign.steady.update(this.computeShare(sign.instance, sign.perSecond!), window));
        }
    }

    private computeShare(instance: string, perSecond: number): number {
        const { clock, view, fleet } = this.options;
        const service = view.find(instance)?.service;
        if (service !== undefined && this.isForStagesOnly(service)) {
            return limitedRates.requestsPerWindow(perSecond * HOST_SHARE);
        }
        const total = limitedRates.requestsPerWindow(perSecond);
        return shares.wholeShare(total, instance, fleet, { lengthMs: limitedRates.COUNTED_MS, nowMs: clock.now() });
    }

    /** Whether all requests to a service's instances come from their stage host. */
    private isForStagesOnly(service: string): boolean {
        const { table } = this.options.view;
        return table?.findService(service)?.stage !== undefined
            && !table.configuration.routes.some(({ targets }) => targets.some(target => target.service === service));
    }
}
