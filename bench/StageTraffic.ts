/**
 * Traffic model for calls with stages: kinds of calls, and their arrivals at normal rates with bursts.
 */
import * as randoms from "../src/common/Random";
import * as routing from "../src/common/Routing";
import * as stageOrders from "../src/common/StageOrder";

const MB = 1_000_000;
const KB = 1_000;

/** Calls that arrive at the same time. */
const CALLS_PER_ARRIVAL = 2;

/** One stage of a kind of call. */
interface TrafficStage {
    readonly service: string;
    /** Indexes of the predecessor stages. */
    readonly after: readonly number[];
    readonly resultBytes: number;
    /** Share of the calls that have this stage; all by default. */
    readonly share?: number;
    /** Log-normal distribution of the number of pieces; `sigma` is that of the logarithm. */
    readonly pieces: { readonly mean: number; readonly sigma?: number; readonly max?: number };
    /** Actual time of a piece as a multiple of the published one. */
    readonly workFactor?: number;
}

/** One kind of call. */
export interface TrafficKind {
    readonly name: string;
    readonly callsPerSecond: number;
    /** Credit for a call in time. */
    readonly value: number;
    /** Credit for a call that ends between the two deadlines. */
    readonly lateValue: number;
    readonly priority: number;
    /** Time until the results are needed, excluding the caller's own processing. */
    readonly softDeadlineMs: number;
    readonly hardDeadlineMs: number;
    readonly stages: readonly TrafficStage[];
}

/** Services with their stage workers, and the calls that use them. */
export interface TrafficModel {
    readonly services: ReadonlyMap<string, { readonly workers: number; readonly capacity: routing.StageCapacity }>;
    readonly kinds: readonly TrafficKind[];
}

/** Temporary increase in the rate of one kind of call, or of all kinds. */
export interface Burst {
    readonly fromMs: number;
    readonly toMs: number;
    readonly factor: number;
    readonly kind?: string;
}

export interface TrafficCall {
    readonly arrivesAtMs: number;
    readonly kind: TrafficKind;
    readonly order: stageOrders.StageOrder;
    /** Actual time of a piece as a multiple of the published one, by stage. */
    readonly workFactors: readonly number[];
}

function createService(
    workers: number,
    batch: number,
    pieceMs: number,
    resultMemoryBytes: number,
): { readonly workers: number; readonly capacity: routing.StageCapacity } {
    const capacity = { slots: 1, batch, callMs: 150, pieceMs, resultMemoryBytes, resultLifetimeMs: 4_000 };
    return { workers, capacity };
}

const accountsStage = { service: "accounts", after: [], resultBytes: 8 * KB, pieces: { mean: 1 }, workFactor: 0.3 };

/**
 * Three services in a chain. The middle one has lost one of four workers, and each worker's memory holds the results
 * of fewer than three full calls.
 */
export const CHAIN_TRAFFIC: TrafficModel = {
    services: new Map([
        ["accounts", createService(4, 6, 21.3, 27 * MB)],
        ["archive", createService(3, 10, 13.2, 1.75 * MB)],
        ["ledger", createService(4, 21, 6.17, 0.3675 * MB)],
    ]),
    kinds: [
        {
            name: "report",
            callsPerSecond: 5.94,
            value: 3.2,
            lateValue: 0.48,
            priority: 1,
            softDeadlineMs: 900,
            hardDeadlineMs: 5_500,
            stages: [
                {
                    service: "accounts",
                    after: [],
                    resultBytes: 3 * MB,
                    share: 0.7,
                    pieces: { mean: 2.5, sigma: 0.6, max: 10 },
                },
            ],
        },
        {
            name: "query",
            callsPerSecond: 6.38,
            value: 2,
            lateValue: 0.3,
            priority: 1,
            softDeadlineMs: 1_530,
            hardDeadlineMs: 4_800,
            stages: [
                accountsStage,
                { service: "archive", after: [0], resultBytes: 60 * KB, pieces: { mean: 8 } },
                {
                    service: "ledger",
                    after: [1],
                    resultBytes: 6 * KB,
                    pieces: { mean: 16, sigma: 0.4, max: 40 },
                },
            ],
        },
        {
            name: "notes",
            callsPerSecond: 3.28,
            value: 0.8,
            lateValue: 0.12,
            priority: 1,
            softDeadlineMs: 1_480,
            hardDeadlineMs: 14_000,
            stages: [
                {
                    service: "accounts",
                    after: [],
                    resultBytes: 3 * MB,
                    share: 0.4,
                    pieces: { mean: 1.5, sigma: 0.6, max: 6 },
                },
                accountsStage,
                { service: "archive", after: [1], resultBytes: 60 * KB, pieces: { mean: 8 } },
                {
                    service: "ledger",
                    after: [2],
                    resultBytes: 6 * KB,
                    pieces: { mean: 16, sigma: 0.4, max: 40 },
                },
            ],
        },
    ],
};

/** Creates Poisson arrivals of groups of calls of all kinds from 0 to `endMs`, in order of time. */
export function createArrivals(
    model: TrafficModel,
    random: randoms.Random,
    endMs: number,
    bursts: readonly Burst[],
): readonly TrafficCall[] {
    const calls: TrafficCall[] = [];
    for (const kind of model.kinds) {
        const findRatePerMs = (atMs: number): number =>
            kind.callsPerSecond * findBurstFactor(bursts, kind, atMs) / 1_000 / CALLS_PER_ARRIVAL;
        for (
            let atMs = drawGapMs(random, findRatePerMs(0));
            atMs < endMs;
            atMs += drawGapMs(random, findRatePerMs(atMs))
        ) {
            for (let index = 0; index < CALLS_PER_ARRIVAL; index++) {
                calls.push(createCall(kind, atMs, `${kind.name}-${calls.length}`, random));
            }
        }
    }
    return calls.sort((a, b) => a.arrivesAtMs - b.arrivesAtMs);
}

function findBurstFactor(bursts: readonly Burst[], kind: TrafficKind, atMs: number): number {
    const active = bursts.filter(burst =>
        atMs >= burst.fromMs && atMs < burst.toMs && (burst.kind ?? kind.name) === kind.name
    );
    return active.reduce((factor, burst) => factor * burst.factor, 1);
}

function drawGapMs(random: randoms.Random, ratePerMs: number): number {
    return -Math.log(1 - random()) / ratePerMs;
}

function createCall(kind: TrafficKind, arrivesAtMs: number, attempt: string, random: randoms.Random): TrafficCall {
    const stages = kind.stages.map(stage => ({
        service: stage.service,
        after: [...stage.after],
        pieces: drawPieceCount(stage, random),
        resultBytes: stage.resultBytes,
    }));
    const { softDeadlineMs: goalMs, hardDeadlineMs: limitMs, priority } = kind;
    return {
        arrivesAtMs,
        kind,
        order: { attempt, pieceKey: attempt, stages, priority, goalMs, limitMs, made: [] },
        workFactors: kind.stages.map(stage => stage.workFactor ?? 1),
    };
}

/** Draws a number of pieces from a log-normal distribution, limited to `max`. */
function drawPieceCount(stage: TrafficStage, random: randoms.Random): number {
    const { mean, sigma = 0, max = mean } = stage.pieces;
    if (random() >= (stage.share ?? 1)) {
        return 0;
    }
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    const drawn = mean * Math.exp(sigma * normal - sigma * sigma / 2);
    return Math.max(1, Math.min(max, Math.round(drawn)));
}
