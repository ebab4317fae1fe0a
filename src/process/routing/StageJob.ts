/**
 * The stages of one call while they are made: which pieces wait, run or are done.
 */
import * as stageOrders from "../../common/StageOrder";

/** Progress of one stage. */
interface StageProgress {
    readonly waiting: Set<number>;
    /** Pieces whose call in progress has read its inputs. */
    readonly inputsRead: Set<number>;
    readonly handles: (string | undefined)[];
    /** The failure domain in which each result lies. */
    readonly resultDomains: string[];
    doneCount: number;
    /** Whether the results were given back, since nothing needs them any more unless a piece has to be made again. */
    isReleased: boolean;
}

/** One piece of one job. */
export interface JobPiece {
    readonly job: StageJob;
    readonly stage: number;
    readonly piece: number;
}

/** An order in progress. */
export class StageJob {
    private readonly progress: StageProgress[];
    /** Whether the goal is out of reach, so that calls in time go first. */
    isLate = false;
    /** When the stages were expected to be done, and when they were ordered, on the scheduler's clock. */
    expected: { readonly orderedMs: number; readonly estimateMs: number } | undefined;

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

    /** Whether all stages that the call needs are made. */
    get isDone(): boolean {
        return this.progress.every((progress, stage) => progress.doneCount === this.order.stages[stage]!.pieces);
    }

    /** Handles that the call itself takes: results of stages that no other stage follows. */
    get resultHandles(): string[] {
        const followed = stageOrders.followedStages(this.order);
        return this.progress.flatMap((progress, stage) => followed.has(stage) ? [] : handlesOf(progress));
    }

    /** All handles made so far that weren't given back. */
    get heldHandles(): string[] {
        return this.progress.flatMap(progress => progress.isReleased ? [] : handlesOf(progress));
    }

    /** Pieces of a service that no instance works on now. */
    waitingPieces(service: string): number {
        let count = 0;
        this.progress.forEach((progress, stage) => {
            count += this.order.stages[stage]!.service === service ? progress.waiting.size : 0;
        });
        return count;
    }

    /** Pieces of a stage that no instance works on now. */
    waitingInStage(stage: number): number {
        return this.progress[stage]!.waiting.size;
    }

    /** Pieces of a service that could be made now. */
    readyPieces(service: string): JobPiece[] {
        const ready: JobPiece[] = [];
        this.progress.forEach((progress, stage) => {
            if (this.order.stages[stage]!.service === service && this.isStageReady(stage)) {
                progress.waiting.forEach(piece => ready.push({ job: this, stage, piece }));
            }
        });
        return ready;
    }

    /** The inputs of a stage's pieces; undefined for a stage that takes the caller's own. */
    inputHandles(stage: number): string[] | undefined {
        const { after } = this.order.stages[stage]!;
        return after.length === 0 ? undefined : after.flatMap(predecessor => handlesOf(this.progress[predecessor]!));
    }

    /** Bytes that each piece of a stage reads, by the failure domain in which they lie. */
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

    /** Marks a piece as being made. */
    markRunning(stage: number, piece: number): void {
        this.progress[stage]!.waiting.delete(piece);
    }

    /** Notes that the call which makes a piece has read the piece's inputs. */
    markInputsRead(stage: number, piece: number): void {
        if (!this.progress[stage]!.waiting.has(piece)) {
            this.progress[stage]!.inputsRead.add(piece);
        }
    }

    /** Whether a piece has a result. */
    hasResult(stage: number, piece: number): boolean {
        return this.progress[stage]!.handles[piece] !== undefined;
    }

    /** Puts a piece back whose call brought no result. Inputs that were given back meanwhile are made again. */
    requeue(stage: number, piece: number): void {
        if (this.hasResult(stage, piece)) {
            return;
        }
        this.progress[stage]!.waiting.add(piece);
        this.progress[stage]!.inputsRead.delete(piece);
        this.recomputeReleasedInputs(stage);
    }

    /** Stages before `stage` whose results were all read, also by calls in progress, and that weren't given back. */
    readPredecessors(stage: number): number[] {
        return this.consumedPredecessors(stage, successor => this.hasReadInputs(successor));
    }

    /** Stages before `stage` that nothing needs any more, and that weren't given back. */
    unneededPredecessors(stage: number): number[] {
        return this.consumedPredecessors(stage, successor => this.isStageDone(successor));
    }

    /** Marks the results of a stage as given back; returns their handles. */
    markReleased(stage: number): string[] {
        this.progress[stage]!.isReleased = true;
        return handlesOf(this.progress[stage]!);
    }

    /** Whether a stage has pieces, and all of them are made. */
    isStageDone(stage: number): boolean {
        const { pieces } = this.order.stages[stage]!;
        return pieces > 0 && this.progress[stage]!.doneCount === pieces;
    }

    /** Takes in a result; false when the piece has one already. */
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

    /** Forgets the results that a stage takes, so that they are made again. */
    recomputeInputs(stage: number): void {
        this.order.stages[stage]!.after.forEach(predecessor => this.recomputeStage(predecessor));
    }

    /** Has all results of a stage made again, and what they take if that was given back. */
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

    /** Has inputs of a stage made again that were given back. */
    private recomputeReleasedInputs(stage: number): void {
        this.order.stages[stage]!.after.filter(predecessor => this.progress[predecessor]!.isReleased).forEach(
            predecessor => this.recomputeStage(predecessor),
        );
    }

    /** Stages before `stage` that weren't given back, and whose followers are all as far as `isFar` says. */
    private consumedPredecessors(stage: number, hasConsumed: (successor: number) => boolean): number[] {
        return this.order.stages[stage]!.after.filter(predecessor =>
            !this.progress[predecessor]!.isReleased && this.isConsumed(predecessor, hasConsumed)
        );
    }

    /** Whether all stages that take a stage's results are as far as `isFar` says. */
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

function handlesOf(progress: StageProgress): string[] {
    return progress.handles.filter(handle => handle !== undefined);
}
