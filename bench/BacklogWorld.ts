/**
 * Engines of several speeds that read prompts one after the other, for the experiment `backlog`. Each shares its machine
 * with others, which slow it down for short times, and keeps the parts of prompts that it has read.
 */
import * as randoms from "../src/common/Random";
import * as routing from "../src/common/Routing";
import * as routingPorts from "../src/common/RoutingPorts";

/** Usual time of work on the machines, relative to each other. */
const MACHINE_SLOWNESS: readonly number[] = [0.6, 1, 1.6];
/** Share of the time in which others use a machine, how much slower work is then, and for how long. */
const SHARED_TIME = 0.15;
const SHARED_SLOWDOWN = 2.5;
const SHARED_PERIOD_MS = 600;
/** Tokens that a machine of the usual speed reads in a millisecond. */
const TOKENS_PER_MS = 40;
/** Time from a call's arrival to its first event, excluding the reading of prompts. */
const OVERHEAD_MS = 20;
/** Seeds of the engines of one experiment. */
const ENGINE_SEEDS = 1_000;

/** One engine; times are those of the experiment's clock. */
export class BacklogEngine {
    readonly instance: routing.RoutedInstance;
    private readonly heldParts = new Set<string>();
    private busyUntilMs = 0;
    private running = 0;
    private readonly random: randoms.Random;
    /** One random number for each period. */
    private readonly draws: number[] = [];

    constructor(private readonly index: number, seed: number) {
        this.random = randoms.createRandom(seed * ENGINE_SEEDS + index);
        this.instance = {
            id: `engine-${index}`,
            startedMs: 1,
            service: "model",
            softwareVersion: "v1",
            address: `10.0.${index >> 8}.${index & 255}:80`,
            failureDomain: "a",
            state: "ready",
            slots: 64,
            coldLeftMs: 0,
        };
    }

    /** How long work takes there at a time, 1 being usual. */
    slowdownAt(nowMs: number): number {
        const period = Math.floor(nowMs / SHARED_PERIOD_MS);
        while (this.draws.length <= period) {
            this.draws.push(this.random());
        }
        return MACHINE_SLOWNESS[this.index % MACHINE_SLOWNESS.length]!
            * (this.draws[period]! < SHARED_TIME ? SHARED_SLOWDOWN : 1);
    }

    /** When the first event of a prompt that arrives now would come. */
    firstEventAtMs(parts: readonly routingPorts.PromptPart[], nowMs: number): number {
        const missing = parts.filter(part => !this.heldParts.has(part.id)).reduce((sum, part) => sum + part.tokens, 0);
        const readingMs = missing / TOKENS_PER_MS * this.slowdownAt(nowMs);
        return Math.max(nowMs, this.busyUntilMs) + readingMs + OVERHEAD_MS;
    }

    /** Takes a prompt; returns when its first event comes. */
    accept(parts: readonly routingPorts.PromptPart[], nowMs: number): number {
        const firstEventAtMs = this.firstEventAtMs(parts, nowMs);
        this.busyUntilMs = firstEventAtMs - OVERHEAD_MS;
        this.running++;
        parts.slice(0, -1).forEach(part => this.heldParts.add(part.id));
        return firstEventAtMs;
    }

    /** Ends a call; returns what its answer states. */
    answer(nowMs: number): routingPorts.InstanceLoad {
        this.running--;
        return { running: this.running, waiting: 0, slowdown: this.slowdownAt(nowMs) };
    }
}
