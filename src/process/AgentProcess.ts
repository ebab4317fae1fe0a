/**
 * An agent instance: stands beside one upstream and is the only way to it for this system.
 */
import * as events from "node:events";
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as configurations from "../common/Configuration";
import * as emitters from "../common/Emitter";
import * as logs from "../common/Log";
import * as messages from "../common/Messages";
import * as ports from "../common/Ports";
import * as settingsFile from "../common/Settings";
import * as agentServers from "../connection/AgentServer";
import * as peerConnections from "../connection/PeerConnection";
import * as upstreamWorks from "../request/UpstreamWork";
import * as limits from "./admission/AdmissionLimit";
import * as queues from "./admission/FairQueue";
import * as upstreamWatches from "./admission/UpstreamWatch";
import * as attemptMemories from "./keys/AttemptMemory";
import * as agentKeys from "./keys/KeyOwnership";
import * as ledgers from "./keys/Ledger";
import * as incarnations from "./membership/Incarnation";
import * as nodes from "./membership/Node";
import * as agentPlacements from "./placement/AgentPlacement";
import * as adminServers from "./serving/AdminServer";
import * as agentMetrics from "./serving/AgentMetrics";
import * as listeners from "./serving/Listener";

const ATTEMPT_CAPACITY = 100_000;
/** Agents of the same service that an agent hears from; they tell which models they hold. */
const SAME_SERVICE_PEERS = 8;
const DRAIN_POLL_MS = 10;
/** Successes after a cold start before the limit rises, for services that publish no number. */
const DEFAULT_COLD_CALLS = 8;
const UNPUBLISHED_BOUNDS: limits.ConcurrencyBounds = { coldConcurrency: 1, warmConcurrency: 1 };

/** What a test or experiment may replace. */
export interface AgentOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly random: () => number;
    readonly source: ports.ConfigurationSource;
    readonly instanceList: ports.InstanceList;
    readonly engine: ports.ModelEngine;
    readonly weightStore?: ports.WeightStore | undefined;
    /** Concurrency bounds; undefined for the published ones. */
    readonly bounds?: () => limits.ConcurrencyBounds;
    /** Why the agent refuses new work; undefined for what is published as out. */
    readonly findOutOfService?: typeof configurations.findOutOfService;
    /** Makes the queue in front of the upstream; undefined for the fair one. */
    readonly createQueue?: (options: queues.FairQueueOptions) => queues.CallQueue;
}

/** A running agent. */
export class AgentProcess implements clocks.Disposable {
    private readonly store = new emitters.DisposableStore();
    private readonly node: nodes.Node;
    private readonly limit: limits.AdmissionLimit;
    private readonly queue: queues.CallQueue;
    private readonly ledger: ledgers.Ledger;
    private readonly attempts: attemptMemories.AttemptMemory;
    private readonly keys: agentKeys.KeyOwnership;
    private readonly placement: agentPlacements.AgentPlacement;
    private readonly incarnation: number;
    private readonly metrics: agentMetrics.AgentMetrics;
    private readonly server: agentServers.AgentServer;
    private readonly watch: upstreamWatches.UpstreamWatch;
    private admin: listeners.Listener | undefined;
    private readonly stopped = new AbortController();
    private isDraining = false;
    private wasOut = false;
    private wasLeaving = false;

    private constructor(
        private readonly settings: settingsFile.AgentSettings,
        private readonly options: AgentOptions,
    ) {
        const { clock, log, random } = options;
        this.incarnation = incarnations.createIncarnation(clock, random);
        // Every call that is under way listens to it.
        events.EventEmitter.setMaxListeners(0, this.stopped.signal);
        this.limit = this.store.add(new limits.AdmissionLimit(() => this.findBounds()));
        const createQueue = options.createQueue ?? (queueOptions => new queues.FairQueue(queueOptions));
        this.queue = this.store.add(
            createQueue({
                clock,
                limit: this.limit,
                weight: team => configurations.findWeight(this.configuration, team),
                shedBelowPriority: () => configurations.findPreset(this.configuration)?.shedBelowPriority ?? 0,
            }),
        );
        const lifetimeMs = (): number => this.configuration?.keyLifetimeMs ?? Infinity;
        const capacity = settings.ledgerCapacity;
        this.ledger = this.store.add(new ledgers.Ledger({ clock, capacity, lifetimeMs, startedWallMs: clock.wall() }));
        this.attempts = this.store.add(new attemptMemories.AttemptMemory({ clock, capacity: ATTEMPT_CAPACITY }));
        this.node = this.store.add(this.createNode());
        const { service, instance: slot } = settings;
        this.keys = this.store.add(
            new agentKeys.KeyOwnership({ clock, log, node: this.node, service, slot, lifetimeMs }),
        );
        this.placement = this.store.add(
            new agentPlacements.AgentPlacement({
                ...options,
                service,
                slot,
                node: this.node,
                isDraining: () => this.isLeaving,
            }),
        );
        this.watch = this.store.add(new upstreamWatches.UpstreamWatch(clock, options.engine, this.limit));
        this.server = new agentServers.AgentServer(this.createWorkContext(), answer => {
            this.metrics.recordEnd(answer.code);
        });
        this.store.add(this.limit.onCold(reason => log.warn({ reason }, "upstream is cold")));
        this.store.add(this.node.replica.onVersion(() => this.noteService()));
        this.store.add(this.node.list.onList(() => this.noteLeaving()));
        this.store.add(this.watch.onLeaving(() => this.noteLeaving()));
        this.metrics = this.createMetrics();
    }

    /** Starts an agent; rejects when an address can't be used. */
    static async start(settings: settingsFile.AgentSettings, options: AgentOptions): Promise<AgentProcess> {
        const agent = new AgentProcess(settings, options);
        await agent.node.start();
        agent.admin = agent.store.add(
            await adminServers.listenAdmin(settings.adminListen, {
                isReady: () => agent.isReady,
                status: () => agent.status(),
                registry: agent.metrics.registry,
            }),
        );
        agent.placement.start();
        agent.watch.start();
        return agent;
    }

    /** IP number and port of the peer listener, once started. */
    get peerAddress(): string {
        return this.node.peerAddress;
    }

    /** IP number and port of the admin server, once started. */
    get adminAddress(): string {
        return this.admin?.address ?? "";
    }

    /** The configuration version in force; 0 for none. */
    get version(): number {
        return this.node.replica.version;
    }

    /** Whether the agent takes calls. */
    get isReady(): boolean {
        return !this.isLeaving && this.node.isReady && this.watch.isPredecessorDrained;
    }

    /** Planned stop: says so to every peer, refuses new work, finishes all work under way, then ends. */
    async stop(): Promise<number> {
        const { clock, log } = this.options;
        this.isDraining = true;
        this.node.announce();
        const limitMs = clock.now() + this.settings.stopLimitMs;
        while (this.server.workCount > 0 && clock.now() < limitMs) {
            await clocks.sleep(clock, DRAIN_POLL_MS);
        }
        const cut = this.server.workCount;
        if (cut > 0) {
            log.warn({ code: codes.codes.stopLimit.code, cut }, "planned stop cut work");
        }
        this.dispose();
        return cut;
    }

    /** Ends at once, as a kill would. */
    dispose(): void {
        this.isDraining = true;
        this.stopped.abort();
        this.store.dispose();
    }

    /** What the agent believes, for operators. */
    status(): unknown {
        return {
            role: "agent",
            service: this.settings.service,
            ...this.node.status(),
            ready: this.isReady,
            draining: this.isLeaving,
            load: this.describeLoad(),
            ledger: this.ledger.size,
            boot: this.watch.boot,
        };
    }

    /** Whether new work is refused: by a planned stop, the platform's list or the upstream, whichever says so first. */
    private get isLeaving(): boolean {
        return this.isDraining || this.node.list.isListedLeaving || this.watch.isLeaving;
    }

    /** Tells every peer when the agent begins or ceases to refuse new work. */
    private noteLeaving(): void {
        if (this.isLeaving !== this.wasLeaving) {
            this.wasLeaving = this.isLeaving;
            this.options.log.info({ leaving: this.isLeaving }, "refusal of new work changed");
            this.node.announce();
        }
    }

    private get configuration(): configurations.Configuration | undefined {
        return this.node.replica.current?.configuration;
    }

    private createNode(): nodes.Node {
        const { settings, options } = this;
        return new nodes.Node({
            settings,
            ...options,
            hello: {
                kind: "hello",
                protocol: messages.PROTOCOL_VERSION,
                role: "agent",
                instance: settings.instance,
                failureDomain: settings.failureDomain,
                incarnation: this.incarnation,
                service: settings.service,
            },
            load: () => this.describeLoad(),
            slotsVersion: () => this.keys.slotsVersion,
            wantsAgents: () => [settings.service],
            subsetSize: SAME_SERVICE_PEERS,
            isBusy: connection => this.server.isBusy(connection),
            onConnected: connection => this.server.addConnection(connection),
            onMessage: (connection, envelope) => this.receive(connection, envelope),
        });
    }

    private createWorkContext(): upstreamWorks.WorkContext {
        const { clock, log, engine } = this.options;
        return {
            clock,
            log,
            engine,
            service: this.settings.service,
            slot: this.settings.instance,
            incarnation: this.incarnation,
            queue: this.queue,
            ledger: this.ledger,
            attempts: this.attempts,
            configuration: () => this.configuration,
            findOutOfService: this.options.findOutOfService ?? configurations.findOutOfService,
            isReady: () => this.node.isReady && this.watch.isPredecessorDrained,
            isDraining: () => this.isLeaving,
            isRefreshing: () => this.node.isRefreshing,
            unreadDelayMs: () => this.node.unreadMs,
            waitForVersion: (version, timeoutMs) => this.node.catchUp(version, timeoutMs),
            canServeModel: model => this.placement.isModelLoaded(model),
            checkKeyHome: key => this.keys.checkKey(key),
            reportBoot: boot => this.watch.recordBoot(boot),
            isCold: () => this.limit.isCold,
            stopSignal: this.stopped.signal,
            load: () => this.describeLoad(),
        };
    }

    private receive(connection: peerConnections.PeerConnection, envelope: messages.Envelope): void {
        if (envelope.message.kind === "heartbeat") {
            this.placement.updateModels(connection.remote, envelope.message.load?.models ?? []);
        }
        this.server.handle(connection, envelope);
    }

    /** An upstream that returns to service may have been restarted since the last probe, so it starts cold. */
    private noteService(): void {
        const { service, instance } = this.settings;
        const configuration = this.configuration;
        const isOut = configuration !== undefined
            && configurations.findOutOfService(configuration, service, instance) !== undefined;
        if (this.wasOut && !isOut) {
            this.limit.becomeCold("returned to service");
        }
        this.wasOut = isOut;
    }

    private findBounds(): limits.ConcurrencyBounds {
        const published = this.configuration?.services[this.settings.service];
        const { coldConcurrency, warmConcurrency, coldCalls = DEFAULT_COLD_CALLS } = published ?? UNPUBLISHED_BOUNDS;
        return this.options.bounds?.() ?? { coldConcurrency, warmConcurrency, coldCalls };
    }

    private describeLoad(): messages.Load {
        return {
            limit: this.limit.limit,
            active: this.limit.active,
            queued: this.queue.queued,
            cold: this.limit.isCold,
            draining: this.isLeaving,
            expectedMs: this.queue.expectedMs,
            models: [...this.placement.loadedModels],
        };
    }

    private createMetrics(): agentMetrics.AgentMetrics {
        return new agentMetrics.AgentMetrics({
            limit: () => this.limit.limit,
            active: () => this.limit.active,
            queued: () => this.queue.queued,
            ledgerEntries: () => this.ledger.size,
            version: () => this.version,
        });
    }
}
