/**
 * Placement as one agent sees it: feeds the placement task with the agent's view of the other agents of its
 * service, and keeps the lease under which orders go to engines that ignore fencing numbers.
 */
import * as clocks from "../../common/Clock";
import * as configurations from "../../common/Configuration";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as messages from "../../common/Messages";
import * as ports from "../../common/Ports";
import * as instanceListReaders from "../membership/InstanceListReader";
import * as nodes from "../membership/Node";
import * as leases from "./OrderLease";
import * as placementTasks from "./PlacementTask";

const LEASE_TICK_MS = 500;

/** What placement needs from its agent. */
export interface AgentPlacementOptions {
    readonly clock: clocks.Clock;
    readonly random: () => number;
    readonly log: logs.Log;
    readonly engine: ports.ModelEngine;
    readonly weightStore?: ports.WeightStore | undefined;
    readonly service: string;
    readonly slot: string;
    readonly node: nodes.Node;
    readonly isDraining: () => boolean;
}

/** Runs placement for an engine; does nothing beside a plain service. */
export class AgentPlacement implements clocks.Disposable {
    private readonly store = new emitters.DisposableStore();
    private readonly lease: leases.OrderLease;
    private readonly modelsBySlot = new Map<string, readonly string[]>();
    private task: placementTasks.PlacementTask | undefined;

    constructor(private readonly options: AgentPlacementOptions) {
        const { clock, node } = options;
        this.lease = new leases.OrderLease(clock);
        this.store.add(clocks.every(clock, LEASE_TICK_MS, () => this.lease.tick()));
        this.store.add(node.listReader.onList(list => this.confirmLease(list)));
        this.store.add(node.replica.onVersion(() => this.startForEngine()));
    }

    /** Begins, as soon as a configuration says that the upstream is an engine. */
    start(): void {
        this.startForEngine();
    }

    /** Models that the engine holds by its last report. */
    get held(): readonly string[] {
        return this.task?.held ?? [];
    }

    /** Whether the engine holds a model by its last report; true beside a plain service and before the first report. */
    holds(model: string): boolean {
        return this.task?.hasReport !== true || this.task.held.includes(model);
    }

    /** Takes in which models another agent's engine holds. */
    noteModels(remote: messages.Hello, models: readonly string[]): void {
        if (remote.service === this.options.service) {
            this.modelsBySlot.set(remote.instance, models);
        }
    }

    dispose(): void {
        this.store.dispose();
    }

    private get configuration(): configurations.Configuration | undefined {
        return this.options.node.replica.current?.configuration;
    }

    private startForEngine(): void {
        const published = this.configuration?.services[this.options.service];
        if (this.task !== undefined || published?.kind !== "engine") {
            return;
        }
        this.task = this.store.add(this.createTask());
        this.task.start();
    }

    private createTask(): placementTasks.PlacementTask {
        const { options, lease } = this;
        const { clock, random, log, engine, weightStore, service, slot } = options;
        return new placementTasks.PlacementTask({
            clock,
            random,
            log,
            engine,
            weightStore,
            service,
            slot,
            lease,
            incarnation: Math.floor(clock.wall()),
            configuration: () => this.configuration,
            live: () => this.findLive(),
            holders: model => this.findHolders(model),
            maySend: () => !options.isDraining() && !options.node.isRefreshing,
            checksFencing: () => this.configuration?.services[service]?.checksFencing ?? false,
        });
    }

    /** Slots that are in service and whose agents aren't known to be gone. */
    private findLive(): ReadonlySet<string> {
        const { node, service, slot } = this.options;
        const { configuration } = this;
        const live = new Set([slot]);
        for (const member of node.membership.agents(service)) {
            if (member.connected) {
                live.add(member.instance);
            }
        }
        const isOut = (name: string): boolean =>
            configuration === undefined || configurations.findOutOfService(configuration, service, name) !== undefined;
        return new Set([...live].filter(name => !isOut(name)));
    }

    private findHolders(model: string): readonly string[] {
        const live = this.findLive();
        return [...this.modelsBySlot]
            .filter(([slot, models]) => slot !== this.options.slot && live.has(slot) && models.includes(model))
            .map(([slot]) => slot);
    }

    private confirmLease(list: instanceListReaders.InstanceListUpdate): void {
        const { node, slot } = this.options;
        if (list.rows.some(row => row.instance === slot && row.address === node.peerAddress)) {
            this.lease.confirmListed(list.requestedAtMs);
        }
    }
}
