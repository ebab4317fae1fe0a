/**
 * Which entries are the stage hosts, for which groups of stage workers, and which of these this entry hosts itself.
 * Every entry elects the hosts for itself from the entries present; correctness doesn't depend on their agreement.
 */
import * as clocks from "../../common/Clock";
import * as logs from "../../common/Log";
import * as stageOrders from "../../common/StageOrder";
import * as entryPeers from "../peers/EntryPeers";
import * as peerEntries from "../peers/PeerEntry";
import * as views from "../published/PublishedView";
import * as hostChoices from "./HostChoice";
import * as batching from "./StageBatching";
import * as stageGroups from "./StageGroups";

/** Interval of the checks which groups this entry hosts. */
const CHECK_INTERVAL_MS = 200;
/** Number of successors of each host whose loss is noticed as soon as the host's. */
const SUCCESSORS_PER_GROUP = 2;

/** Dependencies of the roles. */
export interface HostRolesOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly random: () => number;
    readonly instance: string;
    readonly isDraining: () => boolean;
    readonly peers: entryPeers.EntryPeers;
    readonly view: views.PublishedView;
    /** Number of stage orders in progress on this entry. */
    readonly openOrders: () => number;
    /** Time in which the stage workers of this entry can do the work that waits here. */
    readonly backlogMs: () => number;
    /** Called when this entry has to hand its orders over to other hosts. */
    readonly handOver: () => void;
}

/** The host of a group: another entry, or this one. */
export type GroupHost = peerEntries.PeerEntry | "self";

interface Election {
    /** Name of the host of each group; undefined without candidates. */
    readonly names: readonly (string | undefined)[];
    readonly candidates: readonly hostChoices.HostCandidate[];
    /** The candidates other than this entry. */
    readonly others: readonly peerEntries.PeerEntry[];
}

/** Elects the stage hosts and keeps this entry's own role. */
export class HostRoles implements clocks.Disposable {
    private readonly timer: clocks.Disposable;
    private hostedGroup: number | undefined;
    private hostingSinceMs = 0;
    /** Groups for which this entry is elected. */
    private ownGroups: ReadonlySet<number> = new Set();
    private isSuccessor = false;
    private groups = 1;
    private readonly positionsByList = new WeakMap<readonly views.KnownInstance[], ReadonlyMap<string, number>>();

    constructor(private readonly options: HostRolesOptions) {
        this.timer = clocks.every(options.clock, CHECK_INTERVAL_MS, () => this.updateOwnRole());
    }

    dispose(): void {
        this.timer.dispose();
    }

    /** What this entry tells others about its role; undefined when it isn't a host. */
    get hosting(): peerEntries.Hosting | undefined {
        return this.hostedGroup === undefined ? undefined : {
            hostingMs: this.options.clock.now() - this.hostingSinceMs,
            hostingGroup: this.hostedGroup,
            backlogMs: this.options.backlogMs(),
        };
    }

    /** Whether the others must notice the loss of this entry soon: it is a host, or one of the next to be elected. */
    get isPresenceUrgent(): boolean {
        return this.hostedGroup !== undefined || this.isSuccessor;
    }

    /** Name of the host of each group. */
    get hostNames(): readonly string[] {
        return this.electHosts().names.map(name => name ?? this.options.instance);
    }

    /** The host that should run an order: that of the group where the results will be read, unless it is far behind. */
    findHost(order: stageOrders.StageOrder): GroupHost {
        const hosts = this.findHosts();
        if (hosts.length === 1) {
            return hosts[0]!;
        }
        const backlogsMs = hosts.map(host => host === "self" ? this.options.backlogMs() : host.backlogMs);
        const group = stageGroups.chooseGroup(this.preferredGroup(order), backlogsMs, this.options.random);
        return hosts[group] ?? "self";
    }

    /** The instances of a service that this entry schedules as a host, among those that are usable. */
    ownInstances(service: string, usable: readonly views.KnownInstance[]): readonly batching.StageInstance[] {
        if (this.groups === 1 || this.ownGroups.size === 0) {
            return usable;
        }
        const own = usable.filter(instance => this.ownGroups.has(this.groupOf(service, instance.id)));
        return own.length > 0 ? own : usable;
    }

    /** Gives up the role, and hands the orders over if there is another host. */
    resign(): void {
        this.hostedGroup = undefined;
        if (this.findHosts().some(host => host !== "self")) {
            this.options.handOver();
        }
    }

    /**
     * Announces this entry as a host once it runs stages for a group; hands over when another is elected for the group,
     * such as one that has been its host for longer.
     */
    private updateOwnRole(): void {
        const { clock, log, instance, peers, isDraining, openOrders } = this.options;
        const { names, candidates } = this.electHosts();
        this.isSuccessor = hostChoices.chooseSuccessors(candidates, names, SUCCESSORS_PER_GROUP).has(instance);
        const [firstGroup] = this.ownGroups;
        if (this.hostedGroup !== undefined && !this.ownGroups.has(this.hostedGroup)) {
            const host = names[this.hostedGroup] ?? names[0] ?? instance;
            log.info(
                { decision: "host", host, group: this.hostedGroup },
                "another entry is the stage host; handing over",
            );
            this.resign();
        }
        else if (this.hostedGroup === undefined && firstGroup !== undefined && openOrders() > 0 && !isDraining()) {
            this.hostedGroup = firstGroup;
            this.hostingSinceMs = clock.now();
            log.info(
                { decision: "host", host: instance, group: firstGroup, groups: this.groups },
                "this entry is now the stage host",
            );
            peers.broadcastPresence();
        }
    }

    private findHosts(): GroupHost[] {
        const { names, others } = this.electHosts();
        return names.map(name => others.find(peer => peer.instance === name) ?? "self");
    }

    /** Elects the host of each group among the other entries and this one. */
    private electHosts(): Election {
        const { instance, isDraining, peers } = this.options;
        const others = peers.presentPeers.filter(peer => !peer.isDraining);
        const candidates: hostChoices.HostCandidate[] = others.map(peer => ({
            instance: peer.instance,
            startedMs: peer.startedMs ?? Infinity,
            hostingSinceMs: peer.hostingSinceMs,
            hostingGroup: peer.hostingGroup,
            cores: peer.cores,
        }));
        if (!isDraining()) {
            candidates.push({
                instance,
                startedMs: peers.startedMs,
                hostingSinceMs: this.hostedGroup === undefined ? undefined : this.hostingSinceMs,
                hostingGroup: this.hostedGroup,
                cores: peers.cores,
            });
        }
        this.groups = stageGroups.groupCount({
            entryCount: peers.entryNames.length,
            hostCores: Math.max(0, ...candidates.map(candidate => candidate.cores)),
            instanceCounts: this.stageServices().map(service => this.options.view.instances(service).length),
        });
        const names = hostChoices.chooseHosts(candidates, this.groups);
        this.ownGroups = new Set(names.flatMap((name, group) => name === instance ? [group] : []));
        return { names, candidates, others };
    }

    /** The group whose stage workers are in the failure domain where the results of the order will be read. */
    private preferredGroup(order: stageOrders.StageOrder): number {
        const lastStage = order.stages.filter(stage => stage.pieces > 0).at(-1);
        if (this.groups === 1 || lastStage === undefined) {
            return 0;
        }
        const near = this.options.view.instances(lastStage.service)
            .find(instance => instance.failureDomain === order.failureDomain);
        return near === undefined
            ? Math.floor(this.options.random() * this.groups)
            : this.groupOf(lastStage.service, near.id);
    }

    private stageServices(): string[] {
        const services = this.options.view.table?.configuration.services ?? [];
        return services.filter(service => service.stage !== undefined).map(service => service.name);
    }

    private groupOf(service: string, id: string): number {
        const all = this.options.view.instances(service);
        let positions = this.positionsByList.get(all);
        if (positions === undefined) {
            positions = positionsOf(all);
            this.positionsByList.set(all, positions);
        }
        return stageGroups.groupOfPosition(positions.get(id) ?? 0, all.length, this.groups);
    }
}

/** Position of each instance when they are sorted by failure domain. */
function positionsOf(instances: readonly views.KnownInstance[]): ReadonlyMap<string, number> {
    const names = instances.map(instance => ({
        id: instance.id,
        sortName: `${instance.failureDomain} ${instance.id}`,
    }));
    names.sort((a, b) => a.sortName < b.sortName ? -1 : 1);
    return new Map(names.map(({ id }, position) => [id, position]));
}
