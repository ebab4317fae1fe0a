/**
 * Experiment `deadlines`: a pipeline of three stages under loads from 0.7 to 2.5 times its capacity, each starting
 * with a burst, and then with one slow stage. The baseline routes round-robin, queues calls in order of arrival
 * until their deadline, and retries at a retry ratio of 1.
 */
import * as clocks from "../src/common/Clock";
import * as baselineChoices from "../src/process/choice/BaselineChoices";
import * as fleets from "../standins/LocalFleet";
import * as arrivalQueues from "./ArrivalQueue";
import * as experiments from "./Experiment";
import * as loads from "./PhaseLoad";

const DEADLINE_MS = 1_800;
const CONCURRENCY = 4;
const ENCODERS = 2;
const ENCODE_MS = 40;
const RETRIEVERS = 2;
const RETRIEVE_MS = 120;
const ENGINES = 4;
const FIRST_TOKEN_MS = 80;
const MS_PER_TOKEN = 12;
const TOKENS = 20;
const ENGINE_MS = FIRST_TOKEN_MS + MS_PER_TOKEN * TOKENS;
/** Requests per second that the engines sustain. */
const CAPACITY_PER_SECOND = ENGINES * CONCURRENCY * 1_000 / ENGINE_MS;
const WARM_UP_LOAD = 0.5;
const WARM_UP_MS = 3_000;
const LOADS = [0.7, 1, 1.5, 2.5] as const;
const PHASE_MS = 4_000;
/** Pause after all requests of a load have been answered. */
const PAUSE_MS = 500;
/** Simultaneous arrivals at the start of each load, as a share of one second's capacity. */
const BURST_SHARE = 0.1;
const SLOW_PHASE_LOAD = 0.7;
/** Added to each call to the retrievers during the slow phase. */
const RETRIEVER_DELAY_MS = 300;
/** A rejection within this share of the deadline counts as prompt. */
const PROMPT_REJECTION_SHARE = 0.1;

async function startFleet(seed: number, isPolicy: boolean): Promise<fleets.LocalFleet> {
    const concurrencyLimits = { coldConcurrency: CONCURRENCY, warmConcurrency: CONCURRENCY };
    const standInCapacity = { warmConcurrency: CONCURRENCY };
    return fleets.LocalFleet.start({
        configuration: loads.createConfiguration(
            [
                { name: "encoder", kind: "plain", upstreams: ENCODERS, ...concurrencyLimits },
                { name: "retriever", kind: "plain", upstreams: RETRIEVERS, ...concurrencyLimits },
                { name: "engine", kind: "engine", upstreams: ENGINES, ...concurrencyLimits },
            ],
            { deadlineMs: DEADLINE_MS, retryRatio: isPolicy ? 0.1 : 1, teams: { bench: { weight: 1 } } },
        ),
        entries: 2,
        random: loads.createRandom(seed),
        engineOptions: () => ({ ...standInCapacity, firstTokenMs: FIRST_TOKEN_MS, msPerToken: MS_PER_TOKEN }),
        plainOptions: service => ({ ...standInCapacity, serviceMs: service === "encoder" ? ENCODE_MS : RETRIEVE_MS }),
        ...(isPolicy ? {} : {
            entryOptions: { choose: baselineChoices.createRoundRobin(), admitsByDeadline: false },
            agentOptions: { createQueue: queueOptions => new arrivalQueues.ArrivalQueue(queueOptions) },
        }),
    });
}

/** Whether the request was rejected early enough for the caller to try elsewhere. */
function isPromptlyRejected(sample: loads.Sample): boolean {
    return loads.isRejected(sample) && sample.reply.elapsedMs <= sample.deadlineMs * PROMPT_REJECTION_SHARE;
}

/** Runs all loads on one fleet. */
class Run {
    private readonly load: loads.PhaseLoad;

    constructor(private readonly fleet: fleets.LocalFleet, seed: number) {
        this.load = new loads.PhaseLoad(fleet, loads.createRandom(seed + 1));
    }

    async measure(): Promise<experiments.Figures> {
        await this.runPhase("warming", WARM_UP_LOAD, WARM_UP_MS, 0);
        for (const load of LOADS) {
            await this.runPhase(`load${load}`, load, PHASE_MS, BURST_SHARE * CAPACITY_PER_SECOND);
        }
        this.setRetrieverDelay(RETRIEVER_DELAY_MS);
        await this.runPhase("slow", SLOW_PHASE_LOAD, PHASE_MS, BURST_SHARE * CAPACITY_PER_SECOND);
        this.setRetrieverDelay(undefined);
        this.load.dispose();
        return this.summarize();
    }

    private async runPhase(name: string, load: number, durationMs: number, burst: number): Promise<void> {
        const rate = CAPACITY_PER_SECOND * load;
        await this.load.send({ name, durationMs, rate, burst, team: "bench", body: { maxTokens: TOKENS } });
        await this.load.waitForReplies();
        await clocks.sleep(clocks.systemClock, PAUSE_MS);
    }

    private setRetrieverDelay(delayMs: number | undefined): void {
        for (const [slot, upstream] of this.fleet.upstreams) {
            if (slot.startsWith("retriever")) {
                upstream.faults.delayMs = delayMs;
            }
        }
    }

    private summarize(): experiments.Figures {
        const names = [...LOADS.map(load => `load${load}`), "slow"];
        const figures: experiments.Figures = {};
        const acceptedInTimeShares: number[] = [];
        for (const name of names) {
            const samples = this.load.samples.filter(({ phase }) => phase === name);
            const notPromptlyRejected = samples.filter(sample => !isPromptlyRejected(sample));
            figures[`${name}.goodputShare`] = loads.countInTimeWithin(samples, PHASE_MS) * 1_000
                / (PHASE_MS * CAPACITY_PER_SECOND);
            figures[`${name}.acceptedInTime`] = notPromptlyRejected.filter(loads.isInTime).length
                / notPromptlyRejected.length;
            figures[`${name}.wasted`] = this.measureWastedShare(samples);
            acceptedInTimeShares.push(figures[`${name}.acceptedInTime`]!);
        }
        const rejected = this.load.samples.filter(loads.isRejected);
        const withRetryAfter = rejected.filter(({ reply }) => reply.retryAfter !== undefined);
        return {
            ...figures,
            acceptedInTime: Math.min(...acceptedInTimeShares),
            wasted: this.measureWastedShare(this.load.samples),
            goodputAt2_5Vs1: figures["load2.5.goodputShare"]! / figures["load1.goodputShare"]!,
            timerLatenessMs: this.load.timerLatenessMs,
            refused: rejected.length,
            refusedAtOnce: rejected.filter(isPromptlyRejected).length / Math.max(1, rejected.length),
            refusedWithAdvice: withRetryAfter.length / Math.max(1, rejected.length),
        };
    }

    /** Share of the upstreams' busy time for `samples` that was spent on requests not answered in time. */
    private measureWastedShare(samples: readonly loads.Sample[]): number {
        const sumBusyMs = (requests: readonly loads.Sample[]): number =>
            requests.reduce((sum, { reply }) => sum + this.findUpstreamBusyMs(reply.answer?.request ?? ""), 0);
        const totalMs = sumBusyMs(samples);
        return (totalMs - sumBusyMs(samples.filter(loads.isInTime))) / totalMs;
    }

    private findUpstreamBusyMs(request: string): number {
        return [...this.fleet.upstreams.values()].reduce(
            (sum, { capacity }) => sum + (capacity.busyMs.get(request) ?? 0),
            0,
        );
    }
}

async function measure(seed: number, isPolicy: boolean): Promise<experiments.Figures> {
    const fleet = await startFleet(seed, isPolicy);
    const figures = await new Run(fleet, seed).measure();
    fleet.dispose();
    return figures;
}

/** Loads and goodputs are shares of the engines' capacity. */
export const deadlines: experiments.Experiment = {
    name: "deadlines",
    async run(seed) {
        const [policy, baseline] = await Promise.all([measure(seed, true), measure(seed, false)]);
        return {
            baseline,
            policy,
            bounds: {
                acceptedInTime: { atLeast: 0.95 },
                wasted: { atMost: 0.05 },
                goodputAt2_5Vs1: { atLeast: 0.9 },
                refusedAtOnce: { atLeast: 0.99 },
                refusedWithAdvice: { atLeast: 1 },
            },
        };
    },
};
