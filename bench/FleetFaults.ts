/**
 * Injects faults into a fleet of processes on a seeded schedule, and records what each fault affected.
 */
import * as clocks from "../src/common/Clock";
import * as timeOrderedKeys from "../src/common/TimeOrderedKey";
import * as keyLeases from "../src/process/keys/KeyLease";
import * as fleets from "../standins/ProcessFleet";
import * as histories from "./OnceHistory";

const MIN_FAULT_INTERVAL_MS = 200;
const MAX_FAULT_INTERVAL_MS = 800;
/** Time between two slot changes, so that keys are served by their home instances in between. */
const SLOTS_COOLDOWN_MS = 5_000;
/** Time for connections and views to recover after a fault, including the longest backoff and silence limit. */
const RECOVERY_MS = 6_000;

export interface FleetFaultsOptions {
    readonly fleet: fleets.ProcessFleet;
    /** The service whose slots change and whose upstreams fail. */
    readonly service: string;
    readonly random: () => number;
    readonly keyLifetimeMs: number;
    /** Fault settings; one is drawn for an upstream stand-in and applied for a limited time. */
    readonly upstreamFaults: readonly Record<string, unknown>[];
    /** Whether slots are removed from the service and added back. */
    readonly hasSlotChanges: boolean;
}

type InjectFault = () => Promise<(() => Promise<void> | void) | undefined>;

interface FaultPlan {
    readonly kind: string;
    readonly members: readonly string[];
    /** Resources that no other fault may affect meanwhile; by default the members. */
    readonly resources?: readonly string[];
    readonly isLink?: boolean;
    readonly durationMs: number;
    /** Whether keys may lose their ledger entries, because their home instance restarts or changes. */
    readonly canLoseLedger?: boolean;
    /** Time after the fault's end during which its resources stay reserved. */
    readonly cooldownMs?: number;
    /** Starts the fault; resolves to the function that ends it, if any. */
    readonly inject: InjectFault;
}

/** Runs one schedule of faults. */
export class FleetFaults {
    readonly records: histories.FaultRecord[] = [];
    private readonly busyResources = new Set<string>();
    private readonly tasks = new Set<Promise<void>>();
    private readonly clock = clocks.systemClock;

    constructor(private readonly options: FleetFaultsOptions) {}

    /** Injects faults for `durationMs`; resolves when all of them have ended. */
    async run(durationMs: number): Promise<void> {
        const endMs = this.clock.now() + durationMs;
        while (this.clock.now() < endMs) {
            const plan = this.drawFault();
            if (plan !== undefined && !findResources(plan).some(name => this.busyResources.has(name))) {
                const task = this.injectFault(plan, endMs);
                this.tasks.add(task);
                void task.then(() => this.tasks.delete(task));
            }
            await clocks.sleep(this.clock, this.randomBetween(MIN_FAULT_INTERVAL_MS, MAX_FAULT_INTERVAL_MS));
        }
        await Promise.all(this.tasks);
    }

    /** Time during which keys are rejected after their home instance was lost or changed. */
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
            ledgerRecoveryMs: plan.canLoseLedger ? this.ledgerRecoveryMs : undefined,
        });
    }

    /** Draws the next fault; neither the choices nor their number depend on the faults in progress. */
    private drawFault(): FaultPlan | undefined {
        const planners = [
            () => this.kill(this.pick(this.options.fleet.agentNames), true),
            () => this.kill(this.pick(this.options.fleet.entryNames), false),
            () => this.pause(this.pick(this.options.fleet.agentNames)),
            () => this.pause(this.pick(this.options.fleet.entryNames)),
            () => this.disruptUpstream(this.pick(this.options.fleet.agentNames)),
            () => this.setUpstreamFaults(this.pick(this.options.fleet.agentNames)),
            () => this.disruptLink(this.options.fleet.entryNames),
            () => this.disruptLink(this.options.fleet.agentNames),
            () => this.isolateWithEntry(this.pick(this.options.fleet.agentNames)),
            () =>
                this.cutConfigurationPath(
                    this.pick([...this.options.fleet.agentNames, ...this.options.fleet.entryNames]),
                ),
            () => this.hideFromList(this.pick([...this.options.fleet.agentNames, ...this.options.fleet.entryNames])),
            () => this.options.hasSlotChanges ? this.changeSlots(this.pick(this.options.fleet.agentNames)) : undefined,
            () =>
                this.options.hasSlotChanges
                    ? this.replaceIsolated(this.pick(this.options.fleet.agentNames))
                    : undefined,
        ];
        return this.pick(planners)();
    }

    private kill(name: string, canLoseLedger: boolean): FaultPlan {
        const child = this.options.fleet.processOf(name);
        return {
            kind: "kill",
            members: [name],
            canLoseLedger,
            durationMs: this.randomBetween(200, 1_200),
            inject: () => {
                child.kill();
                return Promise.resolve(() => child.start());
            },
        };
    }

    private pause(name: string): FaultPlan {
        const child = this.options.fleet.processOf(name);
        return {
            kind: "pause",
            members: [name],
            durationMs: this.randomBetween(200, 5_000),
            inject: () => {
                child.pause();
                return Promise.resolve(() => child.resume());
            },
        };
    }

    private disruptUpstream(slot: string): FaultPlan {
        const action = this.pick(["restart", "cutConnections"]);
        return {
            kind: action,
            members: [slot],
            durationMs: 0,
            inject: () => this.options.fleet.control(slot, action).then(() => undefined),
        };
    }

    private setUpstreamFaults(slot: string): FaultPlan {
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

    /** Cuts or stalls the connections between an agent and one of `others`. */
    private disruptLink(others: readonly string[]): FaultPlan | undefined {
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
                fleet.setPeerPathMode(agent, other, mode);
                return Promise.resolve(() => fleet.setPeerPathMode(agent, other, "pass"));
            },
        };
    }

    /** Partitions an agent and one entry from all other processes and the configuration service. */
    private isolateWithEntry(agent: string): FaultPlan {
        const { fleet } = this.options;
        const inside = [agent, this.pick(fleet.entryNames)];
        const outside = [...fleet.entryNames, ...fleet.agentNames].filter(name => !inside.includes(name));
        const setMode = (mode: "cut" | "pass"): void => {
            inside.forEach(name => fleet.setConfigurationPathMode(name, mode));
            inside.forEach(name => outside.forEach(other => fleet.setPeerPathMode(name, other, mode)));
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

    private cutConfigurationPath(name: string): FaultPlan {
        const { fleet } = this.options;
        return {
            kind: "platform",
            members: [name],
            durationMs: this.randomBetween(500, 6_000),
            inject: () => {
                fleet.setConfigurationPathMode(name, "cut");
                return Promise.resolve(() => fleet.setConfigurationPathMode(name, "pass"));
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

    /** Removes a slot from the published set and adds it back; any key may get another home. */
    private changeSlots(slot: string): FaultPlan | undefined {
        const { fleet, service } = this.options;
        const published = fleet.configuration.services[service]!.slots[slot];
        return published && {
            kind: "slots",
            members: fleet.agentNames,
            resources: ["slots"],
            canLoseLedger: true,
            durationMs: this.randomBetween(500, 5_000),
            cooldownMs: SLOTS_COOLDOWN_MS,
            inject: async () => {
                await fleet.publish(draft => delete draft.services[service]!.slots[slot]);
                return () =>
                    fleet.publish(draft => draft.services[service]!.slots[slot] = published).then(() => undefined);
            },
        };
    }

    /** Removes the slot of an agent that is partitioned with an entry and hidden from the others' instance lists. */
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
