/**
 * An entry that serves routed calls: connects the components of the process, starts, reloads and stops it.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as routingPorts from "../../common/RoutingPorts";
import * as settingsShapes from "../../common/Settings";
import * as readTurns from "../../connection/ReadTurns";
import * as upstreamConnections from "../../connection/UpstreamConnections";
import * as guards from "../crashes/CrashGuard";
import * as pools from "../instances/InstancePool";
import * as budgets from "../instances/RetryBudgets";
import * as pauseMonitors from "../membership/PauseMonitor";
import * as loopWatches from "../metrics/LoopWatch";
import * as processCounters from "../metrics/ProcessCounters";
import * as metrics from "../metrics/RouteMetrics";
import * as entryPeers from "../peers/EntryPeers";
import * as replications from "../peers/PublishedReplication";
import * as pacedStores from "../published/PacedStore";
import * as views from "../published/PublishedView";
import * as adminServers from "../serving/AdminServer";
import * as descriptorLimits from "../serving/DescriptorLimit";
import * as fleetSizes from "../shares/FleetSize";
import * as hostRoles from "../stages/HostRoles";
import * as stageClients from "../stages/StageClient";
import * as stageHosts from "../stages/StageHost";
import * as streamExchanges from "../streams/StreamOriginExchange";
import * as turns from "../streams/StreamTurns";
import * as entryFleets from "./EntryFleet";
import * as entryStatuses from "./EntryStatus";
import * as instanceParts from "./InstanceParts";
import * as gauges from "./RouteGauges";
import * as servers from "./RouteServer";
import * as stageParts from "./StageParts";
import * as stopAdmissions from "./StopAdmission";

const MS_PER_SECOND = 1_000;
/** A turn of the event loop that was late by more than this may have left requests and messages unread for as long. */
const PAUSE_THRESHOLD_MS = 200;
/** How long a stopping process still accepts requests, since callers and the balancer learn of the stop late. */
const DRAIN_ACCEPT_MS = 2_200;
/** A process without a successor accepts requests until this long before its stop deadline. */
const COMPLETION_RESERVE_MS = 3_000;
/** The stop deadline is this long before the time limit of a planned stop. */
const STOP_MARGIN_MS = 500;
const STOP_POLL_INTERVAL_MS = 50;
/** Time for the last answers to be sent. */
const ANSWER_FLUSH_MS = 100;

/** External dependencies of the process. */
export interface RouteEntryOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly random: () => number;
    readonly store: routingPorts.PublishedStore;
    readonly callWire: routingPorts.RoutedCallWire;
    readonly stageWire: routingPorts.StageWire;
    readonly counters: processCounters.ProcessCounters;
    /** Whether there are seeds that aren't known, so that other entries may exist. */
    readonly lacksSeeds: () => boolean;
}

/** One running entry process. */
export class RouteEntry implements clocks.Disposable {
    private readonly disposables = new emitters.DisposableStore();
    private readonly view: views.PublishedView;
    private readonly replication: replications.PublishedReplication;
    private readonly peers: entryPeers.EntryPeers;
    private readonly fleet: fleetSizes.FleetSize;
    private readonly pool: pools.InstancePool;
    private readonly host: stageHosts.StageHost;
    private readonly roles: hostRoles.HostRoles;
    private readonly stages: stageClients.StageClient;
    private readonly server: servers.RouteServer;
    private readonly metrics = new metrics.RouteMetrics();
    private isClosing = false;
    /** Undefined while the process isn't stopping. */
    private plannedStop: stopAdmissions.PlannedStop | undefined;
    private admin: clocks.Disposable & { readonly address: string } | undefined;

    private constructor(
        private settings: settingsShapes.RouteEntrySettings,
        private readonly options: RouteEntryOptions,
    ) {
        const { clock, log, random, store } = options;
        const shared = { clock, log, random, failureDomain: settings.failureDomain };
        const pauses = this.disposables.add(new pauseMonitors.PauseMonitor({ clock, thresholdMs: PAUSE_THRESHOLD_MS }));
        const loop = this.disposables.add(
            new loopWatches.LoopWatch({ clock, log, onPause: pauses.onPause, turns: readTurns.processTurns }),
        );
        const connections = new upstreamConnections.UpstreamConnections();
        this.disposables.add({ dispose: () => connections.destroy() });
        this.view = this.disposables.add(new views.PublishedView({ clock, log, decode: item => store.decode(item) }));
        this.peers = this.disposables.add(
            new entryPeers.EntryPeers({
                ...shared,
                pauses,
                instance: settings.instance,
                listen: settings.peerListen,
                maxConnections: descriptorLimits.readMaxPeerConnections(settings.maxDescriptors),
                address: settings.peerAddress ?? settings.peerListen,
                seeds: () => this.settings.seeds,
                incarnation: clock.wall(),
                cores: settings.cores,
                position: () => this.view.position,
                isDraining: () => !this.isServing,
                hosting: () => this.roles.hosting,
                isPresenceUrgent: () => this.roles.isPresenceUrgent,
                knowsAll: () => this.fleet.settledAtMs !== undefined,
            }),
        );
        this.fleet = entryFleets.createFleet({ ...options, settings: () => this.settings, peers: this.peers });
        const { fleet } = this;
        const storePace = pacedStores.createPace(clock, fleet, () => this.settings.storeReadsPerSecond);
        const { leaving, pool, signs } = this.disposables.add(
            new instanceParts.InstanceParts({
                ...shared,
                wire: options.callWire,
                connections,
                view: this.view,
                peers: this.peers,
                fleet,
                coldRateLimit: () => this.settings.coldRate,
            }),
        );
        this.pool = pool;
        const parts = this.disposables.add(
            new stageParts.StageParts({
                ...shared,
                instance: settings.instance,
                wire: options.stageWire,
                connections,
                pool,
                view: this.view,
                peers: this.peers,
                leaving,
                signs,
                isDraining: () => !this.isServing,
            }),
        );
        this.host = parts.host;
        this.roles = parts.roles;
        this.stages = parts.stages;
        this.replication = this.disposables.add(
            new replications.PublishedReplication({
                ...shared,
                store,
                pace: storePace,
                view: this.view,
                instance: settings.instance,
                peers: this.peers,
            }),
        );
        const streamOrigins = this.disposables.add(
            new streamExchanges.StreamOriginExchange({
                ...shared,
                view: this.view,
                peers: this.peers,
                unconfirmedMs: () => this.replication.reader.unconfirmedMs,
                completePast: () => this.replication.history.complete(),
            }),
        );
        const { monitor: crashes } = this.disposables.add(new guards.CrashGuard({ ...shared, peers: this.peers }));
        const streamTurns = this.disposables.add(new turns.StreamTurns(clock));
        const retryBudgets = new budgets.RetryBudgets(clock, () => this.settings.repeats, fleet);
        this.server = this.disposables.add(
            new servers.RouteServer({
                ...shared,
                pauses,
                resources: settings,
                metrics: this.metrics,
                table: () => this.view.table,
                catchUp: (maxMs, signal) => this.replication.lag.catchUp(maxMs, signal),
                isClosing: () => this.isClosing,
                plannedStop: () => this.plannedStop,
                run: {
                    ...shared,
                    wire: options.callWire,
                    connections,
                    pool: this.pool,
                    streamOrigins,
                    streamTurns,
                    crashes,
                    onAnswer: (instance, answer, atMs) => signs.observe(instance, answer, "call", atMs),
                    budgetOf: service => retryBudgets.obtain(service),
                    position: () => this.view.position,
                    runStages: (order, signal) => this.stages.run(order, signal),
                    releaseResults: handles => this.stages.release(handles),
                    findResultDomain: handle => this.domainOfAddress(options.stageWire.workerOf(handle)),
                },
            }),
        );
        this.disposables.add(this.view.onChange(() => this.applyLimits()));
        gauges.registerGauges(this.metrics, {
            view: this.view,
            replication: this.replication,
            host: this.host,
            pool: this.pool,
            crashes,
            fleet,
            retryBudgets,
            streamTurns,
            storePace,
            server: this.server,
            loop,
            acceptedPeers: this.peers.accepted,
            counters: options.counters,
        });
    }

    /** Starts an entry; rejects when an address can't be used. */
    static async start(
        settings: settingsShapes.RouteEntrySettings,
        options: RouteEntryOptions,
    ): Promise<RouteEntry> {
        const entry = new RouteEntry(settings, options);
        try {
            await entry.listen();
            return entry;
        }
        catch (error) {
            entry.dispose();
            throw error;
        }
    }

    /** Address at which other entries connect. */
    get peerAddress(): string {
        return this.settings.peerAddress ?? this.settings.peerListen;
    }

    /** Address of the HTTP server for health, metrics and status. */
    get adminAddress(): string {
        return this.admin?.address ?? "";
    }

    /** Address at which callers connect. */
    get callerAddress(): string {
        return this.server.address;
    }

    /** Whether the balancer may route callers here. */
    get isReady(): boolean {
        return this.view.table !== undefined && this.isServing;
    }

    /** Applies the settings that may change while the process runs; addresses and names stay until the next start. */
    reload(settings: settingsShapes.RouteEntrySettings): void {
        const { seeds, failureDomains, repeats, coldRate, stopLimitSeconds, logLevel } = settings;
        this.settings = { ...this.settings, seeds, failureDomains, repeats, coldRate, stopLimitSeconds, logLevel };
        this.options.log.level = logLevel;
    }

    /** Performs a planned stop; resolves to the number of requests still active at the deadline. */
    async stop(): Promise<number> {
        const { clock } = this.options;
        const startedMs = clock.now();
        const stopDeadlineMs = startedMs + this.settings.stopLimitSeconds * MS_PER_SECOND - STOP_MARGIN_MS;
        this.plannedStop = { startedMs, deadlineMs: stopDeadlineMs };
        this.peers.broadcastPresence();
        this.roles.resign();
        this.server.beginDrain();
        await clocks.sleep(clock, Math.min(DRAIN_ACCEPT_MS, stopDeadlineMs - startedMs));
        while (!this.hasSuccessor() && clock.now() < stopDeadlineMs - COMPLETION_RESERVE_MS) {
            await clocks.sleep(clock, STOP_POLL_INTERVAL_MS);
        }
        this.isClosing = true;
        this.server.stopAccepting();
        while ((this.server.active > 0 || this.host.size > 0) && clock.now() < stopDeadlineMs) {
            await clocks.sleep(clock, STOP_POLL_INTERVAL_MS);
        }
        const abortedCount = this.server.active;
        this.server.failUnansweredRequests();
        await clocks.sleep(clock, abortedCount > 0 ? ANSWER_FLUSH_MS : 0);
        this.dispose();
        return abortedCount;
    }

    dispose(): void {
        this.disposables.dispose();
        this.admin?.dispose();
    }

    /** Whether the process accepts callers and isn't stopping. */
    private get isServing(): boolean {
        return this.callerAddress !== "" && !this.isDraining;
    }

    private get isDraining(): boolean {
        return this.plannedStop !== undefined;
    }

    private async listen(): Promise<void> {
        const { options, settings } = this;
        const source: adminServers.AdminSource = {
            isReady: () => this.isReady,
            status: () =>
                entryStatuses.buildStatus({
                    view: this.view,
                    replication: this.replication,
                    pool: this.pool,
                    roles: this.roles,
                    host: this.host,
                    server: this.server,
                    peers: this.peers,
                    isReady: this.isReady,
                    isDraining: this.isDraining,
                    instance: settings.instance,
                    address: this.peerAddress,
                }),
            registry: this.metrics.registry,
        };
        this.replication.start();
        await this.peers.start();
        this.disposables.add(await adminServers.listenAdmin(settings.readyListen, source, options, settings.readyPath));
        this.admin = await adminServers.listenAdmin(settings.adminListen, source, options);
        await this.server.listen(settings.callerListen);
        this.peers.broadcastPresence();
        this.fleet.recordListening();
    }

    /** Whether another live entry accepts requests. */
    private hasSuccessor(): boolean {
        return this.peers.livePeers.some(peer => !peer.isDraining);
    }

    private applyLimits(): void {
        const limits = this.view.table?.configuration.limits;
        if (limits !== undefined) {
            this.server.applyCallerLimits(limits);
        }
    }

    private domainOfAddress(address: string): string | undefined {
        return this.view.findByAddress(address)?.failureDomain;
    }
}
