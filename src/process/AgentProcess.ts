/**
 * An agent instance: serves one upstream; all calls of this system to that upstream go through it.
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
import * as listeners from "../connection/Listener";
import * as peerConnections from "../connection/PeerConnection";
import * as upstreamWorks from "../request/UpstreamWork";
import * as limits from "./admission/AdmissionLimit";
import * as queues from "./admission/FairQueue";
import * as upstreamWatches from "./admission/UpstreamWatch";
import * as agentServers from "./AgentServer";
import * as attemptMemories from "./keys/AttemptMemory";
import * as keyOwnerships from "./keys/KeyOwnership";
import * as ledgers from "./keys/Ledger";
import * as incarnations from "./membership/Incarnation";
import * as nodes from "./membership/Node";
import * as acceptedPeers from "./metrics/AcceptedPeers";
import * as agentMetrics from "./metrics/AgentMetrics";
import * as agentPlacements from "./placement/AgentPlacement";
import * as adminServers from "./serving/AdminServer";
import * as descriptorLimits from "./serving/DescriptorLimit";

const MAX_REMEMBERED_ATTEMPTS = 100_000;
/** Maximum number of agents of its service that an agent connects to; they report which models they hold. */
const SAME_SERVICE_PEER_COUNT = 8;
const DRAIN_POLL_MS = 10;
/** Successes after a cold start before the limit rises, for services that don't configure the number. */
const DEFAULT_COLD_CALLS = 8;
const UNPUBLISHED_BOUNDS: limits.ConcurrencyBounds = { coldConcurrency: 1, warmConcurrency: 1 };

/** Dependencies and policies that tests and benchmarks may replace. */
export interface AgentOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly random: () => number;
    readonly source: ports.ConfigurationSource;
    readonly instanceList: ports.InstanceList;
    readonly engine: ports.ModelEngine;
    readonly weightStore?: ports.WeightStore | undefined;
    /** Concurrency bounds; undefined for those of the configuration. */
    readonly bounds?: () => limits.ConcurrencyBounds;
    /** Finds why the upstream is out of service; undefined for a lookup in the configuration. */
    readonly findOutOfService?: typeof configurations.findOutOfService;
    /** Creates the queue in front of the upstream; undefined for the fair queue. */
    readonly createQueue?: (options: queues.FairQueueOptions) => queues.CallQueue;
}

/** Connects the parts of an agent and controls its start and stop. */
export class AgentProcess implements clocks.Disposable {
    private readonly disposables = new emitters.DisposableStore();
    private readonly node: nodes.Node;
    private readonly admissionLimit: limits.AdmissionLimit;
    private readonly queue: queues.CallQueue;
    private readonly ledger: ledgers.Ledger;
    private readonly attemptMemory: attemptMemories.AttemptMemory;
    private readonly keyOwnership: keyOwnerships.KeyOwnership;
    private readonly placement: agentPlacements.AgentPlacement;
    private readonly incarnation: number;
    private readonly metrics: agentMetrics.AgentMetrics;
    private readonly agentServer: agentServers.AgentServer;
    private readonly upstreamWatch: upstreamWatches.UpstreamWatch;
    private adminListener: listeners.Listener | undefined;
    private readonly stopController = new AbortController();
    private isDraining = false;
    private wasOutOfService = false;
    private wasLeaving = false;

    private constructor(
        private readonly settings: settingsFile.AgentSettings,
        private readonly options: AgentOptions,
    ) {
        const { clock, log, random } = options;
        this.incarnation = incarnations.createIncarnation(clock, random);
        // Every call in progress adds a listener to this signal.
        events.EventEmitter.setMaxListeners(0, this.stopController.signal);
        this.admissionLimit = this.disposables.add(new limits.AdmissionLimit(() => this.findBounds()));
        const createQueue = options.createQueue ?? (queueOptions => new queues.FairQueue(queueOptions));
        this.queue = this.disposables.add(
            createQueue({
                clock,
                limit: this.admissionLimit,
                weight: team => configurations.findWeight(this.configuration, team),
                shedBelowPriority: () => configurations.findPreset(this.configuration)?.shedBelowPriority ?? 0,
            }),
        );
        const lifetimeMs = (): number => this.configuration?.keyLifetimeMs ?? Infinity;
        const capacity = settings.ledgerCapacity;
        this.ledger = this.disposables.add(
            new ledgers.Ledger({ clock, capacity, lifetimeMs, startedWallMs: clock.wall() }),
        );
        this.attemptMemory = this.disposables.add(
            new attemptMemories.AttemptMemory({ clock, capacity: MAX_REMEMBERED_ATTEMPTS }),
        );
        this.node = this.disposables.add(this.createNode());
        const { service, instance: slot } = settings;
        this.keyOwnership = this.disposables.add(
            new keyOwnerships.KeyOwnership({ clock, log, node: this.node, service, slot, lifetimeMs }),
        );
        this.placement = this.disposables.add(
            new agentPlacements.AgentPlacement({
                ...options,
                service,
                slot,
                node: this.node,
                isDraining: () => this.isLeaving,
            }),
        );
        this.upstreamWatch = this.disposables.add(
            new upstreamWatches.UpstreamWatch(clock, options.engine, this.admissionLimit),
        );
        this.agentServer = new agentServers.AgentServer(this.createWorkContext(), answer => {
            this.metrics.recordCall(answer.code);
        });
        this.disposables.add(
            this.admissionLimit.onCold(reason =>
                log.warn({ reason }, "upstream is cold; the concurrency limit drops to the cold one")
            ),
        );
        this.disposables.add(this.node.replica.onVersion(() => this.detectReturnToService()));
        this.disposables.add(this.node.listReader.onList(() => this.announceLeavingChange()));
        this.disposables.add(this.upstreamWatch.onLeavingChange(() => this.announceLeavingChange()));
        this.metrics = this.createMetrics();
        acceptedPeers.addGauges(this.metrics.registry, this.node.accepted);
    }

    /** Starts an agent; rejects if it can't listen on one of its addresses. */
    static async start(settings: settingsFile.AgentSettings, options: AgentOptions): Promise<AgentProcess> {
        const agent = new AgentProcess(settings, options);
        agent.adminListener = agent.disposables.add(
            await adminServers.listenAdmin(settings.adminListen, {
                isReady: () => agent.isReady,
                status: () => agent.status(),
                registry: agent.metrics.registry,
            }, options),
        );
        await agent.node.start();
        agent.placement.start();
        agent.upstreamWatch.start();
        return agent;
    }

    /** IP address and port of the peer listener; available after the start. */
    get peerAddress(): string {
        return this.node.peerAddress;
    }

    /** IP address and port of the admin server; empty before the start. */
    get adminAddress(): string {
        return this.adminListener?.address ?? "";
    }

    /** Version of the configuration in force; 0 if there is none. */
    get version(): number {
        return this.node.replica.version;
    }

    /** Whether the agent accepts calls. */
    get isReady(): boolean {
        return !this.isLeaving && this.node.isReady && this.upstreamWatch.isDrainWaitOver;
    }

    /**
     * Planned stop: notifies every peer, rejects new calls, lets those in progress finish within the stop limit, then
     * disposes of everything. Resolves to the number of calls that were aborted.
     */
    async stop(): Promise<number> {
        const { clock, log } = this.options;
        this.isDraining = true;
        this.node.broadcastHeartbeat();
        const stopDeadlineAtMs = clock.now() + this.settings.stopLimitMs;
        while (this.agentServer.workCount > 0 && clock.now() < stopDeadlineAtMs) {
            await clocks.sleep(clock, DRAIN_POLL_MS);
        }
        const cut = this.agentServer.workCount;
        if (cut > 0) {
            log.warn({ code: codes.codes.stopLimit.code, cut }, "stop limit reached; aborting the calls in progress");
        }
        this.dispose();
        return cut;
    }

    /** Stops at once and aborts all calls, as if the process were killed. */
    dispose(): void {
        this.isDraining = true;
        this.stopController.abort();
        this.disposables.dispose();
    }

    /** The agent's view of itself, its peers and its upstream, for operators. */
    status(): unknown {
        return {
            role: "agent",
            service: this.settings.service,
            ...this.node.status(),
            ready: this.isReady,
            draining: this.isLeaving,
            load: this.describeLoad(),
            ledger: this.ledger.size,
            boot: this.upstreamWatch.boot,
        };
    }

    /** Whether new calls are rejected: due to a planned stop, the platform's instance list or the upstream. */
    private get isLeaving(): boolean {
        return this.isDraining || this.node.listReader.isListedLeaving || this.upstreamWatch.isLeaving;
    }

    /** Notifies every peer when the agent starts or stops rejecting new calls. */
    private announceLeavingChange(): void {
        if (this.isLeaving !== this.wasLeaving) {
            this.wasLeaving = this.isLeaving;
            this.options.log.info({ leaving: this.isLeaving }, "leaving state changed");
            this.node.broadcastHeartbeat();
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
            maxPeerConnections: descriptorLimits.readMaxPeerConnections(),
            load: () => this.describeLoad(),
            slotsVersion: () => this.keyOwnership.slotsVersion,
            findWantedServices: () => [settings.service],
            subsetSize: SAME_SERVICE_PEER_COUNT,
            isBusy: connection => this.agentServer.isBusy(connection),
            onConnected: connection => this.agentServer.addConnection(connection),
            onMessage: (connection, envelope) => this.handleMessage(connection, envelope),
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
            attempts: this.attemptMemory,
            configuration: () => this.configuration,
            findOutOfService: this.options.findOutOfService ?? configurations.findOutOfService,
            isReady: () => this.node.isReady && this.upstreamWatch.isDrainWaitOver,
            isDraining: () => this.isLeaving,
            isRefreshing: () => this.node.isRefreshing,
            unreadDelayMs: () => this.node.recentPauseMs,
            waitForVersion: (version, timeoutMs) => this.node.waitForVersion(version, timeoutMs),
            canServeModel: model => this.placement.isModelLoaded(model),
            checkKeyHome: key => this.keyOwnership.checkKey(key),
            reportBoot: boot => this.upstreamWatch.recordBoot(boot),
            isCold: () => this.admissionLimit.isCold,
            stopSignal: this.stopController.signal,
            load: () => this.describeLoad(),
        };
    }

    private handleMessage(connection: peerConnections.PeerConnection, envelope: messages.Envelope): void {
        if (envelope.message.kind === "heartbeat") {
            this.placement.updateModels(connection.remote, envelope.message.load?.models ?? []);
        }
        this.agentServer.handle(connection, envelope);
    }

    /** Treats an upstream that returns to service as cold: it may have restarted since the last probe. */
    private detectReturnToService(): void {
        const { service, instance } = this.settings;
        const configuration = this.configuration;
        const isOutOfService = configuration !== undefined
            && configurations.findOutOfService(configuration, service, instance) !== undefined;
        if (this.wasOutOfService && !isOutOfService) {
            this.admissionLimit.becomeCold("returned to service");
        }
        this.wasOutOfService = isOutOfService;
    }

    private findBounds(): limits.ConcurrencyBounds {
        const publishedService = this.configuration?.services[this.settings.service];
        const { coldConcurrency, warmConcurrency, coldCalls = DEFAULT_COLD_CALLS } = publishedService
            ?? UNPUBLISHED_BOUNDS;
        return this.options.bounds?.() ?? { coldConcurrency, warmConcurrency, coldCalls };
    }

    private describeLoad(): messages.Load {
        return {
            limit: this.admissionLimit.limit,
            active: this.admissionLimit.active,
            queued: this.queue.queued,
            cold: this.admissionLimit.isCold,
            draining: this.isLeaving,
            expectedMs: this.queue.expectedMs,
            models: [...this.placement.loadedModels],
        };
    }

    private createMetrics(): agentMetrics.AgentMetrics {
        return new agentMetrics.AgentMetrics({
            limit: () => this.admissionLimit.limit,
            active: () => this.admissionLimit.active,
            queued: () => this.queue.queued,
            ledgerEntries: () => this.ledger.size,
            version: () => this.version,
        });
    }
}
