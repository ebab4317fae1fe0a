/**
 * What a soak runs: entries as processes of their own, and in this process the store, the engines and the relays
 * between them.
 */
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as clocks from "../src/common/Clock";
import * as childProcesses from "../standins/FleetProcess";
import * as freePorts from "../standins/FreePorts";
import * as engines from "../standins/platform/PlatformEngineStandIn";
import * as stores from "../standins/platform/PlatformStoreStandIn";
import * as fleets from "../standins/platform/RoutedFleet";
import * as relays from "../standins/TcpRelay";
import * as checks from "./SoakChecks";
import * as faults from "./SoakFaults";
import * as histories from "./SoakHistory";

const FAILURE_DOMAINS = ["zone-a", "zone-b", "zone-c"];
const STOP_LIMIT_SECONDS = 8;
/** Time of an engine's call, and between two events of a stream, in milliseconds. */
const WORK_MS = 20;
const EVENT_GAP_MS = 40;
/** Time after which a killed or stopped entry is started again, in milliseconds. */
const RESTART_MS = 300;
const LINK_DELAY_MS = 250;
/** Time between two looks for processes that have ended by themselves, in milliseconds. */
const SUPERVISE_MS = 200;
/** Time between an engine's word that it leaves and its end, in milliseconds. */
const LEAVE_MS = 2_500;
const ENGINES: readonly { readonly service: string; readonly count: number; readonly events?: number }[] = [
    { service: "desk", count: 3 },
    { service: "model", count: 3, events: checks.EVENTS },
    { service: "archive", count: 2 },
    { service: "ledger", count: 2 },
];

interface Entry {
    readonly process: childProcesses.FleetProcess;
    startedMs: number;
    /** Acts that keep the process ended until they start it again. */
    acts: number;
    readonly callers: string;
    readonly settingsFile: string;
    readonly links: Record<typeof faults.LINKS[number], relays.TcpRelay>;
}

interface Engine {
    readonly standIn: engines.PlatformEngineStandIn;
    readonly link: relays.TcpRelay;
}

/** The processes and stand-ins of one soak. */
export class SoakFleet implements clocks.Disposable {
    readonly entries: Entry[] = [];
    readonly logFile: string;
    private readonly folder = fs.mkdtempSync(path.join(os.tmpdir(), "cumincrank-soak-"));
    private readonly store = new stores.PlatformStoreStandIn();
    private readonly engines: Engine[] = [];
    private readonly retired: Engine[] = [];
    private version = 0;
    private nextEngine = 1;
    private isEnding = false;
    private supervision: clocks.Disposable | undefined;

    private constructor(readonly history: histories.SoakHistory, private readonly program: string) {
        this.logFile = path.join(this.folder, "entries.log");
    }

    /** Starts everything; entries aren't ready yet. */
    static async start(history: histories.SoakHistory, program: string, entryCount: number): Promise<SoakFleet> {
        const fleet = new SoakFleet(history, program);
        await fleet.store.listen();
        for (const { service, count, events } of ENGINES) {
            for (let index = 0; index < count; index++) {
                await fleet.addEngine(service, FAILURE_DOMAINS[index]!, events);
            }
        }
        fleet.publish();
        const ports = await freePorts.findFreePorts(entryCount * 4);
        const peerLinks = await Promise.all(
            Array.from({ length: entryCount }, (_, index) => relays.TcpRelay.listen(ports[index * 4]!)),
        );
        for (let index = 0; index < entryCount; index++) {
            await fleet.addEntry(index, ports.slice(index * 4, index * 4 + 4), peerLinks);
        }
        fleet.supervision = clocks.every(clocks.systemClock, SUPERVISE_MS, () => fleet.supervise());
        return fleet;
    }

    /** Publishes the next configuration, with a route of its own in place of the one before. */
    publish(): void {
        this.version++;
        const name = checks.routeOfVersion(this.version);
        this.store.put("op/config", fleets.createConfiguration(this.version, name));
        this.history.versions.push({ version: this.version, atMs: clocks.systemClock.now() });
    }

    /** The newest configuration. */
    get newestVersion(): number {
        return this.version;
    }

    /** Injects one planned fault; it ends by itself. */
    inject(planned: faults.PlannedFault): void {
        switch (planned.on) {
            case "entry":
                this.disturbEntry(planned.kind, pickIndex(this.entries, planned.pick), planned.forMs);
                return;
            case "link":
                this.disturbLink(planned.link, planned.kind, pickIndex(this.entries, planned.pick), planned.forMs);
                return;
            case "engine":
                this.disturbEngine(planned.kind, pickIndex(this.engines, planned.pick), planned.forMs);
                return;
            case "store":
                this.disturbStore(planned.kind, planned.forMs);
                return;
            case "configuration":
                this.note({ kind: "configuration" }, 0);
                this.publish();
        }
    }

    /** Runs of all engines that there ever were. */
    collectRuns(): void {
        for (const { standIn } of [...this.engines, ...this.retired]) {
            this.history.runs.push(...standIn.runs.map(run => ({
                attempt: String(run.headers["attempt-id"]),
                engine: standIn.options.id,
                path: run.path,
                atMs: run.atMs,
                team: run.headers["tenant"] as string | undefined,
                hasKey: run.headers["authorization"] !== undefined,
            })));
        }
    }

    dispose(): void {
        this.isEnding = true;
        this.supervision?.dispose();
        for (const entry of this.entries) {
            entry.process.kill();
            Object.values(entry.links).forEach(link => link.dispose());
        }
        for (const { standIn, link } of [...this.engines, ...this.retired]) {
            standIn.dispose();
            link.dispose();
        }
        this.store.dispose();
    }

    private async addEngine(service: string, failureDomain: string, events: number | undefined): Promise<void> {
        const id = `${service}-${this.nextEngine++}`;
        const options = { id, service, failureDomain, serviceMs: WORK_MS, eventIntervalMs: EVENT_GAP_MS };
        const standIn = new engines.PlatformEngineStandIn(
            events === undefined ? options : { ...options, events },
        );
        await standIn.listen();
        const link = await relays.TcpRelay.listen(portOf(standIn.address));
        this.engines.push({ standIn, link });
        this.store.put(`servers/${id}`, standIn.createStoreRecord("ready", link.address));
    }

    private async addEntry(
        index: number,
        ports: readonly number[],
        peerLinks: readonly relays.TcpRelay[],
    ): Promise<void> {
        const [peer, callers, ready, admin] = ports.map(port => `127.0.0.1:${port}`);
        const store = await relays.TcpRelay.listen(portOf(this.store.address));
        const settingsFile = path.join(this.folder, `entry-${index}.yaml`);
        const settings = {
            role: "route-entry",
            instance: `entry-${index}`,
            failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length],
            region: "here",
            callerListen: callers,
            readyListen: ready,
            readyPath: "/ready",
            peerListen: peer,
            peerAddress: peerLinks[index]!.address,
            adminListen: admin,
            store: store.address,
            seeds: peerLinks.slice(0, 2).map(link => link.address),
            stopLimitSeconds: STOP_LIMIT_SECONDS,
            repeats: { windowSeconds: 10, ratio: 0.2, slack: 50 },
            coldRate: { factor: 1.5, extra: 5 },
        };
        fs.writeFileSync(settingsFile, JSON.stringify(settings)); // JSON is YAML.
        const process = new childProcesses.FleetProcess(
            [this.program, "entry", "--settings", settingsFile],
            this.logFile,
        );
        process.start();
        const links = { store, peers: peerLinks[index]! };
        const startedMs = clocks.systemClock.now();
        this.entries.push({ process, startedMs, acts: 0, callers: callers!, settingsFile, links });
    }

    private disturbEntry(kind: typeof faults.ENTRY_FAULTS[number], index: number, forMs: number): void {
        const entry = this.entries[index]!;
        const { process, settingsFile } = entry;
        const fault = this.note({ kind, entry: index }, forMs);
        switch (kind) {
            case "kill":
                entry.acts++;
                process.kill();
                this.restart(entry, fault);
                return;
            case "pause":
                process.pause();
                this.later(forMs, () => process.resume());
                return;
            case "stop":
                entry.acts++;
                fault.toMs = Infinity;
                void process.terminate().then(() => this.restart(entry, fault));
                return;
            case "reload":
                fs.writeFileSync(settingsFile, fs.readFileSync(settingsFile));
                process.reload();
        }
    }

    private restart(entry: Entry, fault: histories.SoakFault): void {
        this.later(RESTART_MS, () => {
            entry.acts--;
            this.startProcess(entry);
            fault.toMs = clocks.systemClock.now();
        });
    }

    private startProcess(entry: Entry): void {
        if (!entry.process.isRunning) {
            entry.process.start();
            entry.startedMs = clocks.systemClock.now();
        }
    }

    /** Starts processes again that have ended by themselves. */
    private supervise(): void {
        this.entries.forEach((entry, index) => {
            if (!entry.process.isRunning && entry.acts === 0) {
                const atMs = clocks.systemClock.now();
                this.history.ownEnds.push({ entry: index, startedMs: entry.startedMs, atMs });
                this.startProcess(entry);
            }
        });
    }

    private disturbLink(
        name: typeof faults.LINKS[number],
        kind: typeof faults.LINK_FAULTS[number],
        index: number,
        forMs: number,
    ): void {
        this.note({ kind: `${name}-${kind}`, entry: index }, forMs);
        disturb(this.entries[index]!.links[name], kind, forMs, this.later);
    }

    private disturbEngine(kind: typeof faults.ENGINE_FAULTS[number], index: number, forMs: number): void {
        const engine = this.engines[index]!;
        const { standIn, link } = engine;
        this.note({ kind, engine: standIn.options.id }, forMs);
        if (kind === "leave") {
            this.retire(engine);
            return;
        }
        if (kind === "link-hold" || kind === "link-reset") {
            disturb(link, kind === "link-hold" ? "hold" : "reset", forMs, this.later);
            return;
        }
        standIn.faults = faults.engineFaults[kind] ?? {};
        this.later(forMs, () => standIn.faults = {});
    }

    /** Lets an engine leave in order, and another one with a new name come. */
    private retire(engine: Engine): void {
        const { id, service, failureDomain, events } = engine.standIn.options;
        if (this.history.left.has(id)) {
            return;
        }
        this.store.put(`servers/${id}`, engine.standIn.createStoreRecord("draining", engine.link.address));
        this.history.left.set(id, clocks.systemClock.now());
        void this.addEngine(service, failureDomain, events);
        this.later(LEAVE_MS, () => {
            this.store.delete(`servers/${id}`);
            this.engines.splice(this.engines.indexOf(engine), 1);
            this.retired.push(engine);
        });
    }

    private disturbStore(kind: typeof faults.STORE_FAULTS[number], forMs: number): void {
        this.note({ kind }, kind === "store-compact" ? 0 : forMs);
        if (kind === "store-compact") {
            this.store.compact();
            return;
        }
        this.store.faults = kind === "store-down" ? { status: 503 } : { silent: true };
        this.later(forMs, () => this.store.faults = {});
    }

    private note(
        fault: Omit<histories.SoakFault, "fromMs" | "toMs">,
        forMs: number,
    ): histories.SoakFault {
        const fromMs = clocks.systemClock.now();
        const noted = { ...fault, fromMs, toMs: fromMs + forMs };
        this.history.faults.push(noted);
        return noted;
    }

    private readonly later = (delayMs: number, act: () => void): void => {
        setTimeout(() => this.isEnding || act(), delayMs);
    };
}

function disturb(
    link: relays.TcpRelay,
    kind: typeof faults.LINK_FAULTS[number],
    forMs: number,
    later: (delayMs: number, act: () => void) => void,
): void {
    if (kind === "delay") {
        link.delayMs = LINK_DELAY_MS;
    }
    else {
        link.mode = kind;
    }
    later(forMs, () => {
        link.delayMs = 0;
        link.mode = "pass";
    });
}

function pickIndex(all: readonly unknown[], pick: number): number {
    return Math.floor(pick * all.length);
}

function portOf(address: string): number {
    return Number(address.slice(address.indexOf(":") + 1));
}
