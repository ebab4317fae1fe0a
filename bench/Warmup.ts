/**
 * Experiment `warmup`: a burst on engines that have just started, restarts of engines, whose delayed reports still
 * show them as warm, and restarts of agents. The engines count calls above the concurrency that they sustain, cold or
 * warm. The baseline admits the warm concurrency at once, chooses round robin and retries without a budget.
 */
import * as clocks from "../src/common/Clock";
import * as baselines from "../src/process/choice/BaselineChoices";
import * as fleets from "../standins/LocalFleet";
import * as experiments from "./Experiment";
import * as loads from "./PhaseLoad";

const ENGINES = 6;
const COLD_CONCURRENCY = 2;
const WARM_CONCURRENCY = 8;
/** Completed calls after which an engine is warm. */
const WARM_AFTER_CALLS = 12;
const FIRST_TOKEN_MS = 30;
const MS_PER_TOKEN = 6;
const TOKENS = 20;
const REPORT_LAG_MS = 2_000;
const DEADLINE_MS = 1_500;
const ENCODERS = 4;
/** Encoders don't detect closed connections: they run each call to its end. */
const ENCODE_MS = 80;
const SERVICE_MS = FIRST_TOKEN_MS + MS_PER_TOKEN * TOKENS;
const WARM_CAPACITY_PER_SECOND = ENGINES * WARM_CONCURRENCY * 1_000 / SERVICE_MS;
const LOAD_SHARE = 0.6;
const BURST_SIZE = 150;
const PHASE_MS = 2_000;
const RECOVERY_MS = 1_500;
const DISCONNECT_SHARE = 0.15;
const RESTARTS_PER_PHASE = 4;

const publishedLimits = {
    coldConcurrency: COLD_CONCURRENCY,
    warmConcurrency: WARM_CONCURRENCY,
    coldCalls: WARM_AFTER_CALLS,
};
const upstreamLimits = {
    coldConcurrency: COLD_CONCURRENCY,
    warmConcurrency: WARM_CONCURRENCY,
    warmAfter: WARM_AFTER_CALLS,
};

const createConfiguration = (retryRatio: number): ReturnType<typeof loads.createConfiguration> =>
    loads.createConfiguration(
        [
            { name: "encoder", kind: "plain", upstreams: ENCODERS, ...publishedLimits },
            { name: "engine", kind: "engine", upstreams: ENGINES, ...publishedLimits },
        ],
        { deadlineMs: DEADLINE_MS, retryRatio, teams: { bench: { weight: 1 } } },
    );

async function startFleet(seed: number, isPolicy: boolean): Promise<fleets.LocalFleet> {
    const warmLimits = { coldConcurrency: WARM_CONCURRENCY, warmConcurrency: WARM_CONCURRENCY };
    return fleets.LocalFleet.start({
        configuration: createConfiguration(isPolicy ? 0.1 : 1),
        entries: 2,
        random: loads.createRandom(seed),
        engineOptions: () => ({
            ...upstreamLimits,
            firstTokenMs: FIRST_TOKEN_MS,
            msPerToken: MS_PER_TOKEN,
            reportLagMs: REPORT_LAG_MS,
        }),
        plainOptions: () => ({ ...upstreamLimits, serviceMs: ENCODE_MS }),
        ...(isPolicy ? {} : {
            entryOptions: { choose: baselines.createRoundRobin(), admitsByDeadline: false },
            agentOptions: { bounds: () => warmLimits },
        }),
    });
}

/** One run; faults are injected under load. */
class WarmupRun {
    private readonly load: loads.PhaseLoad;
    private readonly random: () => number;

    constructor(private readonly fleet: fleets.LocalFleet, seed: number) {
        this.random = loads.createRandom(seed + 1);
        this.load = new loads.PhaseLoad(fleet, loads.createRandom(seed + 2));
    }

    async measure(): Promise<experiments.Figures> {
        const figures: experiments.Figures = {};
        const phases: [string, () => Promise<void>][] = [
            ["burst", () => Promise.resolve()],
            ["engineRestart", () => this.restartEngines()],
            ["agentRestart", () => this.restartAgents(false)],
            ["bothRestart", () => this.restartAgents(true)],
        ];
        for (const [name, injectFault] of phases) {
            const before = this.countExcess();
            const disconnectShare = DISCONNECT_SHARE;
            await Promise.all([
                this.send(name, PHASE_MS, { burst: BURST_SIZE, disconnectShare }),
                injectFault(),
            ]);
            await this.send("recovering", RECOVERY_MS, { disconnectShare });
            figures[`${name}ColdExcess`] = this.countExcess().cold - before.cold;
            await this.send(`${name}Recovered`, RECOVERY_MS, {});
        }
        await this.load.waitForReplies();
        this.load.dispose();
        return { ...figures, ...this.summarize() };
    }

    private send(name: string, durationMs: number, changes: Partial<loads.Phase>): Promise<void> {
        const rate = WARM_CAPACITY_PER_SECOND * LOAD_SHARE;
        return this.load.send({ name, durationMs, rate, team: "bench", body: { maxTokens: TOKENS }, ...changes });
    }

    private summarize(): experiments.Figures {
        const { samples } = this.load;
        const connectedSamples = samples.filter(({ hasPlannedDisconnect }) => !hasPlannedDisconnect);
        const recovered = connectedSamples.filter(({ phase }) => phase.endsWith("Recovered"));
        const excess = this.countExcess();
        return {
            timerLatenessMs: this.load.timerLatenessMs,
            requests: samples.length,
            coldExcess: excess.cold,
            warmExcess: excess.warm,
            recoveredGoodput: recovered.filter(loads.isInTime).length / recovered.length,
            goodput: connectedSamples.filter(loads.isInTime).length / connectedSamples.length,
        };
    }

    private countExcess(): { cold: number; warm: number } {
        const violations = [...this.fleet.upstreams.values()].flatMap(upstream => upstream.capacity.violations);
        const cold = violations.filter(({ bears }) => bears === COLD_CONCURRENCY).length;
        return { cold, warm: violations.length - cold };
    }

    private drawSlots(): string[] {
        const slots = [...this.fleet.upstreams.keys()];
        return Array.from({ length: RESTARTS_PER_PHASE }, () => {
            return slots.splice(Math.floor(this.random() * slots.length), 1)[0]!;
        });
    }

    private async restartEngines(): Promise<void> {
        for (const slot of this.drawSlots()) {
            await clocks.sleep(clocks.systemClock, 300 + 300 * this.random());
            this.fleet.upstreams.get(slot)!.restart();
        }
    }

    private async restartAgents(restartsEngines: boolean): Promise<void> {
        for (const slot of this.drawSlots()) {
            await clocks.sleep(clocks.systemClock, 200 + 200 * this.random());
            this.fleet.killAgent(slot);
            if (restartsEngines) {
                this.fleet.upstreams.get(slot)!.restart();
            }
            await this.fleet.startAgent(slot);
        }
    }
}

async function measure(seed: number, isPolicy: boolean): Promise<experiments.Figures> {
    const fleet = await startFleet(seed, isPolicy);
    const figures = await new WarmupRun(fleet, seed).measure();
    fleet.dispose();
    return figures;
}

/** The experiment. Goodput is a share of the requests whose callers weren't to disconnect. */
export const warmup: experiments.Experiment = {
    name: "warmup",
    async run(seed) {
        const baseline = await measure(seed, false);
        const policy = await measure(seed, true);
        policy["recoveredGoodputGain"] = policy["recoveredGoodput"]! - baseline["recoveredGoodput"]!;
        return {
            baseline,
            policy,
            bounds: { coldExcess: { atMost: 0 }, recoveredGoodputGain: { atLeast: 0 } },
        };
    },
};
