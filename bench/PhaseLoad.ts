/**
 * Load on a whole local fleet: arrivals drawn from a seed, sent through the entries in turn, and what came back.
 */
import * as http from "node:http";
import * as distributions from "pure-rand/distribution/uniformFloat32";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as clocks from "../src/common/Clock";
import * as configurations from "../src/common/Configuration";
import * as callers from "../standins/Caller";
import * as fleets from "../standins/LocalFleet";

const LATENESS_PERIOD_MS = 20;
const PIPELINE_PATH = "/v1/pipelines/work";

/** A span of one workload. */
export interface Phase {
    readonly name: string;
    readonly durationMs: number;
    /** Arrivals a second. */
    readonly rate: number;
    readonly team: string;
    readonly deadlineMs?: number | undefined;
    /** Arrivals at the very start of the phase. */
    readonly burst?: number | undefined;
    /** Share of the callers that go away while they wait. */
    readonly leaveShare?: number | undefined;
    readonly body: Readonly<Record<string, unknown>>;
}

/** One request and its reply. */
export interface Sample {
    readonly phase: string;
    readonly team: string;
    readonly hasLeft: boolean;
    readonly deadlineMs: number;
    /** Time between the start of the phase and the reply, in milliseconds. */
    readonly endedMs: number;
    readonly reply: callers.EntryReply;
}

/** Makes a source of random numbers from 0 up to 1. */
export function createRandom(seed: number): () => number {
    const generator = generators.xoroshiro128plus(seed);
    return () => distributions.uniformFloat32(generator);
}

/** Whether the request was answered whole within its deadline. */
export function isInTime({ reply, deadlineMs }: Sample): boolean {
    return reply.answer?.outcome === "completed" && reply.elapsedMs <= deadlineMs;
}

/** Whether the request was refused before any work. */
export function isRefused({ reply }: Sample): boolean {
    return reply.answer?.outcome === "not-run";
}

/** Counts the requests answered in time before their phase had lasted `durationMs`. */
export function countWithin(samples: readonly Sample[], durationMs: number): number {
    return samples.filter(sample => isInTime(sample) && sample.endedMs <= durationMs).length;
}

/** Sends phases of load to a fleet. */
export class FleetLoad implements clocks.Disposable {
    readonly samples: Sample[] = [];
    private readonly agent = new http.Agent({ keepAlive: true, maxFreeSockets: 1_024 });
    private readonly running = new Set<Promise<void>>();
    private readonly lateness: number[] = [];
    private readonly watch: clocks.Disposable;
    private sent = 0;

    constructor(private readonly fleet: fleets.LocalFleet, private readonly random: () => number) {
        let dueMs = clocks.systemClock.now() + LATENESS_PERIOD_MS;
        this.watch = clocks.every(clocks.systemClock, LATENESS_PERIOD_MS, () => {
            this.lateness.push(clocks.systemClock.now() - dueMs);
            dueMs = clocks.systemClock.now() + LATENESS_PERIOD_MS;
        });
    }

    /** How late 99 in 100 timers of this process were at most, in milliseconds; tells how busy the machine is. */
    get timerLatenessMs(): number {
        return this.lateness.sort((a, b) => a - b)[Math.floor(this.lateness.length * 0.99)] ?? 0;
    }

    /** Sends the arrivals of one phase; resolves at its end, when some may still be unanswered. */
    async send(phase: Phase): Promise<void> {
        const { systemClock } = clocks;
        const startedMs = systemClock.now();
        for (let index = 0; index < (phase.burst ?? 0); index++) {
            this.start(phase, startedMs);
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
            this.start(phase, startedMs);
        }
    }

    /** Resolves when everything sent was answered. */
    async settle(): Promise<void> {
        await Promise.all(this.running);
    }

    dispose(): void {
        this.watch.dispose();
        this.agent.destroy();
    }

    private start(phase: Phase, startedMs: number): void {
        const task = this.call(phase, startedMs);
        this.running.add(task);
        void task.finally(() => this.running.delete(task));
    }

    private async call(phase: Phase, startedMs: number): Promise<void> {
        const entries = [...this.fleet.entries.keys()];
        const number = this.sent++;
        const deadlineMs = phase.deadlineMs ?? this.fleet.configuration.pipelines["work"]!.deadlineMs;
        const hasLeft = this.random() < (phase.leaveShare ?? 0);
        const leave = new AbortController();
        const timer = clocks.systemClock.schedule(this.random() * deadlineMs / 2, () => hasLeft && leave.abort());
        const reply = await this.fleet.call(entries[number % entries.length]!, {
            path: PIPELINE_PATH,
            team: phase.team,
            // A prompt of its own, so that no prefix cache makes the engines faster than reckoned.
            body: { ...phase.body, prompt: `request ${number}` },
            deadlineMs,
            agent: this.agent,
            signal: leave.signal,
        });
        timer.dispose();
        const endedMs = clocks.systemClock.now() - startedMs;
        this.samples.push({ endedMs, phase: phase.name, team: phase.team, hasLeft, deadlineMs, reply });
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

/** A document with one pipeline, `work`, that has one stage on each service. */
export function createDocument(
    services: readonly FleetService[],
    options: { deadlineMs: number; retryRatio: number; teams: Record<string, { weight: number }> },
): configurations.Configuration {
    return configurations.configurationSchema.parse({
        version: 1,
        preset: "ordinary",
        presets: { ordinary: { retryRatio: options.retryRatio, hedgeRatio: 0, shedBelowPriority: 0 } },
        failureDomains: { "zone-a": { region: "local" }, "zone-b": { region: "local" } },
        teams: options.teams,
        services: Object.fromEntries(services.map(service => [service.name, describeService(service)])),
        pipelines: {
            work: {
                deadlineMs: options.deadlineMs,
                stages: services.map(({ name }) => ({ name, service: name, operation: "run" })),
            },
        },
    });
}

function describeService(service: FleetService): unknown {
    const { kind, name, upstreams, ...bounds } = service;
    const slots = Array.from({ length: upstreams }, (_, index) => {
        const failureDomain = index % 2 === 0 ? "zone-a" : "zone-b";
        return [`${name}-${index + 1}`, { failureDomain }];
    });
    const operations = { run: { idempotent: true } };
    return { kind, operations, ...bounds, slots: Object.fromEntries(slots) };
}
