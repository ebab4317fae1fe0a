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
const SLOTS_REST_MS = 5_000;
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

type Begin = () => Promise<(() => Promise<void> | void) | undefined>;

interface Plan {
    readonly kind: string;
    readonly members: readonly string[];
    /** What no other fault may touch meanwhile; undefined for the members. */
    readonly resources?: readonly string[];
    readonly isLink?: boolean;
    readonly durationMs: number;
    readonly forgets?: boolean;
    /** Time after its end in which its resources stay taken. */
    readonly restMs?: number;
    /** Starts the fault; resolves to what ends it. */
    readonly begin: Begin;
}

/** A schedule under way. */
export class FleetFaults {
    readonly records: histories.FaultRecord[] = [];
    private readonly busy = new Set<string>();
    private readonly tasks = new Set<Promise<void>>();
    private readonly clock = clocks.systemClock;

    constructor(private readonly options: FleetFaultsOptions) {}

    /** Starts faults for `durationMs`, and resolves when all of them have ended. */
    async run(durationMs: number): Promise<void> {
        const endMs = this.clock.now() + durationMs;
        while (this.clock.now() < endMs) {
            const plan = this.draw();
            if (plan !== undefined && !resourcesOf(plan).some(name => this.busy.has(name))) {
                const task = this.bringAbout(plan, endMs);
                this.tasks.add(task);
                void task.then(() => this.tasks.delete(task));
            }
            await clocks.sleep(this.clock, this.between(MIN_PAUSE_MS, MAX_PAUSE_MS));
        }
        await Promise.all(this.tasks);
    }

    /** Time in which keys are refused after their home was lost or changed. */
    private get ledgerMemoryMs(): number {
        return RECOVERY_MS + this.options.keyLifetimeMs + timeOrderedKeys.CLOCK_SKEW_MS + keyLeases.KEY_LEASE_MS;
    }

    private async bringAbout(plan: Plan, lastMs: number): Promise<void> {
        resourcesOf(plan).forEach(name => this.busy.add(name));
        const startMs = this.clock.now();
        const end = await plan.begin();
        await clocks.sleep(this.clock, Math.min(plan.durationMs, lastMs - this.clock.now()));
        await end?.();
        this.clock.schedule(plan.restMs ?? 0, () => resourcesOf(plan).forEach(name => this.busy.delete(name)));
        this.records.push({
            kind: plan.kind,
            members: plan.members,
            isLink: plan.isLink ?? false,
            startMs,
            endMs: this.clock.now(),
            memoryMs: RECOVERY_MS,
            ledgerMemoryMs: plan.forgets ? this.ledgerMemoryMs : undefined,
        });
    }

    /** Draws the next fault, with the same number of choices whatever runs. */
    private draw(): Plan | undefined {
        const makers = [
            () => this.kill(this.pick(this.options.fleet.agentNames), true),
            () => this.kill(this.pick(this.options.fleet.entryNames), false),
            () => this.pause(this.pick(this.options.fleet.agentNames)),
            () => this.pause(this.pick(this.options.fleet.entryNames)),
            () => this.failUpstream(this.pick(this.options.fleet.agentNames)),
            () => this.resetUpstream(this.pick(this.options.fleet.agentNames)),
            () => this.cutLink(this.options.fleet.entryNames),
            () => this.cutLink(this.options.fleet.agentNames),
            () => this.isolate(this.pick(this.options.fleet.agentNames)),
            () => this.cutPlatform(this.pick([...this.options.fleet.agentNames, ...this.options.fleet.entryNames])),
            () => this.hide(this.pick([...this.options.fleet.agentNames, ...this.options.fleet.entryNames])),
            () => this.options.changesSlots ? this.changeSlots(this.pick(this.options.fleet.agentNames)) : undefined,
            () => this.options.changesSlots ? this.replace(this.pick(this.options.fleet.agentNames)) : undefined,
        ];
        return this.pick(makers)();
    }

    private kill(name: string, forgets: boolean): Plan {
        const child = this.options.fleet.processOf(name);
        return {
            kind: "kill",
            members: [name],
            forgets,
            durationMs: this.between(200, 1_200),
            begin: () => {
                child.kill();
                return Promise.resolve(() => child.start());
            },
        };
    }

    private pause(name: string): Plan {
        const child = this.options.fleet.processOf(name);
        return {
            kind: "pause",
            members: [name],
            durationMs: this.between(200, 5_000),
            begin: () => {
                child.pause();
                return Promise.resolve(() => child.resume());
            },
        };
    }

    private failUpstream(slot: string): Plan {
        const action = this.pick(["restart", "cutConnections"]);
        return {
            kind: action,
            members: [slot],
            durationMs: 0,
            begin: () => this.options.fleet.control(slot, action).then(() => undefined),
        };
    }

    private resetUpstream(slot: string): Plan {
        const { fleet } = this.options;
        const faults = this.pick(this.options.upstreamFaults);
        return {
            kind: Object.keys(faults)[0]!,
            members: [slot],
            durationMs: this.between(100, 600),
            begin: async () => {
                await fleet.control(slot, "faults", [faults]);
                return () => fleet.control(slot, "faults", [{}]);
            },
        };
    }

    /** Cuts or holds the path between an agent and one of `others`. */
    private cutLink(others: readonly string[]): Plan | undefined {
        const { fleet } = this.options;
        const agent = this.pick(fleet.agentNames);
        const other = this.pick(others);
        const mode = this.pick(["hold", "cut"] as const);
        const durationMs = this.between(100, 4_500);
        if (agent === other) {
            return undefined;
        }
        return {
            kind: `${mode} link`,
            members: [agent, other],
            isLink: true,
            durationMs,
            begin: () => {
                fleet.setPeerPathMode(agent, other, mode);
                return Promise.resolve(() => fleet.setPeerPathMode(agent, other, "pass"));
            },
        };
    }

    /** Cuts an agent and one entry off from all other processes and the configuration service. */
    private isolate(agent: string): Plan {
        const { fleet } = this.options;
        const inside = [agent, this.pick(fleet.entryNames)];
        const outside = [...fleet.entryNames, ...fleet.agentNames].filter(name => !inside.includes(name));
        const set = (mode: "cut" | "pass"): void => {
            inside.forEach(name => fleet.setConfigurationPathMode(name, mode));
            inside.forEach(name => outside.forEach(other => fleet.setPeerPathMode(name, other, mode)));
        };
        return {
            kind: "isolate",
            members: inside,
            durationMs: this.between(500, 6_000),
            begin: () => {
                set("cut");
                return Promise.resolve(() => set("pass"));
            },
        };
    }

    private cutPlatform(name: string): Plan {
        const { fleet } = this.options;
        return {
            kind: "platform",
            members: [name],
            durationMs: this.between(500, 6_000),
            begin: () => {
                fleet.setConfigurationPathMode(name, "cut");
                return Promise.resolve(() => fleet.setConfigurationPathMode(name, "pass"));
            },
        };
    }

    private hide(reader: string): Plan | undefined {
        const { fleet } = this.options;
        const name = this.pick(fleet.agentNames);
        if (reader === name) {
            return undefined;
        }
        return {
            kind: "list",
            members: [reader, name],
            isLink: true,
            durationMs: this.between(1_000, 5_000),
            begin: () => {
                fleet.setListed(reader, name, false);
                return Promise.resolve(() => fleet.setListed(reader, name, true));
            },
        };
    }

    /** Takes a slot out of the published set and brings it back; every key may move. */
    private changeSlots(slot: string): Plan | undefined {
        const { fleet, service } = this.options;
        const published = fleet.configuration.services[service]!.slots[slot];
        return published && {
            kind: "slots",
            members: fleet.agentNames,
            resources: ["slots"],
            forgets: true,
            durationMs: this.between(500, 5_000),
            restMs: SLOTS_REST_MS,
            begin: async () => {
                await fleet.publish(draft => delete draft.services[service]!.slots[slot]);
                return () =>
                    fleet.publish(draft => draft.services[service]!.slots[slot] = published).then(() => undefined);
            },
        };
    }

    /** Takes the slot of an agent out while it is cut off with an entry and the others' lists leave it out. */
    private replace(agent: string): Plan | undefined {
        const { fleet } = this.options;
        const isolation = this.isolate(agent);
        const change = this.changeSlots(agent);
        const readers = [...fleet.entryNames, ...fleet.agentNames].filter(name => !isolation.members.includes(name));
        const setListed = (isListed: boolean): void =>
            readers.forEach(reader => fleet.setListed(reader, agent, isListed));
        return change && {
            ...change,
            kind: "replace",
            resources: ["slots", ...isolation.members],
            durationMs: this.between(6_000, 14_000),
            begin: async () => {
                const heal = await isolation.begin();
                setListed(false);
                const restore = await change.begin();
                return async () => {
                    setListed(true);
                    await heal?.();
                    await restore?.();
                };
            },
        };
    }

    private between(low: number, high: number): number {
        return low + this.options.random() * (high - low);
    }

    private pick<T>(items: readonly T[]): T {
        return items[Math.floor(this.options.random() * items.length)]!;
    }
}

function resourcesOf(plan: Plan): readonly string[] {
    return plan.resources ?? plan.members;
}
