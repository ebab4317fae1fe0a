/**
 * Experiment `deadlines`: a pipeline of three stages under loads from 0.7 to 2.5 of its capacity, each with a
 * burst, and with one stage slow. The baseline chooses in turn, queues in order of arrival up to the deadline,
 * and retries blindly.
 */
import * as clocks from "../src/common/Clock";
import * as plain from "../src/process/choice/BaselineChoices";
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
/** Requests a second that the engines bear. */
const CAPACITY = ENGINES * CONCURRENCY * 1_000 / ENGINE_MS;
const WARMING_LOAD = 0.5;
const WARMING_MS = 3_000;
const LOADS = [0.7, 1, 1.5, 2.5] as const;
const PHASE_MS = 4_000;
/** Pause after each load, in which everything sent is answered. */
const PAUSE_MS = 500;
/** Arrivals at once at the start of each load, as a share of the capacity of a second. */
const BURST_SHARE = 0.1;
const SLOW_LOAD = 0.7;
/** Added to each call of the retrievers while they are slow. */
const SLOW_MS = 300;
/** A refusal within this share of the deadline counts as given at once. */
const AT_ONCE_SHARE = 0.1;

async function startFleet(seed: number, isPolicy: boolean): Promise<fleets.LocalFleet> {
    const bounds = { coldConcurrency: CONCURRENCY, warmConcurrency: CONCURRENCY };
    const borne = { warmConcurrency: CONCURRENCY };
    return fleets.LocalFleet.start({
        configuration: loads.createConfiguration(
            [
                { name: "encoder", kind: "plain", upstreams: ENCODERS, ...bounds },
                { name: "retriever", kind: "plain", upstreams: RETRIEVERS, ...bounds },
                { name: "engine", kind: "engine", upstreams: ENGINES, ...bounds },
            ],
            { deadlineMs: DEADLINE_MS, retryRatio: isPolicy ? 0.1 : 1, teams: { bench: { weight: 1 } } },
        ),
        entries: 2,
        random: loads.createRandom(seed),
        engine: () => ({ ...borne, firstTokenMs: FIRST_TOKEN_MS, msPerToken: MS_PER_TOKEN }),
        plain: service => ({ ...borne, serviceMs: service === "encoder" ? ENCODE_MS : RETRIEVE_MS }),
        ...(isPolicy ? {} : {
            entryOptions: { choose: plain.createRoundRobin(), admitsByDeadline: false },
            agentOptions: { createQueue: queueOptions => new arrivalQueues.ArrivalQueue(queueOptions) },
        }),
    });
}

/** Whether the request was refused, and so soon that the caller could turn elsewhere. */
function isRefusedAtOnce(sample: loads.Sample): boolean {
    return loads.isRejected(sample) && sample.reply.elapsedMs <= sample.deadlineMs * AT_ONCE_SHARE;
}

/** One run over all loads. */
class Run {
    private readonly load: loads.PhaseLoad;

    constructor(private readonly fleet: fleets.LocalFleet, seed: number) {
        this.load = new loads.PhaseLoad(fleet, loads.createRandom(seed + 1));
    }

    async measure(): Promise<experiments.Figures> {
        await this.send("warming", WARMING_LOAD, WARMING_MS, 0);
        for (const load of LOADS) {
            await this.send(`load${load}`, load, PHASE_MS, BURST_SHARE * CAPACITY);
        }
        this.setSlow(SLOW_MS);
        await this.send("slow", SLOW_LOAD, PHASE_MS, BURST_SHARE * CAPACITY);
        this.setSlow(undefined);
        this.load.dispose();
        return this.describe();
    }

    private async send(name: string, load: number, durationMs: number, burst: number): Promise<void> {
        const rate = CAPACITY * load;
        await this.load.send({ name, durationMs, rate, burst, team: "bench", body: { maxTokens: TOKENS } });
        await this.load.waitForReplies();
        await clocks.sleep(clocks.systemClock, PAUSE_MS);
    }

    private setSlow(delayMs: number | undefined): void {
        for (const [slot, upstream] of this.fleet.upstreams) {
            if (slot.startsWith("retriever")) {
                upstream.faults.delayMs = delayMs;
            }
        }
    }

    private describe(): experiments.Figures {
        const names = [...LOADS.map(load => `load${load}`), "slow"];
        const figures: experiments.Figures = {};
        const inTime: number[] = [];
        for (const name of names) {
            const samples = this.load.samples.filter(({ phase }) => phase === name);
            const accepted = samples.filter(sample => !isRefusedAtOnce(sample));
            figures[`${name}.goodputShare`] = loads.countInTimeWithin(samples, PHASE_MS) * 1_000
                / (PHASE_MS * CAPACITY);
            figures[`${name}.acceptedInTime`] = accepted.filter(loads.isInTime).length / accepted.length;
            figures[`${name}.wasted`] = this.measureWaste(samples);
            inTime.push(figures[`${name}.acceptedInTime`]!);
        }
        const refused = this.load.samples.filter(loads.isRejected);
        const withAdvice = refused.filter(({ reply }) => reply.retryAfter !== undefined);
        return {
            ...figures,
            acceptedInTime: Math.min(...inTime),
            wasted: this.measureWaste(this.load.samples),
            goodputAt2_5Vs1: figures["load2.5.goodputShare"]! / figures["load1.goodputShare"]!,
            timerLatenessMs: this.load.timerLatenessMs,
            refused: refused.length,
            refusedAtOnce: refused.filter(isRefusedAtOnce).length / Math.max(1, refused.length),
            refusedWithAdvice: withAdvice.length / Math.max(1, refused.length),
        };
    }

    /** Share of the upstreams' time that went into requests of `samples` that weren't answered in time. */
    private measureWaste(samples: readonly loads.Sample[]): number {
        const busyMs = (requests: readonly loads.Sample[]): number =>
            requests.reduce((sum, { reply }) => sum + this.findBusyMs(reply.answer?.request ?? ""), 0);
        const totalMs = busyMs(samples);
        return (totalMs - busyMs(samples.filter(loads.isInTime))) / totalMs;
    }

    private findBusyMs(request: string): number {
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

/** Loads and goodputs are shares of what the engines bear. */
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
