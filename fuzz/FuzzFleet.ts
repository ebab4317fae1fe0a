/**
 * The entries under test, sound stand-ins of the store and the engines, and odd ones beside them.
 */
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as clocks from "../src/common/Clock";
import * as randoms from "../src/common/Random";
import * as endlessPeers from "../standins/EndlessPeerProcess";
import * as engines from "../standins/platform/PlatformEngineStandIn";
import * as stores from "../standins/platform/PlatformStoreStandIn";
import * as routedFleets from "../standins/platform/RoutedFleet";
import * as engineInputs from "./EngineInputs";
import * as fuzzEntries from "./FuzzEntry";
import * as oddEngines from "./OddEngine";
import * as oddStores from "./OddStore";

/** Above all odd versions, since a configuration is replaced by one with a higher version only. */
const FIRST_VERSION = 2 ** 40;
const ODD_SERVICES = ["oddplain", "oddmodel", "oddstage"];
/** Odd engines of each service, since those with odd answers are avoided. */
const ODD_ENGINES = 5;
const SOUND_ENGINES: readonly engines.EngineOptions[] = [
    { id: "desk-1", service: "desk", failureDomain: "zone-a" },
    { id: "desk-2", service: "desk", failureDomain: "zone-b" },
    { id: "model-1", service: "model", failureDomain: "zone-a", events: 6 },
    { id: "model-2", service: "model", failureDomain: "zone-b", events: 6 },
    { id: "archive-1", service: "archive", failureDomain: "zone-a" },
    { id: "ledger-1", service: "ledger", failureDomain: "zone-b" },
];

/** Paths served by odd engines, by odd stage workers, or by sound ones. */
export const ODD_PATHS = ["/oddplain/1", "/oddonce/1", "/oddstream/1", "/oddstages/1"];
/** Calls that must be served whenever nothing odd arrives. */
export const SOUND_CALLS: readonly { readonly path: string; readonly headers: Record<string, string> }[] = [
    { path: "/look/1", headers: {} },
    { path: "/book/1", headers: {} },
    { path: "/notes/1", headers: routedFleets.PROMPT_HEADERS },
    { path: "/drafts/1", headers: routedFleets.STAGED_HEADERS },
];

/** A check that failed during a batch. */
export interface Finding {
    readonly check: string;
    readonly detail: string;
}

/** Everything that a run of the fuzz starts. */
export class FuzzFleet implements clocks.Disposable {
    readonly entries: fuzzEntries.FuzzEntry[] = [];
    readonly store = new stores.PlatformStoreStandIn();
    readonly directory = fs.mkdtempSync(path.join(os.tmpdir(), "cumincrank-fuzz-"));
    private readonly soundEngines: engines.PlatformEngineStandIn[] = [];
    private oddEngines: oddEngines.OddEngine[] = [];
    private oddStore: oddStores.OddStore | undefined;
    private storeRelay: endlessPeers.EndlessPeerProcess | undefined;
    /** What was wrong with calls that were made during a batch. */
    readonly findings: Finding[] = [];
    private version = FIRST_VERSION;
    private nextNumber = 1;

    /** Starts two entries: one that reads the odd store, and one that learns of it what is told among entries. */
    static async start(program: string): Promise<FuzzFleet> {
        const fleet = new FuzzFleet();
        await fleet.store.listen();
        fleet.oddStore = new oddStores.OddStore(fleet.store.address);
        await fleet.oddStore.listen();
        const relay = fleet.oddStore.address;
        fleet.storeRelay = await endlessPeers.EndlessPeerProcess.start({
            kind: "server",
            relay,
            start: "",
            unit: "",
            writeBytes: 0,
        });
        for (const options of SOUND_ENGINES) {
            const engine = new engines.PlatformEngineStandIn(options);
            await engine.listen();
            fleet.soundEngines.push(engine);
        }
        fleet.publishSound();
        for (const store of [fleet.storeRelay.address, fleet.store.address]) {
            const { directory, entries } = fleet;
            const seeds = entries.map(entry => entry.peerAddress);
            const name = `entry-${entries.length + 1}`;
            fleet.entries.push(await fuzzEntries.FuzzEntry.start({ program, directory, name, store, seeds }));
        }
        return fleet;
    }

    /** The entry that gets most of the odd inputs. */
    get target(): fuzzEntries.FuzzEntry {
        return this.entries[0]!;
    }

    /** A configuration that replaces all published before. */
    createConfiguration(): Record<string, unknown> {
        const configuration = routedFleets.createConfiguration(++this.version);
        const routes = configuration["Routes"] as Record<string, unknown>[];
        const services = configuration["Services"] as Record<string, unknown>[];
        const [book, look, , notes] = routes;
        const archive = services.find(({ Name: name }) => name === "archive");
        routes.push(
            { ...look, Name: "oddplain", Prefix: "/oddplain/", Service: "oddplain", Attempts: 3 },
            { ...book, Name: "oddonce", Prefix: "/oddonce/", Service: "oddplain" },
            { ...notes, Name: "oddstream", Prefix: "/oddstream/", Service: "oddmodel" },
            {
                ...notes,
                Name: "oddstages",
                Prefix: "/oddstages/",
                Stages: [{ Service: "oddstage", After: [], Bytes: 1_000 }, {
                    Service: "archive",
                    After: [0],
                    Bytes: 9,
                }],
            },
        );
        services.push(
            { ...services[0], Name: "oddplain" },
            { ...services[1], Name: "oddmodel" },
            { ...archive, Name: "oddstage" },
        );
        return configuration;
    }

    /** Publishes the sound configuration, and the records of the sound engines anew. */
    publishSound(): void {
        this.store.put("op/config", this.createConfiguration());
        this.soundEngines.forEach(engine => this.store.put(`servers/${engine.options.id}`, engine.createStoreRecord()));
    }

    /** A record of a sound engine. */
    createRecord(index: number): Record<string, unknown> {
        const engine = this.soundEngines[index % this.soundEngines.length]!;
        return engine.createStoreRecord() as Record<string, unknown>;
    }

    /** Adds new odd engines in place of the earlier ones. */
    async addOddEngines(
        random: randoms.Random,
        createAnswer: oddEngines.CreateAnswer = question => engineInputs.createEngineAnswer(random, question),
    ): Promise<void> {
        for (const service of ODD_SERVICES.flatMap(name => Array.from({ length: ODD_ENGINES }, () => name))) {
            const engine = new oddEngines.OddEngine(`odd-${this.nextNumber++}`, service, random, createAnswer);
            await engine.listen();
            this.oddEngines.push(engine);
            this.store.put(`servers/${engine.id}`, engine.createStoreRecord());
        }
    }

    removeOddEngines(): void {
        for (const engine of this.oddEngines) {
            this.store.delete(`servers/${engine.id}`);
            engine.dispose();
        }
        this.oddEngines = [];
    }

    /** Makes the store that the target reads odd; sound again without random numbers. */
    setStoreOdd(random: randoms.Random | undefined): void {
        this.oddStore!.random = random;
    }

    /** The relay between the target and the store. */
    get relay(): endlessPeers.EndlessPeerProcess {
        return this.storeRelay!;
    }

    /** Starts a new era of the store, in which nothing odd is known. */
    restoreStore(): void {
        this.store.restore(this.store.backUp());
        this.publishSound();
    }

    dispose(): void {
        this.entries.forEach(entry => entry.dispose());
        this.soundEngines.forEach(engine => engine.dispose());
        this.oddEngines.forEach(engine => engine.dispose());
        this.storeRelay?.dispose();
        this.oddStore?.dispose();
        this.store.dispose();
        fs.rmSync(this.directory, { recursive: true, force: true });
    }
}
