/**
 * Experiment `configuration`: publishes to a fleet of replicas while the configuration service is down, returns
 * an old version or publishes invalid documents, the fleet is partitioned, and all replicas are replaced. In the
 * baseline, replicas poll the service once a second for the full content and accept every answer.
 */
import * as clocks from "../src/common/Clock";
import * as configurations from "../src/common/Configuration";
import * as randoms from "../src/common/Random";
import * as readers from "../src/process/configuration/ConfigurationReader";
import * as replicas from "../src/process/configuration/ConfigurationReplica";
import * as digests from "../src/version/ContentDigest";
import * as samples from "../src/version/SampleConfiguration";
import * as sources from "../standins/ScriptedConfigurationSource";
import * as fleets from "./ConfigurationFleet";
import * as experiments from "./Experiment";
import * as trackers from "./VersionTracker";

const REPLICAS = 208;
const PUBLICATIONS = 500;
const PUBLICATIONS_PER_BURST = 10;
const BURST_INTERVAL_MS = 400;
const ENGINES = 12;
/** Time within which a publication must be in force at every reachable replica. */
const IN_FORCE_LIMIT_MS = 5_000;
/** Time without publications around a fault, so that each publication is clearly inside or outside it. */
const QUIET_AROUND_FAULT_MS = 700;
/** Duration of the service's outage: long enough that replicas without a watch try to read from it. */
const SERVICE_DOWN_MS = 12_000;
const FAULT_MS = 3_200;
const IDLE_MEASUREMENT_MS = 2_000;
const REPLACE_INTERVAL_MS = 20;
const SAMPLE_INTERVAL_MS = 100;
const MS_PER_SECOND = 1_000;
const BASELINE_POLLS_PER_REPLICA = 5;

/** Measures the replicas of cumincrank. */
class PolicyRun {
    private readonly clock = clocks.systemClock;
    private readonly source = new sources.ScriptedConfigurationSource(this.clock);
    private readonly tracker = new trackers.VersionTracker(this.clock);
    private readonly random: randoms.Random;
    private readonly fleet: fleets.Fleet;
    private readonly callCounts: number[] = [];
    private maxWaitingWatches = 0;
    private content = createContent(1);
    private version = 1;
    private published = 0;
    private invalidInForce = 0;
    private conflicting = 0;
    private readonly digestByVersion = new Map<number, string>();

    constructor(seed: number) {
        this.random = randoms.createRandom(seed);
        this.fleet = new fleets.Fleet({
            size: REPLICAS,
            clock: this.clock,
            random: this.random,
            source: this.source,
            onVersion: (replica, version) => this.checkVersion(replica, version),
        });
    }

    async run(): Promise<experiments.Figures> {
        const sampleTimer = clocks.every(this.clock, SAMPLE_INTERVAL_MS, () => this.sample());
        this.publish();
        await this.fleet.start();
        await this.waitForNewestVersion();
        const idleBytesPerSecond = await this.measureIdleBytesPerSecond();
        const startMs = this.clock.now();
        const startBytes = this.fleet.transferredBytes;
        const startCpu = process.cpuUsage();
        await this.runPhases();
        await this.waitForNewestVersion();
        const seconds = (this.clock.now() - startMs) / MS_PER_SECOND;
        const cpu = process.cpuUsage(startCpu);
        const bytes = this.fleet.transferredBytes - startBytes;
        sampleTimer.dispose();
        this.fleet.dispose();
        const lags = this.tracker.summarize();
        return {
            replicas: REPLICAS,
            publications: this.published,
            reverts: this.tracker.reverts,
            invalidInForce: this.invalidInForce,
            conflicting: this.conflicting,
            missing: this.tracker.countMissing(this.fleet.replicas),
            inForceMedianMs: lags.medianMs,
            inForceP99Ms: lags.p99Ms,
            inForceMaxMs: lags.maxMs,
            readsPerSecondPeak: this.findPeakReadsPerSecond(),
            readsPerSecondMean: this.source.callCount / ((this.clock.now() - this.tracker.startedMs) / MS_PER_SECOND),
            // Each byte is sent by one replica and received by another.
            bytesPerSecondPerReplica: 2 * bytes / seconds / REPLICAS,
            idleBytesPerSecondPerReplica: idleBytesPerSecond,
            cpuMsPerSecondPerReplica: (cpu.user + cpu.system) / MS_PER_SECOND / seconds / REPLICAS,
            applied: this.fleet.sumCounter("applied"),
            deltasSent: this.fleet.sumCounter("deltasSent"),
            fullsSent: this.fleet.sumCounter("fullsSent"),
            gaps: this.fleet.sumCounter("gaps"),
        };
    }

    private async runPhases(): Promise<void> {
        await this.publishBursts(3);
        await this.publishDuringFault(
            () => this.source.setDown(true),
            () => this.source.setDown(false),
            () => true,
            SERVICE_DOWN_MS,
        );
        await this.publishBursts(3);
        const initialContent = structuredClone(createContent(1));
        await this.publishDuringFault(
            () => this.source.replacement = initialContent,
            () => this.source.replacement = undefined,
            () => true,
        );
        await this.publishInvalid();
        await this.publishBursts(3);
        await this.publishDuringFault(
            () => this.fleet.setPartitioned(true),
            () => this.fleet.setPartitioned(false),
            index => this.fleet.isSecondHalf(index),
        );
        await this.replaceAll();
    }

    /** Publishes during a fault that cuts off the replicas selected by `affects`. */
    private async publishDuringFault(
        inject: () => void,
        recover: () => void,
        affects: (index: number) => boolean,
        durationMs = FAULT_MS,
    ): Promise<void> {
        await this.pause(QUIET_AROUND_FAULT_MS);
        inject();
        const fault = this.tracker.beginFault(affects);
        await this.publishBursts(FAULT_MS / BURST_INTERVAL_MS);
        await this.pause(durationMs - FAULT_MS);
        recover();
        this.tracker.endFault(fault);
        await this.pause(QUIET_AROUND_FAULT_MS);
    }

    private async publishBursts(bursts: number): Promise<void> {
        for (let burst = 0; burst < bursts; burst++) {
            for (let index = 0; index < PUBLICATIONS_PER_BURST && this.published < PUBLICATIONS; index++) {
                this.publish();
            }
            await this.pause(BURST_INTERVAL_MS);
        }
    }

    private async publishInvalid(): Promise<void> {
        for (let index = 0; index < 3; index++) {
            this.version++;
            this.source.publish({ ...this.content, version: this.version, preset: "absent" }, this.version);
            await this.pause(BURST_INTERVAL_MS);
        }
    }

    private async replaceAll(): Promise<void> {
        for (let index = 0; index < REPLICAS; index++) {
            await this.fleet.replace(index);
            await this.pause(REPLACE_INTERVAL_MS);
            if (index % Math.round(BURST_INTERVAL_MS / REPLACE_INTERVAL_MS) === 0) {
                await this.publishBursts(1);
            }
        }
        while (this.published < PUBLICATIONS) {
            await this.publishBursts(1);
        }
    }

    /** Publishes a version that changes one slot and one team. */
    private publish(): void {
        this.published++;
        this.version++;
        this.content = structuredClone({ ...this.content, version: this.version });
        const slots = Object.values(this.content.services["engines"]!.slots);
        const slot = slots[Math.floor(this.random() * slots.length)]!;
        slot.state = slot.state === "in" ? "out" : "in";
        this.content.teams["team-a"]!.weight = 1 + Math.floor(this.random() * 100);
        this.digestByVersion.set(this.version, new digests.ContentDigest().summarize(this.content).digest);
        this.tracker.recordPublication(this.version);
        this.source.publish(this.content, this.version);
    }

    private checkVersion(replica: fleets.FleetReplica, { configuration, digest }: replicas.VersionInForce): void {
        const expected = this.digestByVersion.get(configuration.version);
        this.invalidInForce += expected === undefined && configuration.version !== 1 ? 1 : 0;
        this.conflicting += expected !== undefined && expected !== digest ? 1 : 0;
        this.tracker.recordInForce(replica, configuration.version);
    }

    /** Waits until all replicas have the newest version, or IN_FORCE_LIMIT_MS has passed. */
    private async waitForNewestVersion(): Promise<void> {
        const untilMs = this.clock.now() + IN_FORCE_LIMIT_MS;
        const isBehind = () => this.fleet.replicas.some(({ replica }) => replica.version < this.version);
        while (isBehind() && this.clock.now() < untilMs) {
            await this.pause(SAMPLE_INTERVAL_MS);
        }
    }

    private async measureIdleBytesPerSecond(): Promise<number> {
        const before = this.fleet.transferredBytes;
        await this.pause(IDLE_MEASUREMENT_MS);
        return 2 * (this.fleet.transferredBytes - before) / (IDLE_MEASUREMENT_MS / MS_PER_SECOND) / REPLICAS;
    }

    private sample(): void {
        this.callCounts.push(this.source.callCount);
        this.maxWaitingWatches = Math.max(this.maxWaitingWatches, this.source.waitingCount);
    }

    /** Most calls in any second, plus the most concurrently waiting watches. */
    private findPeakReadsPerSecond(): number {
        const samplesPerSecond = MS_PER_SECOND / SAMPLE_INTERVAL_MS;
        const counts = this.callCounts.map((calls, index) => calls - (this.callCounts[index - samplesPerSecond] ?? 0));
        return Math.max(...counts) + this.maxWaitingWatches;
    }

    private pause(delayMs: number): Promise<void> {
        return clocks.sleep(this.clock, delayMs);
    }
}

function createContent(version: number): configurations.Configuration {
    return samples.sampleConfiguration(version, { engines: ENGINES });
}

/** Measures replicas that poll once a second and accept every answer. */
async function runBaseline(seed: number): Promise<experiments.Figures> {
    const clock = clocks.systemClock;
    const random = randoms.createRandom(seed);
    const source = new sources.ScriptedConfigurationSource(clock);
    const signal = new AbortController().signal;
    const heldVersions: number[] = Array(REPLICAS).fill(0);
    let reverts = 0;
    let bytes = 0;
    let version = 0;
    async function poll(index: number): Promise<void> {
        await clocks.sleep(clock, random() * MS_PER_SECOND);
        for (let count = 0; count < BASELINE_POLLS_PER_REPLICA; count++) {
            const content = (await source.read(signal)).unwrapOr(undefined) as configurations.Configuration;
            bytes += JSON.stringify(content).length;
            reverts += content.version < heldVersions[index]! ? 1 : 0;
            heldVersions[index] = content.version;
            await clocks.sleep(clock, MS_PER_SECOND);
        }
    }
    const publishTimer = clocks.every(
        clock,
        BURST_INTERVAL_MS,
        () => source.publish(createContent(++version), version),
    );
    source.publish(createContent(++version), version);
    const staleTimer = clock.schedule(BASELINE_POLLS_PER_REPLICA / 2 * MS_PER_SECOND, () => {
        source.replacement = createContent(1);
        clock.schedule(MS_PER_SECOND, () => source.replacement = undefined);
    });
    const startMs = clock.now();
    await Promise.all(heldVersions.map((_, index) => poll(index)));
    const seconds = (clock.now() - startMs) / MS_PER_SECOND;
    publishTimer.dispose();
    staleTimer.dispose();
    return {
        replicas: REPLICAS,
        reverts,
        readsPerSecondMean: source.callCount / seconds,
        bytesPerSecondPerReplica: bytes / seconds / REPLICAS,
    };
}

export const configuration: experiments.Experiment = {
    name: "configuration",
    async run(seed) {
        const baseline = await runBaseline(seed);
        const policy = await new PolicyRun(seed).run();
        return {
            baseline,
            policy,
            bounds: {
                publications: { atLeast: PUBLICATIONS },
                reverts: { atMost: 0 },
                invalidInForce: { atMost: 0 },
                conflicting: { atMost: 0 },
                missing: { atMost: 0 },
                inForceMaxMs: { atMost: IN_FORCE_LIMIT_MS },
                readsPerSecondPeak: { atMost: readers.READ_BUDGET_PER_SECOND },
            },
        };
    },
};
