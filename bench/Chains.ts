/**
 * Two chains in front of the same upstream: an entry and an agent as separate processes, and two bare node:http
 * proxies in series.
 */
import * as childProcess from "node:child_process";
import * as yaml from "yaml";
import * as clocks from "../src/common/Clock";
import * as configurations from "../src/common/Configuration";
import * as configurationServices from "../standins/ConfigurationServiceStandIn";
import * as instanceLists from "../standins/InstanceListStandIn";
import * as loads from "./HttpLoad";
import * as programs from "./Programs";

const CALLERS = 32;
const BODY_BYTES = 512;
const MAX_CONCURRENCY = 2_000;
const DEADLINE_MS = 60_000;
const GC_WAIT_MS = 500;
const POLL_INTERVAL_MS = 50;
const MICROS_PER_SECOND = 1_000_000;

const FAILURE_DOMAIN = "west";
const SERVICE = "echo";
const AGENT_INSTANCE = "echo-1";
const TEAM = "team-a";

/** Roles of the cumincrank processes. */
export type Role = "entry" | "agent";

function createConfiguration(): configurations.Configuration {
    const preset = { retryRatio: 0.1, hedgeRatio: 0, shedBelowPriority: 0, teamWeights: {}, modelShare: {} };
    return {
        version: 1,
        preset: "ordinary",
        presets: { ordinary: preset },
        failureDomains: { [FAILURE_DOMAIN]: { region: "region-1", state: "in" } },
        teams: { [TEAM]: { weight: 1 } },
        services: {
            [SERVICE]: {
                kind: "engine",
                checksFencing: true,
                operations: {
                    echo: { idempotent: true, streams: false },
                    hold: { idempotent: true, streams: false },
                    generate: { idempotent: true, streams: true },
                    stall: { idempotent: true, streams: true },
                },
                warmConcurrency: MAX_CONCURRENCY,
                coldConcurrency: MAX_CONCURRENCY,
                slots: { [AGENT_INSTANCE]: { failureDomain: FAILURE_DOMAIN, state: "in" } },
            },
        },
        pipelines: {
            echo: createPipeline("echo"),
            hold: createPipeline("hold"),
            generate: createPipeline("generate"),
            stall: createPipeline("stall"),
        },
        models: {},
        keyLifetimeMs: 600_000,
    };
}

function createPipeline(operation: string): configurations.Pipeline {
    return { deadlineMs: DEADLINE_MS, stages: [{ name: operation, service: SERVICE, operation }] };
}

/** Runs both chains and their upstream. */
export class Chains implements clocks.Disposable {
    private readonly processes = {} as Record<Role, childProcess.ChildProcess>;
    private readonly adminAddresses = {} as Record<Role, string>;
    private readonly startedPrograms = new programs.Programs();
    private bareProxyAddresses: string[] = [];
    private entryAddress = "";

    private constructor(
        private readonly configurationService: configurationServices.ConfigurationServiceStandIn,
        private readonly instanceList: instanceLists.InstanceListStandIn,
    ) {}

    static async start(): Promise<Chains> {
        const chains = new Chains(
            await configurationServices.ConfigurationServiceStandIn.listen({ document: createConfiguration() }),
            await instanceLists.InstanceListStandIn.listen(),
        );
        const upstream = await chains.startedPrograms.startServer("dist/bare.cjs", ["upstream"]);
        const lastProxy = await chains.startedPrograms.startServer("dist/bare.cjs", ["proxy", upstream]);
        chains.bareProxyAddresses = [
            await chains.startedPrograms.startServer("dist/bare.cjs", ["proxy", lastProxy]),
            lastProxy,
        ];
        await chains.startCumincrank(upstream);
        return chains;
    }

    /** Sends calls through the cumincrank chain or the bare proxies. */
    sendCalls(isBare: boolean, requests: number): Promise<loads.LoadOutcome> {
        const path = isBare ? "/call/echo" : "/v1/pipelines/echo";
        const headers = createTeamHeader();
        return loads.send({
            address: this.address(isBare),
            path,
            headers,
            body: createBody(),
            ...distributeRequests(requests),
        });
    }

    /** Sends streams through the cumincrank chain or the bare proxies; units are tokens. */
    sendStreams(isBare: boolean, requests: number): Promise<loads.LoadOutcome> {
        const headers = { ...createTeamHeader(), accept: "text/event-stream" };
        const path = isBare ? "/stream/generate" : "/v1/pipelines/generate";
        const unitMarker = isBare ? "\"offset\":" : "event: token";
        return loads.send({
            address: this.address(isBare),
            path,
            headers,
            body: "{}",
            unitMarker,
            ...distributeRequests(requests),
        });
    }

    /** Creates a call that the upstream never answers, or a stream that stalls after its first token. */
    createOpenRequest(operation: "hold" | "stall"): loads.Request {
        const headers = { ...createTeamHeader(), accept: operation === "stall" ? "text/event-stream" : "*/*" };
        return { address: this.entryAddress, path: `/v1/pipelines/${operation}`, headers, body: createBody() };
    }

    /** Waits until exactly `count` requests are in flight at the entry. */
    async waitForActive(count: number): Promise<void> {
        while (await this.readMetric("entry", "cumincrank_active_requests") !== count) {
            await clocks.sleep(clocks.systemClock, POLL_INTERVAL_MS);
        }
    }

    /** CPU time used so far, in microseconds; `bare` is the sum over both bare proxies. */
    async readCpuMicros(): Promise<Record<Role | "bare", number>> {
        const bare = await Promise.all(this.bareProxyAddresses.map(address => loads.fetchText(address, "/usage")));
        const entry = await this.readMetric("entry", "process_cpu_seconds_total");
        const agent = await this.readMetric("agent", "process_cpu_seconds_total");
        return {
            entry: entry * MICROS_PER_SECOND,
            agent: agent * MICROS_PER_SECOND,
            bare: bare.reduce((sum, text) => sum + (JSON.parse(text) as { cpuMicros: number }).cpuMicros, 0),
        };
    }

    /** Live bytes of the heap and of buffers, after a garbage collection. */
    async readLiveBytes(role: Role): Promise<number> {
        this.processes[role].kill("SIGUSR2");
        await clocks.sleep(clocks.systemClock, GC_WAIT_MS);
        const external = await this.readMetric(role, "nodejs_external_memory_bytes");
        return await this.readMetric(role, "nodejs_heap_size_used_bytes") + external;
    }

    async readMetric(role: Role, name: string): Promise<number> {
        const text = await loads.fetchText(this.adminAddresses[role], "/metrics");
        return Number(text.split("\n").find(line => line.startsWith(`${name} `))?.split(" ")[1] ?? NaN);
    }

    dispose(): void {
        this.startedPrograms.dispose();
        this.configurationService.dispose();
        this.instanceList.dispose();
    }

    private address(isBare: boolean): string {
        return isBare ? this.bareProxyAddresses[0]! : this.entryAddress;
    }

    private async startCumincrank(upstream: string): Promise<void> {
        this.entryAddress = await programs.findFreeAddress();
        const peers = {
            agent: await this.startRole("agent", AGENT_INSTANCE, { service: SERVICE, upstream }),
            entry: await this.startRole("entry", "entry-1", { callerListen: this.entryAddress }),
        };
        const row = { failureDomain: FAILURE_DOMAIN, state: "live" } as const;
        this.instanceList.set([
            { ...row, instance: AGENT_INSTANCE, role: "agent", service: SERVICE, address: peers.agent },
            { ...row, instance: "entry-1", role: "entry", address: peers.entry },
        ]);
        while ((await this.sendCalls(false, 1)).failed > 0) {
            await clocks.sleep(clocks.systemClock, POLL_INTERVAL_MS);
        }
    }

    private async startRole(role: Role, instance: string, roleSettings: Record<string, unknown>): Promise<string> {
        const peerListen = await programs.findFreeAddress();
        this.adminAddresses[role] = await programs.findFreeAddress();
        const settings = {
            role,
            instance,
            failureDomain: FAILURE_DOMAIN,
            region: "region-1",
            peerListen,
            adminListen: this.adminAddresses[role],
            configurationService: this.configurationService.address,
            instanceList: this.instanceList.address,
            logLevel: "info",
            ...roleSettings,
        };
        const file = this.startedPrograms.writeFile(`${role}.yaml`, yaml.stringify(settings));
        this.processes[role] = this.startedPrograms.start("dist/cumincrank.cjs", [role, "--settings", file]);
        return peerListen;
    }
}

function createTeamHeader(): Record<string, string> {
    return { "cumincrank-team": TEAM };
}

function createBody(): string {
    return JSON.stringify({ text: "x".repeat(BODY_BYTES - "{\"text\":\"\"}".length) });
}

function distributeRequests(requests: number): { requests: number; callers: number } {
    return { requests, callers: Math.min(CALLERS, requests) };
}
