/**
 * The complete system in one process: stand-ins of the platform and of every upstream in a configuration, an agent
 * for each upstream, and entries. They communicate over loopback sockets.
 */
import * as clocks from "../src/common/Clock";
import * as configurations from "../src/common/Configuration";
import * as logs from "../src/common/Log";
import * as ports from "../src/common/Ports";
import * as settingsShapes from "../src/common/Settings";
import * as configurationServices from "../src/process/adapters/ConfigurationService";
import * as engineUpstreams from "../src/process/adapters/EngineUpstream";
import * as instanceLists from "../src/process/adapters/InstanceListService";
import * as weightStores from "../src/process/adapters/WeightStoreService";
import * as agentProcesses from "../src/process/AgentProcess";
import * as entryProcesses from "../src/process/EntryProcess";
import * as callers from "./Caller";
import * as configurationStandIns from "./ConfigurationServiceStandIn";
import * as engineStandIns from "./EngineStandIn";
import * as instanceStandIns from "./InstanceListStandIn";
import * as plainStandIns from "./PlainServiceStandIn";
import * as weightStandIns from "./WeightStoreStandIn";

const ANY_PORT_ADDRESS = "127.0.0.1:0";
const POLL_INTERVAL_MS = 10;

/** The stand-in of an upstream of either kind. */
export type Upstream = engineStandIns.EngineStandIn | plainStandIns.PlainServiceStandIn;

/** Options of a fleet. */
export interface FleetOptions {
    readonly configuration: configurations.Configuration;
    readonly entries: number;
    readonly random: () => number;
    readonly log?: ((instance: string) => logs.Log) | undefined;
    /** Options of the stand-in of an engine. */
    readonly engineOptions?: ((service: string, slot: string) => engineStandIns.EngineOptions) | undefined;
    /** Options of the stand-in of a plain service. */
    readonly plainOptions?: ((service: string, slot: string) => plainStandIns.PlainServiceOptions) | undefined;
    readonly listLagMs?: number | undefined;
    readonly entryOptions?: Partial<entryProcesses.EntryOptions> | undefined;
    readonly agentOptions?: Partial<agentProcesses.AgentOptions> | undefined;
}

/** A running fleet. */
export class LocalFleet implements clocks.Disposable {
    readonly upstreams = new Map<string, Upstream>();
    readonly agents = new Map<string, agentProcesses.AgentProcess>();
    readonly entries = new Map<string, entryProcesses.EntryProcess>();
    private readonly leaving = new Set<string>();
    private latestDocument: configurations.Configuration;

    private constructor(
        private readonly options: FleetOptions,
        readonly configurationService: configurationStandIns.ConfigurationServiceStandIn,
        readonly instanceList: instanceStandIns.InstanceListStandIn,
        readonly weightStore: weightStandIns.WeightStoreStandIn,
    ) {
        this.latestDocument = options.configuration;
    }

    /** Starts everything and resolves when every entry is connected to every agent. */
    static async start(options: FleetOptions): Promise<LocalFleet> {
        const fleet = new LocalFleet(
            options,
            await configurationStandIns.ConfigurationServiceStandIn.listen({ document: options.configuration }),
            await instanceStandIns.InstanceListStandIn.listen(
                options.listLagMs === undefined ? {} : { lagMs: options.listLagMs },
            ),
            await weightStandIns.WeightStoreStandIn.listen(),
        );
        for (const [service, publishedService] of Object.entries(options.configuration.services)) {
            for (const slot of Object.keys(publishedService.slots)) {
                await fleet.startUpstream(service, slot);
                await fleet.startAgent(slot);
            }
        }
        for (let index = 1; index <= options.entries; index++) {
            await fleet.startEntry(`entry-${index}`);
        }
        await fleet.waitUntilConnected();
        return fleet;
    }

    /** The latest published document. */
    get configuration(): configurations.Configuration {
        return this.latestDocument;
    }

    /** Publishes a modified copy of the latest document under the next version; returns that version. */
    publish(change: (draft: configurations.Configuration) => void): number {
        const draft = structuredClone(this.latestDocument);
        change(draft);
        draft.version = this.latestDocument.version + 1;
        this.latestDocument = draft;
        this.configurationService.publish(draft);
        return draft.version;
    }

    async startAgent(slot: string): Promise<agentProcesses.AgentProcess> {
        const settings = settingsShapes.agentSettingsSchema.parse({
            role: "agent",
            ...this.createSharedSettings(slot, this.findFailureDomain(slot)),
            service: this.findService(slot),
            upstream: this.upstreams.get(slot)!.address,
        });
        const agent = await agentProcesses.AgentProcess.start(settings, {
            ...this.createSharedOptions(slot),
            engine: engineUpstreams.createModelEngine(settings.upstream),
            weightStore: weightStores.createWeightStore(this.weightStore.address),
            ...this.options.agentOptions,
        });
        this.agents.set(slot, agent);
        this.leaving.delete(slot);
        this.publishInstanceList();
        return agent;
    }

    /** Disposes of an agent without a planned stop, as if its process had been killed. */
    killAgent(slot: string): void {
        this.agents.get(slot)?.dispose();
        this.agents.delete(slot);
        this.publishInstanceList();
    }

    async startEntry(name: string): Promise<entryProcesses.EntryProcess> {
        const domains = Object.keys(this.latestDocument.failureDomains);
        const settings = settingsShapes.entrySettingsSchema.parse({
            role: "entry",
            ...this.createSharedSettings(name, domains[this.entries.size % domains.length]!),
            callerListen: ANY_PORT_ADDRESS,
        });
        const options = { ...this.createSharedOptions(name), ...this.options.entryOptions };
        const entry = await entryProcesses.EntryProcess.start(settings, options);
        this.entries.set(name, entry);
        this.publishInstanceList();
        return entry;
    }

    /** Disposes of an entry without a planned stop, as if its process had been killed. */
    killEntry(name: string): void {
        this.entries.get(name)?.dispose();
        this.entries.delete(name);
        this.publishInstanceList();
    }

    /** Marks an instance as leaving in the platform's instance list. */
    setLeaving(instance: string): void {
        this.leaving.add(instance);
        this.publishInstanceList();
    }

    /** Sends a call to an entry; if there is no such entry, to an address that refuses connections. */
    call(entry: string, call: Omit<callers.EntryCall, "address">): Promise<callers.EntryReply> {
        return callers.callEntry({ address: this.entries.get(entry)?.callerAddress ?? "127.0.0.1:1", ...call });
    }

    /** Resolves when every entry is ready and connected to every agent. */
    async waitUntilConnected(): Promise<void> {
        await this.waitFor(() =>
            [...this.entries.values()].every(entry => entry.isReady && entry.connectedAgents.length >= this.agents.size)
            && [...this.agents.values()].every(agent => agent.isReady)
        );
    }

    /** Resolves when the condition holds. */
    async waitFor(condition: () => boolean): Promise<void> {
        while (!condition()) {
            await clocks.sleep(clocks.systemClock, POLL_INTERVAL_MS);
        }
    }

    dispose(): void {
        this.entries.forEach(entry => entry.dispose());
        this.agents.forEach(agent => agent.dispose());
        this.upstreams.forEach(upstream => upstream.dispose());
        this.configurationService.dispose();
        this.instanceList.dispose();
        this.weightStore.dispose();
    }

    private async startUpstream(service: string, slot: string): Promise<void> {
        const { engineOptions: createEngineOptions, plainOptions: createPlainOptions, configuration } = this.options;
        const publishedService = configuration.services[service]!;
        const models = Object.keys(configuration.models);
        const upstream = publishedService.kind === "engine"
            ? await engineStandIns.EngineStandIn.listen({ models, ...createEngineOptions?.(service, slot) })
            : await plainStandIns.PlainServiceStandIn.listen(createPlainOptions?.(service, slot));
        this.upstreams.set(slot, upstream);
    }

    private findService(slot: string): string {
        const services = Object.entries(this.latestDocument.services);
        return services.find(([, service]) => Object.hasOwn(service.slots, slot))?.[0] ?? "";
    }

    private findFailureDomain(slot: string): string {
        return this.latestDocument.services[this.findService(slot)]!.slots[slot]!.failureDomain;
    }

    private createSharedSettings(instance: string, failureDomain: string): Record<string, unknown> {
        return {
            instance,
            failureDomain,
            region: this.latestDocument.failureDomains[failureDomain]!.region,
            peerListen: ANY_PORT_ADDRESS,
            adminListen: ANY_PORT_ADDRESS,
            configurationService: this.configurationService.address,
            instanceList: this.instanceList.address,
        };
    }

    private createSharedOptions(instance: string): entryProcesses.EntryOptions {
        return {
            clock: clocks.systemClock,
            log: this.options.log?.(instance) ?? logs.silentLog,
            random: this.options.random,
            source: configurationServices.createConfigurationSource(this.configurationService.address),
            instanceList: instanceLists.createInstanceList(this.instanceList.address),
        };
    }

    private publishInstanceList(): void {
        const rows: ports.ListedInstance[] = [];
        for (const [instance, entry] of this.entries) {
            const failureDomain = Object.keys(this.latestDocument.failureDomains)[0]!;
            rows.push({
                instance,
                role: "entry",
                failureDomain,
                address: entry.peerAddress,
                state: this.stateOf(instance),
            });
        }
        for (const [instance, agent] of this.agents) {
            const service = this.findService(instance);
            const failureDomain = this.findFailureDomain(instance);
            const address = agent.peerAddress;
            rows.push({ instance, role: "agent", service, failureDomain, address, state: this.stateOf(instance) });
        }
        this.instanceList.set(rows);
    }

    private stateOf(instance: string): "live" | "leaving" {
        return this.leaving.has(instance) ? "leaving" : "live";
    }
}
