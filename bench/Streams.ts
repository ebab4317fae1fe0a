/**
 * Experiment `streams`: streams that last longer than their deadline, while engines crash in mid-stream or omit the
 * last line, an agent is killed, an agent and an entry are stopped gracefully, callers read late and callers
 * disconnect. The baseline doesn't resume streams and stops processes at once.
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
const STREAM_PATH = "/v1/services/engines/generate";
const BULK_PATH = "/v1/services/bulk/generate";
const DEADLINE_MS = 1_500;
const MS_PER_TOKEN = 25;
const MIN_TOKENS = 40;
const MAX_EXTRA_TOKENS = 120;
const ARRIVAL_INTERVAL_MS = 60;
const DISCONNECTING_CALLERS = 10;
const DISCONNECT_AFTER_MS = 500;
/** Fits into the entry's buffer for a caller. */
const BULK_TOKENS = 70_000;
const LATE_READ_MS = 1_500;
const STEP_DURATION_MS = 1_000;
const SETTLE_MS = 500;

const failureDomainNames = ["zone-a", "zone-b"];

function createService(slots: readonly string[]): unknown {
    return {
        kind: "engine",
        operations: { generate: { idempotent: true, streams: true } },
        warmConcurrency: 64,
        coldConcurrency: 64,
        slots: Object.fromEntries(slots.map((slot, index) => [slot, { failureDomain: failureDomainNames[index % 2] }])),
    };
}

function createConfiguration(): configurations.Configuration {
    return configurations.configurationSchema.parse({
        version: 1,
        preset: "ordinary",
        presets: { ordinary: { retryRatio: 0.1, hedgeRatio: 0, shedBelowPriority: 0 } },
        failureDomains: Object.fromEntries(failureDomainNames.map(name => [name, { region: "local" }])),
        teams: { [TEAM]: { weight: 1 } },
        services: { engines: createService(["e1", "e2", "e3", "e4"]), bulk: createService(["b1"]) },
        pipelines: {},
    });
}

interface Figures extends experiments.Figures {
    streams: number;
    whole: number;
    inexact: number;
    withoutEnd: number;
    cutByStop: number;
    lateCallersCut: number;
    gone: number;
    goneStillRunning: number;
}

/** One run of the sequence of faults. */
class StreamsRun {
    private readonly figures: Figures = {
        streams: 0,
        whole: 0,
        inexact: 0,
        withoutEnd: 0,
        cutByStop: 0,
        lateCallersCut: 0,
        gone: 0,
        goneStillRunning: 0,
    };
    private readonly inFlight = new Set<Promise<void>>();
    private readonly arrivalsStop = new AbortController();

    constructor(
        private readonly fleet: fleets.LocalFleet,
        private readonly random: () => number,
        private readonly stopsGracefully: boolean,
    ) {}

    async measure(): Promise<experiments.Figures> {
        await this.disconnectCallers();
        void this.sendStreams();
        await wait(STEP_DURATION_MS);
        await this.runWithFaults("e1", { dieAfterTokens: 12 });
        await this.runWithFaults("e2", { dropStreamEnd: true });
        this.fleet.killAgent("e3");
        await wait(STEP_DURATION_MS);
        await this.fleet.startAgent("e3");
        await this.stopAgent("e4");
        await this.fleet.startAgent("e4");
        await wait(STEP_DURATION_MS);
        await this.stopEntry("entry-2");
        await wait(STEP_DURATION_MS);
        this.arrivalsStop.abort();
        await Promise.all(this.inFlight);
        const { figures } = this;
        return { ...figures, wholeShare: figures.whole / figures.streams };
    }

    private async sendStreams(): Promise<void> {
        while (!this.arrivalsStop.signal.aborted) {
            const entries = [...this.fleet.entries.values()].filter(entry => entry.isReady);
            const entry = entries[Math.floor(this.random() * entries.length)]!;
            const maxTokens = MIN_TOKENS + Math.floor(this.random() * MAX_EXTRA_TOKENS);
            const inFlightStream = this.runStream(entry.callerAddress, maxTokens).then(() =>
                void this.inFlight.delete(inFlightStream)
            );
            this.inFlight.add(inFlightStream);
            await clocks.sleep(clocks.systemClock, ARRIVAL_INTERVAL_MS, this.arrivalsStop.signal);
        }
    }

    /** Disconnects callers in mid-stream; each disconnect must cancel one upstream call. */
    private async disconnectCallers(): Promise<void> {
        const address = this.fleet.entries.get("entry-1")!.callerAddress;
        const body = { prompt: "gone", maxTokens: MIN_TOKENS + MAX_EXTRA_TOKENS };
        const replies = await Promise.all(Array.from({ length: DISCONNECTING_CALLERS }, () => {
            const disconnect = new AbortController();
            clocks.systemClock.schedule(DISCONNECT_AFTER_MS, () => disconnect.abort());
            return callers.callEntry({
                address,
                path: STREAM_PATH,
                team: TEAM,
                streams: true,
                body,
                signal: disconnect.signal,
            });
        }));
        await wait(SETTLE_MS);
        this.figures.gone = replies.filter(reply => reply.answer === undefined).length;
        this.figures.goneStillRunning = this.figures.gone - this.countCancelled();
    }

    private async runStream(address: string, maxTokens: number): Promise<void> {
        const body = { prompt: String(this.random()), maxTokens };
        const call = { address, path: STREAM_PATH, team: TEAM, deadlineMs: DEADLINE_MS, streams: true, body };
        const reply = await callers.callEntry(call);
        const { isExact, isComplete, hasEnded } = streamCallers.checkStream(body, reply);
        this.figures.streams++;
        this.figures.whole += Number(isComplete);
        this.figures.inexact += Number(!isExact);
        this.figures.withoutEnd += Number(!hasEnded);
    }

    private async runWithFaults(slot: string, faults: engines.EngineFaults): Promise<void> {
        const engine = this.findEngine(slot);
        engine.faults = faults;
        await wait(STEP_DURATION_MS);
        engine.faults = {};
    }

    private async stopAgent(slot: string): Promise<void> {
        const agent = this.fleet.agents.get(slot)!;
        this.figures.cutByStop += this.stopsGracefully ? await agent.stop() : 0;
        this.fleet.killAgent(slot);
    }

    /** Stops an entry that buffers an answer which its caller hasn't read yet. */
    private async stopEntry(name: string): Promise<void> {
        const entry = this.fleet.entries.get(name)!;
        const body = { prompt: "late", maxTokens: BULK_TOKENS };
        const lateReply = streamCallers.readAfterDelay(entry.callerAddress, BULK_PATH, TEAM, body, LATE_READ_MS);
        await wait(SETTLE_MS);
        this.figures.cutByStop += this.stopsGracefully ? await entry.stop() : 0;
        this.fleet.killEntry(name);
        this.figures.lateCallersCut += Number(!(await lateReply).includes("event: end"));
    }

    private countCancelled(): number {
        return ["e1", "e2", "e3", "e4"].reduce((sum, slot) => sum + this.findEngine(slot).cancelled, 0);
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
        engineOptions: service => service === "bulk" ? { tokensPerPart: 2_000 } : { msPerToken: MS_PER_TOKEN },
        ...(isBaseline ? { entryOptions: { maxResumes: 0 } } : {}),
    });
    const figures = await new StreamsRun(fleet, random, !isBaseline).measure();
    fleet.dispose();
    return figures;
}

function wait(delayMs: number): Promise<void> {
    return clocks.sleep(clocks.systemClock, delayMs);
}

export const streams: experiments.Experiment = {
    name: "streams",
    async run(seed) {
        return {
            baseline: await measure(seed, true),
            policy: await measure(seed, false),
            bounds: {
                inexact: { atMost: 0 },
                withoutEnd: { atMost: 0 },
                cutByStop: { atMost: 0 },
                lateCallersCut: { atMost: 0 },
                goneStillRunning: { atMost: 0 },
                wholeShare: { atLeast: 1 },
            },
        };
    },
};
