/**
 * An entry and an agent as processes of their own before one upstream, and beside them two bare node:http
 * proxies in a row before the same upstream.
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
const SETTLE_MS = 500;
const POLL_MS = 50;
const MICROS_PER_SECOND = 1_000_000;

const DOMAIN = "west";
const SERVICE = "echo";
const AGENT = "echo-1";
const TEAM = "team-a";

/** The processes of the product. */
export type Role = "entry" | "agent";

function createConfiguration(): configurations.Configuration {
    const preset = { retryRatio: 0.1, hedgeRatio: 0, shedBelowPriority: 0, teamWeights: {}, modelShare: {} };
    return {
        version: 1,
        preset: "ordinary",
        presets: { ordinary: preset },
        failureDomains: { [DOMAIN]: { region: "region-1", state: "in" } },
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
                slots: { [AGENT]: { failureDomain: DOMAIN, state: "in" } },
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

/** Both chains before one upstream. */
export class Chains implements clocks.Disposable {
    private readonly processes = {} as Record<Role, childProcess.ChildProcess>;
    private readonly admin = {} as Record<Role, string>;
    private readonly started = new programs.Programs();
    private bare: string[] = [];
    private entry = "";

    private constructor(
        private readonly service: configurationServices.ConfigurationServiceStandIn,
        private readonly list: instanceLists.InstanceListStandIn,
    ) {}

    static async start(): Promise<Chains> {
        const chains = new Chains(
            await configurationServices.ConfigurationServiceStandIn.listen({ document: createConfiguration() }),
            await instanceLists.InstanceListStandIn.listen(),
        );
        const upstream = await chains.started.startServer("dist/bare.cjs", ["upstream"]);
        const last = await chains.started.startServer("dist/bare.cjs", ["proxy", upstream]);
        chains.bare = [await chains.started.startServer("dist/bare.cjs", ["proxy", last]), last];
        await chains.startProduct(upstream);
        return chains;
    }

    /** Sends requests through the product or the bare chain. */
    sendCalls(isBare: boolean, requests: number): Promise<loads.LoadOutcome> {
        const path = isBare ? "/call/echo" : "/v1/pipelines/echo";
        const headers = describeTeam();
        return loads.send({ address: this.address(isBare), path, headers, body: createBody(), ...count(requests) });
    }

    /** Sends streams through the product or the bare chain; units are tokens. */
    sendStreams(isBare: boolean, requests: number): Promise<loads.LoadOutcome> {
        const headers = { ...describeTeam(), accept: "text/event-stream" };
        const path = isBare ? "/stream/generate" : "/v1/pipelines/generate";
        const marker = isBare ? "\"offset\":" : "event: token";
        return loads.send({ address: this.address(isBare), path, headers, body: "{}", marker, ...count(requests) });
    }

    /** A call that the upstream never answers, or a stream that ends after its first token. */
    describeHeld(operation: "hold" | "stall"): loads.Request {
        const headers = { ...describeTeam(), accept: operation === "stall" ? "text/event-stream" : "*/*" };
        return { address: this.entry, path: `/v1/pipelines/${operation}`, headers, body: createBody() };
    }

    /** Waits until this many requests are under way at the entry. */
    async waitForActive(count: number): Promise<void> {
        while (await this.readMetric("entry", "cumincrank_active_requests") !== count) {
            await clocks.sleep(clocks.systemClock, POLL_MS);
        }
    }

    /** Processor time of each process so far, in microseconds. */
    async readCpu(): Promise<Record<Role | "bare", number>> {
        const bare = await Promise.all(this.bare.map(address => loads.read(address, "/usage")));
        const entry = await this.readMetric("entry", "process_cpu_seconds_total");
        const agent = await this.readMetric("agent", "process_cpu_seconds_total");
        return {
            entry: entry * MICROS_PER_SECOND,
            agent: agent * MICROS_PER_SECOND,
            bare: bare.reduce((sum, text) => sum + (JSON.parse(text) as { cpuMicros: number }).cpuMicros, 0),
        };
    }

    /** Live bytes of the heap and of buffers, after garbage has been collected. */
    async readLive(role: Role): Promise<number> {
        this.processes[role].kill("SIGUSR2");
        await clocks.sleep(clocks.systemClock, SETTLE_MS);
        const external = await this.readMetric(role, "nodejs_external_memory_bytes");
        return await this.readMetric(role, "nodejs_heap_size_used_bytes") + external;
    }

    async readMetric(role: Role, name: string): Promise<number> {
        const text = await loads.read(this.admin[role], "/metrics");
        return Number(text.split("\n").find(line => line.startsWith(`${name} `))?.split(" ")[1] ?? NaN);
    }

    dispose(): void {
        this.started.dispose();
        this.service.dispose();
        this.list.dispose();
    }

    private address(isBare: boolean): string {
        return isBare ? this.bare[0]! : this.entry;
    }

    private async startProduct(upstream: string): Promise<void> {
        this.entry = await programs.findFreeAddress();
        const peers = {
            agent: await this.startRole("agent", AGENT, { service: SERVICE, upstream }),
            entry: await this.startRole("entry", "entry-1", { callerListen: this.entry }),
        };
        const row = { failureDomain: DOMAIN, state: "live" } as const;
        this.list.set([
            { ...row, instance: AGENT, role: "agent", service: SERVICE, address: peers.agent },
            { ...row, instance: "entry-1", role: "entry", address: peers.entry },
        ]);
        while ((await this.sendCalls(false, 1)).failed > 0) {
            await clocks.sleep(clocks.systemClock, POLL_MS);
        }
    }

    private async startRole(role: Role, instance: string, more: Record<string, unknown>): Promise<string> {
        const peerListen = await programs.findFreeAddress();
        this.admin[role] = await programs.findFreeAddress();
        const settings = {
            role,
            instance,
            failureDomain: DOMAIN,
            region: "region-1",
            peerListen,
            adminListen: this.admin[role],
            configurationService: this.service.address,
            instanceList: this.list.address,
            logLevel: "info",
            ...more,
        };
        const file = this.started.writeFile(`${role}.yaml`, yaml.stringify(settings));
        this.processes[role] = this.started.start("dist/cumincrank.cjs", [role, "--settings", file]);
        return peerListen;
    }
}

function describeTeam(): Record<string, string> {
    return { "cumincrank-team": TEAM };
}

function createBody(): string {
    return JSON.stringify({ text: "x".repeat(BODY_BYTES - "{\"text\":\"\"}".length) });
}

function count(requests: number): { requests: number; callers: number } {
    return { requests, callers: Math.min(CALLERS, requests) };
}
