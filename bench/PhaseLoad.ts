/**
 * Generates load on a local fleet: sends seeded Poisson arrivals to the entries in round-robin order and records the
 * replies.
 */
import * as http from "node:http";
import * as distributions from "pure-rand/distribution/uniformFloat32";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as clocks from "../src/common/Clock";
import * as configurations from "../src/common/Configuration";
import * as callers from "../standins/Caller";
import * as fleets from "../standins/LocalFleet";

const TIMER_INTERVAL_MS = 20;
const PIPELINE_PATH = "/v1/pipelines/work";

/** A period of load with constant parameters. */
export interface Phase {
    readonly name: string;
    readonly durationMs: number;
    /** Mean arrivals per second. */
    readonly rate: number;
    readonly team: string;
    readonly deadlineMs?: number | undefined;
    /** Additional arrivals at the start of the phase. */
    readonly burst?: number | undefined;
    /** Share of the callers that disconnect before the reply. */
    readonly disconnectShare?: number | undefined;
    readonly body: Readonly<Record<string, unknown>>;
}

/** One request and its reply. */
export interface Sample {
    readonly phase: string;
    readonly team: string;
    /** Whether the caller was to disconnect at a random time; the reply may have come first. */
    readonly hasPlannedDisconnect: boolean;
    readonly deadlineMs: number;
    /** Time from the start of the phase to the reply. */
    readonly repliedAfterMs: number;
    readonly reply: callers.EntryReply;
}

/** Creates a seeded source of uniform random numbers in [0, 1). */
export function createRandom(seed: number): () => number {
    const generator = generators.xoroshiro128plus(seed);
    return () => distributions.uniformFloat32(generator);
}

/** Whether the request was completed within its deadline. */
export function isInTime({ reply, deadlineMs }: Sample): boolean {
    return reply.answer?.outcome === "completed" && reply.elapsedMs <= deadlineMs;
}

/** Whether the request was rejected before any of its work ran. */
export function isRejected({ reply }: Sample): boolean {
    return reply.answer?.outcome === "not-run";
}

/** Counts the requests answered in time within `durationMs` of the start of their phase. */
export function countInTimeWithin(samples: readonly Sample[], durationMs: number): number {
    return samples.filter(sample => isInTime(sample) && sample.repliedAfterMs <= durationMs).length;
}

/** Sends phases of load to a fleet. */
export class PhaseLoad implements clocks.Disposable {
    readonly samples: Sample[] = [];
    private readonly httpAgent = new http.Agent({ keepAlive: true, maxFreeSockets: 1_024 });
    private readonly inFlight = new Set<Promise<void>>();
    private readonly latenessSamplesMs: number[] = [];
    private readonly latenessTimer: clocks.Disposable;
    private sentCount = 0;

    constructor(private readonly fleet: fleets.LocalFleet, private readonly random: () => number) {
        let dueMs = clocks.systemClock.now() + TIMER_INTERVAL_MS;
        this.latenessTimer = clocks.every(clocks.systemClock, TIMER_INTERVAL_MS, () => {
            this.latenessSamplesMs.push(clocks.systemClock.now() - dueMs);
            dueMs = clocks.systemClock.now() + TIMER_INTERVAL_MS;
        });
    }

    /** 99th percentile of this process's timer lateness, in milliseconds; indicates how busy the machine is. */
    get timerLatenessMs(): number {
        return this.latenessSamplesMs.sort((a, b) => a - b)[Math.floor(this.latenessSamplesMs.length * 0.99)] ?? 0;
    }

    /** Sends the requests of one phase; resolves at its end, without waiting for all replies. */
    async send(phase: Phase): Promise<void> {
        const { systemClock } = clocks;
        const startedMs = systemClock.now();
        for (let index = 0; index < (phase.burst ?? 0); index++) {
            this.startRequest(phase, startedMs);
        }
        let dueMs = startedMs;
        for (;;) {
            dueMs += -Math.log(1 - this.random()) * 1_000 / phase.rate;
            if (dueMs > startedMs + phase.durationMs) {
                return;
            }
            if (dueMs > systemClock.now()) {
                await clocks.sleep(systemClock, dueMs - systemClock.now());
            }
            this.startRequest(phase, startedMs);
        }
    }

    /** Resolves when all requests have been answered. */
    async waitForReplies(): Promise<void> {
        await Promise.all(this.inFlight);
    }

    dispose(): void {
        this.latenessTimer.dispose();
        this.httpAgent.destroy();
    }

    private startRequest(phase: Phase, startedMs: number): void {
        const task = this.sendRequest(phase, startedMs);
        this.inFlight.add(task);
        void task.finally(() => this.inFlight.delete(task));
    }

    private async sendRequest(phase: Phase, startedMs: number): Promise<void> {
        const entries = [...this.fleet.entries.keys()];
        const requestNumber = this.sentCount++;
        const deadlineMs = phase.deadlineMs ?? this.fleet.configuration.pipelines["work"]!.deadlineMs;
        const hasPlannedDisconnect = this.random() < (phase.disconnectShare ?? 0);
        const disconnect = new AbortController();
        const disconnectTimer = clocks.systemClock.schedule(
            this.random() * deadlineMs / 2,
            () => hasPlannedDisconnect && disconnect.abort(),
        );
        const reply = await this.fleet.call(entries[requestNumber % entries.length]!, {
            path: PIPELINE_PATH,
            team: phase.team,
            // A unique prompt, so that prefix caches don't make the engines faster than assumed.
            body: { ...phase.body, prompt: `request ${requestNumber}` },
            deadlineMs,
            agent: this.httpAgent,
            signal: disconnect.signal,
        });
        disconnectTimer.dispose();
        const repliedAfterMs = clocks.systemClock.now() - startedMs;
        this.samples.push({
            repliedAfterMs,
            phase: phase.name,
            team: phase.team,
            hasPlannedDisconnect,
            deadlineMs,
            reply,
        });
    }
}

/** One service of an experiment's fleet. */
export interface FleetService {
    readonly name: string;
    readonly kind: "engine" | "plain";
    readonly upstreams: number;
    readonly coldConcurrency: number;
    readonly warmConcurrency: number;
    readonly coldCalls?: number | undefined;
}

/** Creates a configuration with one pipeline, `work`, that has one stage on each service. */
export function createConfiguration(
    services: readonly FleetService[],
    options: { deadlineMs: number; retryRatio: number; teams: Record<string, { weight: number }> },
): configurations.Configuration {
    return configurations.configurationSchema.parse({
        version: 1,
        preset: "ordinary",
        presets: { ordinary: { retryRatio: options.retryRatio, hedgeRatio: 0, shedBelowPriority: 0 } },
        failureDomains: { "zone-a": { region: "local" }, "zone-b": { region: "local" } },
        teams: options.teams,
        services: Object.fromEntries(services.map(service => [service.name, createService(service)])),
        pipelines: {
            work: {
                deadlineMs: options.deadlineMs,
                stages: services.map(({ name }) => ({ name, service: name, operation: "run" })),
            },
        },
    });
}

function createService(service: FleetService): unknown {
    const { kind, name, upstreams, ...limits } = service;
    const slots = Array.from({ length: upstreams }, (_, index) => {
        const failureDomain = index % 2 === 0 ? "zone-a" : "zone-b";
        return [`${name}-${index + 1}`, { failureDomain }];
    });
    const operations = { run: { idempotent: true } };
    return { kind, operations, ...limits, slots: Object.fromEntries(slots) };
}
