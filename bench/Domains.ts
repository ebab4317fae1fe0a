/**
 * Experiment `domains`: a failure domain is taken out of service under load and returned with restarted upstreams.
 * One entry never receives the change, one is paused during the publication, and the configuration service is down
 * and then stale while the domain is out. In the baseline, entries route round-robin with a retry ratio of 1, and
 * agents accept work for the removed domain and send restarted upstreams their full load at once.
 */
import * as result from "true-myth/result";
import * as settingsFiles from "../src/commands/SettingsFile";
import * as clocks from "../src/common/Clock";
import * as codes from "../src/common/Codes";
import * as configurations from "../src/common/Configuration";
import * as randoms from "../src/common/Random";
import * as agentProcesses from "../src/process/AgentProcess";
import * as baselineChoices from "../src/process/choice/BaselineChoices";
import * as entryProcesses from "../src/process/EntryProcess";
import * as engines from "../standins/EngineStandIn";
import * as fleets from "../standins/LocalFleet";
import * as experiments from "./Experiment";
import * as loads from "./FleetLoad";
import * as separateEntries from "./SeparateEntry";

const CONFIGURATION = "examples/imprenta.yaml";
const REMOVED_DOMAIN = "santiago-2";
const STALE_ENTRY = "entry-2";
const PAUSED_ENTRY = "entry-3";
const REQUESTS_PER_SECOND = 60;
const DEADLINE_MS = 4_000;
const SERVICE_MS = 20;
/** No work may start in the domain later than this after its removal. */
const PROPAGATION_LIMIT_MS = 3_000;
/** Calls sent to the paused entry, which reads them after it resumes. */
const CALLS_TO_PAUSED_ENTRY = 12;

/** Time after the start of a fleet at which its upstreams are warm. */
const FLEET_WARM_MS = 16_000;
const WARM_UP_MS = 4_000;
const PAUSE_BEFORE_REMOVAL_MS = 500;
const SERVICE_DOWN_AFTER_REMOVAL_MS = 300;
const RESUME_AFTER_REMOVAL_MS = 4_000;
const OUT_AFTER_RESUME_MS = 4_000;
/** Shorter than the interval between two probes, so that the return may precede the first probe after a restart. */
const RESTART_BEFORE_RETURN_MS = 100;
const LOAD_AFTER_RETURN_MS = 4_000;

const kinds: readonly loads.RequestKind[] = [
    ["menu-draft", 48, false] as const,
    ["allergen-note", 24, false] as const,
    ["dish-description", 48, true] as const,
    ["order-status", 16, false] as const,
].map(([pipeline, maxTokens, streams]) => ({
    path: `/v1/pipelines/${pipeline}`,
    maxTokens,
    deadlineMs: DEADLINE_MS,
    streams,
}));

/** Options that differ between the baseline and the product. */
interface Variant {
    readonly entryOptions: Partial<entryProcesses.EntryOptions>;
    readonly agentOptions: Partial<agentProcesses.AgentOptions>;
    readonly retryRatio: number | undefined;
}

/** Upstreams start cold as in the product; once they are warm, agents ignore restarts. */
function createBaseline(): Variant {
    const warmAtMs = clocks.systemClock.now() + FLEET_WARM_MS;
    const findColdConcurrency = () => clocks.systemClock.now() < warmAtMs ? 2 : 16;
    return {
        entryOptions: { choose: baselineChoices.createRoundRobin(), admitsByDeadline: false },
        agentOptions: {
            bounds: () => ({ coldConcurrency: findColdConcurrency(), warmConcurrency: 16 }),
            findOutOfService: () => undefined,
        },
        retryRatio: 1,
    };
}

const product: Variant = { entryOptions: {}, agentOptions: {}, retryRatio: undefined };

function readConfiguration(variant: Variant): configurations.Configuration {
    const content = settingsFiles.readYaml(CONFIGURATION).unwrapOr(undefined);
    const configuration = configurations.configurationSchema.parse(content);
    const preset = configuration.presets[configuration.preset]!;
    preset.retryRatio = variant.retryRatio ?? preset.retryRatio;
    return configuration;
}

/** One run of the schedule. Times are milliseconds since the Unix epoch. */
class Run {
    private removedAtMs = 0;
    private returnedAtMs = 0;
    private excessBeforeReturn = 0;
    private readonly callsToPausedEntry: Promise<loads.EndedRequest>[] = [];
    private readonly load: loads.FleetLoad;

    private constructor(
        private readonly fleet: fleets.LocalFleet,
        private readonly pausedEntry: separateEntries.SeparateEntry,
        random: () => number,
    ) {
        this.load = new loads.FleetLoad({
            random,
            kinds,
            teams: Object.keys(fleet.configuration.teams),
            requestsPerSecond: REQUESTS_PER_SECOND,
            pickEntry: () => this.pickEntry(random),
        });
    }

    static async measure(seed: number, variant: Variant): Promise<experiments.Figures> {
        const random = randoms.createRandom(seed);
        const configuration = readConfiguration(variant);
        const fleet = await fleets.LocalFleet.start({
            configuration,
            entries: 2,
            random,
            engineOptions: service => ({
                ...createCapacityOptions(configuration, service),
                firstTokenMs: 40,
                msPerToken: 12,
                batchSize: 16,
            }),
            plainOptions: service => ({ ...createCapacityOptions(configuration, service), serviceMs: SERVICE_MS }),
            entryOptions: variant.entryOptions,
            agentOptions: variant.agentOptions,
        });
        const pausedEntry = await separateEntries.SeparateEntry.start({
            instance: PAUSED_ENTRY,
            failureDomain: "santiago-3",
            region: "santiago",
            configurationService: fleet.configurationService.address,
            instanceList: fleet.instanceList.address,
        }, fleet.agents.size);
        const run = new Run(fleet, pausedEntry, random);
        await run.runSchedule();
        const figures = await run.summarize();
        pausedEntry.dispose();
        fleet.dispose();
        return figures;
    }

    private async runSchedule(): Promise<void> {
        const { fleet, pausedEntry, load } = this;
        load.start();
        await wait(WARM_UP_MS);
        const staleReplica = fleet.entries.get(STALE_ENTRY)!["node"].replica;
        staleReplica.observe = () => undefined;
        staleReplica.offer = () => result.err(codes.failure(codes.codes.sourceUnavailable, "cut off"));
        pausedEntry.pause();
        this.callPausedEntry();
        await wait(PAUSE_BEFORE_REMOVAL_MS);
        this.removedAtMs = this.publishState("out");
        await wait(SERVICE_DOWN_AFTER_REMOVAL_MS);
        fleet.configurationService.faults = { down: true };
        await wait(RESUME_AFTER_REMOVAL_MS - SERVICE_DOWN_AFTER_REMOVAL_MS);
        fleet.configurationService.faults = { answerOld: true };
        pausedEntry.resume();
        await wait(OUT_AFTER_RESUME_MS);
        this.findUpstreamsOfRemovedDomain().forEach(upstream => upstream.restart());
        fleet.configurationService.faults = {};
        this.excessBeforeReturn = this.countExcessCalls();
        await wait(RESTART_BEFORE_RETURN_MS);
        this.returnedAtMs = this.publishState("in");
        await wait(LOAD_AFTER_RETURN_MS);
        await load.stop();
    }

    private publishState(state: "in" | "out"): number {
        this.fleet.publish(draft => draft.failureDomains[REMOVED_DOMAIN]!.state = state);
        return clocks.systemClock.wall();
    }

    /** Sends calls that wait in the socket buffers of the paused entry. */
    private callPausedEntry(): void {
        for (let index = 0; index < CALLS_TO_PAUSED_ENTRY; index++) {
            const kind = kinds[index % kinds.length]!;
            this.callsToPausedEntry.push(this.load.send(PAUSED_ENTRY, this.pausedEntry.callerAddress, kind, false));
        }
    }

    /** Picks an entry like the load balancer, which skips entries that don't answer their health check. */
    private pickEntry(random: () => number): { entry: string; address: string } {
        const available = [...this.fleet.entries].map(([entry, { callerAddress }]) => ({
            entry,
            address: callerAddress,
        }));
        if (!this.pausedEntry.isPaused) {
            available.push({ entry: PAUSED_ENTRY, address: this.pausedEntry.callerAddress });
        }
        return available[Math.floor(random() * available.length)]!;
    }

    private findUpstreamsOfRemovedDomain(): fleets.Upstream[] {
        const slots = Object.values(this.fleet.configuration.services).flatMap(service =>
            Object.entries(service.slots)
        );
        return slots.filter(([, slot]) => slot.failureDomain === REMOVED_DOMAIN)
            .map(([name]) => this.fleet.upstreams.get(name)!);
    }

    /** Counts executions that started in the removed domain between two times. */
    private countStarts(fromMs: number, toMs: number): number {
        return this.findUpstreamsOfRemovedDomain().reduce((sum, upstream) => {
            // Plain services log an execution at its end, engines at its start.
            const durationBeforeLogMs = upstream instanceof engines.EngineStandIn ? 0 : SERVICE_MS;
            return sum
                + upstream.log.filter(({ atMs }) =>
                    atMs - durationBeforeLogMs > fromMs && atMs - durationBeforeLogMs < toMs
                ).length;
        }, 0);
    }

    private countExcessCalls(): number {
        return this.findUpstreamsOfRemovedDomain().reduce((sum, upstream) => sum + upstream.capacity.excess, 0);
    }

    private async summarize(): Promise<experiments.Figures> {
        const { ended } = this.load;
        const measured = ended.filter(({ startedMs }) => startedMs > this.removedAtMs - WARM_UP_MS / 2);
        const inFlight = ended.filter(({ startedMs, endedMs, entry }) =>
            entry !== PAUSED_ENTRY && startedMs < this.removedAtMs && endedMs > this.removedAtMs
        );
        const pausedEntryResults = await Promise.all(this.callsToPausedEntry);
        const endAtMs = this.returnedAtMs + LOAD_AFTER_RETURN_MS;
        return {
            requests: measured.length,
            attainment: measured.filter(loads.isInTime).length / measured.length,
            newWorkLate: this.countStarts(this.removedAtMs + PROPAGATION_LIMIT_MS, this.returnedAtMs),
            newWorkEarly: this.countStarts(this.removedAtMs, this.removedAtMs + PROPAGATION_LIMIT_MS),
            refusedByAgents: await this.countRejectedByAgents(),
            underWay: inFlight.length,
            underWayCut: inFlight.filter(request => !loads.isComplete(request)).length,
            unknown: ended.filter(request => isUnknown(request) && !this.isSentToPausedEntry(request)).length,
            unknownInPause: ended.filter(request => isUnknown(request) && this.isSentToPausedEntry(request)).length,
            trappedUnanswered: pausedEntryResults.filter(({ reply }) => reply.answer === undefined).length,
            returnedWork: this.countStarts(this.returnedAtMs, endAtMs),
            returnedExcess: this.countExcessCalls() - this.excessBeforeReturn,
        };
    }

    /** Whether the request went to the paused entry before the domain was removed. */
    private isSentToPausedEntry({ entry, startedMs }: loads.EndedRequest): boolean {
        return entry === PAUSED_ENTRY && startedMs < this.removedAtMs;
    }

    /** Counts calls that agents rejected because their domain was out of service. */
    private async countRejectedByAgents(): Promise<number> {
        let count = 0;
        for (const agent of this.fleet.agents.values()) {
            const callCounts = await agent["metrics"].registry.getSingleMetric("cumincrank_agent_calls_total")?.get();
            count += callCounts?.values.find(({ labels }) => labels.code === "204")?.value ?? 0;
        }
        return count;
    }
}

function isUnknown({ reply }: loads.EndedRequest): boolean {
    return reply.answer === undefined || reply.answer.outcome === "unknown";
}

function createCapacityOptions(
    configuration: configurations.Configuration,
    service: string,
): { coldConcurrency: number; warmConcurrency: number; warmAfter: number } {
    const { coldConcurrency, warmConcurrency } = configuration.services[service]!;
    return { coldConcurrency, warmConcurrency, warmAfter: coldConcurrency };
}

function wait(delayMs: number): Promise<void> {
    return clocks.sleep(clocks.systemClock, delayMs);
}

export const domains: experiments.Experiment = {
    name: "domains",
    async run(seed) {
        return {
            baseline: await Run.measure(seed, createBaseline()),
            policy: await Run.measure(seed, product),
            bounds: {
                attainment: { atLeast: 0.95 },
                newWorkLate: { atMost: 0 },
                underWayCut: { atMost: 0 },
                unknown: { atMost: 0 },
                trappedUnanswered: { atMost: 0 },
                returnedExcess: { atMost: 0 },
                returnedWork: { atLeast: 1 },
            },
        };
    },
};
