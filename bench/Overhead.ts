/**
 * Experiment `overhead`: an entry and an agent as processes of their own before an upstream that echoes, and
 * beside them two bare node:http proxies in a row. Compares requests and tokens a second in turns, and
 * measures processor time by role and the growth of the live heap.
 */
import type * as childProcess from "node:child_process";
import * as yaml from "yaml";
import * as clocks from "../src/common/Clock";
import type * as configurations from "../src/common/Configuration";
import * as configurationServices from "../standins/ConfigurationServiceStandIn";
import * as instanceLists from "../standins/InstanceListStandIn";
import type * as experiments from "./Experiment";
import * as loads from "./HttpLoad";
import * as programs from "./Programs";

const CALLERS = 32;
const BODY_BYTES = 512;
const WARM_UP_REQUESTS = 5_000;
const ROUNDS = 5;
const REQUESTS_PER_ROUND = 10_000;
const STREAM_ROUNDS = 5;
const STREAMS_PER_ROUND = 64;
const TOKENS_PER_STREAM = 1_000;
const SETTLE_MS = 500;
const READY_POLL_MS = 50;
/**
 * Most growth of the live heap over all requests. What an entry and an agent remember here (histograms of one
 * stage, one instance's record, metric series of one team) has its size after the warm-up.
 */
const MAX_HEAP_GROWTH_BYTES = 2 * 1024 * 1024;
const MIN_SHARE_OF_BARE = 0.5;
const MS_PER_SECOND = 1_000;
const MICROS_PER_SECOND = 1_000_000;

const DOMAIN = "west";
const SERVICE = "echo";
const AGENT = "echo-1";
const TEAM = "team-a";

type Role = "entry" | "agent";

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
                    generate: { idempotent: true, streams: true },
                },
                warmConcurrency: 2 * CALLERS,
                coldConcurrency: 2 * CALLERS,
                slots: { [AGENT]: { failureDomain: DOMAIN, state: "in" } },
            },
        },
        pipelines: {
            answer: { deadlineMs: 30_000, stages: [{ name: "echo", service: SERVICE, operation: "echo" }] },
            stream: { deadlineMs: 30_000, stages: [{ name: "generate", service: SERVICE, operation: "generate" }] },
        },
        models: {},
        keyLifetimeMs: 600_000,
    };
}

/** Both chains before one upstream. */
class Chains implements clocks.Disposable {
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
        const upstream = await chains.started.startReady("dist/bare.cjs", ["upstream"]);
        const last = await chains.started.startReady("dist/bare.cjs", ["proxy", upstream]);
        chains.bare = [await chains.started.startReady("dist/bare.cjs", ["proxy", last]), last];
        await chains.startProduct(upstream);
        return chains;
    }

    /** Sends requests through the product or the bare chain. */
    sendCalls(isBare: boolean, requests: number): Promise<loads.LoadOutcome> {
        const body = JSON.stringify({ text: "x".repeat(BODY_BYTES - "{\"text\":\"\"}".length) });
        const path = isBare ? "/call/echo" : "/v1/pipelines/answer";
        return loads.send({ address: this.address(isBare), path, headers: describeTeam(), body, ...count(requests) });
    }

    /** Sends streams through the product or the bare chain; units are tokens. */
    sendStreams(isBare: boolean, requests: number): Promise<loads.LoadOutcome> {
        const headers = { ...describeTeam(), accept: "text/event-stream" };
        const path = isBare ? "/stream/generate" : "/v1/pipelines/stream";
        const marker = isBare ? "\"offset\":" : "event: token";
        return loads.send({ address: this.address(isBare), path, headers, body: "{}", marker, ...count(requests) });
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

    /** Bytes of the live heap, after garbage has been collected. */
    async readHeap(role: Role): Promise<number> {
        this.processes[role].kill("SIGUSR2");
        await clocks.sleep(clocks.systemClock, SETTLE_MS);
        return this.readMetric(role, "nodejs_heap_size_used_bytes");
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
            await clocks.sleep(clocks.systemClock, READY_POLL_MS);
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
        const file = this.started.write(`${role}.yaml`, yaml.stringify(settings));
        this.processes[role] = this.started.start("dist/cumincrank.cjs", [role, "--settings", file]);
        return peerListen;
    }
}

function describeTeam(): Record<string, string> {
    return { "cumincrank-team": TEAM };
}

function count(requests: number): { requests: number; callers: number } {
    return { requests, callers: Math.min(CALLERS, requests) };
}

type Send = (isBare: boolean) => Promise<loads.LoadOutcome>;

interface Comparison {
    readonly product: number;
    readonly bare: number;
    readonly failed: number;
    readonly units: number;
}

/** Sends a load through both chains in turns; rates are medians, in units a second. */
async function compare(rounds: number, send: Send): Promise<Comparison> {
    const product: number[] = [];
    const bare: number[] = [];
    let failed = 0;
    let units = 0;
    for (let round = 0; round < rounds; round++) {
        const ours = await send(false);
        const theirs = await send(true);
        failed += ours.failed + theirs.failed;
        units += ours.units;
        product.push(ours.units / ours.elapsedMs * MS_PER_SECOND);
        bare.push(theirs.units / theirs.elapsedMs * MS_PER_SECOND);
    }
    return { product: median(product), bare: median(bare), failed, units };
}

function median(values: readonly number[]): number {
    return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!;
}

async function measure(chains: Chains): Promise<experiments.Report> {
    await chains.sendCalls(false, WARM_UP_REQUESTS);
    await chains.sendCalls(true, WARM_UP_REQUESTS);
    await chains.sendStreams(false, CALLERS);
    await chains.sendStreams(true, CALLERS);
    const heap = { entry: await chains.readHeap("entry"), agent: await chains.readHeap("agent") };
    const startCpu = await chains.readCpu();
    const calls = await compare(ROUNDS, isBare => chains.sendCalls(isBare, REQUESTS_PER_ROUND));
    const callCpu = await chains.readCpu();
    const streams = await compare(STREAM_ROUNDS, isBare => chains.sendStreams(isBare, STREAMS_PER_ROUND));
    const streamCpu = await chains.readCpu();
    const perCall = (role: Role | "bare"): number => (callCpu[role] - startCpu[role]) / calls.units;
    const perToken = (role: Role | "bare"): number => (streamCpu[role] - callCpu[role]) / streams.units;
    return {
        baseline: {
            requestsPerSecond: calls.bare,
            tokensPerSecond: streams.bare,
            cpuMicrosPerRequest: perCall("bare"),
            cpuMicrosPerToken: perToken("bare"),
        },
        policy: {
            requestsPerSecond: calls.product,
            tokensPerSecond: streams.product,
            requestShareOfBare: calls.product / calls.bare,
            tokenShareOfBare: streams.product / streams.bare,
            requests: calls.units,
            missingTokens: STREAM_ROUNDS * STREAMS_PER_ROUND * TOKENS_PER_STREAM - streams.units,
            failed: calls.failed + streams.failed,
            entryCpuMicrosPerRequest: perCall("entry"),
            agentCpuMicrosPerRequest: perCall("agent"),
            entryCpuMicrosPerToken: perToken("entry"),
            agentCpuMicrosPerToken: perToken("agent"),
            entryHeapGrowthBytes: await chains.readHeap("entry") - heap.entry,
            agentHeapGrowthBytes: await chains.readHeap("agent") - heap.agent,
            entryResidentBytes: await chains.readMetric("entry", "process_resident_memory_bytes"),
            agentResidentBytes: await chains.readMetric("agent", "process_resident_memory_bytes"),
        },
        bounds: {
            requestShareOfBare: { atLeast: MIN_SHARE_OF_BARE },
            tokenShareOfBare: { atLeast: MIN_SHARE_OF_BARE },
            requests: { atLeast: ROUNDS * REQUESTS_PER_ROUND },
            missingTokens: { atMost: 0 },
            failed: { atMost: 0 },
            entryHeapGrowthBytes: { atMost: MAX_HEAP_GROWTH_BYTES },
            agentHeapGrowthBytes: { atMost: MAX_HEAP_GROWTH_BYTES },
        },
    };
}

/** The experiment. */
export const overhead: experiments.Experiment = {
    name: "overhead",
    async run() {
        const chains = await Chains.start();
        const report = await measure(chains);
        chains.dispose();
        return report;
    },
};
