/**
 * An entry under test: the shipped program as a process of its own, and what can be seen of it from outside.
 */
import * as fs from "node:fs";
import * as path from "node:path";
import * as readline from "node:readline";
import * as clocks from "../src/common/Clock";
import * as fleetProcesses from "../standins/FleetProcess";
import * as freePorts from "../standins/FreePorts";
import * as entryPrograms from "../standins/platform/EntryProgram";

/** Memory limits with which the program is deployed. */
const MEMORY_OPTIONS = ["--max-old-space-size=160", "--max-semi-space-size=4"];
/** Clock ticks of /proc. */
const TICK_MS = 10;
const BYTES_PER_KB = 1_024;
const READY_PORT_INDEX = 1;
const ADMIN_PORT_INDEX = 3;
const MAX_KEPT_EXCEPTIONS = 3;

/** What an entry is started with. */
export interface FuzzEntryOptions {
    readonly program: string;
    readonly directory: string;
    readonly name: string;
    readonly store: string;
    readonly seeds: readonly string[];
}

/** One entry. */
export class FuzzEntry implements clocks.Disposable {
    readonly process: fleetProcesses.FleetProcess;
    readonly pid: number;
    /** Lines about exceptions, which are defects of the program; only the first ones are kept. */
    readonly exceptions: string[] = [];
    /** Number of lines of each decision. */
    readonly decisions = new Map<string, number>();

    private constructor(
        private readonly ports: readonly number[],
        readonly settingsFile: string,
        readonly settings: Readonly<Record<string, unknown>>,
        program: string,
    ) {
        this.process = new fleetProcesses.FleetProcess([
            ...MEMORY_OPTIONS,
            program,
            "entry",
            "--settings",
            settingsFile,
        ]);
        this.process.start();
        this.pid = this.process.pid!;
        readline.createInterface(this.process.output!).on("line", line => this.readLine(line));
    }

    /** Starts an entry, without waiting until it is ready. */
    static async start(options: FuzzEntryOptions): Promise<FuzzEntry> {
        const { directory, name, store, seeds } = options;
        const ports = await freePorts.findFreePorts(entryPrograms.PORT_COUNT);
        const identity = { instance: name, failureDomain: "zone-a", ports, store, seeds, stopLimitSeconds: 8 };
        const settings = entryPrograms.createSettings(identity);
        const file = path.join(directory, `${name}.yaml`);
        fs.writeFileSync(file, JSON.stringify(settings));
        return new FuzzEntry(ports, file, settings, options.program);
    }

    get callerAddress(): string {
        return `127.0.0.1:${this.ports[0]}`;
    }

    get readyAddress(): string {
        return `127.0.0.1:${this.ports[READY_PORT_INDEX]}`;
    }

    get peerAddress(): string {
        return `127.0.0.1:${this.ports[entryPrograms.PEER_PORT_INDEX]}`;
    }

    get adminAddress(): string {
        return `127.0.0.1:${this.ports[ADMIN_PORT_INDEX]}`;
    }

    /** Whether it is still the process that was started. */
    get isAlive(): boolean {
        return this.process.pid === this.pid;
    }

    /** Resident memory in bytes; 0 if the process has ended. */
    get residentBytes(): number {
        return Number(/VmRSS:\s+(\d+)/.exec(this.readProc("status"))?.[1] ?? 0) * BYTES_PER_KB;
    }

    /** Processor time used since the start. */
    get processorMs(): number {
        const fields = this.readProc("stat").split(") ")[1]?.split(" ") ?? [];
        return (Number(fields[11]) + Number(fields[12])) * TICK_MS;
    }

    /** Writes the settings file, and has it read. */
    writeSettings(text: string | Buffer): void {
        fs.writeFileSync(this.settingsFile, text);
        this.process.reload();
    }

    dispose(): void {
        this.process.kill();
    }

    private readLine(line: string): void {
        const decision = /"decision":"([^"]+)"/.exec(line)?.[1];
        if (decision !== undefined) {
            this.decisions.set(decision, (this.decisions.get(decision) ?? 0) + 1);
        }
        if (decision === "exception" && this.exceptions.length < MAX_KEPT_EXCEPTIONS) {
            this.exceptions.push(line);
        }
    }

    private readProc(file: string): string {
        try {
            return fs.readFileSync(`/proc/${this.pid}/${file}`, "utf8");
        }
        catch {
            return ""; // The process has ended, which is reported as such.
        }
    }
}
