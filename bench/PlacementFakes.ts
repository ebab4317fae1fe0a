/**
 * Fakes for the experiment `placement`: engines, a weight store, a network and pausable process clocks, all driven by
 * one manual clock.
 */
import * as xoroshiro from "pure-rand/generator/xoroshiro128plus";
import * as result from "true-myth/result";
import * as clocks from "../src/common/Clock";
import * as codes from "../src/common/Codes";
import * as ports from "../src/common/Ports";

/** Longest network delay of a message. */
const MAX_DELAY_MS = 20;
/** Rate limit of the weight store, and the burst that it permits. */
const STORE_READS_PER_SECOND = 10;
const STORE_BURST = 3;

/** Creates a seeded source of uniform random numbers in [0, 1). */
export function createRandom(seed: number): () => number {
    const generator = xoroshiro.xoroshiro128plus(seed);
    return () => (generator.next() >>> 0) / 2 ** 32;
}

/** Clock of one process: its timers are deferred while the process is paused; its wall clock is off by `offsetMs`. */
export class ProcessClock implements clocks.Clock {
    private paused = false;
    private deferredCallbacks: (() => void)[] = [];

    constructor(private readonly clock: clocks.Clock, private readonly offsetMs: number) {}

    now(): number {
        return this.clock.now();
    }

    wall(): number {
        return this.clock.wall() + this.offsetMs;
    }

    schedule(delayMs: number, callback: () => void): clocks.Disposable {
        let isDisposed = false;
        const runCallback = () => this.whenRunning(() => isDisposed || callback());
        const timer = this.clock.schedule(delayMs, runCallback);
        return {
            dispose: () => {
                isDisposed = true;
                timer.dispose();
            },
        };
    }

    afterReads(callback: () => void): clocks.Disposable {
        return this.schedule(0, callback);
    }

    /** Runs the callback now, or when the process resumes. */
    whenRunning(callback: () => void): void {
        if (this.paused) {
            this.deferredCallbacks.push(callback);
        }
        else {
            callback();
        }
    }

    get isPaused(): boolean {
        return this.paused;
    }

    pause(): void {
        this.paused = true;
    }

    resume(): void {
        this.paused = false;
        for (const callback of this.deferredCallbacks.splice(0)) {
            callback();
        }
    }
}

/** State of one engine; a crash clears its models and its fencing token. */
export interface EngineState {
    readonly service: string;
    readonly slot: string;
    readonly checksFencing: boolean;
    isUp: boolean;
    boot: number;
    models: Set<string>;
    fence: number;
    /** When it last crashed. */
    diedMs: number;
}

/** An order that an engine has applied. */
export interface AppliedOrder {
    readonly engine: EngineState;
    readonly agentId: number;
    readonly order: ports.EngineOrder;
    /** When the agent checked its lease and sent the order. */
    readonly sentMs: number;
    /** When the order was written to the network; a pause of the agent may lie between `sentMs` and this. */
    readonly writtenMs: number;
}

/** The weight store: a token bucket that counts reads, and reads above the rate limit. */
export class WeightStoreState {
    reads = 0;
    rejectedReads = 0;
    private tokens = STORE_BURST;
    private refilledAtMs = 0;

    read(nowMs: number): result.Result<void, codes.Failure> {
        this.tokens = Math.min(STORE_BURST, this.tokens + (nowMs - this.refilledAtMs) * STORE_READS_PER_SECOND / 1_000);
        this.refilledAtMs = nowMs;
        this.reads++;
        if (this.tokens < 1) {
            this.rejectedReads++;
            return result.err(codes.failure(codes.codes.overloaded, "weight store", 500));
        }
        this.tokens--;
        return result.ok(undefined);
    }
}

/** Delivers messages with a random delay; answers reach a paused process when it resumes. */
export class Network {
    constructor(private readonly clock: clocks.Clock, private readonly random: () => number) {}

    async request<T>(process: ProcessClock, handleRequest: () => T): Promise<T> {
        await clocks.sleep(this.clock, this.random() * MAX_DELAY_MS);
        const response = handleRequest();
        await clocks.sleep(this.clock, this.random() * MAX_DELAY_MS);
        await new Promise<void>(resolve => process.whenRunning(resolve));
        return response;
    }
}

const rejectUnused = () => Promise.reject(new Error("not used by placement"));

/** Creates an agent's port to its engine. If `beginPause` returns true, the process pauses before the next write. */
export function createEnginePort(
    state: EngineState,
    agentId: number,
    process: ProcessClock,
    network: Network,
    beginPause: () => boolean,
    onApplied: (applied: AppliedOrder) => void,
): ports.ModelEngine {
    const createReport = (): result.Result<ports.EngineReport, codes.Failure> =>
        state.isUp
            ? result.ok({
                boot: `${state.boot}`,
                active: 0,
                models: [...state.models],
                fence: state.fence,
                role: "generation",
            })
            : result.err(codes.failure(codes.codes.sourceUnavailable, "engine is down"));
    const applyOrder = (
        order: ports.EngineOrder,
        sentMs: number,
        writtenMs: number,
    ): result.Result<ports.EngineReport, codes.Failure> => {
        if (state.isUp && state.checksFencing && order.fence < state.fence) {
            return result.err(codes.failure(codes.codes.orderRefused, `highest is ${state.fence}`));
        }
        if (state.isUp) {
            state.fence = Math.max(state.fence, order.fence);
            if (order.action === "load") {
                state.models.add(order.subject);
            }
            else if (order.action === "unload") {
                state.models.delete(order.subject);
            }
            onApplied({ engine: state, agentId, order, sentMs, writtenMs });
        }
        return createReport();
    };
    return {
        call: rejectUnused,
        probe: rejectUnused,
        stream: rejectUnused,
        cacheEvents: rejectUnused,
        exportCache: rejectUnused,
        importCache: rejectUnused,
        report: () => network.request(process, createReport),
        order: async order => {
            const sentMs = process.now();
            if (order.action !== "role" && beginPause()) {
                process.pause();
                await new Promise<void>(resolve => process.whenRunning(resolve));
            }
            const writtenMs = process.now();
            return network.request(process, () => applyOrder(order, sentMs, writtenMs));
        },
    };
}
