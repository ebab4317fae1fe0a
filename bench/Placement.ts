/**
 * Experiment `placement`: engines crash and restart, agents are replaced while paused and resume with an order in
 * flight, views of the fleet differ and lag, the preset changes, and half the engines ignore fencing tokens.
 */
import * as clocks from "../src/common/Clock";
import * as configurations from "../src/common/Configuration";
import * as logs from "../src/common/Log";
import * as leases from "../src/process/placement/OrderLease";
import * as tasks from "../src/process/placement/PlacementTask";
import * as placements from "../src/version/Placement";
import * as experiments from "./Experiment";
import * as fakes from "./PlacementFakes";
import * as measures from "./PlacementMeasures";
import * as policies from "./PlacementPolicies";

const RUN_MS = 1_200_000;
const STEP_MS = 50;
const FAULT_INTERVAL_MS = 12_000;
/** Time between two snapshots of the fleet, and between two ticks of each agent. */
const VIEW_INTERVAL_MS = 500;
const MAX_VIEW_LAG_STEPS = 4;
/** Time for which a crashed engine still appears live. */
const CRASH_DETECTION_MS = 3_500;
/** Time until the instance list shows an agent's successor; the first agents are listed at once. */
const LIST_LAG_MS = 2_000;
const ENGINE_RESTART_MS = 10_000;
const MAX_CLOCK_OFFSET_MS = 20;

/** State of the fleet at one time; agents see older snapshots. */
interface Snapshot {
    readonly models: ReadonlyMap<string, ReadonlySet<string>>;
    readonly live: ReadonlySet<string>;
    readonly configuration: configurations.Configuration;
}

interface Agent {
    readonly id: number;
    readonly engine: fakes.EngineState;
    readonly process: fakes.ProcessClock;
    readonly task: tasks.PlacementTask;
    readonly lease: leases.OrderLease;
    readonly startedMs: number;
    readonly lagSteps: number;
    partialViewUntilMs: number;
    /** Duration of the pause before the next order is written; 0 for none. */
    pauseBeforeWriteMs: number;
    lastTickMs: number;
    /** After a pause, orders are sent only from this time, when the view has been refreshed. */
    viewFreshFromMs: number;
    inputKey: string;
    inputChangeCount: number;
}

class PlacementTrial {
    private readonly clock = new clocks.ManualClock();
    private readonly random: () => number;
    private readonly network: fakes.Network;
    private readonly store = new fakes.WeightStoreState();
    private readonly engines: fakes.EngineState[] = [];
    private readonly agents: Agent[] = [];
    private readonly snapshots: Snapshot[] = [];
    private readonly newestAgentIdByBoot = new Map<string, number>();
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

    constructor(seed: number, private readonly policy: policies.PolicyOverrides, private readonly usesLease: boolean) {
        this.random = fakes.createRandom(seed);
        this.network = new fakes.Network(this.clock, this.random);
        for (const service of ["checking", "ignoring"]) {
            for (let index = 0; index < policies.SLOTS_PER_SERVICE; index++) {
                const checksFencing = service === "checking";
                const slot = `s${index}`;
                const models = new Set<string>();
                this.engines.push({ service, slot, checksFencing, isUp: true, boot: 0, models, fence: 0, diedMs: 0 });
            }
        }
    }

    async run(): Promise<experiments.Figures> {
        this.takeSnapshot();
        this.engines.forEach(engine => this.startAgent(engine));
        for (let elapsedMs = 0; elapsedMs < RUN_MS; elapsedMs += STEP_MS) {
            this.clock.advance(STEP_MS);
            await new Promise(setImmediate);
            if (elapsedMs % VIEW_INTERVAL_MS === 0) {
                this.takeSnapshot();
                this.agents.forEach(agent => this.tick(agent));
            }
            if (elapsedMs > 0 && elapsedMs % FAULT_INTERVAL_MS === 0) {
                this.injectFault();
            }
            this.coverage.measure(this.engines, this.clock.now());
        }
        this.agents.forEach(agent => agent.task.dispose());
        return {
            ...this.figures,
            ...this.coverage.figures,
            ...this.flaps.figures,
            storeRateExceeded: this.store.rejectedReads,
            storeReads: this.store.reads,
            refusedStops: this.agents.filter(agent => agent.task.isSuperseded).length,
        };
    }

    private startAgent(engine: fakes.EngineState): void {
        const id = this.agents.length;
        const offsetMs = (this.random() * 2 - 1) * MAX_CLOCK_OFFSET_MS;
        const process = new fakes.ProcessClock(this.clock, offsetMs);
        const lease = this.usesLease ? new leases.OrderLease(process) : new policies.NonExpiringLease(process);
        const beginPause = () => {
            const pauseMs = agent.pauseBeforeWriteMs;
            agent.pauseBeforeWriteMs = 0;
            if (pauseMs > 0) {
                this.scheduleReplacement(agent, pauseMs);
            }
            return pauseMs > 0;
        };
        const enginePort = fakes.createEnginePort(
            engine,
            id,
            process,
            this.network,
            beginPause,
            applied => this.recordOrder(applied),
        );
        const task = new tasks.PlacementTask({
            clock: process,
            random: this.random,
            log: logs.silentLog,
            engine: enginePort,
            weightStore: { read: () => this.network.request(process, () => this.store.read(this.clock.now())) },
            service: engine.service,
            slot: engine.slot,
            incarnation: Math.round(process.wall()),
            configuration: () => this.findSnapshot(agent).configuration,
            findLiveSlots: () => this.findLiveSlots(agent),
            findHolders: model => this.findHolders(agent, model),
            canSend: () => this.clock.now() - agent.lastTickMs < 1_500 && this.clock.now() >= agent.viewFreshFromMs,
            checksFencing: () => engine.checksFencing,
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
            partialViewUntilMs: 0,
            pauseBeforeWriteMs: 0,
            lastTickMs: nowMs,
            viewFreshFromMs: nowMs,
            inputKey: "",
            inputChangeCount: 0,
        };
        this.agents.push(agent);
        task.start();
    }

    private findCurrentAgent(engine: fakes.EngineState): Agent {
        return this.agents.filter(agent => agent.engine === engine).at(-1)!;
    }

    private tick(agent: Agent): void {
        const nowMs = this.clock.now();
        if (agent.process.isPaused) {
            return;
        }
        if (nowMs - agent.lastTickMs > 1_500) {
            agent.viewFreshFromMs = nowMs + VIEW_INTERVAL_MS;
        }
        agent.lastTickMs = nowMs;
        agent.lease.tick();
        const listed = this.agents.filter(other =>
            other.engine === agent.engine && (other.startedMs <= nowMs - LIST_LAG_MS || other.startedMs <= 1_000_000)
        );
        if (listed.at(-1) === agent) {
            agent.lease.confirmListed(nowMs);
        }
        const key = `${this.findSnapshot(agent).configuration.version} ${[...this.findLiveSlots(agent)].sort().join()}`;
        if (key !== agent.inputKey) {
            agent.inputKey = key;
            agent.inputChangeCount++;
        }
    }

    private takeSnapshot(): void {
        const nowMs = this.clock.now();
        const keyOf = (engine: fakes.EngineState) => `${engine.service}/${engine.slot}`;
        const live = this.engines.filter(engine => engine.isUp || nowMs - engine.diedMs < CRASH_DETECTION_MS);
        const models = new Map(this.engines.map(engine => [keyOf(engine), new Set(engine.models)] as const));
        this.snapshots.push({ models, live: new Set(live.map(keyOf)), configuration: this.configuration });
    }

    private findSnapshot(agent: Agent): Snapshot {
        return this.snapshots.at(-1 - agent.lagSteps) ?? this.snapshots[0]!;
    }

    private findLiveSlots(agent: Agent): ReadonlySet<string> {
        const isViewPartial = this.clock.now() < agent.partialViewUntilMs;
        const slots = [...this.findSnapshot(agent).live]
            .filter(name => name.startsWith(`${agent.engine.service}/`))
            .map(name => name.slice(agent.engine.service.length + 1));
        return new Set(slots.filter(slot => !isViewPartial || Number(slot.slice(1)) % 2 === agent.id % 2));
    }

    private findHolders(agent: Agent, model: string): readonly string[] {
        const snapshot = this.findSnapshot(agent);
        return [...this.findLiveSlots(agent)].filter(slot =>
            slot !== agent.engine.slot && snapshot.models.get(`${agent.engine.service}/${slot}`)?.has(model) === true
        );
    }

    private injectFault(): void {
        const engine = this.engines[Math.floor(this.random() * this.engines.length)]!;
        const agent = this.findCurrentAgent(engine);
        const kind = Math.floor(this.random() * 5);
        const pauseMs = 2_000 + this.random() * 28_000;
        if (kind === 0 && engine.isUp) {
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
            this.agents.forEach(other => other.partialViewUntilMs = this.clock.now() + this.random() * 10_000);
        }
        else if (kind === 4) {
            this.switchPreset();
        }
    }

    private killEngine(engine: fakes.EngineState): void {
        engine.isUp = false;
        engine.models = new Set();
        engine.fence = 0;
        engine.diedMs = this.clock.now();
        this.clock.schedule(ENGINE_RESTART_MS, () => {
            engine.isUp = true;
            engine.boot++;
        });
    }

    /** Pauses the agent, at once or (half the time) just before it writes its next order, and starts its successor. */
    private pauseAndReplace(agent: Agent, pauseMs: number): void {
        this.switchPreset();
        if (this.random() < 0.5) {
            agent.pauseBeforeWriteMs = pauseMs;
            return;
        }
        agent.process.pause();
        this.scheduleReplacement(agent, pauseMs);
    }

    private scheduleReplacement(agent: Agent, pauseMs: number): void {
        this.figures["agentsReplaced"]!++;
        this.clock.schedule(pauseMs / 4, () => this.startAgent(agent.engine));
        this.clock.schedule(pauseMs, () => agent.process.resume());
    }

    private switchPreset(): void {
        const { version, preset } = this.configuration;
        this.configuration = policies.createConfiguration(version + 1, preset === "peak" ? "ordinary" : "peak");
    }

    private recordOrder(applied: fakes.AppliedOrder): void {
        const { engine, order } = applied;
        const bootKey = `${engine.service}/${engine.slot}/${engine.boot}`;
        const newestAgentId = Math.max(this.newestAgentIdByBoot.get(bootKey) ?? 0, applied.agentId);
        this.newestAgentIdByBoot.set(bootKey, newestAgentId);
        if (order.action === "role") {
            return;
        }
        this.figures["orders"]!++;
        if (order.action === "unload") {
            this.recordUnload(applied);
        }
        const successor = this.agents.find(agent => agent.engine === engine && agent.id > applied.agentId);
        if (successor !== undefined) {
            this.countStaleOrder(applied, successor, newestAgentId > applied.agentId);
        }
        this.flaps.record(applied, this.agents[applied.agentId]!.inputChangeCount, this.clock.now());
    }

    private recordUnload(applied: fakes.AppliedOrder): void {
        const { service } = applied.engine;
        const model = applied.order.subject;
        const holders = this.engines.filter(engine => engine.service === service && engine.models.has(model));
        const { configuration } = this.findSnapshot(this.agents[applied.agentId]!);
        const wanted = placements.countReplicas(configuration, service, model);
        this.coverage.recordUnload(`${service}/${model}`, holders.length, wanted, this.clock.now());
    }

    /** Counts a replaced agent's order, by newer orders if the engine checks fencing, else by the time of its lease. */
    private countStaleOrder(applied: fakes.AppliedOrder, successor: Agent, hasNewerOrder: boolean): void {
        if (applied.engine.checksFencing) {
            // An order that was in flight before its agent had a successor can't be recalled.
            const figure = applied.writtenMs < successor.startedMs ? "ordersBeforeSuccessor" : "oldOrdersBeforeClaim";
            this.figures[hasNewerOrder ? "oldOrdersChecking" : figure]!++;
            return;
        }
        const leaseWaitMs = leases.LEASE_MS + leases.LEASE_MARGIN_MS;
        if (this.clock.now() <= successor.startedMs + leaseWaitMs) {
            return;
        }
        const isSentWithinLease = applied.sentMs <= successor.startedMs + LIST_LAG_MS + leases.LEASE_MS;
        this.figures[isSentWithinLease ? "oldOrdersInsideWindow" : "oldOrdersOutsideWindow"]!++;
    }
}

/** The experiment. Figures are counts; a moment is one step of 50 ms for one model. */
export const placement: experiments.Experiment = {
    name: "placement",
    async run(seed) {
        const baseline = await new PlacementTrial(seed, policies.baselinePolicy, false).run();
        const policy = await new PlacementTrial(seed, {}, true).run();
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
