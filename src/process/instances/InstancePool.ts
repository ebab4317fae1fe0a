/**
 * The upstream instances that calls may go to: their published state combined with this process's own traffic.
 * Limits the call rate of cold instances and excludes those that are draining, leaving, out of service, held, at
 * their limit or paused.
 */
import * as clocks from "../../common/Clock";
import * as logs from "../../common/Log";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as views from "../published/PublishedView";
import * as fleetSizes from "../shares/FleetSize";
import * as callCosts from "./CallCosts";
import * as candidateLists from "./CandidateList";
import * as coldRates from "./ColdRates";
import * as cutAnswers from "./CutAnswers";
import * as faultyAnswers from "./FaultyAnswers";
import * as choices from "./InstanceChoice";
import * as instanceHold from "./InstanceHold";
import * as instanceHolds from "./InstanceHolds";
import * as instanceLimits from "./InstanceLimits";
import * as instanceProofs from "./InstanceProofs";
import * as instanceSpeeds from "./InstanceSpeed";
import * as traffic from "./InstanceTraffic";
import * as leavingInstances from "./LeavingInstances";
import * as limitedRates from "./LimitedRate";
import * as promptReading from "./PromptReading";
import * as shareReports from "./ShareReport";
import * as speedExchanges from "./SpeedExchange";

/** Callers come back after this time at the latest, since another entry may have a share. */
const MAX_SHARE_WAIT_MS = limitedRates.WINDOW_MS;

/** What the pool needs from its process. */
export interface InstancePoolOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly random: () => number;
    readonly view: views.PublishedView;
    readonly leaving: leavingInstances.LeavingInstances;
    readonly failureDomain: string;
    /** The entries that share what an instance takes. */
    readonly fleet: fleetSizes.Fleet;
    readonly coldRateLimit: () => coldRates.ColdRateLimit;
}

/** What a call needs from an instance. */
export interface CallRequirements {
    readonly service: string;
    readonly promptTokens: number;
    readonly promptParts: readonly routingPorts.PromptPart[];
    /** Bytes of stage results that the call reads, by the failure domain in which they are stored. */
    readonly inputBytesByDomain: ReadonlyMap<string, number>;
    /** Incarnations to which this call has already been sent. */
    readonly triedIncarnations: ReadonlySet<string>;
    /** The version of the software that began the call's stream; undefined if any will do. */
    readonly softwareVersion: string | undefined;
}

/** The chosen instance, with its traffic. */
export interface ChosenInstance {
    readonly instance: views.KnownInstance;
    readonly traffic: traffic.InstanceTraffic;
    readonly isCold: boolean;
    /** Tokens of the call's prompt that are probably not cached there. */
    readonly missingTokens: number;
    /** Expected time of work there, relative to the other instances of the service. */
    readonly slowness: number;
    /** Number of instances that could accept the call. */
    readonly candidateCount: number;
}

/** Where a prompt will probably be sent. */
export interface ExpectedPlacement {
    /** Undefined when no instance is preferred. */
    readonly failureDomain: string | undefined;
    /** Tokens of the prompt that are probably not cached there. */
    readonly missingTokens: number;
}

/** Chooses instances and keeps the traffic counts of each. */
export class InstancePool implements clocks.Disposable {
    private readonly trafficByIncarnation = new Map<string, traffic.InstanceTraffic>();
    /** The same by the view's records, since a lookup by name costs more than most decisions that need it. */
    private readonly trafficByRecord = new WeakMap<routing.RoutedInstance, traffic.InstanceTraffic>();
    private readonly costsByService = new Map<string, callCosts.CallCosts>();
    private readonly subscription: clocks.Disposable;
    /** The entries that share what an instance takes. */
    readonly fleet: fleetSizes.Fleet;
    readonly cold: coldRates.ColdRates;
    readonly holds: instanceHolds.InstanceHolds;
    readonly limits: instanceLimits.InstanceLimits;
    readonly proofs: instanceProofs.InstanceProofs;
    readonly faults: faultyAnswers.FaultyAnswers;
    readonly cuts: cutAnswers.CutAnswers;

    constructor(private readonly options: InstancePoolOptions) {
        this.cuts = new cutAnswers.CutAnswers(options.log);
        this.fleet = options.fleet;
        this.cold = new coldRates.ColdRates({ ...options, trafficOf: instance => this.trafficOf(instance) });
        this.limits = new instanceLimits.InstanceLimits(options);
        this.proofs = new instanceProofs.InstanceProofs(options);
        this.faults = new faultyAnswers.FaultyAnswers({ ...options, trafficOf: instance => this.trafficOf(instance) });
        this.holds = new instanceHolds.InstanceHolds({
            ...options,
            isInService: instance => this.isInService(instance) && !options.leaving.isLeaving(instance),
            entryCount: () => options.fleet.count,
        });
        this.subscription = options.view.onChange(() => this.handleViewChange());
    }

    dispose(): void {
        this.subscription.dispose();
    }

    /** The traffic counts of an incarnation, created at the first use. */
    trafficOf(instance: routing.RoutedInstance): traffic.InstanceTraffic {
        let counts = this.trafficByRecord.get(instance);
        if (counts === undefined) {
            counts = this.obtainTraffic(routing.incarnationKey(instance), instance.service);
            this.trafficByRecord.set(instance, counts);
        }
        return counts;
    }

    private obtainTraffic(key: string, service: string): traffic.InstanceTraffic {
        let counts = this.trafficByIncarnation.get(key);
        if (counts === undefined) {
            counts = new traffic.InstanceTraffic(
                this.options.clock,
                this.holds.obtain(key),
                this.limits.obtainRate(key),
                this.obtainCosts(service),
            );
            this.trafficByIncarnation.set(key, counts);
        }
        return counts;
    }

    /** The speeds of the incarnations that this process sends to. */
    *speeds(): Iterable<readonly [speedExchanges.Incarnation, instanceSpeeds.InstanceSpeed]> {
        for (const { id, startedMs } of this.options.view.allInstances) {
            const counts = this.trafficByIncarnation.get(routing.incarnationKey({ id, startedMs }));
            if (counts !== undefined) {
                yield [{ instance: id, startedMs }, counts.speed];
            }
        }
    }

    /** Number of instances that state how long work takes there. */
    get statedCount(): number {
        return [...this.speeds()].filter(([, speed]) => speed.isStated).length;
    }

    /** The speed of a listed incarnation. */
    findSpeed({ instance: id, startedMs }: speedExchanges.Incarnation): instanceSpeeds.InstanceSpeed | undefined {
        const instance = this.options.view.find(id);
        return instance?.startedMs === startedMs ? this.trafficOf(instance).speed : undefined;
    }

    /** Ids of the listed instances that have said that they are leaving. */
    get leavingIds(): string[] {
        const { view, leaving } = this.options;
        return view.allInstances.filter(instance => leaving.isLeaving(instance)).map(instance => instance.id);
    }

    private obtainCosts(service: string): callCosts.CallCosts {
        const costs = this.costsByService.get(service) ?? new callCosts.CallCosts(this.options.clock);
        this.costsByService.set(service, costs);
        return costs;
    }

    /** Whether the published state allows new work at the instance. */
    private isInService(instance: routing.RoutedInstance): boolean {
        return instance.state === "ready" && !this.options.view.isOutOfService(instance.failureDomain);
    }

    /** Whether this process sends to an incarnation. */
    isInUse(incarnation: string): boolean {
        return this.trafficByIncarnation.has(incarnation);
    }

    /**
     * Retry delay for callers of a service of which all usable instances hold off, are at their limits or are cold and
     * have been sent this entry's share of calls; undefined if one may be sent a call.
     */
    callerRetryAfterMs(service: string, softwareVersion?: string): number | undefined {
        const holdMs = this.holds.callerRetryAfterMs(service, softwareVersion);
        if (holdMs !== undefined) {
            return holdMs;
        }
        const waitsMs = this.usableInstances(service, softwareVersion).map(instance =>
            Math.max(this.limits.waitMs(instance), this.cold.callerWaitMs(instance))
        );
        const waitMs = Math.min(...waitsMs);
        return waitsMs.length === 0 || waitMs === 0
            ? undefined
            : instanceHold.callerRetryAfterMs(Math.min(waitMs, MAX_SHARE_WAIT_MS), this.options.random());
    }

    /** This entry's shares of what the usable instances of a service take. */
    sharesOf(service: string, softwareVersion?: string): shareReports.InstanceShare[] {
        return shareReports.listShares(this.usableInstances(service, softwareVersion), this.cold, this.limits);
    }

    /** This entry's shares of what all instances take. */
    get shares(): shareReports.InstanceShare[] {
        return shareReports.listShares(this.options.view.allInstances, this.cold, this.limits);
    }

    /** Time until a usable instance of a service may be sent a call again; 0 if one may be now, or if there is none. */
    serviceWaitMs(service: string): number {
        const usable = this.limits.isAnyKnown ? this.usableInstances(service) : [];
        const limitedMs = usable.map(instance => this.limits.waitMs(instance));
        return Math.max(this.holds.serviceHoldMs(service), limitedMs.length === 0 ? 0 : Math.min(...limitedMs));
    }

    /** Instances of a service, and of a software version if one is given, at which the published state allows new work. */
    private instancesInService(service: string, softwareVersion: string | undefined): views.KnownInstance[] {
        return this.options.view.instances(service).filter(instance =>
            this.isInService(instance)
            && (softwareVersion === undefined || instance.softwareVersion === softwareVersion)
        );
    }

    /**
     * Instances of a service, and of a software version if one is given, that are in service, not leaving, don't hold off
     * and are neither paused after failures nor doubtful. If there is none, those that aren't paused are used; if there is
     * none of these either, those that aren't given up for faulty answers; and at last all of them. A hold is never
     * overridden.
     */
    usableInstances(service: string, softwareVersion?: string): views.KnownInstance[] {
        const allowed = this.instancesInService(service, softwareVersion)
            .filter(other => !this.options.leaving.isLeaving(other) && this.holds.remainingMs(other) === 0);
        const unpausedInstances = allowed.filter(instance => !this.trafficOf(instance).isPaused);
        const trustedInstances = unpausedInstances.filter(instance => !this.proofs.isDoubtful(instance));
        if (unpausedInstances.length > 0) {
            return trustedInstances.length > 0 ? trustedInstances : unpausedInstances;
        }
        const keptInstances = allowed.filter(instance => !this.trafficOf(instance).isGivenUp);
        return keptInstances.length > 0 ? keptInstances : allowed;
    }

    /** Chooses an instance without counting the call yet; undefined when none can accept it now. */
    choose(requirements: CallRequirements): ChosenInstance | undefined {
        const candidates = this.findCandidates(requirements);
        const chosen = choices.chooseInstance(candidates, this.options.random);
        const instance = chosen && this.options.view.find(chosen.id);
        return instance && {
            instance,
            traffic: this.trafficOf(instance),
            isCold: this.cold.isCold(instance),
            missingTokens: chosen.missingTokens,
            slowness: chosen.slowness,
            candidateCount: candidates.length,
        };
    }

    /** Expected time to the first event on the best instance that can accept the call; undefined when there is none. */
    expectedFirstEventMs(requirements: CallRequirements): number | undefined {
        const best = choices.chooseInstance(this.findCandidates(requirements), this.options.random);
        return best && promptReading.firstEventMs(best.waitingTokens + best.missingTokens);
    }

    /** Where a prompt is sent when all instances are idle: to the one preferred for its shared parts, if there is one. */
    expectedPlacement(
        service: string,
        promptTokens: number,
        parts: readonly routingPorts.PromptPart[],
    ): ExpectedPlacement {
        const instances = this.usableInstances(service);
        const affinityId = candidateLists.findPartHolder(instances, parts, instance => this.trafficOf(instance));
        if (affinityId === undefined) {
            return { failureDomain: undefined, missingTokens: promptTokens };
        }
        const sharedTokens = parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
        return {
            failureDomain: instances.find(instance => instance.id === affinityId)?.failureDomain,
            missingTokens: Math.max(0, promptTokens - sharedTokens),
        };
    }

    /** Whether an instance that may be cold or limited, or returns from a hold, can accept a call now. */
    private mayCall(instance: views.KnownInstance): boolean {
        return this.trafficOf(instance).hold.mayCall(this.options.clock.now())
            && this.limits.waitMs(instance) === 0
            && this.cold.waitMs(instance) === 0;
    }

    /** Whether an instance may be asked for its identity: as a call may be sent to it. */
    mayProbe(instance: views.KnownInstance): boolean {
        return this.isInService(instance) && !this.options.leaving.isLeaving(instance)
            && this.holds.remainingMs(instance) === 0 && this.mayCall(instance);
    }

    /** The instances that can accept a call now. */
    private findCandidates(requirements: CallRequirements): choices.Candidate[] {
        return candidateLists.listCandidates(this.findEligible(requirements), requirements, {
            failureDomain: this.options.failureDomain,
            trafficOf: instance => this.trafficOf(instance),
        });
    }

    private findEligible(requirements: CallRequirements): views.KnownInstance[] {
        const canAccept = (instance: views.KnownInstance): boolean =>
            this.isAllowedRetry(instance, requirements) && this.mayCall(instance);
        const { service, softwareVersion } = requirements;
        const eligible = this.usableInstances(service, softwareVersion).filter(canAccept);
        if (eligible.length > 0 || requirements.promptTokens > 0) {
            return eligible; // The end of the instance would abort a long answer; the caller rather returns later.
        }
        return this.instancesInService(service, softwareVersion)
            .filter(instance => this.options.leaving.isLastResort(instance) && canAccept(instance));
    }

    /** Whether a call that has been sent to these incarnations before may go to an instance; true if it hasn't been sent. */
    private isAllowedRetry(instance: views.KnownInstance, { triedIncarnations }: CallRequirements): boolean {
        return triedIncarnations.size === 0
            || (!triedIncarnations.has(routing.incarnationKey(instance)) && !this.trafficOf(instance).isGivenUp);
    }

    private handleViewChange(): void {
        const { view } = this.options;
        this.cold.handleViewChange();
        for (const key of this.trafficByIncarnation.keys()) {
            if (
                view.find(routing.idOfIncarnation(key)) === undefined
                && this.trafficByIncarnation.get(key)!.inFlight === 0
            ) {
                this.trafficByIncarnation.delete(key);
            }
        }
        this.proofs.handleViewChange();
        this.holds.forgetUnused(key => this.trafficByIncarnation.has(key));
    }
}
