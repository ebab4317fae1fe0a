/**
 * The built programs as processes of their own, started by a test or experiment: entries, agents and the
 * stand-ins of upstreams and platform. Every process reaches each other one through a relay of its own, and
 * reads an instance list of its own, so that each path can be cut and each view can differ.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as yaml from "yaml";
import * as clocks from "../src/common/Clock";
import * as configurations from "../src/common/Configuration";
import * as ports from "../src/common/Ports";
import * as executions from "./ExecutionLog";
import * as childProcesses from "./FleetProcess";
import * as freePorts from "./FreePorts";
import * as instanceLists from "./InstanceListStandIn";
import * as relays from "./TcpRelay";

const READY_POLL_MS = 50;
const CONFIGURATION = "configuration";
const WEIGHTS = "weights";

/** An agent to start; its slot need not be published. */
export interface AgentSpec {
    readonly slot: string;
    readonly service: string;
    readonly failureDomain: string;
}

/** What to start. */
export interface ProcessFleetSpec {
    readonly configuration: configurations.Configuration;
    readonly entries: number;
    /** Agents; undefined for one beside each published slot. */
    readonly agents?: readonly AgentSpec[] | undefined;
    /** Options of an upstream's stand-in. */
    readonly upstreamOptions?: ((service: string, slot: string) => Record<string, unknown>) | undefined;
    /** Further settings of every process. */
    readonly settings?: Record<string, unknown> | undefined;
    /** Folder for the processes' logs; undefined drops them. */
    readonly logFolder?: string | undefined;
}

/** One process of the system, and what it sees of the others. */
interface Member {
    readonly name: string;
    readonly role: "entry" | "agent";
    readonly service: string | undefined;
    readonly failureDomain: string;
    readonly peerPort: number;
    readonly adminPort: number;
    readonly callerPort: number;
    readonly process: childProcesses.FleetProcess;
    readonly list: instanceLists.InstanceListStandIn;
    readonly platform: relays.TcpRelay;
    /** Relays towards the other members, by their names. */
    readonly paths: Map<string, relays.TcpRelay>;
    /** Members that its instance list leaves out. */
    readonly hidden: Set<string>;
}

/** An execution, and the slot of the upstream that it happened on. */
export interface SlotExecution extends executions.Execution {
    readonly slot: string;
}

/** A running fleet. */
export class ProcessFleet implements clocks.Disposable {
    private readonly members = new Map<string, Member>();
    private readonly folder = fs.mkdtempSync(path.join(os.tmpdir(), "cumincrank-fleet-"));
    private readonly standIns: childProcesses.FleetProcess;
    private readonly agents: readonly AgentSpec[];
    private controlAddress = "";
    private addresses: Record<string, string> = {};
    private document: configurations.Configuration;

    private constructor(private readonly spec: ProcessFleetSpec) {
        this.document = spec.configuration;
        this.agents = spec.agents ?? listAgents(spec.configuration);
        this.standIns = new childProcesses.FleetProcess([
            path.resolve("dist/standins.cjs"),
            "--spec",
            this.writeSpec(),
        ]);
    }

    /** Starts everything and resolves when every entry is ready and connected to every agent. */
    static async start(spec: ProcessFleetSpec): Promise<ProcessFleet> {
        const fleet = new ProcessFleet(spec);
        await fleet.startStandIns();
        await fleet.createMembers();
        fleet.members.forEach(member => fleet.updateList(member));
        fleet.members.forEach(member => member.process.start());
        await fleet.waitUntilConnected();
        return fleet;
    }

    get entryNames(): readonly string[] {
        return [...this.members.values()].filter(({ role }) => role === "entry").map(({ name }) => name);
    }

    get agentNames(): readonly string[] {
        return this.agents.map(({ slot }) => slot);
    }

    /** The document published last. */
    get configuration(): configurations.Configuration {
        return this.document;
    }

    /** Where callers reach an entry. */
    callerAddress(entry: string): string {
        return `127.0.0.1:${this.find(entry).callerPort}`;
    }

    /** The process of a member, for its signals. */
    process(name: string): childProcesses.FleetProcess {
        return this.find(name).process;
    }

    /** Sets both ways between two members. */
    setPath(one: string, other: string, mode: relays.RelayMode): void {
        this.find(one).paths.get(other)!.mode = mode;
        this.find(other).paths.get(one)!.mode = mode;
    }

    /** Sets a member's way to the configuration service. */
    setPlatform(name: string, mode: relays.RelayMode): void {
        this.find(name).platform.mode = mode;
    }

    /** Leaves a member out of another one's instance list, or names it again. */
    setListed(reader: string, name: string, isListed: boolean): void {
        const member = this.find(reader);
        if (isListed) {
            member.hidden.delete(name);
        }
        else {
            member.hidden.add(name);
        }
        this.updateList(member);
    }

    /** Publishes a changed copy under the next version. */
    async publish(change: (draft: configurations.Configuration) => void): Promise<number> {
        const draft = structuredClone(this.document);
        change(draft);
        draft.version = this.document.version + 1;
        this.document = draft;
        await this.control(CONFIGURATION, "publish", [draft]);
        return draft.version;
    }

    /** Runs an action of a stand-in: an upstream by its slot, `configuration` or `weights`. */
    async control(standin: string, action: string, args: readonly unknown[] = []): Promise<void> {
        const body = JSON.stringify({ standin, action, arguments: args });
        await fetch(`http://${this.controlAddress}/control`, { method: "POST", body });
    }

    /** What the upstreams have really done. */
    async readExecutions(): Promise<SlotExecution[]> {
        const found: SlotExecution[] = [];
        for (const { slot } of this.agents) {
            const { log } = await this.readLog(slot) as { log: executions.Execution[] };
            found.push(...log.map(execution => ({ ...execution, slot })));
        }
        return found;
    }

    /** What a process believes; undefined when it doesn't answer. */
    async readStatus(name: string): Promise<Record<string, unknown> | undefined> {
        try {
            const response = await fetch(`http://127.0.0.1:${this.find(name).adminPort}/status`);
            return await response.json() as Record<string, unknown>;
        }
        catch {
            return undefined;
        }
    }

    /** Resolves when every process is ready and every entry is connected to every agent. */
    async waitUntilConnected(): Promise<void> {
        for (const { name, role } of this.members.values()) {
            for (;;) {
                const status = await this.readStatus(name);
                const connected = status?.["agents"] as unknown[] | undefined ?? [];
                if (status?.["ready"] === true && (role === "agent" || connected.length >= this.agents.length)) {
                    break;
                }
                await clocks.sleep(clocks.systemClock, READY_POLL_MS);
            }
        }
    }

    /** Kills every process and removes the files. */
    dispose(): void {
        for (const { process: child, list, platform, paths } of this.members.values()) {
            child.kill();
            list.dispose();
            platform.dispose();
            paths.forEach(relay => relay.dispose());
        }
        this.standIns.kill();
        fs.rmSync(this.folder, { recursive: true, force: true });
    }

    private find(name: string): Member {
        const member = this.members.get(name);
        if (member === undefined) {
            throw new Error(`no member ${name}`);
        }
        return member;
    }

    private async readLog(standin: string): Promise<Record<string, unknown>> {
        const response = await fetch(`http://${this.controlAddress}/log?standin=${standin}`);
        return await response.json() as Record<string, unknown>;
    }

    private writeSpec(): string {
        const { configuration, upstreamOptions } = this.spec;
        const models = Object.keys(configuration.models);
        const upstreams = this.agents.map(({ slot, service }) => ({
            name: slot,
            kind: configuration.services[service]!.kind,
            options: { models, ...upstreamOptions?.(service, slot) },
        }));
        const platform = [
            { name: CONFIGURATION, kind: "configuration", options: { document: configuration } },
            { name: WEIGHTS, kind: "weights" },
        ];
        return this.writeFile("standins.yaml", { controlPort: 0, standIns: [...platform, ...upstreams] });
    }

    private writeFile(name: string, content: unknown): string {
        const file = path.join(this.folder, name);
        fs.writeFileSync(file, yaml.stringify(content));
        return file;
    }

    private async startStandIns(): Promise<void> {
        this.standIns.start();
        const line = await this.standIns.readLine();
        this.controlAddress = line.split(" ")[1] ?? "";
        for (const name of [CONFIGURATION, WEIGHTS, ...this.agentNames]) {
            this.addresses[name] = String((await this.readLog(name))["address"]);
        }
    }

    private async createMembers(): Promise<void> {
        const domains = Object.keys(this.document.failureDomains);
        for (let index = 0; index < this.spec.entries; index++) {
            await this.createMember(`entry-${index + 1}`, undefined, domains[index % domains.length]!);
        }
        for (const { slot, service, failureDomain } of this.agents) {
            await this.createMember(slot, service, failureDomain);
        }
        for (const member of this.members.values()) {
            for (const other of this.members.values()) {
                member.paths.set(other.name, await relays.TcpRelay.listen(other.peerPort));
            }
        }
    }

    private async createMember(name: string, service: string | undefined, failureDomain: string): Promise<void> {
        const [peerPort, adminPort, callerPort] = await freePorts.findFreePorts(3);
        const list = await instanceLists.InstanceListStandIn.listen();
        const platform = await relays.TcpRelay.listen(Number(this.addresses[CONFIGURATION]!.split(":")[1]));
        const shape = { name, service, failureDomain, role: service === undefined ? "entry" : "agent" } as const;
        const addresses = { peerPort: peerPort!, adminPort: adminPort!, callerPort: callerPort! };
        const file = this.writeSettings(shape, addresses, { list: list.address, platform: platform.address });
        const log = this.spec.logFolder === undefined ? undefined : path.join(this.spec.logFolder, `${name}.log`);
        const child = new childProcesses.FleetProcess(
            [path.resolve("dist/cumincrank.cjs"), shape.role, "--settings", file],
            log,
        );
        const paths = new Map<string, relays.TcpRelay>();
        this.members.set(name, { ...shape, ...addresses, process: child, list, platform, paths, hidden: new Set() });
    }

    private writeSettings(
        shape: Pick<Member, "name" | "role" | "service" | "failureDomain">,
        addresses: Pick<Member, "peerPort" | "adminPort" | "callerPort">,
        platform: { list: string; platform: string },
    ): string {
        const { name, role, service, failureDomain } = shape;
        const isEntry = role === "entry";
        return this.writeFile(`${name}.yaml`, {
            role,
            instance: name,
            failureDomain,
            region: this.document.failureDomains[failureDomain]!.region,
            peerListen: `127.0.0.1:${addresses.peerPort}`,
            adminListen: `127.0.0.1:${addresses.adminPort}`,
            configurationService: platform.platform,
            instanceList: platform.list,
            logLevel: this.spec.logFolder === undefined ? "silent" : "debug",
            ...(isEntry ? { callerListen: `127.0.0.1:${addresses.callerPort}` } : {}),
            ...(isEntry ? {} : { service, upstream: this.addresses[name], weightStore: this.addresses[WEIGHTS] }),
            ...this.spec.settings,
        });
    }

    private updateList(reader: Member): void {
        const rows: ports.ListedInstance[] = [];
        for (const { name, role, service, failureDomain } of this.members.values()) {
            if (!reader.hidden.has(name)) {
                const address = reader.paths.get(name)!.address;
                rows.push({ instance: name, role, service, failureDomain, address, state: "live" });
            }
        }
        reader.list.set(rows);
    }
}

function listAgents(configuration: configurations.Configuration): AgentSpec[] {
    return Object.entries(configuration.services).flatMap(([service, { slots }]) =>
        Object.entries(slots).map(([slot, { failureDomain }]) => ({ slot, service, failureDomain }))
    );
}

/** Runs a program to its end; for files that must be refused. */
export function runToEnd(args: readonly string[]): { code: number | undefined; output: string } {
    const ended = childProcess.spawnSync(process.execPath, args, { encoding: "utf8" });
    return { code: ended.status ?? undefined, output: ended.stdout + ended.stderr };
}
