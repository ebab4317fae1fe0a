/**
 * Experiment `teams`: four teams within their shares, without and with a large team that sends five times its share;
 * then the large team alone. The baseline chooses round robin, queues in order of arrival, and retries without a
 * budget.
 */
import * as clocks from "../src/common/Clock";
import * as baselines from "../src/process/choice/BaselineChoices";
import * as fleets from "../standins/LocalFleet";
import * as arrivalQueues from "./ArrivalQueue";
import * as experiments from "./Experiment";
import * as loads from "./PhaseLoad";

const DEADLINE_MS = 1_200;
const CONCURRENCY = 4;
const ENCODERS = 2;
const ENCODE_MS = 30;
const ENGINES = 4;
const FIRST_TOKEN_MS = 60;
const MS_PER_TOKEN = 5;
const TOKENS = 20;
const ENGINE_MS = FIRST_TOKEN_MS + MS_PER_TOKEN * TOKENS;
/** Requests per second that the engines sustain. */
const CAPACITY_PER_SECOND = ENGINES * CONCURRENCY * 1_000 / ENGINE_MS;
const LARGE_TEAM = "large";
const LARGE_TEAM_WEIGHT = 2;
const SMALL_TEAMS = ["small-1", "small-2", "small-3", "small-4"] as const;
const TOTAL_WEIGHT = LARGE_TEAM_WEIGHT + SMALL_TEAMS.length;
/** Load of each small team as a part of its share. */
const SMALL_TEAM_UTILIZATION = 0.7;
/** Load of the large team as a multiple of its share. */
const LARGE_TEAM_OVERLOAD_FACTOR = 5;
const WARMUP_MS = 2_500;
const PHASE_MS = 5_000;
const PAUSE_MS = 300;

function createConfiguration(retryRatio: number): ReturnType<typeof loads.createConfiguration> {
    const concurrency = { coldConcurrency: CONCURRENCY, warmConcurrency: CONCURRENCY };
    const teams = Object.fromEntries(SMALL_TEAMS.map(team => [team, { weight: 1 }]));
    return loads.createConfiguration(
        [
            { name: "encoder", kind: "plain", upstreams: ENCODERS, ...concurrency },
            { name: "engine", kind: "engine", upstreams: ENGINES, ...concurrency },
        ],
        { deadlineMs: DEADLINE_MS, retryRatio, teams: { ...teams, [LARGE_TEAM]: { weight: LARGE_TEAM_WEIGHT } } },
    );
}

async function startFleet(seed: number, isPolicy: boolean): Promise<fleets.LocalFleet> {
    const upstreamLimits = { warmConcurrency: CONCURRENCY };
    return fleets.LocalFleet.start({
        configuration: createConfiguration(isPolicy ? 0.1 : 1),
        entries: 2,
        random: loads.createRandom(seed),
        engineOptions: () => ({ ...upstreamLimits, firstTokenMs: FIRST_TOKEN_MS, msPerToken: MS_PER_TOKEN }),
        plainOptions: () => ({ ...upstreamLimits, serviceMs: ENCODE_MS }),
        ...(isPolicy ? {} : {
            entryOptions: { choose: baselines.createRoundRobin(), admitsByDeadline: false },
            agentOptions: { createQueue: queueOptions => new arrivalQueues.ArrivalQueue(queueOptions) },
        }),
    });
}

/** One run of a warm-up and the three phases. */
class TeamsRun {
    private readonly load: loads.PhaseLoad;

    constructor(private readonly fleet: fleets.LocalFleet, seed: number) {
        this.load = new loads.PhaseLoad(fleet, loads.createRandom(seed + 1));
    }

    async measure(): Promise<experiments.Figures> {
        await this.send("warming", WARMUP_MS, true, 0.5);
        await this.send("calm", PHASE_MS, true, 0);
        await this.send("burst", PHASE_MS, true, LARGE_TEAM_OVERLOAD_FACTOR);
        await this.send("alone", PHASE_MS, false, LARGE_TEAM_OVERLOAD_FACTOR);
        this.load.dispose();
        const calm = SMALL_TEAMS.map(team => this.findAttainment("calm", team));
        const burst = SMALL_TEAMS.map(team => this.findAttainment("burst", team));
        return {
            calmAttainment: Math.min(...calm),
            burstAttainment: Math.min(...burst),
            worstLossPoints: Math.max(...burst.map((attained, index) => 100 * (calm[index]! - attained))),
            timerLatenessMs: this.load.timerLatenessMs,
            burstLargeGoodputShare: this.computeGoodputShare("burst"),
            aloneGoodputShare: this.computeGoodputShare("alone"),
        };
    }

    /** Sends the load of the small teams, unless excluded, and a multiple of the large team's share. */
    private async send(
        name: string,
        durationMs: number,
        hasSmallTeams: boolean,
        largeTeamFactor: number,
    ): Promise<void> {
        const share = CAPACITY_PER_SECOND / TOTAL_WEIGHT;
        const phase = { name, durationMs, body: { maxTokens: TOKENS } };
        const small = hasSmallTeams
            ? SMALL_TEAMS.map(team => ({ ...phase, team, rate: share * SMALL_TEAM_UTILIZATION }))
            : [];
        const rate = share * LARGE_TEAM_WEIGHT * largeTeamFactor;
        const large = largeTeamFactor > 0 ? [{ ...phase, team: LARGE_TEAM, rate }] : [];
        await Promise.all([...small, ...large].map(teamPhase => this.load.send(teamPhase)));
        await this.load.waitForReplies();
        await clocks.sleep(clocks.systemClock, PAUSE_MS);
    }

    private filterSamples(phase: string, team: string): loads.Sample[] {
        return this.load.samples.filter(sample => sample.phase === phase && sample.team === team);
    }

    private findAttainment(phase: string, team: string): number {
        const samples = this.filterSamples(phase, team);
        return samples.filter(loads.isInTime).length / samples.length;
    }

    /** Share of the engines' capacity used by the large team's in-time requests, at the measured mean time per call. */
    private computeGoodputShare(phase: string): number {
        const inTime = loads.countInTimeWithin(this.filterSamples(phase, LARGE_TEAM), PHASE_MS);
        return inTime * this.computeMeanCallMs() / (PHASE_MS * ENGINES * CONCURRENCY);
    }

    private computeMeanCallMs(): number {
        const engines = [...this.fleet.upstreams].filter(([slot]) => slot.startsWith("engine"));
        const calls = engines.flatMap(([, { capacity }]) => [...capacity.busyMs.values()]);
        return calls.reduce((sum, busyMs) => sum + busyMs, 0) / calls.length;
    }
}

async function measure(seed: number, isPolicy: boolean): Promise<experiments.Figures> {
    const fleet = await startFleet(seed, isPolicy);
    const figures = await new TeamsRun(fleet, seed).measure();
    fleet.dispose();
    return figures;
}

/** The experiment. Attainment is the share of a team's requests that were answered in time. */
export const teams: experiments.Experiment = {
    name: "teams",
    async run(seed) {
        const policy = await measure(seed, true);
        const baseline = await measure(seed, false);
        return {
            baseline,
            policy,
            bounds: { worstLossPoints: { atMost: 2 }, aloneGoodputShare: { atLeast: 0.9 } },
        };
    },
};
