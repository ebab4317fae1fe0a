/**
 * Simulation of stage workers on a manual clock: each runs one call at a time, has a bounded memory for results that
 * expire, and reads a call's inputs from other workers when the call starts.
 */
import * as clocks from "../src/common/Clock";
import * as randoms from "../src/common/Random";
import * as routing from "../src/common/Routing";
import * as routingPorts from "../src/common/RoutingPorts";
import * as batching from "../src/process/stages/StageBatching";

/** One-way delay of a message. */
const MESSAGE_DELAY_MS = 1;
/** Time after which a caller stops waiting for an answer. */
const CALL_TIMEOUT_MS = 10_000;
/** Probability that a piece ends with an error. */
const PIECE_ERROR_PROBABILITY = 0.001;

/** A piece (work item) as it is sent to a worker. */
export interface WorkerPiece {
    readonly inputs: readonly string[];
    readonly resultBytes: number;
    /** Actual time of the piece as a multiple of the published one. */
    readonly workFactor: number;
}

type PieceOutcomes = readonly routingPorts.StagePieceOutcome[];

interface StageWorker {
    readonly instance: batching.StageInstance;
    readonly capacity: routing.StageCapacity;
    /** Results by handle. */
    readonly results: Map<string, { readonly bytes: number; expiresAtMs: number }>;
    isDown: boolean;
    /** Share of the answers that are lost. */
    lostAnswerShare: number;
    /** When the last queued call ends; calls run one after the other. */
    freeAtMs: number;
    crashCount: number;
    busyMs: number;
}

/** The stage workers of all services. */
export class StageWorld {
    private readonly workers = new Map<string, StageWorker>();
    private nextHandleNumber = 1;
    /** Bytes that workers read from other failure domains. */
    crossDomainBytes = 0;
    /** Failed pieces by cause: no result memory, missing inputs, or an error. */
    readonly failures = { "no-room": 0, "input-gone": 0, error: 0 };

    constructor(private readonly clock: clocks.Clock, private readonly random: randoms.Random) {}

    /** Adds the workers of a service, each in its own failure domain. */
    addService(service: string, count: number, capacity: routing.StageCapacity): void {
        for (let index = 0; index < count; index++) {
            const id = `${service}-${index}`;
            const instance = { id, address: id, failureDomain: `domain-${index}` };
            const results = new Map<string, { readonly bytes: number; expiresAtMs: number }>();
            this.workers.set(id, {
                instance,
                capacity,
                results,
                isDown: false,
                lostAnswerShare: 0,
                freeAtMs: 0,
                crashCount: 0,
                busyMs: 0,
            });
        }
    }

    /** Workers of a service that are up. */
    runningInstances(service: string): readonly batching.StageInstance[] {
        return [...this.workers.values()]
            .filter(worker => !worker.isDown && worker.instance.id.startsWith(`${service}-`))
            .map(worker => worker.instance);
    }

    /** Mean utilization of a service's workers; `sinceMs` is the start of the run. */
    findBusyShare(service: string, sinceMs: number): number {
        const workers = [...this.workers.values()].filter(worker => worker.instance.id.startsWith(`${service}-`));
        const busyMs = workers.reduce((sum, worker) => sum + worker.busyMs, 0);
        return busyMs / workers.length / (this.clock.now() - sinceMs);
    }

    /** Stops a worker for `downMs`; its results are lost. */
    crash(id: string, downMs: number): void {
        const worker = this.workers.get(id)!;
        worker.isDown = true;
        worker.crashCount++;
        worker.results.clear();
        this.clock.schedule(downMs, () => {
            worker.isDown = false;
            worker.freeAtMs = 0;
        });
    }

    /** Drops a share of a worker's answers for a time; the calls still run. */
    loseAnswers(id: string, share: number, durationMs: number): void {
        const worker = this.workers.get(id)!;
        worker.lostAnswerShare = share;
        this.clock.schedule(durationMs, () => worker.lostAnswerShare = 0);
    }

    /** Runs a call; `onAnswer` receives undefined if there is no answer. */
    run(id: string, pieces: readonly WorkerPiece[], onAnswer: (outcomes: PieceOutcomes | undefined) => void): void {
        const worker = this.workers.get(id)!;
        const nowMs = this.clock.now();
        const startsAtMs = Math.max(nowMs + MESSAGE_DELAY_MS, worker.freeAtMs);
        worker.freeAtMs = startsAtMs + this.findWorkMs(worker, pieces);
        const { crashCount } = worker;
        this.clock.schedule(startsAtMs - nowMs, () => this.startCall(worker, crashCount, pieces, onAnswer));
    }

    /** Releases results at their workers. */
    release(handles: readonly string[]): void {
        this.clock.schedule(MESSAGE_DELAY_MS, () => {
            handles.forEach(handle => this.workers.get(workerIdOf(handle))?.results.delete(handle));
        });
    }

    private startCall(
        worker: StageWorker,
        crashCount: number,
        pieces: readonly WorkerPiece[],
        onAnswer: (outcomes: PieceOutcomes | undefined) => void,
    ): void {
        if (worker.isDown || worker.crashCount !== crashCount) {
            this.clock.schedule(MESSAGE_DELAY_MS, () => onAnswer(undefined));
            return;
        }
        const outcomes = pieces.map(piece => this.startPiece(worker, piece));
        const computedPieces = pieces.filter((_, index) => "handle" in outcomes[index]!);
        const workMs = this.findWorkMs(worker, computedPieces);
        worker.freeAtMs = this.clock.now() + workMs;
        worker.busyMs += workMs;
        this.clock.schedule(workMs + MESSAGE_DELAY_MS, () => {
            const hasCrashed = worker.isDown || worker.crashCount !== crashCount;
            if (this.random() < worker.lostAnswerShare) {
                this.clock.schedule(CALL_TIMEOUT_MS, () => onAnswer(undefined));
                return;
            }
            const expiresAtMs = this.clock.now() + worker.capacity.resultLifetimeMs;
            outcomes.forEach(outcome => "handle" in outcome && this.setExpiry(worker, outcome.handle, expiresAtMs));
            onAnswer(hasCrashed ? undefined : outcomes);
        });
    }

    /** Reads a piece's inputs and reserves memory for its result, when its call starts. */
    private startPiece(worker: StageWorker, piece: WorkerPiece): routingPorts.StagePieceOutcome {
        if (piece.inputs.some(handle => !this.hasResult(handle))) {
            return this.fail("input-gone");
        }
        for (const handle of piece.inputs) {
            const source = this.workers.get(workerIdOf(handle))!;
            const isInOtherDomain = source.instance.failureDomain !== worker.instance.failureDomain;
            this.crossDomainBytes += isInOtherDomain ? source.results.get(handle)!.bytes : 0;
        }
        if (this.countUsedBytes(worker) + piece.resultBytes > worker.capacity.resultMemoryBytes) {
            return this.fail("no-room");
        }
        if (this.random() < PIECE_ERROR_PROBABILITY) {
            return this.fail("error");
        }
        const handle = `${worker.instance.id}/${this.nextHandleNumber++}`;
        worker.results.set(handle, { bytes: piece.resultBytes, expiresAtMs: Infinity });
        return { handle };
    }

    private fail(failure: "no-room" | "input-gone" | "error"): routingPorts.StagePieceOutcome {
        this.failures[failure]++;
        return { failure };
    }

    private setExpiry(worker: StageWorker, handle: string, expiresAtMs: number): void {
        const result = worker.results.get(handle);
        if (result !== undefined) {
            result.expiresAtMs = expiresAtMs;
        }
    }

    private hasResult(handle: string): boolean {
        const result = this.workers.get(workerIdOf(handle))?.results.get(handle);
        return result !== undefined && result.expiresAtMs > this.clock.now();
    }

    /** Deletes expired results, and returns the size of the others. */
    private countUsedBytes(worker: StageWorker): number {
        let bytes = 0;
        for (const [handle, result] of worker.results) {
            if (result.expiresAtMs <= this.clock.now()) {
                worker.results.delete(handle);
            }
            else {
                bytes += result.bytes;
            }
        }
        return bytes;
    }

    private findWorkMs(worker: StageWorker, pieces: readonly WorkerPiece[]): number {
        const { callMs, pieceMs } = worker.capacity;
        return callMs + pieces.reduce((sum, piece) => sum + pieceMs * piece.workFactor, 0);
    }
}

function workerIdOf(handle: string): string {
    return handle.slice(0, handle.indexOf("/"));
}
