/**
 * Connects the placement task with its agent: passes it the agent's view of the other agents of the service, and
 * renews the lease under which orders are sent to engines that ignore fencing tokens.
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

const LEASE_TICK_PERIOD_MS = 500;

/** Options of the placement of an agent. */
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

/** Runs placement if the upstream is an engine; inactive for a plain service. */
export class AgentPlacement implements clocks.Disposable {
    private readonly disposables = new emitters.DisposableStore();
    private readonly lease: leases.OrderLease;
    private readonly modelsBySlot = new Map<string, readonly string[]>();
    private task: placementTasks.PlacementTask | undefined;

    constructor(private readonly options: AgentPlacementOptions) {
        const { clock, node } = options;
        this.lease = new leases.OrderLease(clock);
        this.disposables.add(clocks.every(clock, LEASE_TICK_PERIOD_MS, () => this.lease.tick()));
        this.disposables.add(node.listReader.onList(list => this.confirmLease(list)));
        this.disposables.add(node.replica.onVersion(() => this.startIfEngine()));
    }

    /** Starts the placement task now or as soon as the configuration declares the upstream an engine. */
    start(): void {
        this.startIfEngine();
    }

    /** Models that the engine last reported as loaded. */
    get loadedModels(): readonly string[] {
        return this.task?.loadedModels ?? [];
    }

    /** Whether the engine last reported a model as loaded; true for a plain service and before the first report. */
    isModelLoaded(model: string): boolean {
        return this.task?.hasReport !== true || this.task.loadedModels.includes(model);
    }

    /** Updates the models that the engine of another agent holds. */
    updateModels(remote: messages.Hello, models: readonly string[]): void {
        if (remote.service === this.options.service) {
            this.modelsBySlot.set(remote.instance, models);
        }
    }

    dispose(): void {
        this.disposables.dispose();
    }

    private get configuration(): configurations.Configuration | undefined {
        return this.options.node.replica.current?.configuration;
    }

    private startIfEngine(): void {
        const publishedService = this.configuration?.services[this.options.service];
        if (this.task !== undefined || publishedService?.kind !== "engine") {
            return;
        }
        this.task = this.disposables.add(this.createTask());
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
            findLiveSlots: () => this.findLiveSlots(),
            findHolders: model => this.findHolders(model),
            canSend: () => !options.isDraining() && !options.node.isRefreshing,
            checksFencing: () => this.configuration?.services[service]?.checksFencing ?? false,
        });
    }

    /** Slots that are in service: the agent's own, and those of connected agents. */
    private findLiveSlots(): ReadonlySet<string> {
        const { node, service, slot } = this.options;
        const { configuration } = this;
        const liveSlots = new Set([slot]);
        for (const member of node.membership.agents(service)) {
            if (member.connected) {
                liveSlots.add(member.instance);
            }
        }
        const isOutOfService = (name: string): boolean =>
            configuration === undefined || configurations.findOutOfService(configuration, service, name) !== undefined;
        return new Set([...liveSlots].filter(name => !isOutOfService(name)));
    }

    private findHolders(model: string): readonly string[] {
        const liveSlots = this.findLiveSlots();
        return [...this.modelsBySlot]
            .filter(([slot, models]) => slot !== this.options.slot && liveSlots.has(slot) && models.includes(model))
            .map(([slot]) => slot);
    }

    private confirmLease(list: instanceListReaders.InstanceListUpdate): void {
        const { node, slot } = this.options;
        if (list.rows.some(row => row.instance === slot && row.address === node.peerAddress)) {
            this.lease.confirmListed(list.requestedAtMs);
        }
    }
}
