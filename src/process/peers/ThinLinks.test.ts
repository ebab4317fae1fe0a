import * as vitest from "vitest";
import * as simulations from "./StoreSimulation";

/** The fleet of the incident carta-austral-grown: ten entries with links of 140 Mbit/s, the others with 7 Mbit/s. */
const ENTRIES = 24;
const STRONG_ENTRIES = 10;
const STRONG_BYTES_PER_MS = 17_500;
const THIN_BYTES_PER_MS = 875;

const KEY = "configuration";
const ROUTE_BYTES = 290;
const ADDED_ROUTES = 1_400;
/** Interval at which instances start and leave around the changes of the configuration. */
const INSTANCE_INTERVAL_MS = 500;

/** Time for a change to be in force everywhere, beyond its transfer. */
const BASE_MS = 3_000;
const TRANSFER_FACTOR = 1.2;
/** Bytes that a thin entry may receive for one byte of the configurations. */
const MAX_RECEIVED_SHARE = 3;

/** A configuration with `routes` routes, whose other fields follow from `version`. */
function createConfiguration(version: number, routes: number): Buffer {
    const texts = Array.from({ length: routes }, (_, index) => `route ${index} `.padEnd(ROUTE_BYTES, String(index)));
    return Buffer.from(`version ${version} ${texts.join(" ")}`);
}

class IncidentReplay {
    readonly fleet = new simulations.Fleet({
        entries: ENTRIES,
        seed: 1,
        faults: [],
        linkBytesPerMs: entry => entry < STRONG_ENTRIES ? STRONG_BYTES_PER_MS : THIN_BYTES_PER_MS,
    });
    configurationBytes = 0;
    /** Times from each change of the configuration until all entries had it, beyond the bound. */
    readonly excessMs: number[] = [];
    private nowMs = 0;
    private version = 0;
    private routes = 0;

    async run(): Promise<void> {
        for (const startMs of [5_000, 20_000, 40_000]) {
            await this.runTo(startMs);
            this.routes += ADDED_ROUTES;
            await this.change();
            await this.change();
        }
    }

    private async runTo(toMs: number): Promise<void> {
        await this.fleet.run(toMs);
        this.nowMs = toMs;
    }

    /** Changes the configuration, and the instances until all entries have it. */
    private async change(): Promise<void> {
        const content = createConfiguration(++this.version, this.routes);
        this.configurationBytes += content.length;
        const boundMs = BASE_MS + TRANSFER_FACTOR * content.length / THIN_BYTES_PER_MS;
        const startMs = this.nowMs;
        const revision = this.fleet.change(KEY, content);
        while (!this.fleet.isKnown(revision) && this.nowMs < startMs + 2 * boundMs) {
            this.fleet.change();
            await this.runTo(this.nowMs + INSTANCE_INTERVAL_MS);
        }
        this.excessMs.push(this.nowMs - startMs - boundMs);
    }

    dispose(): void {
        this.fleet.dispose();
    }
}

// Entries that were behind asked again before an answer of the configuration's size could arrive, without end.
vitest.describe("a configuration that grows in a fleet with thin links", { timeout: 120_000 }, () => {
    const replay = new IncidentReplay();
    vitest.beforeAll(() => replay.run(), 120_000);
    vitest.afterAll(() => replay.dispose());

    vitest.it("is in force everywhere in time", () => {
        vitest.expect(Math.max(...replay.excessMs)).toBeLessThanOrEqual(0);
    });

    vitest.it("loads no link with several copies of it", () => {
        const thin = replay.fleet.traffic(ENTRIES - 1);
        vitest.expect(thin.receivedBytes / replay.configurationBytes).toBeLessThanOrEqual(MAX_RECEIVED_SHARE);
    });

    vitest.it("leaves no link loaded", async () => {
        await replay.fleet.run(70_000);
        const queued = Array.from({ length: ENTRIES }, (_, entry) => replay.fleet.traffic(entry).queuedBytes);
        vitest.expect(Math.max(...queued)).toBeLessThan(1_000);
    });
});
