/**
 * One run of the fuzz: batches of odd inputs, and after each of them the checks that the processes are as before.
 */
import * as clocks from "../src/common/Clock";
import * as randoms from "../src/common/Random";
import * as routedFleets from "../standins/platform/RoutedFleet";
import * as batches from "./Batches";
import * as fuzzEntries from "./FuzzEntry";
import * as fuzzFleets from "./FuzzFleet";
import * as mutations from "./Mutation";

/** Memory limit of the machines that the program is deployed on. */
const MAX_RESIDENT_BYTES = 350 * 1_024 * 1_024;
/** Time in which a process must answer again after odd inputs; long, since the machine may be busy. */
const RECOVERY_LIMIT_MS = 30_000;
const POLL_INTERVAL_MS = 100;
/** Processor time that an idle process may use in the period of a measurement. */
const IDLE_PERIOD_MS = 500;
const MAX_IDLE_MS = 250;
/** Work that is under way ends within this many periods. */
const IDLE_PERIODS = 30;
/** Distance between the seeds of the batches of consecutive runs. */
const SEED_STEP = 10_000;
/** All kinds of batches. */
export const KINDS = Object.keys(batches.BATCHES) as batches.BatchKind[];

/** What a run is made of. */
export interface FuzzOptions {
    readonly seed: number;
    /** The program under test. */
    readonly program: string;
    /** Whether another batch follows; there is one of each kind at least. */
    readonly isOver: (batchCount: number) => boolean;
    /** The kinds of batches; all by default. */
    readonly kinds?: readonly batches.BatchKind[];
}

/** A check that failed after a batch. */
export interface Violation {
    readonly batch: number;
    readonly kind: batches.BatchKind | "start" | "closed output";
    readonly entry: string;
    readonly check: string;
    readonly detail: string;
}

/** The result of one run. */
export interface FuzzReport {
    readonly seed: number;
    readonly batches: number;
    readonly inputs: number;
    /** Largest resident memory of an entry after a batch, in megabytes. */
    readonly maxResidentMb: number;
    /** Number of decisions of each kind that the entry logged which got the odd inputs. */
    readonly decisions: Readonly<Record<string, number>>;
    readonly violations: readonly Violation[];
}

/** Runs batches until it is over, or a check has failed. */
export async function runFuzz(options: FuzzOptions): Promise<FuzzReport> {
    const fleet = await fuzzFleets.FuzzFleet.start(options.program);
    const run = new FuzzRun(fleet, options);
    try {
        return await run.run();
    }
    finally {
        fleet.dispose();
    }
}

class FuzzRun {
    private readonly violations: Violation[] = [];
    private inputs = 0;
    private maxResidentBytes = 0;

    constructor(private readonly fleet: fuzzFleets.FuzzFleet, private readonly options: FuzzOptions) {}

    async run(): Promise<FuzzReport> {
        const { seed, isOver, kinds = KINDS } = this.options;
        let batch = 0;
        await this.check(batch, "start");
        while (this.violations.length === 0 && (batch < kinds.length || !isOver(batch))) {
            const random = randoms.createRandom(seed * SEED_STEP + batch);
            const kind = batch < kinds.length ? kinds[batch]! : mutations.pick(random, kinds);
            this.inputs += await batches.BATCHES[kind](this.fleet, random);
            await this.check(batch, kind);
            batch++;
        }
        if (this.violations.length === 0) {
            this.fleet.target.process.output?.destroy();
            await this.check(batch, "closed output");
        }
        return {
            seed,
            batches: batch,
            inputs: this.inputs,
            maxResidentMb: Math.round(this.maxResidentBytes / 1_024 / 1_024),
            decisions: Object.fromEntries(this.fleet.target.decisions),
            violations: this.violations,
        };
    }

    private async check(batch: number, kind: Violation["kind"]): Promise<void> {
        this.violations.push(
            ...this.fleet.findings.splice(0).map(finding => ({ batch, kind, entry: "entry-1", ...finding })),
        );
        await Promise.all(this.fleet.entries.map(async (entry, index) => {
            const failure = await this.findFailure(entry);
            this.maxResidentBytes = Math.max(this.maxResidentBytes, entry.residentBytes);
            if (failure !== undefined) {
                const [check, detail] = failure;
                this.violations.push({ batch, kind, entry: `entry-${index + 1}`, check, detail });
            }
        }));
    }

    /** The first check that fails, and what was seen. */
    private async findFailure(entry: fuzzEntries.FuzzEntry): Promise<readonly [string, string] | undefined> {
        if (!await waitFor(async () => await readyStatus(entry) === 200)) {
            return entry.isAlive ? ["ready address answers", "no 200"] : ["doesn't end by itself", "ended"];
        }
        for (const { path, headers } of fuzzFleets.SOUND_CALLS) {
            let status: number | "hung" = 0;
            const isServed = await waitFor(async () => {
                status = await batches.call(entry.callerAddress, path, headers);
                return status === 200;
            });
            if (!isServed) {
                return ["valid calls are served", `${path}: ${status}`];
            }
        }
        const idleMs = await findIdleMs(entry);
        if (idleMs > MAX_IDLE_MS) {
            return ["is idle without work", `${idleMs} ms of processor time in ${IDLE_PERIOD_MS} ms`];
        }
        const { residentBytes, exceptions } = entry;
        if (residentBytes > MAX_RESIDENT_BYTES) {
            return ["memory is bounded", `${residentBytes} bytes`];
        }
        if (exceptions.length > 0) {
            return ["no exception is logged", exceptions.join("\n")];
        }
        return entry.isAlive ? undefined : ["doesn't end by itself", "ended"];
    }
}

/** Whether a condition holds within the recovery limit. */
async function waitFor(condition: () => Promise<boolean>): Promise<boolean> {
    const untilMs = clocks.systemClock.now() + RECOVERY_LIMIT_MS;
    while (!await condition()) {
        if (clocks.systemClock.now() > untilMs) {
            return false;
        }
        await clocks.sleep(clocks.systemClock, POLL_INTERVAL_MS);
    }
    return true;
}

async function readyStatus(entry: fuzzEntries.FuzzEntry): Promise<number> {
    const signal = AbortSignal.timeout(RECOVERY_LIMIT_MS);
    try {
        return (await routedFleets.sendRequest(entry.readyAddress, "GET", "/ready", {}, undefined, signal)).status;
    }
    catch {
        return 0; // Not answered.
    }
}

/** Processor time in the first period in which the process is idle, or in the last one. */
async function findIdleMs(entry: fuzzEntries.FuzzEntry): Promise<number> {
    let usedMs = 0;
    for (let period = 0; period < IDLE_PERIODS; period++) {
        const before = entry.processorMs;
        await clocks.sleep(clocks.systemClock, IDLE_PERIOD_MS);
        usedMs = entry.processorMs - before;
        if (usedMs <= MAX_IDLE_MS) {
            break;
        }
    }
    return usedMs;
}
