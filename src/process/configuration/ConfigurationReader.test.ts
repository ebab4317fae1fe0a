import * as vitest from "vitest";
import * as sources from "../../../standins/ScriptedConfigurationSource";
import * as clocks from "../../common/Clock";
import * as logs from "../../common/Log";
import * as randoms from "../../common/Random";
import * as samples from "../../version/SampleConfiguration";
import * as readers from "./ConfigurationReader";
import * as replicas from "./ConfigurationReplica";

const { afterEach, describe, expect, it } = vitest;

const SEED = 14;
const STEP_MS = 100;

/** Readers whose replicas don't exchange versions: the worst case for the read budget. */
class Fleet {
    readonly clock = new clocks.ManualClock();
    readonly source = new sources.ScriptedConfigurationSource(this.clock);
    readonly replicas: replicas.ConfigurationReplica[] = [];
    readonly readers: readers.ConfigurationReader[] = [];
    private readonly callsPerStep: number[] = [];
    private peakWaitingWatches = 0;

    constructor(size: number) {
        const names = Array.from({ length: size }, (_, index) => `instance-${index}`);
        const random = randoms.createRandom(SEED);
        for (const self of names) {
            const replica = new replicas.ConfigurationReplica({ clock: this.clock, log: logs.silentLog });
            this.replicas.push(replica);
            this.readers.push(
                new readers.ConfigurationReader({
                    clock: this.clock,
                    random,
                    source: this.source,
                    replica,
                    self,
                    instances: () => names,
                    log: logs.silentLog,
                }),
            );
        }
    }

    start(): void {
        this.readers.forEach(reader => reader.start());
    }

    async advance(byMs: number): Promise<void> {
        for (let passedMs = 0; passedMs < byMs; passedMs += STEP_MS) {
            const before = this.source.callCount;
            this.clock.advance(STEP_MS);
            await new Promise(resolve => setImmediate(resolve));
            this.callsPerStep.push(this.source.callCount - before);
            this.peakWaitingWatches = Math.max(this.peakWaitingWatches, this.source.waitingCount);
        }
    }

    /** Maximum number of calls in any second, plus the maximum number of simultaneously waiting watches. */
    get peakPerSecond(): number {
        const steps = 1_000 / STEP_MS;
        const sums = this.callsPerStep.map((_, index) =>
            this.callsPerStep.slice(index, index + steps).reduce((sum, calls) => sum + calls, 0)
        );
        return Math.max(...sums) + this.peakWaitingWatches;
    }

    dispose(): void {
        this.readers.forEach(reader => reader.dispose());
    }
}

let fleet: Fleet;

function createFleet(size: number): Fleet {
    fleet = new Fleet(size);
    fleet.source.publish(samples.sampleConfiguration(1), 1);
    fleet.start();
    return fleet;
}

describe("ConfigurationReader", () => {
    afterEach(() => fleet.dispose());

    const faults: [string, (fleet: Fleet) => void][] = [
        ["answers", () => undefined],
        ["is down", ({ source }) => source.setDown(true)],
        ["answers with an old document", ({ source }) => source.replacement = { version: 0 }],
        ["answers with an invalid document", ({ source }) => source.replacement = { version: 9 }],
        ["answers with malformed content", ({ source }) => source.replacement = "x"],
    ];
    const cases = faults.flatMap(([name, cause]) => [1, 30, 300].map(size => [name, size, cause] as const));
    it.each(cases)("stays within the budget if the service %s, fleet of %i", async (_name, size, applyFault) => {
        const { source } = createFleet(size);
        await fleet.advance(5_000);
        applyFault(fleet);
        await fleet.advance(30_000);
        source.replacement = undefined;
        source.setDown(false);
        await fleet.advance(10_000);
        expect(fleet.peakPerSecond).toBeLessThanOrEqual(readers.READ_BUDGET_PER_SECOND);
        expect(source.waitingCount).toBeLessThanOrEqual(readers.MAX_WATCHERS);
    });

    it.each(faults.slice(1))("puts the next version in force after the service %s", async (_name, applyFault) => {
        const { source } = createFleet(20);
        await fleet.advance(5_000);
        expect(fleet.replicas.map(replica => replica.version)).toEqual(Array(20).fill(1));
        applyFault(fleet);
        source.publish(samples.sampleConfiguration(12), 12);
        await fleet.advance(20_000);
        const expected = source.replacement === undefined && !source.isDown ? 12 : 1;
        expect(Math.max(...fleet.replicas.map(replica => replica.version))).toBe(expected);
        source.replacement = undefined;
        source.setDown(false);
        await fleet.advance(readers.STALE_AFTER_MS + 10_000);
        expect(fleet.replicas.map(replica => replica.version)).toEqual(Array(20).fill(12));
    });

    it("doesn't accept an older document as a confirmation of the version", async () => {
        const { source, replicas: [replica] } = createFleet(1);
        await fleet.advance(5_000);
        expect(replica!.unconfirmedMs).toBeLessThan(5_000);
        replica!.offer(samples.sampleConfiguration(7), "peer");
        source.replacement = samples.sampleConfiguration(3);
        await fleet.advance(20_000);
        expect(replica!.version).toBe(7);
        expect(replica!.unconfirmedMs).toBeGreaterThan(19_000);
        expect(replica!.counters.older).toBeGreaterThan(0);
    });

    it("resolves firstContact on the first answer", async () => {
        const { source, readers: [reader] } = createFleet(1);
        source.setDown(true);
        let contacts = 0;
        void reader!.firstContact.then(() => contacts++);
        await fleet.advance(5_000);
        expect(contacts).toBe(0);
        source.setDown(false);
        await fleet.advance(10_000);
        expect(contacts).toBe(1);
    });

    it("rotates the watchers", async () => {
        createFleet(30);
        await fleet.advance(2_000);
        const first = fleet.readers.map(reader => reader.callCount);
        await fleet.advance(4 * readers.WATCH_EPOCH_MS);
        const busy = fleet.readers.filter((reader, index) => reader.callCount - first[index]! > 20);
        expect(busy.length).toBeGreaterThan(readers.MAX_WATCHERS);
        expect(fleet.source.waitingCount).toBeLessThanOrEqual(readers.MAX_WATCHERS);
    });

    it("makes no calls after disposal", async () => {
        const { source } = createFleet(5);
        await fleet.advance(5_000);
        fleet.dispose();
        const before = source.callCount;
        await fleet.advance(20_000);
        expect(source.callCount).toBe(before);
        expect(source.waitingCount).toBe(0);
    });
});
