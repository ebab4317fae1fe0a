/**
 * Replays calls to cold instances by entries that are killed and started again in series, learn of the others late, or
 * are cut off from them.
 */
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as randoms from "../../common/Random";
import * as views from "../published/PublishedView";
import * as arrivalCounts from "../shares/ArrivalCount";
import * as simulations from "../shares/FleetSimulation";
import * as fleetSizes from "../shares/FleetSize";
import * as arrivalWindows from "./ArrivalWindow";
import * as coldRates from "./ColdRates";

const STEP_MS = 20;
const END_MS = 30_000;
const SECOND_MS = 1_000;
const DOMAINS = 4;
const DOWN_MS = 300;
/** Calls take up to this long to their instance. */
const MAX_DELAY_MS = 100;
/** Until then, the entries have started and know each other; then instances become cold. */
const SETTLED_MS = 10_000;
const COLD_PER_SECOND = 9.1;
const LIMIT = { factor: 1.5, extra: 5 };
const ALLOWED_PER_SECOND = COLD_PER_SECOND * LIMIT.factor + LIMIT.extra;
const INSTANCES = ["i-1", "i-2", "i-3"].map(id => ({
    id,
    startedMs: 1,
    service: "model",
    failureDomain: "0",
    coldUntilMs: Infinity,
})) as unknown as views.KnownInstance[];

interface Load extends Pick<simulations.FleetPlan, "entries" | "kills" | "isCut" | "discoveryMs"> {
    readonly callsPerSecond: number;
    readonly seed: number;
}

/** What one process remembers of the instances. */
class ColdMemory {
    private readonly traffic = new Map(
        INSTANCES.map(({ id }) => [id, {
            arrivals: new arrivalWindows.ArrivalWindow(),
            lastUnreachableAtMs: -Infinity,
        }]),
    );
    readonly cold: coldRates.ColdRates;

    constructor(private readonly clock: clocks.Clock, fleet: fleetSizes.Fleet) {
        const table = { findService: () => ({ coldMs: 3_000, coldPerSecond: COLD_PER_SECOND }) };
        this.cold = new coldRates.ColdRates({
            clock,
            view: { table, isOutOfService: () => false, outOfServiceDomains: [] } as unknown as views.PublishedView,
            fleet,
            coldRateLimit: () => LIMIT,
            trafficOf: ({ id }) => this.traffic.get(id)!,
        });
    }

    /** Sends a call to the first instance that may get one; undefined if none may. */
    send(): views.KnownInstance | undefined {
        const instance = INSTANCES.find(candidate => this.cold.waitMs(candidate) === 0);
        this.traffic.get(instance?.id ?? "")?.arrivals.add(this.clock.now());
        return instance;
    }
}

/** Entries before instances that are all cold, in virtual time. */
class ColdFleet {
    private readonly clock = new clocks.ManualClock(0);
    private readonly random: randoms.Random;
    private readonly fleet: simulations.FleetSimulation<ColdMemory>;
    private readonly arrivalsAtMs = new Map<views.KnownInstance, number[]>(INSTANCES.map(instance => [instance, []]));
    private readonly rejectedAtMs: number[] = [];

    constructor(private readonly load: Load) {
        this.random = randoms.createRandom(load.seed);
        const plan = { ...load, failureDomains: DOMAINS, downMs: DOWN_MS };
        this.fleet = new simulations.FleetSimulation(
            plan,
            this.clock,
            this.random,
            fleet => new ColdMemory(this.clock, fleet),
        );
    }

    run(): void {
        for (let nowMs = 0; nowMs < END_MS; nowMs += STEP_MS) {
            this.fleet.step();
            let calls = nowMs < SETTLED_MS ? 0 : this.load.callsPerSecond * STEP_MS / SECOND_MS;
            for (; calls > 0 && this.random() < calls; calls--) {
                this.call(this.fleet.entries[Math.floor(this.random() * this.load.entries)]);
            }
            this.clock.advance(STEP_MS);
        }
        this.arrivalsAtMs.forEach(times => times.sort((a, b) => a - b));
    }

    /** Most calls that any instance got in any second. */
    get mostPerSecond(): number {
        return Math.max(...[...this.arrivalsAtMs.values()].map(times => arrivalCounts.mostWithin(times, SECOND_MS)));
    }

    /** Share of the calls of a period that got an instance. */
    servedShare(fromMs: number, untilMs: number): number {
        const served = [...this.arrivalsAtMs.values()].flat().filter(atMs => atMs >= fromMs && atMs < untilMs).length;
        return served / (served + arrivalCounts.countBetween(this.rejectedAtMs, fromMs, untilMs));
    }

    private call(entry: simulations.SimulatedEntry<ColdMemory> | undefined): void {
        const instance = entry?.memory.send();
        if (instance !== undefined) {
            this.arrivalsAtMs.get(instance)!.push(this.clock.now() + MAX_DELAY_MS * this.random());
        }
        else if (entry !== undefined) {
            this.rejectedAtMs.push(this.clock.now());
        }
    }
}

const KILLS_FROM_MS = SETTLED_MS + 2_000;
const sizes = [3, 4, 24, 100, 300].map(entries => ({ entries, discoveryMs: 1_800, callsPerSecond: 80 + 2 * entries }));

vitest.describe("calls of all entries to a cold instance stay within its rate", { timeout: 120_000 }, () => {
    vitest.describe.each(sizes)("with $entries entries", base => {
        const { entries } = base;
        const isInFirstDomain = (entry: number): boolean => entry % DOMAINS === 0;
        const kill = simulations.killSeries;
        const cases: readonly { readonly name: string; readonly load: Pick<Load, "kills" | "isCut"> }[] = [
            { name: "none is killed", load: { kills: [] } },
            {
                name: "one is killed again and again",
                load: { kills: kill(KILLS_FROM_MS, 8, 1_500, index => index === 0) },
            },
            {
                name: "a domain is killed again and again",
                load: { kills: kill(KILLS_FROM_MS, 6, 2_500, isInFirstDomain) },
            },
            { name: "all are killed four times", load: { kills: kill(KILLS_FROM_MS, 4, 3_500, () => true) } },
            {
                name: "each is killed in turn, twice",
                load: { kills: simulations.rollingKills(KILLS_FROM_MS, entries, 12_000, STEP_MS) },
            },
            {
                name: "the domains are cut off from each other while all are killed",
                load: {
                    kills: kill(KILLS_FROM_MS, 2, 5_000, () => true),
                    isCut: (atMs, from, to) => atMs > SETTLED_MS && atMs < 24_000 && from % DOMAINS !== to % DOMAINS,
                },
            },
        ];
        vitest.it.each(cases)("$name", ({ load }) => {
            for (const seed of entries < 100 ? [1, 2, 3] : [1]) {
                const fleet = new ColdFleet({ ...base, ...load, seed });
                fleet.run();
                vitest.expect(fleet.mostPerSecond).toBeLessThanOrEqual(ALLOWED_PER_SECOND);
                vitest.expect(fleet.mostPerSecond).toBeGreaterThan(0);
            }
        });
    });
});

vitest.describe("calls to cold instances that the rate allows are sent", () => {
    /** Four entries that find each other soon, and fewer calls than the three instances take. */
    const base = { entries: 4, discoveryMs: 500, callsPerSecond: 12 };
    const backMs = KILLS_FROM_MS + DOWN_MS;
    vitest.it.each([
        { name: "from the first one on when none is killed", killed: () => false, fromMs: SETTLED_MS },
        {
            name: "1.2 s after the start of an entry among others",
            killed: (entry: number) => entry === 0,
            fromMs: backMs + 1_200,
        },
        { name: "1.6 s after all have started", killed: () => true, fromMs: backMs + 1_600 },
    ])("$name", ({ killed, fromMs }) => {
        for (const seed of [1, 2, 3, 4, 5]) {
            const fleet = new ColdFleet({ ...base, kills: simulations.killSeries(KILLS_FROM_MS, 1, 0, killed), seed });
            fleet.run();
            vitest.expect(fleet.servedShare(fromMs, fromMs + 4_000)).toBe(1);
        }
    });
});
