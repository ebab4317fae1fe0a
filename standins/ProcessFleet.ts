/**
 * The built programs as separate processes of a test or experiment: entries, agents and the stand-ins of upstreams
 * and platform. Each process has its own relay to every other one and its own instance list, so that a test can
 * interrupt each path and make the processes' views differ.
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
import * as fleetProcesses from "./FleetProcess";
import * as freePorts from "./FreePorts";
import * as instanceLists from "./InstanceListStandIn";
import * as relays from "./TcpRelay";

const READY_POLL_MS = 50;
const CONFIGURATION_STAND_IN = "configuration";
const WEIGHT_STORE_STAND_IN = "weights";

/** An agent to start; its slot need not be in the published configuration. */
export interface AgentSpec {
    readonly slot: string;
    readonly service: string;
    readonly failureDomain: string;
}

/** The processes of a fleet. */
export interface ProcessFleetSpec {
    readonly configuration: configurations.Configuration;
    readonly entries: number;
    /** Agents; undefined for one per published slot. */
    readonly agents?: readonly AgentSpec[] | undefined;
    /** Options of the stand-in of an upstream. */
    readonly upstreamOptions?: ((service: string, slot: string) => Record<string, unknown>) | undefined;
    /** Additional settings of every process. */
    readonly settings?: Record<string, unknown> | undefined;
    /** Folder for the logs of the processes; without it they don't log. */
    readonly logFolder?: string | undefined;
}

/** A process of the system with its own instance list and relays. */
interface Member {
    readonly name: string;
    readonly role: "entry" | "agent";
    readonly service: string | undefined;
    readonly failureDomain: string;
    readonly peerPort: number;
    readonly adminPort: number;
    readonly callerPort: number;
    readonly process: fleetProcesses.FleetProcess;
    readonly instanceList: instanceLists.InstanceListStandIn;
    readonly configurationRelay: relays.TcpRelay;
    /** Relays to the members, by name. */
    readonly peerRelays: Map<string, relays.TcpRelay>;
    /** Members that its instance list omits. */
    readonly unlistedMembers: Set<string>;
}

/** An execution with the slot of the upstream that ran it. */
export interface SlotExecution extends executions.Execution {
    readonly slot: string;
}

/** A running fleet. */
export class ProcessFleet implements clocks.Disposable {
    private readonly members = new Map<string, Member>();
    private readonly folder = fs.mkdtempSync(path.join(os.tmpdir(), "cumincrank-fleet-"));
    private readonly standIns: fleetProcesses.FleetProcess;
    private readonly agents: readonly AgentSpec[];
    private controlAddress = "";
    private standInAddresses: Record<string, string> = {};
    private latestDocument: configurations.Configuration;

    private constructor(private readonly spec: ProcessFleetSpec) {
        this.latestDocument = spec.configuration;
        this.agents = spec.agents ?? listAgents(spec.configuration);
        this.standIns = new fleetProcesses.FleetProcess([
            path.resolve("dist/standins.cjs"),
            "--spec",
            this.writeStandInSpec(),
        ]);
    }

    /** Starts all processes; resolves when every process is ready and every entry is connected to every agent. */
    static async start(spec: ProcessFleetSpec): Promise<ProcessFleet> {
        const fleet = new ProcessFleet(spec);
        await fleet.startStandIns();
        await fleet.createMembers();
        fleet.members.forEach(member => fleet.updateInstanceList(member));
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

    /** The latest published document. */
    get configuration(): configurations.Configuration {
        return this.latestDocument;
    }

    /** Address at which an entry accepts calls. */
    callerAddress(entry: string): string {
        return `127.0.0.1:${this.findMember(entry).callerPort}`;
    }

    /** The process of a member, to which signals can be sent. */
    processOf(name: string): fleetProcesses.FleetProcess {
        return this.findMember(name).process;
    }

    /** Sets the mode of the relays between two members, in both directions. */
    setPeerPathMode(firstName: string, secondName: string, mode: relays.RelayMode): void {
        this.findMember(firstName).peerRelays.get(secondName)!.mode = mode;
        this.findMember(secondName).peerRelays.get(firstName)!.mode = mode;
    }

    /** Sets the mode of the relay between a member and the configuration service. */
    setConfigurationPathMode(name: string, mode: relays.RelayMode): void {
        this.findMember(name).configurationRelay.mode = mode;
    }

    /** Omits a member from the instance list that `reader` reads, or lists it again. */
    setListed(reader: string, name: string, isListed: boolean): void {
        const member = this.findMember(reader);
        if (isListed) {
            member.unlistedMembers.delete(name);
        }
        else {
            member.unlistedMembers.add(name);
        }
        this.updateInstanceList(member);
    }

    /** Publishes a modified copy of the latest document under the next version; returns that version. */
    async publish(change: (draft: configurations.Configuration) => void): Promise<number> {
        const draft = structuredClone(this.latestDocument);
        change(draft);
        draft.version = this.latestDocument.version + 1;
        this.latestDocument = draft;
        await this.control(CONFIGURATION_STAND_IN, "publish", [draft]);
        return draft.version;
    }

    /** Runs an action of a stand-in; its name is the slot of its upstream, `configuration` or `weights`. */
    async control(standin: string, action: string, args: readonly unknown[] = []): Promise<void> {
        const body = JSON.stringify({ standin, action, arguments: args });
        await fetch(`http://${this.controlAddress}/control`, { method: "POST", body });
    }

    /** Reads the execution logs of all upstreams. */
    async readExecutions(): Promise<SlotExecution[]> {
        const slotExecutions: SlotExecution[] = [];
        for (const { slot } of this.agents) {
            const { log } = await this.readStandInLog(slot) as { log: executions.Execution[] };
            slotExecutions.push(...log.map(execution => ({ ...execution, slot })));
        }
        return slotExecutions;
    }

    /** Reads the status page of a process; undefined if it doesn't answer. */
    async readStatus(name: string): Promise<Record<string, unknown> | undefined> {
        try {
            const response = await fetch(`http://127.0.0.1:${this.findMember(name).adminPort}/status`);
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
                const connectedAgents = status?.["agents"] as unknown[] | undefined ?? [];
                if (status?.["ready"] === true && (role === "agent" || connectedAgents.length >= this.agents.length)) {
                    break;
                }
                await clocks.sleep(clocks.systemClock, READY_POLL_MS);
            }
        }
    }

    /** Kills every process and removes the files. */
    dispose(): void {
        for (const { process: child, instanceList, configurationRelay, peerRelays } of this.members.values()) {
            child.kill();
            instanceList.dispose();
            configurationRelay.dispose();
            peerRelays.forEach(relay => relay.dispose());
        }
        this.standIns.kill();
        fs.rmSync(this.folder, { recursive: true, force: true });
    }

    private findMember(name: string): Member {
        const member = this.members.get(name);
        if (member === undefined) {
            throw new Error(`unknown member ${name}`);
        }
        return member;
    }

    /** Reads the counters and logs of a stand-in; for its name see `control`. */
    async readStandInLog(standin: string): Promise<Record<string, unknown>> {
        const response = await fetch(`http://${this.controlAddress}/log?standin=${standin}`);
        return await response.json() as Record<string, unknown>;
    }

    private writeStandInSpec(): string {
        const { configuration, upstreamOptions } = this.spec;
        const models = Object.keys(configuration.models);
        const upstreams = this.agents.map(({ slot, service }) => ({
            name: slot,
            kind: configuration.services[service]!.kind,
            options: { models, ...upstreamOptions?.(service, slot) },
        }));
        const platform = [
            { name: CONFIGURATION_STAND_IN, kind: "configuration", options: { document: configuration } },
            { name: WEIGHT_STORE_STAND_IN, kind: "weights" },
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
        for (const name of [CONFIGURATION_STAND_IN, WEIGHT_STORE_STAND_IN, ...this.agentNames]) {
            this.standInAddresses[name] = String((await this.readStandInLog(name))["address"]);
        }
    }

    private async createMembers(): Promise<void> {
        const domains = Object.keys(this.latestDocument.failureDomains);
        for (let index = 0; index < this.spec.entries; index++) {
            await this.createMember(`entry-${index + 1}`, undefined, domains[index % domains.length]!);
        }
        for (const { slot, service, failureDomain } of this.agents) {
            await this.createMember(slot, service, failureDomain);
        }
        for (const member of this.members.values()) {
            for (const other of this.members.values()) {
                member.peerRelays.set(other.name, await relays.TcpRelay.listen(other.peerPort));
            }
        }
    }

    private async createMember(name: string, service: string | undefined, failureDomain: string): Promise<void> {
        const [peerPort, adminPort, callerPort] = await freePorts.findFreePorts(3);
        const instanceList = await instanceLists.InstanceListStandIn.listen();
        const configurationRelay = await relays.TcpRelay.listen(
            Number(this.standInAddresses[CONFIGURATION_STAND_IN]!.split(":")[1]),
        );
        const identity = { name, service, failureDomain, role: service === undefined ? "entry" : "agent" } as const;
        const ownPorts = { peerPort: peerPort!, adminPort: adminPort!, callerPort: callerPort! };
        const file = this.writeSettings(identity, ownPorts, {
            instanceList: instanceList.address,
            configurationService: configurationRelay.address,
        });
        const logFile = this.spec.logFolder === undefined ? undefined : path.join(this.spec.logFolder, `${name}.log`);
        const child = new fleetProcesses.FleetProcess(
            [path.resolve("dist/cumincrank.cjs"), identity.role, "--settings", file],
            logFile,
        );
        const peerRelays = new Map<string, relays.TcpRelay>();
        this.members.set(name, {
            ...identity,
            ...ownPorts,
            process: child,
            instanceList,
            configurationRelay,
            peerRelays,
            unlistedMembers: new Set(),
        });
    }

    private writeSettings(
        identity: Pick<Member, "name" | "role" | "service" | "failureDomain">,
        ownPorts: Pick<Member, "peerPort" | "adminPort" | "callerPort">,
        platformAddresses: { instanceList: string; configurationService: string },
    ): string {
        const { name, role, service, failureDomain } = identity;
        const isEntry = role === "entry";
        return this.writeFile(`${name}.yaml`, {
            role,
            instance: name,
            failureDomain,
            region: this.latestDocument.failureDomains[failureDomain]!.region,
            peerListen: `127.0.0.1:${ownPorts.peerPort}`,
            adminListen: `127.0.0.1:${ownPorts.adminPort}`,
            configurationService: platformAddresses.configurationService,
            instanceList: platformAddresses.instanceList,
            logLevel: this.spec.logFolder === undefined ? "silent" : "debug",
            ...(isEntry ? { callerListen: `127.0.0.1:${ownPorts.callerPort}` } : {}),
            ...(isEntry
                ? {}
                : {
                    service,
                    upstream: this.standInAddresses[name],
                    weightStore: this.standInAddresses[WEIGHT_STORE_STAND_IN],
                }),
            ...this.spec.settings,
        });
    }

    private updateInstanceList(reader: Member): void {
        const rows: ports.ListedInstance[] = [];
        for (const { name, role, service, failureDomain } of this.members.values()) {
            if (!reader.unlistedMembers.has(name)) {
                const address = reader.peerRelays.get(name)!.address;
                rows.push({ instance: name, role, service, failureDomain, address, state: "live" });
            }
        }
        reader.instanceList.set(rows);
    }
}

function listAgents(configuration: configurations.Configuration): AgentSpec[] {
    return Object.entries(configuration.services).flatMap(([service, { slots }]) =>
        Object.entries(slots).map(([slot, { failureDomain }]) => ({ slot, service, failureDomain }))
    );
}

/** Runs a Node.js program until it exits, for tests with settings that it must reject. */
export function runToExit(args: readonly string[]): { code: number | undefined; output: string } {
    const finished = childProcess.spawnSync(process.execPath, args, { encoding: "utf8" });
    return { code: finished.status ?? undefined, output: finished.stdout + finished.stderr };
}
