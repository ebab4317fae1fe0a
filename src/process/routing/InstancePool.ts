/**
 * The upstream instances that calls may go to: what is published of them joined with what this process has sent
 * them. Applies the limits of cold instances and takes out what is leaving, out of service or paused.
 */
import * as clocks from "../../common/Clock";
import * as rendezvous from "../../common/RendezvousHash";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as coldShares from "./ColdShare";
import * as choices from "./InstanceChoice";
import * as traffic from "./InstanceTraffic";
import * as views from "./PublishedView";

/** Added to the published cold time, since this process learns of a start late. */
const COLD_MARGIN_MS = 1_000;
/** Part of the published bound that is used, for arrivals that bunch on the way. */
const USED_COLD_SHARE = 0.9;

/** Stands for the time of a call that wasn't measured. */
const UNMEASURED_MS = 60_000;
/** Times below this aren't told apart. */
const MIN_CALL_MS = 5;

/** How far above its published rate a cold instance may be driven, for all entries together. */
export interface ColdBound {
    readonly factor: number;
    readonly extra: number;
}

/** What the pool needs from its process. */
export interface InstancePoolOptions {
    readonly clock: clocks.Clock;
    readonly random: () => number;
    readonly view: views.PublishedView;
    readonly failureDomain: string;
    readonly self: string;
    /** Names of all entries known, with this one. */
    readonly entries: () => readonly string[];
    readonly coldBound: () => ColdBound;
}

/** What a call needs from an instance. */
export interface Demand {
    readonly service: string;
    readonly promptTokens: number;
    readonly promptParts: readonly routingPorts.PromptPart[];
    /** Bytes of results that the call reads, by the failure domain of their makers. */
    readonly inputBytes: ReadonlyMap<string, number>;
    /** Incarnations that this call has been sent to already. */
    readonly tried: ReadonlySet<string>;
}

/** An instance that was chosen, with its counts. */
export interface ChosenInstance {
    readonly instance: views.KnownInstance;
    readonly traffic: traffic.InstanceTraffic;
    readonly isCold: boolean;
    /** Instances that could have taken the call. */
    readonly candidates: number;
}

/** Names one incarnation. */
export function incarnationOf(instance: routing.RoutedInstance): string {
    return `${instance.id}@${instance.startedMs}`;
}

/** Chooses instances and keeps the counts about them. */
export class InstancePool implements clocks.Disposable {
    private readonly byIncarnation = new Map<string, traffic.InstanceTraffic>();
    private readonly domainsOut = new Set<string>();
    /** When a failure domain came back into service. */
    private readonly returnedMs = new Map<string, number>();
    private readonly subscription: clocks.Disposable;

    constructor(private readonly options: InstancePoolOptions) {
        this.subscription = options.view.onChange(() => this.noteChange());
    }

    dispose(): void {
        this.subscription.dispose();
    }

    /** The counts of an incarnation. */
    trafficOf(instance: routing.RoutedInstance): traffic.InstanceTraffic {
        const key = incarnationOf(instance);
        let found = this.byIncarnation.get(key);
        if (found === undefined) {
            found = new traffic.InstanceTraffic(this.options.clock);
            this.byIncarnation.set(key, found);
        }
        return found;
    }

    /** Whether new work may go to the instance, by what is published. */
    isInService(instance: routing.RoutedInstance): boolean {
        return instance.state === "ready" && !this.options.view.isOut(instance.failureDomain);
    }

    /** Instances of a service in service that no failure keeps out; all in service when failures keep out all. */
    usable(service: string): views.KnownInstance[] {
        const inService = this.options.view.instances(service).filter(instance => this.isInService(instance));
        const unpaused = inService.filter(instance => !this.trafficOf(instance).isPaused);
        return unpaused.length > 0 ? unpaused : inService;
    }

    /** Chooses an instance and counts nothing yet; undefined when none may take the call now. */
    choose(demand: Demand): ChosenInstance | undefined {
        const fitting = this.usable(demand.service)
            .filter(instance => !demand.tried.has(incarnationOf(instance)) && this.bears(instance));
        const favourite = favouriteOf(fitting, demand.promptParts);
        const fastestMs = Math.min(
            UNMEASURED_MS,
            ...fitting.map(other => this.trafficOf(other).callMs ?? UNMEASURED_MS),
        );
        const candidates = fitting.map(instance =>
            this.describe(instance, demand, instance.id === favourite, Math.max(MIN_CALL_MS, fastestMs))
        );
        const chosen = choices.chooseInstance(candidates, this.options.random);
        const instance = fitting.find(other => other.id === chosen?.id);
        return instance && {
            instance,
            traffic: this.trafficOf(instance),
            isCold: this.isCold(instance),
            candidates: candidates.length,
        };
    }

    /** The failure domain of the instance that a prompt's shared parts draw the call to; undefined for none. */
    favouriteDomain(service: string, parts: readonly routingPorts.PromptPart[]): string | undefined {
        const usable = this.usable(service);
        const favourite = favouriteOf(usable, parts);
        return usable.find(instance => instance.id === favourite)?.failureDomain;
    }

    /** Whether the instance may have started so lately that it bears only a little. */
    isCold(instance: views.KnownInstance): boolean {
        const coldMs = this.options.view.table?.findService(instance.service)?.coldMs ?? 0;
        if (coldMs === 0) {
            return false;
        }
        const nowMs = this.options.clock.now();
        const sinceMs = Math.max(
            this.trafficOf(instance).lostAtMs,
            this.returnedMs.get(instance.failureDomain) ?? -Infinity,
        );
        return nowMs < instance.coldUntilMs + COLD_MARGIN_MS || nowMs < sinceMs + coldMs + COLD_MARGIN_MS;
    }

    private bears(instance: views.KnownInstance): boolean {
        if (!this.isCold(instance)) {
            return true;
        }
        const service = this.options.view.table?.findService(instance.service);
        const { factor, extra } = this.options.coldBound();
        const total = USED_COLD_SHARE * ((service?.coldPerSecond ?? 0) * factor + extra);
        const share = coldShares.coldShare(total, instance.id, this.options.self, this.options.entries());
        return this.trafficOf(instance).arrivals.count(this.options.clock.now()) < share;
    }

    private describe(
        instance: views.KnownInstance,
        demand: Demand,
        isFavourite: boolean,
        fastestMs: number,
    ): choices.Candidate {
        const counts = this.trafficOf(instance);
        return {
            id: instance.id,
            isNear: instance.failureDomain === this.options.failureDomain,
            load: counts.load,
            waitingTokens: counts.waitingTokens,
            missingTokens: missingTokens(demand, counts, isFavourite),
            farInputBytes: farBytes(demand.inputBytes, instance.failureDomain),
            slots: instance.slots,
            slowness: (counts.callMs ?? fastestMs) / fastestMs,
        };
    }

    private noteChange(): void {
        const { view, clock } = this.options;
        for (const domain of this.domainsOut) {
            if (!view.isOut(domain)) {
                this.domainsOut.delete(domain);
                this.returnedMs.set(domain, clock.now());
            }
        }
        view.failureDomainsOut.forEach(domain => this.domainsOut.add(domain));
        for (const key of this.byIncarnation.keys()) {
            const id = key.slice(0, key.lastIndexOf("@"));
            if (view.find(id) === undefined && this.byIncarnation.get(key)!.inFlight === 0) {
                this.byIncarnation.delete(key);
            }
        }
    }
}

/** The instance to which every entry sends a prompt's shared parts, so that they are read only once. */
function favouriteOf(
    instances: readonly views.KnownInstance[],
    parts: readonly routingPorts.PromptPart[],
): string | undefined {
    const shared = parts.at(-2);
    return shared && rendezvous.pickWinner(shared.id, instances.map(instance => instance.id));
}

function farBytes(inputBytes: ReadonlyMap<string, number>, domain: string): number {
    let bytes = 0;
    for (const [maker, size] of inputBytes) {
        bytes += maker === domain ? 0 : size;
    }
    return bytes;
}

/** Parts count as cached up to the first one that isn't; the last part belongs to the call alone. */
function missingTokens(demand: Demand, counts: traffic.InstanceTraffic, isFavourite: boolean): number {
    const parts = demand.promptParts;
    if (parts.length === 0) {
        return demand.promptTokens;
    }
    let missing = 0;
    let isCached = true;
    parts.forEach((part, index) => {
        isCached = isCached && index < parts.length - 1 && (isFavourite || counts.hasPart(part.id));
        missing += isCached ? 0 : part.tokens;
    });
    return missing;
}
