/**
 * The limits that instances in need have named, each for all entries together, from their answers to this process and
 * to others. The newest word of an incarnation counts.
 */
import * as clocks from "../../common/Clock";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as views from "../published/PublishedView";
import * as holds from "./InstanceHold";
import * as limitedRates from "./LimitedRate";

/** A word is forgotten after this time, in which an instance with any demand has been asked again. */
const WORD_LIFETIME_MS = 60_000;
/** How long a computed share is used; longer than a choice among many instances takes. */
const SHARE_LIFETIME_MS = 250;
/** A stage worker gets its calls from its host, and for a moment from two; both together keep within the limit. */
const HOST_SHARE = 0.75;

/** What an instance last said, as entries tell each other. */
export interface LimitWord {
    readonly instance: string;
    readonly startedMs: number;
    /** Undefined if it names no limit any more. */
    readonly perSecond: number | undefined;
    /** Time since the answer that said so. */
    readonly ageMs: number;
}

/** What the limits need from their process. */
export interface InstanceLimitsOptions {
    readonly clock: clocks.Clock;
    readonly random: () => number;
    readonly view: views.PublishedView;
    /** Name of this entry. */
    readonly self: string;
    /** Names of all known entries, including this one. */
    readonly entryNames: () => readonly string[];
    /** Least number of entries that this process has to assume. */
    readonly minEntries?: () => number;
}

interface Word {
    readonly instance: string;
    readonly startedMs: number;
    readonly perSecond: number | undefined;
    /** On this process's clock. */
    readonly saidAtMs: number;
    readonly rate: limitedRates.LimitedRate;
    shareUntilMs: number;
}

/** Keeps the limits and this process's share of each. */
export class InstanceLimits {
    private readonly words = new Map<string, Word>();
    private readonly rates = new Map<string, limitedRates.LimitedRate>();

    constructor(private readonly options: InstanceLimitsOptions) {}

    /** Number of incarnations that name a limit now. */
    get count(): number {
        return [...this.words.values()].filter(({ perSecond }) => perSecond !== undefined).length;
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
     * The word in an answer of the instance to a request that was sent at `sentAtMs`; undefined if it is none. An answer
     * without a limit counts only if it can't have been begun before the instance named one.
     */
    readWord(
        instance: Pick<routing.RoutedInstance, "id" | "startedMs">,
        answer: Pick<routingPorts.UpstreamAnswerMetadata, "limitPerSecond" | "instance" | "effect">,
        sentAtMs: number,
    ): LimitWord | undefined {
        if (this.words.size === 0 && answer.limitPerSecond === undefined) {
            return undefined; // Asked for each answer.
        }
        const isFromOther = answer.effect === "other-instance"
            || (answer.instance !== undefined && answer.instance !== instance.id);
        const known = this.words.get(routing.incarnationKey(instance));
        const isNews = answer.limitPerSecond !== undefined
            || (known?.perSecond !== undefined && sentAtMs >= known.saidAtMs);
        if (isFromOther || !isNews) {
            return undefined;
        }
        return { instance: instance.id, startedMs: instance.startedMs, perSecond: answer.limitPerSecond, ageMs: 0 };
    }

    /** Records a word unless a newer one is known; returns whether the limit is another one now. */
    record({ instance, startedMs, perSecond, ageMs }: LimitWord): boolean {
        const nowMs = this.options.clock.now();
        const key = routing.incarnationKey({ id: instance, startedMs });
        const known = this.words.get(key);
        const saidAtMs = nowMs - ageMs;
        if (ageMs >= WORD_LIFETIME_MS || (known !== undefined && known.saidAtMs >= saidAtMs)) {
            return false;
        }
        const isChange = known === undefined ? perSecond !== undefined : known.perSecond !== perSecond;
        const rate = this.obtainRate(key);
        this.words.set(key, { instance, startedMs, perSecond, saidAtMs, rate, shareUntilMs: -Infinity });
        if (perSecond === undefined) {
            rate.setShare(Infinity);
        }
        else {
            this.updateShare(key);
        }
        return isChange;
    }

    /** The words that an instance said at most `withinMs` ago. */
    list(withinMs = Infinity): LimitWord[] {
        const nowMs = this.options.clock.now();
        return [...this.words.values()].flatMap(({ instance, startedMs, perSecond, saidAtMs }) => {
            const ageMs = nowMs - saidAtMs;
            return ageMs <= withinMs ? { instance, startedMs, perSecond, ageMs } : [];
        });
    }

    /** Forgets old words, and rates of incarnations that aren't in use; returns the words that were limits. */
    forgetOld(isInUse: (incarnation: string) => boolean): LimitWord[] {
        const nowMs = this.options.clock.now();
        const ended: LimitWord[] = [];
        for (const [key, { instance, startedMs, perSecond, saidAtMs, rate }] of this.words) {
            if (nowMs - saidAtMs >= WORD_LIFETIME_MS) {
                this.words.delete(key);
                rate.setShare(Infinity);
                ended.push(...(perSecond === undefined ? [] : [{ instance, startedMs, perSecond, ageMs: 0 }]));
            }
        }
        for (const key of this.rates.keys()) {
            if (!this.words.has(key) && !isInUse(key)) {
                this.rates.delete(key);
            }
        }
        return ended;
    }

    /** The limit that an instance names, in requests a second for all entries; undefined if it names none. */
    perSecondOf(instance: Pick<routing.RoutedInstance, "id" | "startedMs">): number | undefined {
        return this.words.size === 0 ? undefined : this.words.get(routing.incarnationKey(instance))?.perSecond;
    }

    /** Time until this process may send the instance another request; 0 without a limit, Infinity without a share. */
    waitMs(instance: Pick<routing.RoutedInstance, "id" | "startedMs">): number {
        if (this.words.size === 0) {
            return 0; // Asked for each instance at each choice.
        }
        const key = routing.incarnationKey(instance);
        const word = this.words.get(key);
        if (word?.perSecond === undefined) {
            return 0;
        }
        this.updateShare(key);
        return word.rate.waitMs(this.options.clock.now());
    }

    /** The same for a request that can be left out, at whichever instance the store lists at an address. */
    spareWaitMsAt(address: string): number {
        const instance = this.words.size === 0 ? undefined : this.options.view.findByAddress(address);
        return instance === undefined ? 0 : this.rateOf(instance).spareWaitMs(this.options.clock.now());
    }

    /** Counts a request beside calls, such as one for the instance's state. */
    countRequest(instance: Pick<routing.RoutedInstance, "id" | "startedMs">): void {
        if (this.words.size > 0) {
            this.rateOf(instance).add(this.options.clock.now());
        }
    }

    /** Retry delay for callers of instances of which none may be sent a request now; undefined if one may be. */
    callerRetryAfterMs(instances: readonly routing.RoutedInstance[]): number | undefined {
        const waitMs = Math.min(...instances.map(instance => this.waitMs(instance)));
        return instances.length === 0 || waitMs === 0
            ? undefined
            : holds.callerRetryAfterMs(Math.min(waitMs, limitedRates.WINDOW_MS), this.options.random());
    }

    private rateOf(instance: Pick<routing.RoutedInstance, "id" | "startedMs">): limitedRates.LimitedRate {
        return this.obtainRate(routing.incarnationKey(instance));
    }

    private updateShare(key: string): void {
        const word = this.words.get(key)!;
        const nowMs = this.options.clock.now();
        if (nowMs >= word.shareUntilMs) {
            word.shareUntilMs = nowMs + SHARE_LIFETIME_MS;
            word.rate.setShare(this.computeShare(word.instance, word.perSecond!));
        }
    }

    private computeShare(instance: string, perSecond: number): number {
        const { view, self, entryNames, minEntries } = this.options;
        const service = view.find(instance)?.service;
        if (service !== undefined && this.isForStagesOnly(service)) {
            return limitedRates.requestsPerWindow(perSecond * HOST_SHARE);
        }
        const total = limitedRates.requestsPerWindow(perSecond);
        return limitedRates.ownShare(total, instance, self, entryNames(), minEntries?.());
    }

    /** Whether all requests to a service's instances come from their stage host. */
    private isForStagesOnly(service: string): boolean {
        const { table } = this.options.view;
        return table?.findService(service)?.stage !== undefined
            && !table.configuration.routes.some(({ targets }) => targets.some(target => target.service === service));
    }
}
