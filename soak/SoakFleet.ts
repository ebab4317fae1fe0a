/**
 * The system under test of a soak: each entry is a separate process; the stand-ins of the store and the engines, and
 * the relays between them, run in this process.
 */
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as clocks from "../src/common/Clock";
import * as fleetProcesses from "../standins/FleetProcess";
import * as freePorts from "../standins/FreePorts";
import * as entryPrograms from "../standins/platform/EntryProgram";
import * as engines from "../standins/platform/PlatformEngineStandIn";
import * as stores from "../standins/platform/PlatformStoreStandIn";
import * as routedFleets from "../standins/platform/RoutedFleet";
import * as relays from "../standins/TcpRelay";
import * as relayFaults from "./RelayFaults";
import * as checks from "./SoakChecks";
import * as soakEngines from "./SoakEngines";
import * as faults from "./SoakFaults";
import * as histories from "./SoakHistory";
import * as storeRestores from "./StoreRestore";

const FAILURE_DOMAINS = ["zone-a", "zone-b", "zone-c"];
const STOP_LIMIT_SECONDS = 8;
/** Time after which a killed or stopped entry is restarted. */
const RESTART_DELAY_MS = 300;
/** Poll interval for processes that have exited unexpectedly. */
const SUPERVISION_INTERVAL_MS = 200;
/** Time for which only the answers of a leaving engine say so; then the store lists it as draining. */
const UNLISTED_MS = 4_000;
/** Time for which a leaving engine is published as draining before it is removed. */
const DRAINING_MS = 2_500;
interface Entry {
    readonly process: fleetProcesses.FleetProcess;
    startedMs: number;
    /** Scheduled restarts after kills and stops. While there are any, the process isn't supervised. */
    pendingRestarts: number;
    readonly callerAddress: string;
    readonly settingsFile: string;
    readonly links: Record<typeof faults.LINK_NAMES[number], relays.TcpRelay>;
}

/** The processes and stand-ins of one soak, and the injection of faults into them. */
export class SoakFleet implements clocks.Disposable {
    readonly entries: Entry[] = [];
    readonly logFile: string;
    private readonly directory = fs.mkdtempSync(path.join(os.tmpdir(), "cumincrank-soak-"));
    private readonly store = new stores.PlatformStoreStandIn();
    private readonly engines: soakEngines.Engine[] = [];
    private readonly removedEngines: soakEngines.Engine[] = [];
    private version = 0;
    private nextEngineNumber = soakEngines.FIRST_NUMBER;
    private isDisposed = false;
    private supervision: clocks.Disposable | undefined;

    private constructor(readonly history: histories.SoakHistory, private readonly program: string) {
        this.logFile = path.join(this.directory, "entries.log");
    }

    /** Starts all processes and stand-ins, without waiting until the entries are ready. */
    static async start(history: histories.SoakHistory, program: string, entryCount: number): Promise<SoakFleet> {
        const fleet = new SoakFleet(history, program);
        await fleet.store.listen();
        for (const { service, count, events } of soakEngines.ENGINE_GROUPS) {
            for (let index = 0; index < count; index++) {
                await fleet.addEngine(service, FAILURE_DOMAINS[index % FAILURE_DOMAINS.length]!, events);
            }
        }
        fleet.publish();
        const portSets: number[][] = [];
        while (portSets.length < entryCount) {
            portSets.push(await freePorts.findFreePorts(entryPrograms.PORT_COUNT));
        }
        const peerLinks = await Promise.all(
            portSets.map(ports => relays.TcpRelay.listen(ports[entryPrograms.PEER_PORT_INDEX]!)),
        );
        for (const [index, ports] of portSets.entries()) {
            await fleet.addEntry(index, ports, peerLinks);
        }
        fleet.supervision = clocks.every(clocks.systemClock, SUPERVISION_INTERVAL_MS, () => fleet.supervise());
        return fleet;
    }

    /** Publishes the next configuration, whose own route replaces that of the previous version. */
    publish(): void {
        this.version++;
        const routeName = checks.routeOfVersion(this.version);
        this.store.put("op/config", routedFleets.createConfiguration(this.version, routeName));
        this.history.versions.push({ version: this.version, atMs: clocks.systemClock.now() });
    }

    /** Version of the newest configuration. */
    get newestVersion(): number {
        return this.version;
    }

    /** Starts a planned fault, which ends after its duration. */
    inject(fault: faults.PlannedFault): void {
        switch (fault.target) {
            case "entry":
                this.injectEntryFault(fault.kind, pickIndex(this.entries, fault.targetFraction), fault.durationMs);
                return;
            case "link":
                this.injectLinkFault(fault.link, fault.kind, fault.targetFraction, fault.durationMs);
                return;
            case "engine":
                this.injectEngineFault(fault.kind, pickIndex(this.engines, fault.targetFraction), fault.durationMs);
                return;
            case "store":
                this.injectStoreFault(fault.kind, fault.durationMs);
                return;
            case "configuration":
                this.recordFault({ kind: "configuration" }, 0);
                this.publish();
        }
    }

    /** Adds what all engines have observed, including the removed ones, to the history. */
    collectRuns(): void {
        for (const { standIn: { arrivals, runs, options } } of [...this.engines, ...this.removedEngines]) {
            this.history.arrivals.push(...arrivals.map(arrival => ({ ...arrival, engine: options.id })));
            this.history.runs.push(...runs.map(run => ({
                attempt: String(run.headers["attempt-id"]),
                engine: options.id,
                path: run.path,
                atMs: run.atMs,
                team: run.headers["tenant"] as string | undefined,
                hasKey: run.headers["authorization"] !== undefined,
                isLeaving: run.isLeaving,
            })));
        }
    }

    dispose(): void {
        this.isDisposed = true;
        this.supervision?.dispose();
        for (const entry of this.entries) {
            entry.process.kill();
            Object.values(entry.links).forEach(link => link.dispose());
        }
        for (const { standIn, link } of [...this.engines, ...this.removedEngines]) {
            standIn.dispose();
            link.dispose();
        }
        this.store.dispose();
    }

    private async addEngine(service: string, failureDomain: string, events: number | undefined): Promise<void> {
        const number = this.nextEngineNumber++;
        const standIn = soakEngines.createStandIn(number, service, failureDomain, events);
        const { id } = standIn.options;
        await standIn.listen();
        const link = await relays.TcpRelay.listen(portOf(standIn.address));
        const engine = { standIn, link };
        this.engines.push(engine);
        soakEngines.letCrash(engine, {
            onCrash: attempt => this.recordFault({ kind: "crash", engine: id, attempt }, engines.CRASH_DOWN_MS),
            onRestart: () => soakEngines.publish(this.store, this.history, engine),
        });
        const fromMs = clocks.systemClock.now();
        this.history.engines.push({
            id,
            service,
            softwareVersion: standIn.options.softwareVersion,
            fromMs,
            leavesAtMs: Infinity,
        });
        soakEngines.publish(this.store, this.history, engine);
    }

    private async addEntry(
        index: number,
        ports: readonly number[],
        peerLinks: readonly relays.TcpRelay[],
    ): Promise<void> {
        const callerAddress = `127.0.0.1:${ports[0]}`;
        const store = await relays.TcpRelay.listen(portOf(this.store.address));
        const settingsFile = path.join(this.directory, `entry-${index}.yaml`);
        const settings = entryPrograms.createSettings({
            instance: `entry-${index}`,
            failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length]!,
            ports,
            peerAddress: peerLinks[index]!.address,
            store: store.address,
            seeds: peerLinks.slice(0, 2).map(link => link.address),
            stopLimitSeconds: STOP_LIMIT_SECONDS,
        });
        fs.writeFileSync(settingsFile, JSON.stringify(settings));
        const process = new fleetProcesses.FleetProcess(
            [this.program, "entry", "--settings", settingsFile],
            this.logFile,
        );
        process.start();
        const links = { store, peers: peerLinks[index]! };
        const startedMs = clocks.systemClock.now();
        this.entries.push({
            process,
            startedMs,
            pendingRestarts: 0,
            callerAddress,
            settingsFile,
            links,
        });
    }

    private injectEntryFault(kind: typeof faults.ENTRY_FAULTS[number], index: number, durationMs: number): void {
        const entry = this.entries[index]!;
        const { process, settingsFile } = entry;
        const fault = this.recordFault({ kind, entry: index }, durationMs);
        switch (kind) {
            case "kill":
                entry.pendingRestarts++;
                process.kill();
                this.scheduleRestart(entry, fault);
                return;
            case "pause":
                process.pause();
                this.runLater(durationMs, () => process.resume());
                return;
            case "stop":
                entry.pendingRestarts++;
                fault.toMs = Infinity;
                void process.terminate().then(() => this.scheduleRestart(entry, fault));
                return;
            case "reload":
                fs.writeFileSync(settingsFile, fs.readFileSync(settingsFile));
                process.reload();
        }
    }

    private scheduleRestart(entry: Entry, fault: histories.SoakFault): void {
        this.runLater(RESTART_DELAY_MS, () => {
            entry.pendingRestarts--;
            this.startIfEnded(entry);
            fault.toMs = clocks.systemClock.now();
        });
    }

    private startIfEnded(entry: Entry): void {
        if (!entry.process.isRunning) {
            entry.process.start();
            entry.startedMs = clocks.systemClock.now();
        }
    }

    /** Restarts processes that have exited unexpectedly. */
    private supervise(): void {
        this.entries.forEach((entry, index) => {
            if (!entry.process.isRunning && entry.pendingRestarts === 0) {
                const atMs = clocks.systemClock.now();
                this.history.unexpectedExits.push({ entry: index, startedMs: entry.startedMs, atMs });
                this.startIfEnded(entry);
            }
        });
    }

    private injectLinkFault(
        linkName: typeof faults.LINK_NAMES[number],
        kind: typeof faults.LINK_FAULTS[number],
        targetFraction: number,
        durationMs: number,
    ): void {
        const index = pickIndex(this.entries, targetFraction);
        this.recordFault({ kind: `${linkName}-${kind}`, entry: index }, durationMs);
        relayFaults.injectRelayFault(this.entries[index]!.links[linkName], kind, durationMs, this.runLater);
    }

    private injectEngineFault(kind: typeof faults.ENGINE_FAULTS[number], index: number, durationMs: number): void {
        const engine = this.engines[index]!;
        const { standIn, link } = engine;
        this.recordFault({ kind, engine: standIn.options.id }, durationMs);
        if (kind === "leave") {
            this.replaceEngine(engine);
            return;
        }
        if (kind === "link-hold" || kind === "link-reset") {
            relayFaults.injectRelayFault(link, kind === "link-hold" ? "hold" : "reset", durationMs, this.runLater);
            return;
        }
        const sameService = this.engines.filter(other => other.standIn.options.service === standIn.options.service);
        for (const affected of faults.SERVICE_FAULTS.has(kind) ? sameService : [engine]) {
            affected.standIn.faults = faults.standInFaults[kind] ?? {};
            this.runLater(durationMs, () => affected.standIn.faults = {});
        }
    }

    /** Lets an engine leave, and adds one with a new name in its place. */
    private replaceEngine(engine: soakEngines.Engine): void {
        const { standIn, link } = engine;
        const { id, service, failureDomain, events } = standIn.options;
        if (standIn.isLeaving) {
            return;
        }
        standIn.isLeaving = true;
        this.history.engines.find(other => other.id === id)!.leavesAtMs = clocks.systemClock.now();
        void this.addEngine(service, failureDomain, events);
        this.runLater(UNLISTED_MS, () => {
            this.store.put(`servers/${id}`, standIn.createStoreRecord("draining", link.address));
            this.history.drainingSinceMs.set(id, clocks.systemClock.now());
        });
        this.runLater(UNLISTED_MS + DRAINING_MS, () => {
            this.store.delete(`servers/${id}`);
            this.engines.splice(this.engines.indexOf(engine), 1);
            this.removedEngines.push(engine);
        });
    }

    private injectStoreFault(kind: typeof faults.STORE_FAULTS[number], durationMs: number): void {
        if (kind === "store-compact") {
            this.recordFault({ kind }, 0);
            this.store.compact();
            return;
        }
        if (kind === "store-restore") {
            this.recordFault({ kind }, storeRestores.durationMs(durationMs));
            storeRestores.restoreLater(this.store, durationMs, () => this.publish(), this.runLater);
            return;
        }
        this.recordFault({ kind }, durationMs);
        this.store.faults = kind === "store-down" ? { status: 503 } : { silent: true };
        this.runLater(durationMs, () => this.store.faults = {});
    }

    private recordFault(fault: Omit<histories.SoakFault, "fromMs" | "toMs">, durationMs: number): histories.SoakFault {
        const fromMs = clocks.systemClock.now();
        const recorded = { ...fault, fromMs, toMs: fromMs + durationMs };
        this.history.faults.push(recorded);
        return recorded;
    }

    private readonly runLater = (delayMs: number, action: () => void): void => {
        setTimeout(() => this.isDisposed || action(), delayMs);
    };
}

function pickIndex(items: readonly unknown[], fraction: number): number {
    return Math.floor(fraction * items.length);
}

function portOf(address: string): number {
    return Number(address.slice(address.indexOf(":") + 1));
}
