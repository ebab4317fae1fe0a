/**
 * An entry that serves routed calls: the parts of one process, its start, its reload and its planned stop.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as routingPorts from "../../common/RoutingPorts";
import * as settingsShapes from "../../common/Settings";
import * as upstreamConnections from "../../connection/UpstreamConnections";
import * as adminServers from "../serving/AdminServer";
import * as entryPeers from "./EntryPeers";
import * as pools from "./InstancePool";
import * as exchanges from "./PublishedExchange";
import * as readers from "./PublishedReader";
import * as views from "./PublishedView";
import * as budgets from "./RepeatBudget";
import * as releases from "./ResultRelease";
import * as metrics from "./RouteMetrics";
import * as servers from "./RouteServer";
import * as stageClients from "./StageClient";
import * as stageHosts from "./StageHost";

const MS_PER_SECOND = 1_000;
/** How long a stopping process still takes requests, since callers and the balancer learn of the stop late. */
const TAKING_MS = 2_200;
/** A process that no other entry can replace takes requests up to this long before the limit of its stop. */
const FINISHING_MS = 3_000;
/** The process ends so long before the limit of a planned stop. */
const STOP_MARGIN_MS = 500;
const STOP_POLL_MS = 50;
/** Time for the last answers to go out. */
const ANSWERING_MS = 100;

/** The outside of the process. */
export interface RouteEntryOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly random: () => number;
    readonly store: routingPorts.PublishedStore;
    readonly callWire: routingPorts.RoutedCallWire;
    readonly stageWire: routingPorts.StageWire;
    /** Log lines dropped since the start. */
    readonly droppedLines: () => number;
}

/** One running process. */
export class RouteEntry implements clocks.Disposable {
    private readonly owned = new emitters.DisposableStore();
    private readonly view: views.PublishedView;
    private readonly reader: readers.PublishedReader;
    private readonly peers: entryPeers.EntryPeers;
    private readonly pool: pools.InstancePool;
    private readonly host: stageHosts.StageHost;
    private readonly stages: stageClients.StageClient;
    private readonly exchange: exchanges.PublishedExchange;
    private readonly server: servers.RouteServer;
    private readonly metrics = new metrics.RouteMetrics();
    private readonly budgetsByService = new Map<string, budgets.RepeatBudget>();
    private isClosing = false;
    /** When a stop ends at the latest; undefined while the process isn't stopping. */
    private endsAtMs: number | undefined;
    private admin: clocks.Disposable & { readonly address: string } | undefined;

    private constructor(
        private settings: settingsShapes.RouteEntrySettings,
        private readonly options: RouteEntryOptions,
    ) {
        const { clock, log, random, store } = options;
        const shared = { clock, log, random };
        const connections = new upstreamConnections.UpstreamConnections();
        this.owned.add({ dispose: () => connections.destroy() });
        this.view = this.owned.add(new views.PublishedView({ clock, log, decode: item => store.decode(item) }));
        this.reader = this.owned.add(
            new readers.PublishedReader({
                ...shared,
                store,
                view: this.view,
                entries: () => this.peers.present.length + 1,
            }),
        );
        this.peers = this.owned.add(
            new entryPeers.EntryPeers({
                ...shared,
                instance: settings.instance,
                failureDomain: settings.failureDomain,
                listen: settings.peerListen,
                address: settings.peerAddress ?? settings.peerListen,
                seeds: () => this.settings.seeds,
                incarnation: clock.wall(),
                cores: settings.cores,
                revision: () => this.view.revision,
                isDraining: () => this.isDraining,
                hostingMs: () => this.stages.hostingMs,
            }),
        );
        this.pool = this.owned.add(
            new pools.InstancePool({
                ...shared,
                view: this.view,
                failureDomain: settings.failureDomain,
                self: settings.instance,
                entries: () => this.peers.names,
                coldBound: () => this.settings.coldRate,
            }),
        );
        const release = this.owned.add(
            new releases.ResultRelease({ clock, log, wire: options.stageWire, connections }),
        );
        this.host = this.owned.add(
            new stageHosts.StageHost({
                ...shared,
                wire: options.stageWire,
                connections,
                pool: this.pool,
                view: this.view,
                release,
            }),
        );
        this.stages = this.owned.add(
            new stageClients.StageClient({
                ...shared,
                instance: settings.instance,
                isDraining: () => this.isDraining,
                peers: this.peers,
                host: this.host,
            }),
        );
        this.exchange = this.owned.add(
            new exchanges.PublishedExchange({ ...shared, view: this.view, peers: this.peers }),
        );
        this.server = this.owned.add(
            new servers.RouteServer({
                ...shared,
                metrics: this.metrics,
                table: () => this.view.table,
                isClosing: () => this.isClosing,
                endsAtMs: () => this.endsAtMs,
                run: {
                    ...shared,
                    wire: options.callWire,
                    connections,
                    pool: this.pool,
                    budgetOf: service => this.budgetOf(service),
                    revision: () => this.view.revision,
                    runStages: (order, signal) => this.stages.run(order, signal),
                    releaseResults: handles => this.stages.release(handles),
                    resultDomain: handle => this.domainOfMaker(options.stageWire.makerOf(handle)),
                },
            }),
        );
        this.owned.add(this.view.onChange(() => this.applyLimits()));
        this.addGauges();
    }

    /** Starts a process; rejects when an address can't be used. */
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

    /** Where other entries connect. */
    get peerAddress(): string {
        return this.settings.peerAddress ?? this.settings.peerListen;
    }

    /** Health, metrics and status by HTTP. */
    get adminAddress(): string {
        return this.admin?.address ?? "";
    }

    /** Where callers connect. */
    get callerAddress(): string {
        return this.server.address;
    }

    /** Whether the balancer may send callers here. */
    get isReady(): boolean {
        return this.view.table !== undefined && !this.isDraining;
    }

    /** Takes over what may change while the process runs; addresses and names stay until the next start. */
    reload(settings: settingsShapes.RouteEntrySettings): void {
        const { seeds, repeats, coldRate, stopLimitSeconds, logLevel } = settings;
        this.settings = { ...this.settings, seeds, repeats, coldRate, stopLimitSeconds, logLevel };
        this.options.log.level = logLevel;
    }

    /** Stops as planned; resolves to the number of requests that the limit cut. */
    async stop(): Promise<number> {
        const { clock } = this.options;
        const startedMs = clock.now();
        const endMs = startedMs + this.settings.stopLimitSeconds * MS_PER_SECOND - STOP_MARGIN_MS;
        this.endsAtMs = endMs;
        this.peers.sayPresence();
        this.stages.handOver();
        this.server.beginDrain();
        await clocks.sleep(clock, Math.min(TAKING_MS, endMs - startedMs));
        while (!this.hasSuccessor() && clock.now() < endMs - FINISHING_MS) {
            await clocks.sleep(clock, STOP_POLL_MS);
        }
        this.isClosing = true;
        this.server.closeIdle();
        while ((this.server.active > 0 || this.host.size > 0) && clock.now() < endMs) {
            await clocks.sleep(clock, STOP_POLL_MS);
        }
        const cut = this.server.active;
        this.server.answerAll();
        await clocks.sleep(clock, cut > 0 ? ANSWERING_MS : 0);
        this.dispose();
        return cut;
    }

    dispose(): void {
        this.owned.dispose();
        this.admin?.dispose();
    }

    private get isDraining(): boolean {
        return this.endsAtMs !== undefined;
    }

    private async listen(): Promise<void> {
        const { settings } = this;
        const source: adminServers.AdminSource = {
            isReady: () => this.isReady,
            status: () => this.describe(),
            registry: this.metrics.registry,
        };
        this.reader.start();
        await this.peers.start();
        this.owned.add(await adminServers.listenAdmin(settings.readyListen, source, settings.readyPath));
        this.admin = await adminServers.listenAdmin(settings.adminListen, source);
        await this.server.listen(settings.callerListen);
    }

    /** Whether another entry takes requests. */
    private hasSuccessor(): boolean {
        return this.peers.present.some(peer => !peer.isDraining);
    }

    private applyLimits(): void {
        const limits = this.view.table?.configuration.limits;
        if (limits !== undefined) {
            this.server.applyLimits(limits);
        }
    }

    private budgetOf(service: string): budgets.RepeatBudget {
        let budget = this.budgetsByService.get(service);
        if (budget === undefined) {
            const bound = (): budgets.RepeatBound => {
                const { ratio, slack, windowSeconds } = this.settings.repeats;
                return { ratio, slack, windowMs: windowSeconds * MS_PER_SECOND };
            };
            budget = new budgets.RepeatBudget(this.options.clock, bound, () => this.peers.names.length);
            this.budgetsByService.set(service, budget);
        }
        return budget;
    }

    private domainOfMaker(address: string): string | undefined {
        return this.view.findByAddress(address)?.failureDomain;
    }

    private addGauges(): void {
        const { metrics: own } = this;
        own.gauge("cumincrank_revision", "Revision of the published store", () => this.view.revision);
        own.gauge("cumincrank_store_calls", "Calls on the published store", () => this.reader.calls);
        own.gauge("cumincrank_stage_calls", "Calls on stages' instances", () => this.host.calls);
        own.gauge("cumincrank_peer_updates", "Updates taken from other entries", () => this.exchange.updates);
        own.gauge("cumincrank_active_calls", "Routed calls under way", () => this.server.active);
        own.gauge("cumincrank_dropped_log_lines", "Log lines dropped", () => this.options.droppedLines());
    }

    private describe(): unknown {
        return {
            instance: this.settings.instance,
            address: this.peerAddress,
            ready: this.isReady,
            draining: this.isDraining,
            version: this.view.table?.configuration.version,
            revision: this.view.revision,
            unconfirmedMs: this.reader.unconfirmedMs,
            out: this.view.failureDomainsOut,
            stageHost: this.stages.hostName,
            stageOrders: this.host.size,
            active: this.server.active,
            entries: this.peers.all.map(peer => ({
                instance: peer.instance,
                address: peer.address,
                connected: peer.connection !== undefined,
                revision: peer.revision,
            })),
        };
    }
}
