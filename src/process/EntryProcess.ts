/**
 * An entry instance: accepts callers' requests and runs their pipelines on agents.
 */
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as configurations from "../common/Configuration";
import * as deadlines from "../common/Deadline";
import * as emitters from "../common/Emitter";
import * as logs from "../common/Log";
import * as messages from "../common/Messages";
import * as ports from "../common/Ports";
import * as settingsFile from "../common/Settings";
import * as listeners from "../connection/Listener";
import * as pipelineRuns from "../request/PipelineRun";
import * as keyHomes from "../version/KeyHome";
import * as flowEstimates from "./admission/FlowEstimate";
import * as retryBudgets from "./admission/RetryBudget";
import * as agentPools from "./choice/AgentPool";
import * as stageHistories from "./choice/StageHistory";
import * as choices from "./choice/UpstreamChoice";
import * as incarnations from "./membership/Incarnation";
import * as nodes from "./membership/Node";
import * as acceptedPeers from "./metrics/AcceptedPeers";
import * as entryMetrics from "./metrics/EntryMetrics";
import * as adminServers from "./serving/AdminServer";
import * as callerServers from "./serving/CallerServer";
import * as descriptorLimits from "./serving/DescriptorLimit";

const NOT_READY_RETRY_MS = 1_000;
const SHED_RETRY_MS = 1_000;

/** Dependencies and policies that tests and benchmarks may replace. */
export interface EntryOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly random: () => number;
    readonly source: ports.ConfigurationSource;
    readonly instanceList: ports.InstanceList;
    /** Chooses among candidates; undefined for the default policy. */
    readonly choose?: (request: choices.ChoiceRequest) => choices.Choice | undefined;
    /** Whether requests that can't finish in time are rejected before any work is done; true by default. */
    readonly admitsByDeadline?: boolean;
    /** Maximum resumptions of one stream; undefined for the default. */
    readonly maxResumes?: number;
}

/** Connects the parts of an entry and controls its start and stop. */
export class EntryProcess implements clocks.Disposable {
    readonly metrics = new entryMetrics.EntryMetrics();
    private readonly disposables = new emitters.DisposableStore();
    private readonly node: nodes.Node;
    private readonly agentPool: agentPools.AgentPool;
    private readonly history: stageHistories.StageHistory;
    private readonly flowEstimate: flowEstimates.FlowEstimate;
    private readonly upstreamChoice: choices.UpstreamChoice;
    private readonly retryBudget: retryBudgets.RetryBudget;
    private readonly hedgeBudget: retryBudgets.RetryBudget;
    private readonly callerServer: callerServers.CallerServer;
    private adminListener: listeners.Listener | undefined;
    private isDraining = false;

    private constructor(
        private readonly settings: settingsFile.EntrySettings,
        private readonly options: EntryOptions,
    ) {
        const { clock, log, random } = options;
        this.agentPool = this.disposables.add(new agentPools.AgentPool(clock));
        this.history = new stageHistories.StageHistory({ clock });
        this.flowEstimate = new flowEstimates.FlowEstimate({
            clock,
            readLoads: service => this.agentPool.readLoads(this.findCandidates(service)),
            weight: team => configurations.findWeight(this.configuration, team),
        });
        this.upstreamChoice = new choices.UpstreamChoice({ ...settings, clock, random });
        const createRatioReader = (name: "retryRatio" | "hedgeRatio") => () =>
            configurations.findPreset(this.configuration)?.[name] ?? 0;
        this.retryBudget = new retryBudgets.RetryBudget({ clock, ratio: createRatioReader("retryRatio") });
        this.hedgeBudget = new retryBudgets.RetryBudget({ clock, ratio: createRatioReader("hedgeRatio"), reserve: 0 });
        this.node = this.disposables.add(
            new nodes.Node({
                settings,
                clock,
                log,
                random,
                source: options.source,
                instanceList: options.instanceList,
                hello: {
                    kind: "hello",
                    protocol: messages.PROTOCOL_VERSION,
                    role: "entry",
                    instance: settings.instance,
                    failureDomain: settings.failureDomain,
                    incarnation: incarnations.createIncarnation(clock, random),
                },
                maxPeerConnections: descriptorLimits.readMaxPeerConnections(),
                load: () => undefined,
                findWantedServices: () => Object.keys(this.configuration?.services ?? {}),
                onConnected: connection => this.agentPool.add(connection),
                isBusy: connection => this.agentPool.hasUnansweredCalls(connection),
                onMessage: (connection, envelope) => this.agentPool.handle(connection, envelope.message),
            }),
        );
        this.callerServer = this.disposables.add(
            new callerServers.CallerServer({
                clock,
                log,
                metrics: this.metrics,
                pipeline: this.createPipelineContext(),
                findRejection: () => this.findRejection(),
                configuration: () => this.configuration,
                checkAdmission: request => this.checkAdmission(request),
                maxBodyBytes: settings.maxBodyBytes,
                requestTimeoutMs: settings.requestTimeoutMs,
            }),
        );
        this.registerGauges();
    }

    /** Starts an entry; rejects if it can't listen on one of its addresses. */
    static async start(settings: settingsFile.EntrySettings, options: EntryOptions): Promise<EntryProcess> {
        const entry = new EntryProcess(settings, options);
        await entry.node.start();
        entry.adminListener = entry.disposables.add(
            await adminServers.listenAdmin(settings.adminListen, {
                isReady: () => entry.isReady,
                status: () => entry.status(),
                registry: entry.metrics.registry,
            }, options),
        );
        await entry.callerServer.listen(settings.callerListen);
        return entry;
    }

    /** IP address and port of the callers' listener; empty before the start. */
    get callerAddress(): string {
        return this.callerServer.address;
    }

    /** IP address and port of the peer listener; available after the start. */
    get peerAddress(): string {
        return this.node.peerAddress;
    }

    /** IP address and port of the admin server; empty before the start. */
    get adminAddress(): string {
        return this.adminListener?.address ?? "";
    }

    /** Whether the balancer may send requests; false while no agent is connected, as after a pause of the process. */
    get isReady(): boolean {
        return !this.isDraining && this.callerAddress !== "" && this.node.isReady && this.agentPool.all.length > 0;
    }

    /** Version of the configuration in force; 0 if there is none. */
    get version(): number {
        return this.node.replica.version;
    }

    /** The configuration in force; undefined if there is none. */
    get configuration(): configurations.Configuration | undefined {
        return this.node.replica.current?.configuration;
    }

    /** Instance names of the connected agents. */
    get connectedAgents(): readonly string[] {
        return this.agentPool.all.map(client => client.instance);
    }

    /**
     * Planned stop: rejects new requests, lets those in progress finish within the stop limit, then disposes of
     * everything. Resolves to the number of requests that were aborted.
     */
    async stop(): Promise<number> {
        this.isDraining = true;
        const timeoutController = new AbortController();
        const stopTimeout = clocks.sleep(this.options.clock, this.settings.stopLimitMs, timeoutController.signal);
        await Promise.race([this.callerServer.drain(), stopTimeout]);
        timeoutController.abort();
        const cut = this.callerServer.active;
        if (cut > 0) {
            this.options.log.warn(
                { code: codes.codes.stopLimit.code, cut },
                "stop limit reached; aborting the requests in progress",
            );
        }
        this.dispose();
        return cut;
    }

    /** Stops at once and aborts all requests, as if the process were killed. */
    dispose(): void {
        this.isDraining = true;
        this.disposables.dispose();
    }

    /** The entry's view of itself, its peers and its agents, for operators. */
    status(): unknown {
        return {
            role: "entry",
            ...this.node.status(),
            ready: this.isReady,
            draining: this.isDraining,
            active: this.callerServer.active,
            agents: this.agentPool.all.map(client => ({
                instance: client.instance,
                incarnation: client.incarnation,
                waiting: client.pendingCount,
                dropped: client.dropped,
                load: client.load,
            })),
        };
    }

    private findRejection(): codes.Failure | undefined {
        if (this.isDraining) {
            return codes.failure(codes.codes.draining, this.settings.instance, NOT_READY_RETRY_MS);
        }
        return this.node.isReady ? undefined : codes.failure(codes.codes.notReady, "no view yet", NOT_READY_RETRY_MS);
    }

    private checkAdmission(request: callerServers.PreparedRequest): codes.Failure | undefined {
        const { team, priority, isStream, configuration, stages, deadline } = request;
        const shedBelowPriority = configurations.findPreset(configuration)?.shedBelowPriority ?? 0;
        if (priority < shedBelowPriority && stages.some(stage => this.isSaturated(stage.service))) {
            return codes.failure(codes.codes.shed, `priority ${priority} is below ${shedBelowPriority}`, SHED_RETRY_MS);
        }
        if (this.options.admitsByDeadline === false) {
            return undefined;
        }
        const estimatedStages = flowEstimates.describeStages(configuration, stages, isStream);
        const expectedMs = this.flowEstimate.expectCompletionMs(team, estimatedStages);
        const admission = stageHistories.admitByExpectedTime(expectedMs, deadline.remainingMs, this.options.random);
        return admission.isErr ? admission.error : undefined;
    }

    /** Whether the reported calls and those sent since reach the limit of every usable instance of a service. */
    private isSaturated(service: string): boolean {
        const candidates = this.findCandidates(service);
        return candidates.length > 0
            && candidates.every(({ load, pending }) => load !== undefined && load.active + pending >= load.limit);
    }

    private createPipelineContext(): pipelineRuns.PipelineContext {
        const { clock, log } = this.options;
        return {
            log,
            history: this.history,
            flowEstimate: this.flowEstimate,
            retryBudget: this.retryBudget,
            hedgeBudget: this.hedgeBudget,
            choose: this.options.choose ?? (request => this.upstreamChoice.choose(request)),
            recordSuccess: (instance, upstreamMs, totalMs) =>
                this.upstreamChoice.recordSuccess(instance, upstreamMs, totalMs),
            recordFailure: instance => this.upstreamChoice.recordFailure(instance),
            findCandidates: service => this.findCandidates(service),
            findUnavailableCode: service => this.findUnavailableCode(service),
            findClient: instance => this.agentPool.find(instance),
            findHome: (service, key) => this.findHome(service, key),
            recoverAnswer: (instance, incarnation, query, deadline) =>
                this.recoverAnswer(instance, incarnation, query, deadline),
            recordCost: (pipeline, cost) => this.metrics.recordStage(pipeline, cost),
            maxResumes: this.options.maxResumes,
            now: () => clock.now(),
            schedule: (delayMs, callback) => clock.schedule(delayMs, callback),
        };
    }

    private findCandidates(service: string): choices.Candidate[] {
        const configuration = this.configuration;
        if (configuration === undefined) {
            return [];
        }
        const candidates: choices.Candidate[] = [];
        for (const member of this.node.membership.agents(service)) {
            const client = this.agentPool.find(member.instance);
            const isOutOfService =
                configurations.findOutOfService(configuration, service, member.instance) !== undefined;
            if (client === undefined || isOutOfService || client.load?.draining) {
                continue;
            }
            const region = configuration.failureDomains[member.failureDomain]?.region ?? this.settings.region;
            const { load, callsSinceLoad: pending } = client;
            candidates.push({ instance: member.instance, failureDomain: member.failureDomain, region, load, pending });
        }
        return candidates;
    }

    /** Result code for a service without candidates: all its slots are out of service, or none can be reached. */
    private findUnavailableCode(service: string): codes.ResultCode {
        const { configuration } = this;
        const slots = Object.keys(configuration?.services[service]?.slots ?? {});
        const reasons = slots.map(slot => configurations.findOutOfService(configuration!, service, slot));
        if (slots.length === 0 || reasons.includes(undefined)) {
            return codes.codes.noInstance;
        }
        return reasons.includes("failure-domain") ? codes.codes.domainOut : codes.codes.upstreamOut;
    }

    private findHome(service: string, key: string): string | undefined {
        return keyHomes.findHome(key, Object.keys(this.configuration?.services[service]?.slots ?? {}));
    }

    private async recoverAnswer(
        instance: string,
        incarnation: number,
        query: Parameters<agentPools.AgentPool["recoverOutcome"]>[2],
        deadline: deadlines.Deadline,
    ): Promise<messages.Answer | undefined> {
        const timeoutController = new AbortController();
        const timer = this.options.clock.schedule(deadline.remainingMs, () => timeoutController.abort());
        const answer = await this.agentPool.recoverOutcome(instance, incarnation, query, timeoutController.signal);
        timer.dispose();
        return answer;
    }

    private registerGauges(): void {
        const { metrics, node } = this;
        metrics.addGauge("cumincrank_active_requests", "Requests under way", () => this.callerServer.active);
        metrics.addGauge("cumincrank_configuration_version", "Version in force", () => node.replica.version);
        metrics.addGauge(
            "cumincrank_unconfirmed_seconds",
            "Time since the version was confirmed",
            () => (node.replica.unconfirmedMs ?? Infinity) / 1_000,
        );
        acceptedPeers.addGauges(metrics.registry, node.accepted);
        metrics.addGauge("cumincrank_connected_agents", "Connected agents", () => this.agentPool.all.length);
    }
}
