/**
 * Experiment `configuration`: publications to a fleet of replicas while the service is down, answers with an
 * old version, publishes invalid documents, the fleet is split, and all replicas are replaced. The baseline
 * polls the service once a second for the full content and takes what it answers.
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
/** Time within which a publication must be in force at every replica that can be reached. */
const IN_FORCE_LIMIT_MS = 5_000;
/** Time without publications before a fault, so that each publication is either before or within it. */
const QUIET_MS = 700;
/** Time for which the service is down: long enough for replicas without a watch to turn to it. */
const DOWN_MS = 12_000;
const FAULT_MS = 3_200;
const IDLE_MS = 2_000;
const REPLACE_INTERVAL_MS = 20;
const SAMPLE_INTERVAL_MS = 100;
const MS_PER_SECOND = 1_000;
const BASELINE_POLLS = 5;

/** One run of the policy. */
class PolicyRun {
    private readonly clock = clocks.systemClock;
    private readonly source = new sources.ScriptedConfigurationSource(this.clock);
    private readonly tracker = new trackers.VersionTracker(this.clock);
    private readonly random: randoms.Random;
    private readonly fleet: fleets.Fleet;
    private readonly calls: number[] = [];
    private waiting = 0;
    private content = publishable(1);
    private version = 1;
    private published = 0;
    private invalidInForce = 0;
    private conflicting = 0;
    private readonly digests = new Map<number, string>();

    constructor(seed: number) {
        this.random = randoms.createRandom(seed);
        this.fleet = new fleets.Fleet({
            size: REPLICAS,
            clock: this.clock,
            random: this.random,
            source: this.source,
            onVersion: (replica, version) => this.observe(replica, version),
        });
    }

    async run(): Promise<experiments.Figures> {
        const sampling = clocks.every(this.clock, SAMPLE_INTERVAL_MS, () => this.sample());
        this.publish();
        await this.fleet.start();
        await this.settle();
        const idleBytes = await this.measureIdle();
        const startMs = this.clock.now();
        const startBytes = this.fleet.carriedBytes;
        const startCpu = process.cpuUsage();
        await this.runPhases();
        await this.settle();
        const seconds = (this.clock.now() - startMs) / MS_PER_SECOND;
        const cpu = process.cpuUsage(startCpu);
        const bytes = this.fleet.carriedBytes - startBytes;
        sampling.dispose();
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
            readsPerSecondPeak: this.peakReads(),
            readsPerSecondMean: this.source.callCount / ((this.clock.now() - this.tracker.startedMs) / MS_PER_SECOND),
            // Each byte is sent by one replica and received by another.
            bytesPerSecondPerReplica: 2 * bytes / seconds / REPLICAS,
            idleBytesPerSecondPerReplica: idleBytes,
            cpuMsPerSecondPerReplica: (cpu.user + cpu.system) / MS_PER_SECOND / seconds / REPLICAS,
            applied: this.fleet.sumCounter("applied"),
            deltasSent: this.fleet.sumCounter("deltasSent"),
            fullsSent: this.fleet.sumCounter("fullsSent"),
            gaps: this.fleet.sumCounter("gaps"),
        };
    }

    private async runPhases(): Promise<void> {
        await this.publishBursts(3);
        await this.withFault(() => this.source.setDown(true), () => this.source.setDown(false), () => true, DOWN_MS);
        await this.publishBursts(3);
        const old = structuredClone(publishable(1));
        await this.withFault(() => this.source.override = old, () => this.source.override = undefined, () => true);
        await this.publishInvalid();
        await this.publishBursts(3);
        await this.withFault(
            () => this.fleet.setPartitioned(true),
            () => this.fleet.setPartitioned(false),
            index => this.fleet.isSecondHalf(index),
        );
        await this.replaceAll();
    }

    /** Publishes through a fault that cuts off the replicas that `affects` names. */
    private async withFault(
        begin: () => void,
        end: () => void,
        affects: (index: number) => boolean,
        lastsMs = FAULT_MS,
    ): Promise<void> {
        await this.pause(QUIET_MS);
        begin();
        const fault = this.tracker.beginFault(affects);
        await this.publishBursts(FAULT_MS / BURST_INTERVAL_MS);
        await this.pause(lastsMs - FAULT_MS);
        end();
        this.tracker.endFault(fault);
        await this.pause(QUIET_MS);
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

    /** Publishes a change of one slot and of one team. */
    private publish(): void {
        this.published++;
        this.version++;
        this.content = structuredClone({ ...this.content, version: this.version });
        const slots = Object.values(this.content.services["engines"]!.slots);
        const slot = slots[Math.floor(this.random() * slots.length)]!;
        slot.state = slot.state === "in" ? "out" : "in";
        this.content.teams["team-a"]!.weight = 1 + Math.floor(this.random() * 100);
        this.digests.set(this.version, new digests.ContentDigest().summarize(this.content).digest);
        this.tracker.recordPublication(this.version);
        this.source.publish(this.content, this.version);
    }

    private observe(replica: fleets.FleetReplica, { configuration, digest }: replicas.VersionInForce): void {
        const expected = this.digests.get(configuration.version);
        this.invalidInForce += expected === undefined && configuration.version !== 1 ? 1 : 0;
        this.conflicting += expected !== undefined && expected !== digest ? 1 : 0;
        this.tracker.recordInForce(replica, configuration.version);
    }

    /** Waits until the whole fleet holds the newest version, or the limit has passed. */
    private async settle(): Promise<void> {
        const untilMs = this.clock.now() + IN_FORCE_LIMIT_MS;
        const isBehind = () => this.fleet.replicas.some(({ replica }) => replica.version < this.version);
        while (isBehind() && this.clock.now() < untilMs) {
            await this.pause(SAMPLE_INTERVAL_MS);
        }
    }

    private async measureIdle(): Promise<number> {
        const before = this.fleet.carriedBytes;
        await this.pause(IDLE_MS);
        return 2 * (this.fleet.carriedBytes - before) / (IDLE_MS / MS_PER_SECOND) / REPLICAS;
    }

    private sample(): void {
        this.calls.push(this.source.callCount);
        this.waiting = Math.max(this.waiting, this.source.waitingCount);
    }

    /** Most calls in any second, plus the most watches that waited at once. */
    private peakReads(): number {
        const window = MS_PER_SECOND / SAMPLE_INTERVAL_MS;
        const counts = this.calls.map((calls, index) => calls - (this.calls[index - window] ?? 0));
        return Math.max(...counts) + this.waiting;
    }

    private pause(delayMs: number): Promise<void> {
        return clocks.sleep(this.clock, delayMs);
    }
}

function publishable(version: number): configurations.Configuration {
    return samples.sampleConfiguration(version, { engines: ENGINES });
}

/** Polls once a second from each replica, and takes every answer. */
async function runBaseline(seed: number): Promise<experiments.Figures> {
    const clock = clocks.systemClock;
    const random = randoms.createRandom(seed);
    const source = new sources.ScriptedConfigurationSource(clock);
    const signal = new AbortController().signal;
    const held: number[] = Array(REPLICAS).fill(0);
    let reverts = 0;
    let bytes = 0;
    let version = 0;
    async function poll(index: number): Promise<void> {
        await clocks.sleep(clock, random() * MS_PER_SECOND);
        for (let count = 0; count < BASELINE_POLLS; count++) {
            const content = (await source.read(signal)).unwrapOr(undefined) as configurations.Configuration;
            bytes += JSON.stringify(content).length;
            reverts += content.version < held[index]! ? 1 : 0;
            held[index] = content.version;
            await clocks.sleep(clock, MS_PER_SECOND);
        }
    }
    const publishing = clocks.every(clock, BURST_INTERVAL_MS, () => source.publish(publishable(++version), version));
    source.publish(publishable(++version), version);
    const ageing = clock.schedule(BASELINE_POLLS / 2 * MS_PER_SECOND, () => {
        source.override = publishable(1);
        clock.schedule(MS_PER_SECOND, () => source.override = undefined);
    });
    const startMs = clock.now();
    await Promise.all(held.map((_, index) => poll(index)));
    const seconds = (clock.now() - startMs) / MS_PER_SECOND;
    publishing.dispose();
    ageing.dispose();
    return {
        replicas: REPLICAS,
        reverts,
        readsPerSecondMean: source.callCount / seconds,
        bytesPerSecondPerReplica: bytes / seconds / REPLICAS,
    };
}

/** The experiment. */
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
