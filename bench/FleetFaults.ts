/**
 * Brings about faults in a fleet of processes by a seeded schedule, and records what each one touched.
 */
import * as clocks from "../src/common/Clock";
import * as timeOrderedKeys from "../src/common/TimeOrderedKey";
import * as keyLeases from "../src/process/keys/KeyLease";
import * as fleets from "../standins/ProcessFleet";
import * as histories from "./OnceHistory";

const MIN_PAUSE_MS = 200;
const MAX_PAUSE_MS = 800;
/** Time between two changes of the slots, so that keys are served at their homes in between. */
const SLOTS_COOLDOWN_MS = 5_000;
/** Time in which connections and views recover after a fault, with the longest backoff and silence. */
const RECOVERY_MS = 6_000;

/** What the schedule needs. */
export interface FleetFaultsOptions {
    readonly fleet: fleets.ProcessFleet;
    /** The service whose slots change and whose upstreams fail. */
    readonly service: string;
    readonly random: () => number;
    readonly keyLifetimeMs: number;
    /** Faults that an upstream's stand-in is given for a while. */
    readonly upstreamFaults: readonly Record<string, unknown>[];
    /** Whether slots are taken out of the service and brought back. */
    readonly changesSlots: boolean;
}

type InjectFault = () => Promise<(() => Promise<void> | void) | undefined>;

interface FaultPlan {
    readonly kind: string;
    readonly members: readonly string[];
    /** What no other fault may touch meanwhile; undefined for the members. */
    readonly resources?: readonly string[];
    readonly isLink?: boolean;
    readonly durationMs: number;
    readonly isLedgerLost?: boolean;
    /** Time after its end in which its resources stay taken. */
    readonly cooldownMs?: number;
    /** Starts the fault; resolves to what ends it. */
    readonly inject: InjectFault;
}

/** A schedule under way. */
export class FleetFaults {
    readonly records: histories.FaultRecord[] = [];
    private readonly busyResources = new Set<string>();
    private readonly tasks = new Set<Promise<void>>();
    private readonly clock = clocks.systemClock;

    constructor(private readonly options: FleetFaultsOptions) {}

    /** Starts faults for `durationMs`, and resolves when all of them have ended. */
    async run(durationMs: number): Promise<void> {
        const endMs = this.clock.now() + durationMs;
        while (this.clock.now() < endMs) {
            const plan = this.drawFault();
            if (plan !== undefined && !findResources(plan).some(name => this.busyResources.has(name))) {
                const task = this.injectFault(plan, endMs);
                this.tasks.add(task);
                void task.then(() => this.tasks.delete(task));
            }
            await clocks.sleep(this.clock, this.randomBetween(MIN_PAUSE_MS, MAX_PAUSE_MS));
        }
        await Promise.all(this.tasks);
    }

    /** Time in which keys are refused after their home was lost or changed. */
    private get ledgerRecoveryMs(): number {
        return RECOVERY_MS + this.options.keyLifetimeMs + timeOrderedKeys.CLOCK_SKEW_MS + keyLeases.KEY_LEASE_MS;
    }

    private async injectFault(plan: FaultPlan, scheduleEndMs: number): Promise<void> {
        findResources(plan).forEach(name => this.busyResources.add(name));
        const startMs = this.clock.now();
        const endFault = await plan.inject();
        await clocks.sleep(this.clock, Math.min(plan.durationMs, scheduleEndMs - this.clock.now()));
        await endFault?.();
        this.clock.schedule(
            plan.cooldownMs ?? 0,
            () => findResources(plan).forEach(name => this.busyResources.delete(name)),
        );
        this.records.push({
            kind: plan.kind,
            members: plan.members,
            isLink: plan.isLink ?? false,
            startMs,
            endMs: this.clock.now(),
            recoveryMs: RECOVERY_MS,
            ledgerRecoveryMs: plan.isLedgerLost ? this.ledgerRecoveryMs : undefined,
        });
    }

    /** Draws the next fault, with the same number of choices whatever runs. */
    private drawFault(): FaultPlan | undefined {
        const planners = [
            () => this.kill(this.pick(this.options.fleet.agentNames), true),
            () => this.kill(this.pick(this.options.fleet.entryNames), false),
            () => this.pause(this.pick(this.options.fleet.agentNames)),
            () => this.pause(this.pick(this.options.fleet.entryNames)),
            () => this.failUpstream(this.pick(this.options.fleet.agentNames)),
            () => this.resetUpstream(this.pick(this.options.fleet.agentNames)),
            () => this.cutLink(this.options.fleet.entryNames),
            () => this.cutLink(this.options.fleet.agentNames),
            () => this.isolateWithEntry(this.pick(this.options.fleet.agentNames)),
            () => this.cutPlatform(this.pick([...this.options.fleet.agentNames, ...this.options.fleet.entryNames])),
            () => this.hideFromList(this.pick([...this.options.fleet.agentNames, ...this.options.fleet.entryNames])),
            () => this.options.changesSlots ? this.changeSlots(this.pick(this.options.fleet.agentNames)) : undefined,
            () =>
                this.options.changesSlots ? this.replaceIsolated(this.pick(this.options.fleet.agentNames)) : undefined,
        ];
        return this.pick(planners)();
    }

    private kill(name: string, isLedgerLost: boolean): FaultPlan {
        const child = this.options.fleet.process(name);
        return {
            kind: "kill",
            members: [name],
            isLedgerLost,
            durationMs: this.randomBetween(200, 1_200),
            inject: () => {
                child.kill();
                return Promise.resolve(() => child.start());
            },
        };
    }

    private pause(name: string): FaultPlan {
        const child = this.options.fleet.process(name);
        return {
            kind: "pause",
            members: [name],
            durationMs: this.randomBetween(200, 5_000),
            inject: () => {
                child.pause();
                return Promise.resolve(() => child.wake());
            },
        };
    }

    private failUpstream(slot: string): FaultPlan {
        const action = this.pick(["restart", "cutConnections"]);
        return {
            kind: action,
            members: [slot],
            durationMs: 0,
            inject: () => this.options.fleet.control(slot, action).then(() => undefined),
        };
    }

    private resetUpstream(slot: string): FaultPlan {
        const { fleet } = this.options;
        const faults = this.pick(this.options.upstreamFaults);
        return {
            kind: Object.keys(faults)[0]!,
            members: [slot],
            durationMs: this.randomBetween(100, 600),
            inject: async () => {
                await fleet.control(slot, "faults", [faults]);
                return () => fleet.control(slot, "faults", [{}]);
            },
        };
    }

    /** Cuts or holds the path between an agent and one of `others`. */
    private cutLink(others: readonly string[]): FaultPlan | undefined {
        const { fleet } = this.options;
        const agent = this.pick(fleet.agentNames);
        const other = this.pick(others);
        const mode = this.pick(["hold", "cut"] as const);
        const durationMs = this.randomBetween(100, 4_500);
        if (agent === other) {
            return undefined;
        }
        return {
            kind: `${mode} link`,
            members: [agent, other],
            isLink: true,
            durationMs,
            inject: () => {
                fleet.setPath(agent, other, mode);
                return Promise.resolve(() => fleet.setPath(agent, other, "pass"));
            },
        };
    }

    /** Cuts an agent and one entry off from all other processes and the configuration service. */
    private isolateWithEntry(agent: string): FaultPlan {
        const { fleet } = this.options;
        const inside = [agent, this.pick(fleet.entryNames)];
        const outside = [...fleet.entryNames, ...fleet.agentNames].filter(name => !inside.includes(name));
        const setMode = (mode: "cut" | "pass"): void => {
            inside.forEach(name => fleet.setPlatform(name, mode));
            inside.forEach(name => outside.forEach(other => fleet.setPath(name, other, mode)));
        };
        return {
            kind: "isolate",
            members: inside,
            durationMs: this.randomBetween(500, 6_000),
            inject: () => {
                setMode("cut");
                return Promise.resolve(() => setMode("pass"));
            },
        };
    }

    private cutPlatform(name: string): FaultPlan {
        const { fleet } = this.options;
        return {
            kind: "platform",
            members: [name],
            durationMs: this.randomBetween(500, 6_000),
            inject: () => {
                fleet.setPlatform(name, "cut");
                return Promise.resolve(() => fleet.setPlatform(name, "pass"));
            },
        };
    }

    private hideFromList(reader: string): FaultPlan | undefined {
        const { fleet } = this.options;
        const name = this.pick(fleet.agentNames);
        if (reader === name) {
            return undefined;
        }
        return {
            kind: "list",
            members: [reader, name],
            isLink: true,
            durationMs: this.randomBetween(1_000, 5_000),
            inject: () => {
                fleet.setListed(reader, name, false);
                return Promise.resolve(() => fleet.setListed(reader, name, true));
            },
        };
    }

    /** Takes a slot out of the published set and brings it back; every key may move. */
    private changeSlots(slot: string): FaultPlan | undefined {
        const { fleet, service } = this.options;
        const published = fleet.configuration.services[service]!.slots[slot];
        return published && {
            kind: "slots",
            members: fleet.agentNames,
            resources: ["slots"],
            isLedgerLost: true,
            durationMs: this.randomBetween(500, 5_000),
            cooldownMs: SLOTS_COOLDOWN_MS,
            inject: async () => {
                await fleet.publish(draft => delete draft.services[service]!.slots[slot]);
                return () =>
                    fleet.publish(draft => draft.services[service]!.slots[slot] = published).then(() => undefined);
            },
        };
    }

    /** Takes the slot of an agent out while it is cut off with an entry and the others' lists leave it out. */
    private replaceIsolated(agent: string): FaultPlan | undefined {
        const { fleet } = this.options;
        const isolation = this.isolateWithEntry(agent);
        const change = this.changeSlots(agent);
        const readers = [...fleet.entryNames, ...fleet.agentNames].filter(name => !isolation.members.includes(name));
        const setListed = (isListed: boolean): void =>
            readers.forEach(reader => fleet.setListed(reader, agent, isListed));
        return change && {
            ...change,
            kind: "replace",
            resources: ["slots", ...isolation.members],
            durationMs: this.randomBetween(6_000, 14_000),
            inject: async () => {
                const endIsolation = await isolation.inject();
                setListed(false);
                const restoreSlot = await change.inject();
                return async () => {
                    setListed(true);
                    await endIsolation?.();
                    await restoreSlot?.();
                };
            },
        };
    }

    private randomBetween(low: number, high: number): number {
        return low + this.options.random() * (high - low);
    }

    private pick<T>(items: readonly T[]): T {
        return items[Math.floor(this.options.random() * items.length)]!;
    }
}

function findResources(plan: FaultPlan): readonly string[] {
    return plan.resources ?? plan.members;
}
