/**
 * Experiment `leaving`: upstream instances leave under a load of calls and streams. Each leave is first announced by
 * a different source: the engine's self-report, the agent's planned stop or the platform's list. The list lags, and
 * one entry never reads it. The baseline learns of a leave from the list alone and kills agents without draining.
 */
import * as clocks from "../src/common/Clock";
import * as configurations from "../src/common/Configuration";
import * as randoms from "../src/common/Random";
import * as callers from "../standins/Caller";
import * as engines from "../standins/EngineStandIn";
import * as fleets from "../standins/LocalFleet";
import * as streamCallers from "../standins/StreamCaller";
import * as experiments from "./Experiment";

const TEAM = "bench";
const PATH = "/v1/services/engines/generate";
const LIST_LAG_MS = 3_000;
/** No work may start later than this after a leave is announced (by the list: after its lag). */
const PROPAGATION_LIMIT_MS = 3_000;
/** Time after that limit during which new work is counted. */
const OBSERVATION_MS = 1_000;
const ARRIVAL_INTERVAL_MS = 20;
const MS_PER_TOKEN = 15;
const MIN_TOKENS = 10;
const TOKEN_RANGE = 60;
const WARM_UP_MS = 1_000;
const SLOTS = ["e1", "e2", "e3", "e4", "e5", "e6"];

function createConfiguration(): configurations.Configuration {
    const slots = Object.fromEntries(SLOTS.map((slot, index) => [slot, { failureDomain: `zone-${index % 2}` }]));
    return configurations.configurationSchema.parse({
        version: 1,
        preset: "ordinary",
        presets: { ordinary: { retryRatio: 0.1, hedgeRatio: 0, shedBelowPriority: 0 } },
        failureDomains: { "zone-0": { region: "local" }, "zone-1": { region: "local" } },
        teams: { [TEAM]: { weight: 1 } },
        services: {
            engines: {
                kind: "engine",
                operations: { generate: { idempotent: true, streams: true } },
                warmConcurrency: 32,
                coldConcurrency: 32,
                slots,
            },
        },
        pipelines: {},
    });
}

/** One run of the schedule. */
class Run {
    private readonly inFlight = new Set<Promise<void>>();
    private readonly stopController = new AbortController();
    private requests = 0;
    /** Calls without a complete answer. */
    private cut = 0;
    /** Streams without a complete answer. */
    private cutStreams = 0;
    private newWorkLate = 0;
    /** Requests that the agent's stop aborted. */
    private cutByStop = 0;

    constructor(
        private readonly fleet: fleets.LocalFleet,
        private readonly random: () => number,
        private readonly isBaseline: boolean,
    ) {}

    async measure(): Promise<experiments.Figures> {
        if (this.isBaseline) {
            this.fleet.agents.forEach(agent => {
                Object.defineProperty(agent["node"].listReader, "isListedLeaving", { get: () => false });
                agent["upstreamWatch"]["recordLeaving"] = () => undefined;
            });
        }
        this.fleet.entries.get("entry-1")!["node"].membership.updateList = () => undefined;
        void this.generateArrivals();
        await wait(WARM_UP_MS);
        await Promise.all([this.leaveBySelfReport("e1"), this.leaveByStop("e2"), this.leaveByList("e3")]);
        this.stopController.abort();
        await Promise.all(this.inFlight);
        const { requests, cut, cutStreams, newWorkLate, cutByStop } = this;
        return { requests, cut, cutStreams, newWorkLate, cutByStop };
    }

    private async generateArrivals(): Promise<void> {
        while (!this.stopController.signal.aborted) {
            const maxTokens = MIN_TOKENS + Math.floor(this.random() * TOKEN_RANGE);
            const entry = this.random() < 0.5 ? "entry-1" : "entry-2";
            const request = this.send(entry, maxTokens, this.random() < 0.5).then(() =>
                void this.inFlight.delete(request)
            );
            this.inFlight.add(request);
            await clocks.sleep(clocks.systemClock, ARRIVAL_INTERVAL_MS, this.stopController.signal);
        }
    }

    private async send(entry: string, maxTokens: number, streams: boolean): Promise<void> {
        const body = { prompt: String(this.random()), maxTokens };
        const reply: callers.EntryReply = await this.fleet.call(entry, {
            path: PATH,
            team: TEAM,
            streams,
            body,
        });
        const isComplete = streams
            ? streamCallers.checkStream(body, reply).isComplete
            : reply.answer?.outcome === "completed";
        this.requests++;
        this.cut += Number(!isComplete && !streams);
        this.cutStreams += Number(!isComplete && streams);
    }

    /** The engine reports that it is leaving, and stops once PROPAGATION_LIMIT_MS has passed and late work is counted. */
    private async leaveBySelfReport(slot: string): Promise<void> {
        const engine = this.findEngine(slot);
        engine.faults = { leaving: true };
        await this.countLateStarts(slot);
        engine.stop();
    }

    private async leaveByStop(slot: string): Promise<void> {
        const agent = this.fleet.agents.get(slot)!;
        const counted = this.countLateStarts(slot);
        this.cutByStop += this.isBaseline ? 0 : await agent.stop();
        this.fleet.killAgent(slot);
        await counted;
    }

    private async leaveByList(slot: string): Promise<void> {
        this.fleet.setLeaving(slot);
        await wait(LIST_LAG_MS);
        await this.countLateStarts(slot);
    }

    /** Counts executions that start more than PROPAGATION_LIMIT_MS after this call. */
    private async countLateStarts(slot: string): Promise<void> {
        const fromMs = clocks.systemClock.wall() + PROPAGATION_LIMIT_MS;
        await wait(PROPAGATION_LIMIT_MS + OBSERVATION_MS);
        this.newWorkLate += this.findEngine(slot).log.filter(({ atMs }) => atMs > fromMs).length;
    }

    private findEngine(slot: string): engines.EngineStandIn {
        return this.fleet.upstreams.get(slot) as engines.EngineStandIn;
    }
}

async function measure(seed: number, isBaseline: boolean): Promise<experiments.Figures> {
    const random = randoms.createRandom(seed);
    const fleet = await fleets.LocalFleet.start({
        configuration: createConfiguration(),
        entries: 2,
        random,
        engineOptions: () => ({ msPerToken: MS_PER_TOKEN }),
        listLagMs: LIST_LAG_MS,
    });
    const figures = await new Run(fleet, random, isBaseline).measure();
    fleet.dispose();
    return figures;
}

function wait(delayMs: number): Promise<void> {
    return clocks.sleep(clocks.systemClock, delayMs);
}

export const leaving: experiments.Experiment = {
    name: "leaving",
    async run(seed) {
        return {
            baseline: await measure(seed, true),
            policy: await measure(seed, false),
            bounds: {
                newWorkLate: { atMost: 0 },
                cut: { atMost: 0 },
                cutStreams: { atMost: 0 },
                cutByStop: { atMost: 0 },
            },
        };
    },
};
