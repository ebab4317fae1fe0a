/**
 * Experiment `results`: single-answer and streamed requests to an idempotent pipeline of four stages, with retries
 * and hedges, while processes, network paths and upstreams fail and answers are delayed. The baseline makes one
 * attempt.
 */
import * as clocks from "../src/common/Clock";
import * as configurations from "../src/common/Configuration";
import * as randoms from "../src/common/Random";
import * as callers from "../standins/Caller";
import * as fleets from "../standins/ProcessFleet";
import * as experiments from "./Experiment";
import * as fleetFaults from "./FleetFaults";
import * as histories from "./ResultsHistory";

const ENTRIES = 3;
const SLOTS_PER_SERVICE = 3;
const TOKENS_PER_ANSWER = 16;
const DEADLINE_MS = 2_000;
const CALLER_GRACE_MS = 3_000;
const CALLERS = 120;
const MAX_THINK_TIME_MS = 300;
const STREAM_SHARE = 0.5;
const POLICY_RUN_MS = 18_000;
const BASELINE_RUN_MS = 6_000;
const RETRY_RATIO = 0.2;
/** Extra attempts that an entry may make without traffic, and the time in which this reserve is refilled. */
const RESERVE_ATTEMPTS = 10;
const RESERVE_REFILL_MS = 60_000;
const CALLER_SEED_OFFSET = 1_000_003;
const STAGES = [
    ["encode", "encoders"],
    ["retrieve", "retrievers"],
    ["rerank", "rerankers"],
    ["generate", "engines"],
] as const;

interface Ratios {
    readonly retryRatio: number;
    readonly hedgeRatio: number;
}

function createConfiguration(ratios: Ratios): configurations.Configuration {
    const services = STAGES.map(([operation, service]) => [service, {
        kind: operation === "generate" ? "engine" : "plain",
        operations: { [operation]: { idempotent: true, streams: operation === "generate" } },
        warmConcurrency: 32,
        coldConcurrency: 8,
        slots: Object.fromEntries(Array.from({ length: SLOTS_PER_SERVICE }, (_, index) => [
            `${service}-${index + 1}`,
            { failureDomain: `zone-${index % 2}` },
        ])),
    }]);
    return configurations.configurationSchema.parse({
        version: 1,
        preset: "ordinary",
        presets: { ordinary: { ...ratios, shedBelowPriority: 0 } },
        failureDomains: { "zone-0": { region: "local" }, "zone-1": { region: "local" } },
        teams: { bench: { weight: 1 } },
        models: { drafting: { weightReads: 1 } },
        services: Object.fromEntries(services),
        pipelines: {
            report: {
                deadlineMs: DEADLINE_MS,
                stages: STAGES.map(([operation, service]) => ({
                    name: operation,
                    service,
                    operation,
                    ...(operation === "generate" ? { model: "drafting" } : {}),
                })),
            },
        },
    });
}

/** Callers that each send one request after the other, with pauses. */
class CallerGroup {
    readonly replies: { record: Omit<histories.ResultRecord, "entryFailed">; startMs: number; endMs: number }[] = [];
    private requestCount = 0;

    constructor(private readonly fleet: fleets.ProcessFleet, private readonly random: () => number) {}

    async run(durationMs: number): Promise<void> {
        const endMs = clocks.systemClock.now() + durationMs;
        const runCaller = async (): Promise<void> => {
            while (clocks.systemClock.now() < endMs) {
                await this.sendRequest();
                await clocks.sleep(clocks.systemClock, this.random() * MAX_THINK_TIME_MS);
            }
        };
        await Promise.all(Array.from({ length: CALLERS }, runCaller));
    }

    private async sendRequest(): Promise<void> {
        const token = `request-${++this.requestCount}`;
        const entry = this.fleet.entryNames[Math.floor(this.random() * this.fleet.entryNames.length)]!;
        const isStream = this.random() < STREAM_SHARE;
        const startMs = clocks.systemClock.now();
        const reply = await callers.callEntry({
            address: this.fleet.callerAddress(entry),
            path: "/v1/pipelines/report",
            team: "bench",
            body: { token, maxTokens: TOKENS_PER_ANSWER },
            streams: isStream,
            signal: AbortSignal.timeout(DEADLINE_MS + CALLER_GRACE_MS),
        });
        const result = reply.answer?.result as { text?: string } | undefined;
        const record = {
            token,
            entry,
            outcome: reply.answer?.outcome,
            text: result?.text,
            tokens: reply.tokens,
            isStream,
            stages: reply.answer?.stages ?? [],
        };
        this.replies.push({ record, startMs, endMs: clocks.systemClock.now() });
    }
}

async function measure(seed: number, ratios: Ratios, durationMs: number): Promise<experiments.Figures> {
    const fleet = await fleets.ProcessFleet.start({
        configuration: createConfiguration(ratios),
        entries: ENTRIES,
        upstreamOptions: service => service === "engines" ? { msPerToken: 1, firstTokenMs: 4 } : { serviceMs: 4 },
    });
    try {
        const callerGroup = new CallerGroup(fleet, randoms.createRandom(seed + CALLER_SEED_OFFSET));
        const faults = new fleetFaults.FleetFaults({
            fleet,
            service: "engines",
            random: randoms.createRandom(seed),
            keyLifetimeMs: 0,
            upstreamFaults: [{ resetAfterEffect: true, dieAfterTokens: 5 }, { delayMs: 600 }, { malformed: true }],
            hasSlotChanges: false,
        });
        const calls = callerGroup.run(durationMs);
        await faults.run(durationMs);
        await calls;
        return summarize(callerGroup, faults, ratios, durationMs);
    }
    finally {
        fleet.dispose();
    }
}

function summarize(
    callerGroup: CallerGroup,
    faults: fleetFaults.FleetFaults,
    { retryRatio }: Ratios,
    durationMs: number,
): experiments.Figures {
    const entryFailures = faults.records.filter(({ kind }) => kind === "kill" || kind === "pause");
    const records = callerGroup.replies.map(({ record, startMs, endMs }) => ({
        ...record,
        entryFailed: entryFailures.some(fault =>
            fault.members.includes(record.entry) && fault.startMs <= endMs
            && fault.endMs + fault.recoveryMs >= startMs
        ),
    }));
    const countKills = (entry: string): number =>
        entryFailures.filter(({ kind, members }) => kind === "kill" && members.includes(entry)).length;
    const reserve = (entry: string): number =>
        retryRatio === 0 ? 0 : RESERVE_ATTEMPTS * (1 + countKills(entry) + durationMs / RESERVE_REFILL_MS);
    const rules = { stageCount: STAGES.length, tokenCount: TOKENS_PER_ANSWER, retryRatio, reserve };
    return { ...histories.checkResults(records, rules), faults: faults.records.length };
}

/** Checks, with separate processes, that every answer is complete and belongs to its request. */
export const results: experiments.Experiment = {
    name: "results",
    async run(seed) {
        const policy = await measure(seed, { retryRatio: RETRY_RATIO, hedgeRatio: 0.1 }, POLICY_RUN_MS);
        const baseline = await measure(seed, { retryRatio: 0, hedgeRatio: 0 }, BASELINE_RUN_MS);
        return {
            baseline,
            policy,
            bounds: {
                lost: { atMost: 0 },
                doubled: { atMost: 0 },
                crossed: { atMost: 0 },
                retriesOverBudget: { atMost: 0 },
                requests: { atLeast: 1_000 },
            },
        };
    },
};
