/**
 * An entry for routed calls as a process of its own, for tests that kill or stop it.
 */
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as fleetProcesses from "../FleetProcess";
import * as freePorts from "../FreePorts";

/** Number of ports that an entry listens on. */
export const PORT_COUNT = 4;
const KILOBYTES_PER_MEGABYTE = 1_024;
/** Clock ticks of /proc. */
const TICK_MS = 10;
/** Fields of /proc/PID/stat, counted from the one after the name. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;
/** Index of the port for peers among them. */
export const PEER_PORT_INDEX = 2;

/** What the settings of entries differ in. */
export interface EntryIdentity {
    readonly instance: string;
    readonly failureDomain: string;
    /** `PORT_COUNT` free ports: of callers, readiness, peers and the admin server. */
    readonly ports: readonly number[];
    readonly store: string;
    readonly seeds: readonly string[];
    readonly stopLimitSeconds: number;
    /** Address at which peers reach the entry, if it isn't the one on which it listens. */
    readonly peerAddress?: string;
}

/** Creates the settings of an entry; every JSON text is a YAML file. */
export function createSettings(identity: EntryIdentity): Record<string, unknown> {
    const { ports, ...own } = identity;
    const [callerListen, readyListen, peerListen, adminListen] = ports.map(port => `127.0.0.1:${port}`);
    return {
        ...own,
        role: "route-entry",
        region: "here",
        callerListen,
        readyListen,
        readyPath: "/ready",
        peerListen,
        adminListen,
        repeats: { windowSeconds: 10, ratio: 0.2, slack: 50 },
        coldRate: { factor: 1.5, extra: 5 },
    };
}

/** How an entry's process is started. */
export interface EntryProgramOptions {
    /** Its ports, as in `EntryIdentity`; free ones by default. */
    readonly ports?: readonly number[];
    /** File or device that gets its standard output; `unread`: a pipe that nobody reads. A file of its own by default. */
    readonly output?: string | "unread";
    readonly stopLimitSeconds?: number;
    /** Options of Node.js. */
    readonly nodeOptions?: readonly string[];
    /** Settings beside those of its identity. */
    readonly settings?: Record<string, unknown>;
    readonly maxDescriptors?: number;
}

/** The built program as one entry of a store's fleet. */
export class EntryProgram {
    private constructor(
        readonly process: fleetProcesses.FleetProcess,
        private readonly directory: string,
        readonly callerAddress: string,
        readonly readyAddress: string,
        readonly adminAddress: string,
        readonly peerAddress: string,
    ) {}

    /** Starts the process, without waiting until it is ready. */
    static async start(store: string, options: EntryProgramOptions = {}): Promise<EntryProgram> {
        const directory = fs.mkdtempSync(path.join(os.tmpdir(), "cumincrank-entry-"));
        const ports = options.ports ?? await freePorts.findFreePorts(PORT_COUNT);
        const stopLimitSeconds = options.stopLimitSeconds ?? 8;
        const identity = { instance: "entry-1", failureDomain: "zone-a", ports, store, seeds: [], stopLimitSeconds };
        const file = path.join(directory, "entry.yaml");
        fs.writeFileSync(file, JSON.stringify({ ...createSettings(identity), ...options.settings }));
        const program = [path.resolve("dist/cumincrank.cjs"), "entry", "--settings", file];
        const args = [...options.nodeOptions ?? [], ...program];
        const output = options.output ?? path.join(directory, "entry.log");
        const logFile = output === "unread" ? undefined : output;
        const child = new fleetProcesses.FleetProcess(args, logFile, options.maxDescriptors);
        child.start();
        const [callers, readiness, peers, admin] = ports.map(port => `127.0.0.1:${port}`);
        return new EntryProgram(child, directory, callers!, readiness!, admin!, peers!);
    }

    /** The lines that it has logged so far. */
    readLog(): Record<string, unknown>[] {
        const lines = fs.readFileSync(path.join(this.directory, "entry.log"), "utf8").split("\n");
        return lines.filter(line => line.startsWith("{")).map(line => JSON.parse(line) as Record<string, unknown>);
    }

    /** Largest resident memory since its start, in megabytes. */
    get peakMegabytes(): number {
        const status = fs.readFileSync(`/proc/${this.process.pid!}/status`, "utf8");
        return Number(/^VmHWM:\s+(\d+) kB/m.exec(status)![1]) / KILOBYTES_PER_MEGABYTE;
    }

    /** Processor time since its start; 0 once it has ended. */
    get processorMs(): number {
        const file = `/proc/${this.process.pid ?? 0}/stat`;
        const fields = fs.existsSync(file) ? fs.readFileSync(file, "utf8").split(") ")[1]!.split(" ") : [];
        return (Number(fields[USER_TIME_FIELD] ?? 0) + Number(fields[SYSTEM_TIME_FIELD] ?? 0)) * TICK_MS;
    }

    /** Kills the process, and removes its files once it has ended. */
    async dispose(): Promise<void> {
        this.process.kill();
        await this.process.waitForExit();
        fs.rmSync(this.directory, { recursive: true, force: true });
    }
}
