/**
 * Experiment `placement`: engines die and return, agents are replaced while paused and wake with an order in
 * flight, views differ and lag, a preset switches, and half the engines ignore fencing numbers.
 */
import * as clocks from "../src/common/Clock";
import * as configurations from "../src/common/Configuration";
import * as logs from "../src/common/Log";
import * as leases from "../src/process/placement/OrderLease";
import * as tasks from "../src/process/placement/PlacementTask";
import * as placements from "../src/version/Placement";
import * as experiments from "./Experiment";
import * as measures from "./PlacementMeasures";
import * as policies from "./PlacementPolicies";
import * as worlds from "./PlacementWorld";

const RUN_MS = 1_200_000;
const STEP_MS = 50;
const EVENT_PERIOD_MS = 12_000;
const VIEW_PERIOD_MS = 500;
const MAX_VIEW_LAG_STEPS = 4;
const DEATH_SEEN_MS = 3_500;
const LIST_LAG_MS = 2_000;
const RETURN_MS = 10_000;
const CLOCK_OFFSET_MS = 20;

interface Snapshot {
    readonly held: ReadonlyMap<string, ReadonlySet<string>>;
    readonly live: ReadonlySet<string>;
    readonly configuration: configurations.Configuration;
}

interface Agent {
    readonly id: number;
    readonly engine: worlds.EngineState;
    readonly process: worlds.ProcessClock;
    readonly task: tasks.PlacementTask;
    readonly lease: leases.OrderLease;
    readonly startedMs: number;
    readonly lagSteps: number;
    hiddenUntilMs: number;
    /** The pause that the next order brings before its write; 0 for none. */
    holdBackMs: number;
    tickedMs: number;
    refreshedMs: number;
    inputKey: string;
    inputChanges: number;
}

class Trial {
    private readonly clock = new clocks.ManualClock();
    private readonly random: () => number;
    private readonly network: worlds.Network;
    private readonly store = new worlds.StoreState();
    private readonly engines: worlds.EngineState[] = [];
    private readonly agents: Agent[] = [];
    private readonly snapshots: Snapshot[] = [];
    private readonly newestOrdering = new Map<string, number>();
    private readonly coverage = new measures.CoverageMeasure();
    private readonly flaps = new measures.FlapMeasure();
    private configuration = policies.createConfiguration(1, "ordinary");
    private readonly figures: experiments.Figures = {
        oldOrdersChecking: 0,
        oldOrdersBeforeClaim: 0,
        ordersBeforeSuccessor: 0,
        oldOrdersOutsideWindow: 0,
        oldOrdersInsideWindow: 0,
        orders: 0,
        agentsReplaced: 0,
    };

    constructor(seed: number, private readonly policy: policies.Policy, private readonly leased: boolean) {
        this.random = worlds.createRandom(seed);
        this.network = new worlds.Network(this.clock, this.random);
        for (const service of ["checking", "ignoring"]) {
            for (let index = 0; index < policies.SLOTS; index++) {
                const checks = service === "checking";
                const slot = `s${index}`;
                const models = new Set<string>();
                this.engines.push({ service, slot, checks, alive: true, boot: 0, models, fence: 0, diedMs: 0 });
            }
        }
    }

    async run(): Promise<experiments.Figures> {
        this.takeSnapshot();
        this.engines.forEach(engine => this.startAgent(engine));
        for (let passedMs = 0; passedMs < RUN_MS; passedMs += STEP_MS) {
            this.clock.advance(STEP_MS);
            await new Promise(setImmediate);
            if (passedMs % VIEW_PERIOD_MS === 0) {
                this.takeSnapshot();
                this.agents.forEach(agent => this.tick(agent));
            }
            if (passedMs > 0 && passedMs % EVENT_PERIOD_MS === 0) {
                this.causeEvent();
            }
            this.coverage.measure(this.engines, this.clock.now());
        }
        this.agents.forEach(agent => agent.task.dispose());
        return {
            ...this.figures,
            ...this.coverage.figures,
            ...this.flaps.figures,
            storeRateExceeded: this.store.exceeded,
            storeReads: this.store.reads,
            refusedStops: this.agents.filter(agent => agent.task.isSuperseded).length,
        };
    }

    private startAgent(engine: worlds.EngineState): void {
        const id = this.agents.length;
        const offsetMs = (this.random() * 2 - 1) * CLOCK_OFFSET_MS;
        const process = new worlds.ProcessClock(this.clock, offsetMs);
        const lease = this.leased ? new leases.OrderLease(process) : new policies.UncheckedLease(process);
        const takeHoldBack = () => {
            const pauseMs = agent.holdBackMs;
            agent.holdBackMs = 0;
            if (pauseMs > 0) {
                this.replaceDuring(agent, pauseMs);
            }
            return pauseMs > 0;
        };
        const port = worlds.createEngine(
            engine,
            id,
            process,
            this.network,
            takeHoldBack,
            effect => this.recordEffect(effect),
        );
        const task = new tasks.PlacementTask({
            clock: process,
            random: this.random,
            log: logs.silentLog,
            engine: port,
            weightStore: { read: () => this.network.exchange(process, () => this.store.read(this.clock.now())) },
            service: engine.service,
            slot: engine.slot,
            incarnation: Math.round(process.wall()),
            configuration: () => this.findSnapshot(agent).configuration,
            findLiveSlots: () => this.findLive(agent),
            findHolders: model => this.findHolders(agent, model),
            canSend: () => this.clock.now() - agent.tickedMs < 1_500 && this.clock.now() >= agent.refreshedMs,
            checksFencing: () => engine.checks,
            lease,
            ...this.policy,
        });
        const nowMs = this.clock.now();
        const lagSteps = 1 + Math.floor(this.random() * MAX_VIEW_LAG_STEPS);
        const agent: Agent = {
            id,
            engine,
            process,
            task,
            lease,
            startedMs: nowMs,
            lagSteps,
            hiddenUntilMs: 0,
            holdBackMs: 0,
            tickedMs: nowMs,
            refreshedMs: nowMs,
            inputKey: "",
            inputChanges: 0,
        };
        this.agents.push(agent);
        task.start();
    }

    private currentAgent(engine: worlds.EngineState): Agent {
        return this.agents.filter(agent => agent.engine === engine).at(-1)!;
    }

    private tick(agent: Agent): void {
        const nowMs = this.clock.now();
        if (agent.process.isPaused) {
            return;
        }
        if (nowMs - agent.tickedMs > 1_500) {
            agent.refreshedMs = nowMs + VIEW_PERIOD_MS;
        }
        agent.tickedMs = nowMs;
        agent.lease.tick();
        const seen = this.agents.filter(other =>
            other.engine === agent.engine && (other.startedMs <= nowMs - LIST_LAG_MS || other.startedMs <= 1_000_000)
        );
        if (seen.at(-1) === agent) {
            agent.lease.confirmListed(nowMs);
        }
        const inputKey = `${this.findSnapshot(agent).configuration.version} ${[...this.findLive(agent)].sort().join()}`;
        if (inputKey !== agent.inputKey) {
            agent.inputKey = inputKey;
            agent.inputChanges++;
        }
    }

    private takeSnapshot(): void {
        const nowMs = this.clock.now();
        const name = (engine: worlds.EngineState) => `${engine.service}/${engine.slot}`;
        const seen = this.engines.filter(engine => engine.alive || nowMs - engine.diedMs < DEATH_SEEN_MS);
        const held = new Map(this.engines.map(engine => [name(engine), new Set(engine.models)] as const));
        this.snapshots.push({ held, live: new Set(seen.map(name)), configuration: this.configuration });
    }

    private findSnapshot(agent: Agent): Snapshot {
        return this.snapshots.at(-1 - agent.lagSteps) ?? this.snapshots[0]!;
    }

    private findLive(agent: Agent): ReadonlySet<string> {
        const isHidden = this.clock.now() < agent.hiddenUntilMs;
        const slots = [...this.findSnapshot(agent).live]
            .filter(name => name.startsWith(`${agent.engine.service}/`))
            .map(name => name.slice(agent.engine.service.length + 1));
        return new Set(slots.filter(slot => !isHidden || Number(slot.slice(1)) % 2 === agent.id % 2));
    }

    private findHolders(agent: Agent, model: string): readonly string[] {
        const snapshot = this.findSnapshot(agent);
        return [...this.findLive(agent)].filter(slot =>
            slot !== agent.engine.slot && snapshot.held.get(`${agent.engine.service}/${slot}`)?.has(model) === true
        );
    }

    private causeEvent(): void {
        const engine = this.engines[Math.floor(this.random() * this.engines.length)]!;
        const agent = this.currentAgent(engine);
        const kind = Math.floor(this.random() * 5);
        const pauseMs = 2_000 + this.random() * 28_000;
        if (kind === 0 && engine.alive) {
            this.killEngine(engine);
        }
        else if (kind === 1) {
            this.pauseAndReplace(agent, pauseMs);
        }
        else if (kind === 2) {
            agent.process.pause();
            this.clock.schedule(pauseMs, () => agent.process.resume());
        }
        else if (kind === 3) {
            this.agents.forEach(other => other.hiddenUntilMs = this.clock.now() + this.random() * 10_000);
        }
        else if (kind === 4) {
            this.switchPreset();
        }
    }

    private killEngine(engine: worlds.EngineState): void {
        engine.alive = false;
        engine.models = new Set();
        engine.fence = 0;
        engine.diedMs = this.clock.now();
        this.clock.schedule(RETURN_MS, () => {
            engine.alive = true;
            engine.boot++;
        });
    }

    /** Pauses the agent, half the time with its next order unwritten, and starts its successor. */
    private pauseAndReplace(agent: Agent, pauseMs: number): void {
        this.switchPreset();
        if (this.random() < 0.5) {
            agent.holdBackMs = pauseMs;
            return;
        }
        agent.process.pause();
        this.replaceDuring(agent, pauseMs);
    }

    private replaceDuring(agent: Agent, pauseMs: number): void {
        this.figures["agentsReplaced"]!++;
        this.clock.schedule(pauseMs / 4, () => this.startAgent(agent.engine));
        this.clock.schedule(pauseMs, () => agent.process.resume());
    }

    private switchPreset(): void {
        const { version, preset } = this.configuration;
        this.configuration = policies.createConfiguration(version + 1, preset === "peak" ? "ordinary" : "peak");
    }

    private recordEffect(effect: worlds.Effect): void {
        const { engine, order } = effect;
        const claimKey = `${engine.service}/${engine.slot}/${engine.boot}`;
        const newestId = Math.max(this.newestOrdering.get(claimKey) ?? 0, effect.agent);
        this.newestOrdering.set(claimKey, newestId);
        if (order.action === "role") {
            return;
        }
        this.figures["orders"]!++;
        if (order.action === "unload") {
            this.recordUnload(effect);
        }
        const successor = this.agents.find(agent => agent.engine === engine && agent.id > effect.agent);
        if (successor !== undefined) {
            this.countOldOrder(effect, successor, newestId > effect.agent);
        }
        this.flaps.record(effect, this.agents[effect.agent]!.inputChanges, this.clock.now());
    }

    private recordUnload(effect: worlds.Effect): void {
        const { service } = effect.engine;
        const model = effect.order.subject;
        const holders = this.engines.filter(engine => engine.service === service && engine.models.has(model));
        const { configuration } = this.findSnapshot(this.agents[effect.agent]!);
        const wanted = placements.countReplicas(configuration, service, model);
        this.coverage.noteUnload(`${service}/${model}`, holders.length, wanted, this.clock.now());
    }

    /** Orders of an old incarnation: on checking engines by whether the successor had ordered, else by the window. */
    private countOldOrder(effect: worlds.Effect, successor: Agent, isClaimed: boolean): void {
        if (effect.engine.checks) {
            // Nobody can recall an order that was on its way before its agent had a successor.
            const unclaimed = effect.writtenMs < successor.startedMs ? "ordersBeforeSuccessor" : "oldOrdersBeforeClaim";
            this.figures[isClaimed ? "oldOrdersChecking" : unclaimed]!++;
            return;
        }
        const waitMs = leases.LEASE_MS + leases.LEASE_MARGIN_MS;
        if (this.clock.now() <= successor.startedMs + waitMs) {
            return;
        }
        const sentInLease = effect.sentMs <= successor.startedMs + LIST_LAG_MS + leases.LEASE_MS;
        this.figures[sentInLease ? "oldOrdersInsideWindow" : "oldOrdersOutsideWindow"]!++;
    }
}

/** The experiment; figures are counts, moments are steps of 50 ms for each model. */
export const placement: experiments.Experiment = {
    name: "placement",
    async run(seed) {
        const baseline = await new Trial(seed, policies.baselinePolicy, false).run();
        const policy = await new Trial(seed, {}, true).run();
        return {
            baseline,
            policy,
            bounds: {
                oldOrdersChecking: { atMost: 0 },
                oldOrdersOutsideWindow: { atMost: 0 },
                uncoveredMoments: { atMost: 0 },
                storeRateExceeded: { atMost: 0 },
                flaps: { atMost: 0 },
                orders: { atLeast: 50 },
                oldOrdersBeforeClaim: { atMost: 0 },
                agentsReplaced: { atLeast: 5 },
            },
        };
    },
};
