/**
 * One process's view of the other instances. The platform's list lags, so it only names candidates: connections
 * show which instances are up. A reported draining state ends with the incarnation, at the latest.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as messages from "../../common/Messages";
import * as ports from "../../common/Ports";
import * as rendezvous from "../../common/RendezvousHash";
import * as domainSpreads from "./DomainSpread";

const DEFAULT_SUBSET_SIZE = 32;
/** Time during which a member whose connection was lost is left out of subsets, if others can fill them. */
const LOST_RETRY_MS = 10_000;

/** The state of another instance; its properties are updated in place. */
export interface Member extends ports.ListedInstance {
    /** From the latest hello; undefined before the first. */
    readonly incarnation?: number | undefined;
    /** Calls may be sent to connected members only; the others are candidates for a connection. */
    readonly connected: boolean;
    /** When the connection was last lost; undefined before the first loss and while connected. */
    readonly lostAtMs?: number | undefined;
}

/** Dependencies and settings of a membership view. */
export interface MembershipOptions {
    readonly clock: clocks.Clock;
    /** This process's instance name. */
    readonly self: string;
    readonly failureDomain: string;
    readonly region: string;
    /** Maximum number of agents per service that this process uses. */
    readonly subsetSize?: number;
    /** Finds the region of a failure domain; if left out, all domains count as near. */
    readonly regionOf?: (failureDomain: string) => string | undefined;
}

/** A member with the state that the list, its connection and its heartbeats reported. */
class MemberRecord implements Member {
    role: "entry" | "agent" = "agent";
    service: string | undefined;
    failureDomain = "";
    address = "";
    incarnation: number | undefined;
    connected = false;
    lostAtMs: number | undefined;
    isInList = false;
    isListedLeaving = false;
    /** The incarnation that reported draining; the state applies to this incarnation and earlier ones. */
    drainingIncarnation: number | undefined;

    /** `score` is the member's rendezvous score for this process. */
    constructor(readonly instance: string, readonly score: number) {}

    /** Leaving if the list or the instance itself reports it. */
    get state(): "live" | "leaving" {
        return this.isListedLeaving || this.drainingIncarnation !== undefined ? "leaving" : "live";
    }
}

/** Merges the instance list, the connections and the reported draining states into one view. */
export class Membership implements clocks.Disposable {
    private readonly records = new Map<string, MemberRecord>();
    /** Subsets cached until the next change: of agents by service, of peers by their maximum number. */
    private readonly agentSubsets = new Map<string, readonly Member[]>();
    private readonly peerSubsets = new Map<number, readonly Member[]>();
    private sortedInstances: readonly string[] | undefined;
    private listReceivedAtMs: number | undefined;
    private readonly retryTimers = new Map<string, clocks.Disposable>();
    private readonly changeEmitter = new emitters.Emitter<void>();

    /** Fires after each change of the view. */
    readonly onChange = this.changeEmitter.event;

    constructor(private readonly options: MembershipOptions) {}

    /**
     * Updates the view from the platform's list. An empty list is treated as a fault of the list service and
     * ignored; connected members that are missing from the list are kept.
     */
    updateList(rows: readonly ports.ListedInstance[]): void {
        if (rows.length === 0) {
            return;
        }
        this.listReceivedAtMs = this.options.clock.now();
        const listedInstances = new Set<string>();
        let hasChanged = false;
        for (const row of rows) {
            if (row.instance !== this.options.self) {
                listedInstances.add(row.instance);
                hasChanged = this.applyRow(row) || hasChanged;
            }
        }
        hasChanged = this.removeUnlisted(listedInstances) || hasChanged;
        if (hasChanged) {
            this.notifyChange();
        }
    }

    /** Records a new connection by its hello. A hello of an earlier incarnation than the connected one is ignored. */
    noteConnected(hello: messages.Hello): void {
        if (hello.role === "status" || hello.instance === this.options.self) {
            return;
        }
        const record = this.getOrCreateRecord(hello.instance);
        if (record.connected && hello.incarnation < (record.incarnation ?? 0)) {
            return;
        }
        if (record.drainingIncarnation !== undefined && hello.incarnation > record.drainingIncarnation) {
            record.drainingIncarnation = undefined;
        }
        record.role = hello.role;
        record.service = hello.service;
        record.failureDomain = hello.failureDomain;
        record.incarnation = hello.incarnation;
        record.connected = true;
        record.lostAtMs = undefined;
        this.cancelRetry(hello.instance);
        this.notifyChange();
    }

    /** Records that the instance reports draining, until it reports otherwise or a higher incarnation connects. */
    noteDraining(instance: string): void {
        const record = this.records.get(instance);
        const incarnation = record?.incarnation ?? 0;
        if (record !== undefined && record.drainingIncarnation !== incarnation) {
            record.drainingIncarnation = incarnation;
            this.notifyChange();
        }
    }

    /** Records that the instance reports accepting work, which ends an earlier draining state. */
    noteServing(instance: string): void {
        const record = this.records.get(instance);
        if (record?.drainingIncarnation !== undefined) {
            record.drainingIncarnation = undefined;
            this.notifyChange();
        }
    }

    /** Records that the connection was closed, and removes the instance if the list does not contain it. */
    noteLost(instance: string): void {
        const record = this.records.get(instance);
        if (record === undefined) {
            return;
        }
        record.connected = false;
        record.lostAtMs = this.options.clock.now();
        this.cancelRetry(instance);
        if (record.isInList) {
            const timer = this.options.clock.schedule(LOST_RETRY_MS, () => this.notifyChange());
            this.retryTimers.set(instance, timer);
        }
        else {
            this.records.delete(instance);
        }
        this.notifyChange();
    }

    /**
     * The agents of a service that this process uses, excluding leaving ones: a bounded subset by rendezvous
     * hash, spread over failure domains. It includes agents that aren't connected yet.
     */
    agents(service: string): readonly Member[] {
        const cached = this.agentSubsets.get(service);
        if (cached !== undefined) {
            return cached;
        }
        const size = this.options.subsetSize ?? DEFAULT_SUBSET_SIZE;
        const candidates = this.findLiveMembers(record => record.role === "agent" && record.service === service);
        const subset = domainSpreads.selectSpread(this.preferReachable(candidates, size), size, this.spreadOptions());
        this.agentSubsets.set(service, subset);
        return subset;
    }

    /** At most `count` live instances of any role to gossip with, half of them from the own failure domain. */
    peers(count: number): readonly Member[] {
        const cached = this.peerSubsets.get(count);
        if (cached !== undefined) {
            return cached;
        }
        const candidates = this.preferReachable(this.findLiveMembers(record => record.address !== ""), count);
        const subset = domainSpreads.selectPeers(candidates, count, this.spreadOptions());
        this.peerSubsets.set(count, subset);
        return subset;
    }

    /** Names of all known agents of a service, including leaving and unconnected ones. */
    agentNames(service: string): readonly string[] {
        const names: string[] = [];
        for (const record of this.records.values()) {
            if (record.role === "agent" && record.service === service) {
                names.push(record.instance);
            }
        }
        return names;
    }

    /** Finds a member by its instance name. */
    find(instance: string): Member | undefined {
        return this.records.get(instance);
    }

    /** Names of all known instances and this one, sorted. */
    get instances(): readonly string[] {
        this.sortedInstances ??= [...this.records.keys(), this.options.self].sort();
        return this.sortedInstances;
    }

    /** Time since the last list that wasn't empty; undefined before the first. */
    get listAgeMs(): number | undefined {
        return this.listReceivedAtMs === undefined ? undefined : this.options.clock.now() - this.listReceivedAtMs;
    }

    dispose(): void {
        for (const timer of this.retryTimers.values()) {
            timer.dispose();
        }
        this.retryTimers.clear();
        this.changeEmitter.dispose();
    }

    private getOrCreateRecord(instance: string): MemberRecord {
        let record = this.records.get(instance);
        if (record === undefined) {
            record = new MemberRecord(instance, rendezvous.score(this.options.self, instance));
            this.records.set(instance, record);
        }
        return record;
    }

    /** Applies one row and returns whether it changed the view. The hello of a connected instance takes precedence. */
    private applyRow(row: ports.ListedInstance): boolean {
        const record = this.getOrCreateRecord(row.instance);
        const isLeaving = row.state === "leaving";
        const isUnchanged = record.isInList && record.isListedLeaving === isLeaving && record.address === row.address
            && (record.connected
                || (record.service === row.service && record.failureDomain === row.failureDomain
                    && record.role === row.role));
        record.isInList = true;
        record.isListedLeaving = isLeaving;
        record.address = row.address;
        if (!record.connected) {
            record.role = row.role;
            record.service = row.service;
            record.failureDomain = row.failureDomain;
        }
        return !isUnchanged;
    }

    private removeUnlisted(listedInstances: ReadonlySet<string>): boolean {
        let hasChanged = false;
        for (const record of this.records.values()) {
            if (listedInstances.has(record.instance)) {
                continue;
            }
            record.isInList = false;
            if (!record.connected) {
                this.records.delete(record.instance);
                this.cancelRetry(record.instance);
                hasChanged = true;
            }
        }
        return hasChanged;
    }

    private findLiveMembers(matches: (record: MemberRecord) => boolean): MemberRecord[] {
        const found: MemberRecord[] = [];
        for (const record of this.records.values()) {
            if (record.state === "live" && matches(record)) {
                found.push(record);
            }
        }
        return found;
    }

    /** Leaves out members whose connections were lost recently, if the others suffice to fill `size`. */
    private preferReachable(records: MemberRecord[], size: number): MemberRecord[] {
        const cutoffMs = this.options.clock.now() - LOST_RETRY_MS;
        const reachable = records.filter(record => record.lostAtMs === undefined || record.lostAtMs <= cutoffMs);
        return reachable.length >= size ? reachable : records;
    }

    private spreadOptions(): domainSpreads.SpreadOptions {
        const regionOf = this.options.regionOf;
        return {
            self: this.options.self,
            failureDomain: this.options.failureDomain,
            isNear: domain => regionOf === undefined || regionOf(domain) === this.options.region,
        };
    }

    private cancelRetry(instance: string): void {
        this.retryTimers.get(instance)?.dispose();
        this.retryTimers.delete(instance);
    }

    private notifyChange(): void {
        this.agentSubsets.clear();
        this.peerSubsets.clear();
        this.sortedInstances = undefined;
        this.changeEmitter.fire();
    }
}
