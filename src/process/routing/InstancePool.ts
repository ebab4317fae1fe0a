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
const COLD_RATE_SAFETY_FACTOR = 0.9;

/** Stands for the time of a call that wasn't measured. */
const UNMEASURED_CALL_MS = 60_000;
/** Times below this aren't told apart. */
const MIN_CALL_MS = 5;

/** How far above its published rate a cold instance may be driven, for all entries together. */
export interface ColdRateLimit {
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
    readonly entryNames: () => readonly string[];
    readonly coldRateLimit: () => ColdRateLimit;
}

/** What a call needs from an instance. */
export interface CallRequirements {
    readonly service: string;
    readonly promptTokens: number;
    readonly promptParts: readonly routingPorts.PromptPart[];
    /** Bytes of results that the call reads, by the failure domain of their makers. */
    readonly inputBytesByDomain: ReadonlyMap<string, number>;
    /** Incarnations that this call has been sent to already. */
    readonly triedIncarnations: ReadonlySet<string>;
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
export function incarnationKey(instance: routing.RoutedInstance): string {
    return `${instance.id}@${instance.startedMs}`;
}

/** Chooses instances and keeps the counts about them. */
export class InstancePool implements clocks.Disposable {
    private readonly trafficByIncarnation = new Map<string, traffic.InstanceTraffic>();
    private readonly outOfServiceDomains = new Set<string>();
    /** When a failure domain came back into service. */
    private readonly backInServiceMs = new Map<string, number>();
    private readonly subscription: clocks.Disposable;

    constructor(private readonly options: InstancePoolOptions) {
        this.subscription = options.view.onChange(() => this.handleViewChange());
    }

    dispose(): void {
        this.subscription.dispose();
    }

    /** The counts of an incarnation. */
    trafficOf(instance: routing.RoutedInstance): traffic.InstanceTraffic {
        const key = incarnationKey(instance);
        let counts = this.trafficByIncarnation.get(key);
        if (counts === undefined) {
            counts = new traffic.InstanceTraffic(this.options.clock);
            this.trafficByIncarnation.set(key, counts);
        }
        return counts;
    }

    /** Whether new work may go to the instance, by what is published. */
    isInService(instance: routing.RoutedInstance): boolean {
        return instance.state === "ready" && !this.options.view.isOutOfService(instance.failureDomain);
    }

    /** Instances of a service in service that no failure keeps out; all in service when failures keep out all. */
    usableInstances(service: string): views.KnownInstance[] {
        const inService = this.options.view.instances(service).filter(instance => this.isInService(instance));
        const unpausedInstances = inService.filter(instance => !this.trafficOf(instance).isPaused);
        return unpausedInstances.length > 0 ? unpausedInstances : inService;
    }

    /** Chooses an instance and counts nothing yet; undefined when none may take the call now. */
    choose(requirements: CallRequirements): ChosenInstance | undefined {
        const eligible = this.usableInstances(requirements.service)
            .filter(instance =>
                !requirements.triedIncarnations.has(incarnationKey(instance)) && this.hasColdCapacity(instance)
            );
        const affinityId = pickAffinityInstance(eligible, requirements.promptParts);
        const fastestCallMs = Math.min(
            UNMEASURED_CALL_MS,
            ...eligible.map(other => this.trafficOf(other).recentCallMs ?? UNMEASURED_CALL_MS),
        );
        const candidates = eligible.map(instance =>
            this.toCandidate(instance, requirements, instance.id === affinityId, Math.max(MIN_CALL_MS, fastestCallMs))
        );
        const chosen = choices.chooseInstance(candidates, this.options.random);
        const instance = eligible.find(other => other.id === chosen?.id);
        return instance && {
            instance,
            traffic: this.trafficOf(instance),
            isCold: this.isCold(instance),
            candidates: candidates.length,
        };
    }

    /** The failure domain of the instance that a prompt's shared parts draw the call to; undefined for none. */
    affinityDomain(service: string, parts: readonly routingPorts.PromptPart[]): string | undefined {
        const candidates = this.usableInstances(service);
        const affinityId = pickAffinityInstance(candidates, parts);
        return candidates.find(instance => instance.id === affinityId)?.failureDomain;
    }

    /** Whether the instance may have started so lately that it bears only a little. */
    isCold(instance: views.KnownInstance): boolean {
        const coldMs = this.options.view.table?.findService(instance.service)?.coldMs ?? 0;
        if (coldMs === 0) {
            return false;
        }
        const nowMs = this.options.clock.now();
        const possibleRestartMs = Math.max(
            this.trafficOf(instance).lostAtMs,
            this.backInServiceMs.get(instance.failureDomain) ?? -Infinity,
        );
        return nowMs < instance.coldUntilMs + COLD_MARGIN_MS || nowMs < possibleRestartMs + coldMs + COLD_MARGIN_MS;
    }

    private hasColdCapacity(instance: views.KnownInstance): boolean {
        if (!this.isCold(instance)) {
            return true;
        }
        const service = this.options.view.table?.findService(instance.service);
        const { factor, extra } = this.options.coldRateLimit();
        const total = COLD_RATE_SAFETY_FACTOR * ((service?.coldPerSecond ?? 0) * factor + extra);
        const share = coldShares.coldShare(total, instance.id, this.options.self, this.options.entryNames());
        return this.trafficOf(instance).arrivals.count(this.options.clock.now()) < share;
    }

    private toCandidate(
        instance: views.KnownInstance,
        requirements: CallRequirements,
        hasAffinity: boolean,
        fastestCallMs: number,
    ): choices.Candidate {
        const counts = this.trafficOf(instance);
        return {
            id: instance.id,
            isSameDomain: instance.failureDomain === this.options.failureDomain,
            load: counts.load,
            waitingTokens: counts.waitingTokens,
            missingTokens: estimateMissingTokens(requirements, counts, hasAffinity),
            crossDomainInputBytes: crossDomainBytes(requirements.inputBytesByDomain, instance.failureDomain),
            slots: instance.slots,
            slowness: (counts.recentCallMs ?? fastestCallMs) / fastestCallMs,
        };
    }

    private handleViewChange(): void {
        const { view, clock } = this.options;
        for (const domain of this.outOfServiceDomains) {
            if (!view.isOutOfService(domain)) {
                this.outOfServiceDomains.delete(domain);
                this.backInServiceMs.set(domain, clock.now());
            }
        }
        view.outOfServiceDomains.forEach(domain => this.outOfServiceDomains.add(domain));
        for (const key of this.trafficByIncarnation.keys()) {
            const id = key.slice(0, key.lastIndexOf("@"));
            if (view.find(id) === undefined && this.trafficByIncarnation.get(key)!.inFlight === 0) {
                this.trafficByIncarnation.delete(key);
            }
        }
    }
}

/** The instance to which every entry sends a prompt's shared parts, so that they are read only once. */
function pickAffinityInstance(
    instances: readonly views.KnownInstance[],
    parts: readonly routingPorts.PromptPart[],
): string | undefined {
    const lastSharedPart = parts.at(-2);
    return lastSharedPart && rendezvous.pickWinner(lastSharedPart.id, instances.map(instance => instance.id));
}

function crossDomainBytes(inputBytes: ReadonlyMap<string, number>, domain: string): number {
    let bytes = 0;
    for (const [sourceDomain, size] of inputBytes) {
        bytes += sourceDomain === domain ? 0 : size;
    }
    return bytes;
}

/** Parts count as cached up to the first one that isn't; the last part belongs to the call alone. */
function estimateMissingTokens(
    requirements: CallRequirements,
    counts: traffic.InstanceTraffic,
    hasAffinity: boolean,
): number {
    const parts = requirements.promptParts;
    if (parts.length === 0) {
        return requirements.promptTokens;
    }
    let missingTokens = 0;
    let isCached = true;
    parts.forEach((part, index) => {
        isCached = isCached && index < parts.length - 1 && (hasAffinity || counts.isPartCached(part.id));
        missingTokens += isCached ? 0 : part.tokens;
    });
    return missingTokens;
}
