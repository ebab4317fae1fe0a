/**
 * Progress of one call's stages: which pieces are waiting, running or done.
 */
import * as stageOrders from "../../common/StageOrder";

/** Progress of one stage. */
interface StageProgress {
    readonly waiting: Set<number>;
    /** Running pieces whose call has read their inputs. */
    readonly inputsRead: Set<number>;
    readonly handles: (string | undefined)[];
    /** Failure domain of each result. */
    readonly resultDomains: string[];
    doneCount: number;
    /** Whether the results were released; they are computed again if a piece that reads them has to run again. */
    isReleased: boolean;
}

/** One piece of a job: a work item of one of its stages. */
export interface JobPiece {
    readonly job: StageJob;
    readonly stage: number;
    readonly piece: number;
}

/** A stage order in progress. */
export class StageJob {
    private readonly progress: StageProgress[];
    /** Whether the soft deadline can't be met, so that in-time orders have precedence. */
    isLate = false;
    /** Arrival time on the scheduler's clock and uncorrected estimate; undefined for an order admitted as late. */
    inTimeEstimate: { readonly receivedMs: number; readonly estimateMs: number } | undefined;

    constructor(
        readonly id: number,
        readonly order: stageOrders.StageOrder,
        readonly softDeadlineAtMs: number,
        readonly hardDeadlineAtMs: number,
    ) {
        this.progress = order.stages.map(stage => ({
            waiting: new Set(Array.from({ length: stage.pieces }).keys()),
            inputsRead: new Set(),
            handles: new Array<string | undefined>(stage.pieces).fill(undefined),
            resultDomains: new Array<string>(stage.pieces).fill(""),
            doneCount: 0,
            isReleased: false,
        }));
        for (const result of order.made) {
            if (result.piece < (order.stages[result.stage]?.pieces ?? 0)) {
                this.complete(result.stage, result.piece, result.handle, result.failureDomain);
            }
        }
    }

    /** Whether all stages are done. */
    get isDone(): boolean {
        return this.progress.every((progress, stage) => progress.doneCount === this.order.stages[stage]!.pieces);
    }

    /** Handles of the results that the call itself reads: those of stages without successors. */
    get resultHandles(): string[] {
        const intermediateStages = stageOrders.findIntermediateStages(this.order);
        return this.progress.flatMap((progress, stage) => intermediateStages.has(stage) ? [] : handlesOf(progress));
    }

    /** Handles of all results that were not released. */
    get heldHandles(): string[] {
        return this.progress.flatMap(progress => progress.isReleased ? [] : handlesOf(progress));
    }

    /** Number of pieces of a service that are neither running nor done. */
    countWaitingPieces(service: string): number {
        let count = 0;
        this.progress.forEach((progress, stage) => {
            count += this.order.stages[stage]!.service === service ? progress.waiting.size : 0;
        });
        return count;
    }

    /** Number of pieces of a stage that are neither running nor done. */
    countWaitingInStage(stage: number): number {
        return this.progress[stage]!.waiting.size;
    }

    /** Adds the services of stages that have waiting pieces with complete inputs. */
    addReadyServices(services: Set<string>): void {
        this.progress.forEach((progress, stage) => {
            if (progress.waiting.size > 0 && this.isStageReady(stage)) {
                services.add(this.order.stages[stage]!.service);
            }
        });
    }

    /** Waiting pieces of a service whose inputs are complete. */
    readyPieces(service: string): JobPiece[] {
        const ready: JobPiece[] = [];
        this.progress.forEach((progress, stage) => {
            const hasWaiting = progress.waiting.size > 0;
            if (hasWaiting && this.order.stages[stage]!.service === service && this.isStageReady(stage)) {
                progress.waiting.forEach(piece => ready.push({ job: this, stage, piece }));
            }
        });
        return ready;
    }

    /** Handles that each piece of a stage reads; undefined for a stage that reads the caller's input. */
    inputHandles(stage: number): string[] | undefined {
        const { after } = this.order.stages[stage]!;
        return after.length === 0 ? undefined : after.flatMap(predecessor => handlesOf(this.progress[predecessor]!));
    }

    /** Bytes that each piece of a stage reads, by the failure domain that holds them. */
    inputBytesByDomain(stage: number): ReadonlyMap<string, number> {
        const bytes = new Map<string, number>();
        for (const predecessor of this.order.stages[stage]!.after) {
            const size = this.order.stages[predecessor]!.resultBytes;
            this.progress[predecessor]!.resultDomains.forEach(domain =>
                bytes.set(domain, (bytes.get(domain) ?? 0) + size)
            );
        }
        return bytes;
    }

    markRunning(stage: number, piece: number): void {
        this.progress[stage]!.waiting.delete(piece);
    }

    /** Records that the call running a piece has read its inputs. */
    markInputsRead(stage: number, piece: number): void {
        if (!this.progress[stage]!.waiting.has(piece)) {
            this.progress[stage]!.inputsRead.add(piece);
        }
    }

    hasResult(stage: number, piece: number): boolean {
        return this.progress[stage]!.handles[piece] !== undefined;
    }

    /** Requeues a piece whose call returned no result; inputs that were released are computed again. */
    requeue(stage: number, piece: number): void {
        if (this.hasResult(stage, piece)) {
            return;
        }
        this.progress[stage]!.waiting.add(piece);
        this.progress[stage]!.inputsRead.delete(piece);
        this.recomputeReleasedInputs(stage);
    }

    /** Unreleased predecessors of `stage` whose results were read by every piece of their successors. */
    predecessorsRead(stage: number): number[] {
        return this.consumedPredecessors(stage, successor => this.hasReadInputs(successor));
    }

    /** Unreleased predecessors of `stage` whose successors are all done. */
    unneededPredecessors(stage: number): number[] {
        return this.consumedPredecessors(stage, successor => this.isStageDone(successor));
    }

    /** Marks the results of a stage as released; returns their handles. */
    markReleased(stage: number): string[] {
        this.progress[stage]!.isReleased = true;
        return handlesOf(this.progress[stage]!);
    }

    /** Whether a stage has pieces and all of them are done. */
    isStageDone(stage: number): boolean {
        const { pieces } = this.order.stages[stage]!;
        return pieces > 0 && this.progress[stage]!.doneCount === pieces;
    }

    /** Stores the result of a piece; false when it already has one. */
    complete(stage: number, piece: number, handle: string, failureDomain: string): boolean {
        const progress = this.progress[stage]!;
        if (progress.handles[piece] !== undefined) {
            return false;
        }
        progress.handles[piece] = handle;
        progress.resultDomains[piece] = failureDomain;
        progress.waiting.delete(piece);
        progress.inputsRead.delete(piece);
        progress.doneCount++;
        return true;
    }

    /** Discards the results that a stage reads, so that they are computed again. */
    recomputeInputs(stage: number): void {
        this.order.stages[stage]!.after.forEach(predecessor => this.recomputeStage(predecessor));
    }

    /** Discards the results of a stage and requeues their pieces; inputs that were released are computed again. */
    private recomputeStage(stage: number): void {
        const progress = this.progress[stage]!;
        progress.isReleased = false;
        progress.handles.forEach((handle, piece) => {
            if (handle !== undefined) {
                progress.handles[piece] = undefined;
                progress.waiting.add(piece);
                progress.doneCount--;
            }
        });
        this.recomputeReleasedInputs(stage);
    }

    /** Recomputes those inputs of a stage that were released. */
    private recomputeReleasedInputs(stage: number): void {
        this.order.stages[stage]!.after.filter(predecessor => this.progress[predecessor]!.isReleased).forEach(
            predecessor => this.recomputeStage(predecessor),
        );
    }

    /** Unreleased predecessors of `stage` whose successors all satisfy `hasConsumed`. */
    private consumedPredecessors(stage: number, hasConsumed: (successor: number) => boolean): number[] {
        return this.order.stages[stage]!.after.filter(predecessor =>
            !this.progress[predecessor]!.isReleased && this.isConsumed(predecessor, hasConsumed)
        );
    }

    /** Whether all stages that read a stage's results satisfy `hasConsumed`; stages without pieces don't count. */
    private isConsumed(stage: number, hasConsumed: (successor: number) => boolean): boolean {
        return this.order.stages.every((successor, index) =>
            successor.pieces === 0 || !successor.after.includes(stage) || hasConsumed(index)
        );
    }

    private hasReadInputs(stage: number): boolean {
        const { inputsRead, doneCount } = this.progress[stage]!;
        return inputsRead.size + doneCount === this.order.stages[stage]!.pieces;
    }

    private isStageReady(stage: number): boolean {
        return this.order.stages[stage]!.after.every(predecessor =>
            this.progress[predecessor]!.doneCount === this.order.stages[predecessor]!.pieces
        );
    }
}

/** The services that have work to start for these jobs. */
export function servicesWithReadyPieces(openJobs: Iterable<StageJob>): Set<string> {
    const services = new Set<string>();
    for (const job of openJobs) {
        job.addReadyServices(services);
    }
    return services;
}

function handlesOf(progress: StageProgress): string[] {
    return progress.handles.filter(handle => handle !== undefined);
}
