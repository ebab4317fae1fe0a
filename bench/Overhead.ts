/**
 * Experiment `overhead`: an entry and an agent as separate processes in front of an echoing upstream, compared with
 * two bare node:http proxies in series. Measures requests and tokens per second, alternating between the chains,
 * CPU time by role and the growth of live memory.
 */
import * as chainPairs from "./Chains";
import * as experiments from "./Experiment";
import * as loads from "./HttpLoad";

const CALLERS = 32;
const WARM_UP_REQUESTS = 5_000;
const ROUNDS = 5;
const REQUESTS_PER_ROUND = 10_000;
const STREAM_ROUNDS = 5;
const STREAMS_PER_ROUND = 64;
const TOKENS_PER_STREAM = 1_000;
/**
 * Maximum growth of live memory over all requests. The state of an entry and an agent in this experiment
 * (histograms of one stage, one instance's record, metric series of one team) reaches its full size in the warm-up.
 */
const MAX_MEMORY_GROWTH_BYTES = 2 * 1024 * 1024;
const MIN_SHARE_OF_BARE = 0.5;
const MS_PER_SECOND = 1_000;

type SendLoad = (isBare: boolean) => Promise<loads.LoadOutcome>;

interface Comparison {
    readonly product: number;
    readonly bare: number;
    readonly failed: number;
    readonly units: number;
}

/** Sends a load through both chains alternately; rates are medians, in units per second. */
async function compare(rounds: number, send: SendLoad): Promise<Comparison> {
    const product: number[] = [];
    const bare: number[] = [];
    let failed = 0;
    let units = 0;
    for (let round = 0; round < rounds; round++) {
        const productOutcome = await send(false);
        const bareOutcome = await send(true);
        failed += productOutcome.failed + bareOutcome.failed;
        units += productOutcome.units;
        product.push(productOutcome.units / productOutcome.elapsedMs * MS_PER_SECOND);
        bare.push(bareOutcome.units / bareOutcome.elapsedMs * MS_PER_SECOND);
    }
    return { product: median(product), bare: median(bare), failed, units };
}

function median(values: readonly number[]): number {
    return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!;
}

async function measure(chains: chainPairs.Chains): Promise<experiments.Report> {
    await chains.sendCalls(false, WARM_UP_REQUESTS);
    await chains.sendCalls(true, WARM_UP_REQUESTS);
    await chains.sendStreams(false, CALLERS);
    await chains.sendStreams(true, CALLERS);
    const startLiveBytes = { entry: await chains.readLiveBytes("entry"), agent: await chains.readLiveBytes("agent") };
    const startCpu = await chains.readCpuMicros();
    const calls = await compare(ROUNDS, isBare => chains.sendCalls(isBare, REQUESTS_PER_ROUND));
    const callCpu = await chains.readCpuMicros();
    const streams = await compare(STREAM_ROUNDS, isBare => chains.sendStreams(isBare, STREAMS_PER_ROUND));
    const streamCpu = await chains.readCpuMicros();
    const findMicrosPerCall = (role: chainPairs.Role | "bare"): number =>
        (callCpu[role] - startCpu[role]) / calls.units;
    const findMicrosPerToken = (role: chainPairs.Role | "bare"): number =>
        (streamCpu[role] - callCpu[role]) / streams.units;
    return {
        baseline: {
            requestsPerSecond: calls.bare,
            tokensPerSecond: streams.bare,
            cpuMicrosPerRequest: findMicrosPerCall("bare"),
            cpuMicrosPerToken: findMicrosPerToken("bare"),
        },
        policy: {
            requestsPerSecond: calls.product,
            tokensPerSecond: streams.product,
            requestShareOfBare: calls.product / calls.bare,
            tokenShareOfBare: streams.product / streams.bare,
            requests: calls.units,
            missingTokens: STREAM_ROUNDS * STREAMS_PER_ROUND * TOKENS_PER_STREAM - streams.units,
            failed: calls.failed + streams.failed,
            entryCpuMicrosPerRequest: findMicrosPerCall("entry"),
            agentCpuMicrosPerRequest: findMicrosPerCall("agent"),
            entryCpuMicrosPerToken: findMicrosPerToken("entry"),
            agentCpuMicrosPerToken: findMicrosPerToken("agent"),
            entryMemoryGrowthBytes: await chains.readLiveBytes("entry") - startLiveBytes.entry,
            agentMemoryGrowthBytes: await chains.readLiveBytes("agent") - startLiveBytes.agent,
            entryResidentBytes: await chains.readMetric("entry", "process_resident_memory_bytes"),
            agentResidentBytes: await chains.readMetric("agent", "process_resident_memory_bytes"),
        },
        bounds: {
            requestShareOfBare: { atLeast: MIN_SHARE_OF_BARE },
            tokenShareOfBare: { atLeast: MIN_SHARE_OF_BARE },
            requests: { atLeast: ROUNDS * REQUESTS_PER_ROUND },
            missingTokens: { atMost: 0 },
            failed: { atMost: 0 },
            entryMemoryGrowthBytes: { atMost: MAX_MEMORY_GROWTH_BYTES },
            agentMemoryGrowthBytes: { atMost: MAX_MEMORY_GROWTH_BYTES },
        },
    };
}

export const overhead: experiments.Experiment = {
    name: "overhead",
    async run() {
        const chains = await chainPairs.Chains.start();
        const report = await measure(chains);
        chains.dispose();
        return report;
    },
};
