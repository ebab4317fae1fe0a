/**
 * One process's view of the other instances. The platform's list lags, so it only nominates; connections
 * decide who is there, and an instance's own word that it drains holds for its incarnation.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as messages from "../../common/Messages";
import * as ports from "../../common/Ports";
import * as rendezvous from "../../common/RendezvousHash";
import * as domainSpreads from "./DomainSpread";

const DEFAULT_SUBSET_SIZE = 32;
/** A lost member takes no place in a subset for this long, while others can fill it. */
const LOST_RETRY_MS = 10_000;

/** What is known of another instance; reads are always current. */
export interface Member extends ports.ListedInstance {
    /** From the latest hello; undefined before the first. */
    readonly incarnation?: number | undefined;
    /** Work may be sent to connected members only; the others are nominated and wait for a connection. */
    readonly connected: boolean;
    /** When the connection was last lost or refused; undefined once connected again. */
    readonly lostAtMs?: number | undefined;
}

/** What the view needs from its process. */
export interface MembershipOptions {
    readonly clock: clocks.Clock;
    /** This process's instance name. */
    readonly self: string;
    readonly failureDomain: string;
    readonly region: string;
    /** Most agents of one service that this process knows. */
    readonly subsetSize?: number;
    /** The region of a failure domain; without it all domains count as near. */
    readonly regionOf?: (failureDomain: string) => string | undefined;
}

/** A member with what the sources said of it. */
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
    /** The incarnation that said it drains; it binds this one and earlier ones. */
    drainingIncarnation: number | undefined;

    /** `rank` is the member's rendezvous score for this process. */
    constructor(readonly instance: string, readonly rank: number) {}

    /** Leaving by any source. */
    get state(): "live" | "leaving" {
        return this.isListedLeaving || this.drainingIncarnation !== undefined ? "leaving" : "live";
    }
}

/** The merged view of list, connections and drain messages. */
export class Membership implements clocks.Disposable {
    private readonly records = new Map<string, MemberRecord>();
    /** Results computed since the last change, by service or count. */
    private readonly agentSubsets = new Map<string, readonly Member[]>();
    private readonly peerSubsets = new Map<number, readonly Member[]>();
    private sortedInstances: readonly string[] | undefined;
    private listReceivedAtMs: number | undefined;
    private readonly retryTimers = new Map<string, clocks.Disposable>();
    private readonly changeEmitter = new emitters.Emitter<void>();

    /** Fires after the view changed. */
    readonly onChange = this.changeEmitter.event;

    constructor(private readonly options: MembershipOptions) {}

    /**
     * Takes in the platform's list. An empty list is taken for a fault of its source and ignored; members
     * missing from a list are kept while they are connected.
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

    /** Notes a connection after its hello. A hello of an earlier incarnation than the connected one is ignored. */
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

    /** Notes that the instance said it drains; binding until it says otherwise or a higher incarnation connects. */
    noteDraining(instance: string): void {
        const record = this.records.get(instance);
        const incarnation = record?.incarnation ?? 0;
        if (record !== undefined && record.drainingIncarnation !== incarnation) {
            record.drainingIncarnation = incarnation;
            this.notifyChange();
        }
    }

    /** Notes that the instance takes work, after it said that it drains; the latest word counts. */
    noteServing(instance: string): void {
        const record = this.records.get(instance);
        if (record?.drainingIncarnation !== undefined) {
            record.drainingIncarnation = undefined;
            this.notifyChange();
        }
    }

    /** Notes that the connection ended, or that a new one was refused. */
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
     * The agents of a service that this process deals with, none of them leaving: a bounded subset by
     * rendezvous hash, spread over failure domains. Those not connected are nominated only.
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

    /** At most `count` instances of any role for the gossip mesh: half from the own failure domain, half from others. */
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

    /** Names of all known agents of a service, whether or not they take work. */
    agentNames(service: string): readonly string[] {
        const names: string[] = [];
        for (const record of this.records.values()) {
            if (record.role === "agent" && record.service === service) {
                names.push(record.instance);
            }
        }
        return names;
    }

    /** What is known of an instance; undefined for an unknown one. */
    find(instance: string): Member | undefined {
        return this.records.get(instance);
    }

    /** Names of all known instances and this one, sorted. */
    get instances(): readonly string[] {
        this.sortedInstances ??= [...this.records.keys(), this.options.self].sort();
        return this.sortedInstances;
    }

    /** Time since the last list that was taken in; undefined before the first. */
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

    /** Takes in one row; true when the view changed. What a connected instance said of itself stands. */
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

    /** Leaves out members lost lately when enough others are there to fill `size`. */
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
