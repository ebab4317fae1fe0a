/**
 * The stages of one call while they are made: which pieces wait, run or are done.
 */
import * as stageOrders from "../../common/StageOrder";

/** Progress of one stage. */
interface StageProgress {
    readonly waiting: Set<number>;
    /** Pieces whose call in progress has read its inputs. */
    readonly reading: Set<number>;
    readonly handles: (string | undefined)[];
    /** The failure domain in which each result lies. */
    readonly domains: string[];
    done: number;
    /** Whether the results were given back, since nothing needs them any more unless a piece has to be made again. */
    isReleased: boolean;
}

/** One piece of one job. */
export interface PieceOfJob {
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
        readonly goalAtMs: number,
        readonly limitAtMs: number,
    ) {
        this.progress = order.stages.map(stage => ({
            waiting: new Set(Array.from({ length: stage.pieces }).keys()),
            reading: new Set(),
            handles: new Array<string | undefined>(stage.pieces).fill(undefined),
            domains: new Array<string>(stage.pieces).fill(""),
            done: 0,
            isReleased: false,
        }));
        for (const made of order.made) {
            if (made.piece < (order.stages[made.stage]?.pieces ?? 0)) {
                this.complete(made.stage, made.piece, made.handle, made.failureDomain);
            }
        }
    }

    /** Whether all stages that the call needs are made. */
    get isDone(): boolean {
        return this.progress.every((progress, stage) => progress.done === this.order.stages[stage]!.pieces);
    }

    /** Handles that the call itself takes: results of stages that no other stage follows. */
    get results(): string[] {
        const followed = stageOrders.findIntermediateStages(this.order);
        return this.progress.flatMap((progress, stage) => followed.has(stage) ? [] : handlesOf(progress));
    }

    /** All handles made so far that weren't given back. */
    get allHandles(): string[] {
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
    waitingAt(stage: number): number {
        return this.progress[stage]!.waiting.size;
    }

    /** Pieces of a service that could be made now. */
    readyPieces(service: string): PieceOfJob[] {
        const ready: PieceOfJob[] = [];
        this.progress.forEach((progress, stage) => {
            if (this.order.stages[stage]!.service === service && this.isStageReady(stage)) {
                progress.waiting.forEach(piece => ready.push({ job: this, stage, piece }));
            }
        });
        return ready;
    }

    /** The inputs of a stage's pieces; undefined for a stage that takes the caller's own. */
    inputsOf(stage: number): string[] | undefined {
        const { after } = this.order.stages[stage]!;
        return after.length === 0 ? undefined : after.flatMap(before => handlesOf(this.progress[before]!));
    }

    /** Bytes that each piece of a stage reads, by the failure domain in which they lie. */
    inputBytes(stage: number): ReadonlyMap<string, number> {
        const bytes = new Map<string, number>();
        for (const before of this.order.stages[stage]!.after) {
            const size = this.order.stages[before]!.resultBytes;
            this.progress[before]!.domains.forEach(domain => bytes.set(domain, (bytes.get(domain) ?? 0) + size));
        }
        return bytes;
    }

    /** Marks a piece as being made. */
    take(stage: number, piece: number): void {
        this.progress[stage]!.waiting.delete(piece);
    }

    /** Notes that the call which makes a piece has read the piece's inputs. */
    noteInputsRead(stage: number, piece: number): void {
        if (!this.progress[stage]!.waiting.has(piece)) {
            this.progress[stage]!.reading.add(piece);
        }
    }

    /** Whether a piece has a result. */
    has(stage: number, piece: number): boolean {
        return this.progress[stage]!.handles[piece] !== undefined;
    }

    /** Puts a piece back whose call brought no result. Inputs that were given back meanwhile are made again. */
    putBack(stage: number, piece: number): void {
        if (this.has(stage, piece)) {
            return;
        }
        this.progress[stage]!.waiting.add(piece);
        this.progress[stage]!.reading.delete(piece);
        this.remakeReleased(stage);
    }

    /** Stages before `stage` whose results were all read, also by calls in progress, and that weren't given back. */
    readInputs(stage: number): number[] {
        return this.releasableInputs(stage, follower => this.hasRead(follower));
    }

    /** Stages before `stage` that nothing needs any more, and that weren't given back. */
    spentInputs(stage: number): number[] {
        return this.releasableInputs(stage, follower => this.isStageMade(follower));
    }

    /** Marks the results of a stage as given back; returns their handles. */
    releaseStage(stage: number): string[] {
        this.progress[stage]!.isReleased = true;
        return handlesOf(this.progress[stage]!);
    }

    /** Whether a stage has pieces, and all of them are made. */
    isStageMade(stage: number): boolean {
        const { pieces } = this.order.stages[stage]!;
        return pieces > 0 && this.progress[stage]!.done === pieces;
    }

    /** Takes in a result; false when the piece has one already. */
    complete(stage: number, piece: number, handle: string, failureDomain: string): boolean {
        const progress = this.progress[stage]!;
        if (progress.handles[piece] !== undefined) {
            return false;
        }
        progress.handles[piece] = handle;
        progress.domains[piece] = failureDomain;
        progress.waiting.delete(piece);
        progress.reading.delete(piece);
        progress.done++;
        return true;
    }

    /** Forgets the results that a stage takes, so that they are made again. */
    loseInputs(stage: number): void {
        this.order.stages[stage]!.after.forEach(before => this.remake(before));
    }

    /** Has all results of a stage made again, and what they take if that was given back. */
    private remake(stage: number): void {
        const progress = this.progress[stage]!;
        progress.isReleased = false;
        progress.handles.forEach((handle, piece) => {
            if (handle !== undefined) {
                progress.handles[piece] = undefined;
                progress.waiting.add(piece);
                progress.done--;
            }
        });
        this.remakeReleased(stage);
    }

    /** Has inputs of a stage made again that were given back. */
    private remakeReleased(stage: number): void {
        this.order.stages[stage]!.after.filter(before => this.progress[before]!.isReleased).forEach(before =>
            this.remake(before)
        );
    }

    /** Stages before `stage` that weren't given back, and whose followers are all as far as `isFar` says. */
    private releasableInputs(stage: number, isFar: (follower: number) => boolean): number[] {
        return this.order.stages[stage]!.after.filter(before =>
            !this.progress[before]!.isReleased && this.isRead(before, isFar)
        );
    }

    /** Whether all stages that take a stage's results are as far as `isFar` says. */
    private isRead(stage: number, isFar: (follower: number) => boolean): boolean {
        return this.order.stages.every((follower, index) =>
            follower.pieces === 0 || !follower.after.includes(stage) || isFar(index)
        );
    }

    private hasRead(stage: number): boolean {
        const { reading, done } = this.progress[stage]!;
        return reading.size + done === this.order.stages[stage]!.pieces;
    }

    private isStageReady(stage: number): boolean {
        return this.order.stages[stage]!.after.every(before =>
            this.progress[before]!.done === this.order.stages[before]!.pieces
        );
    }
}

function handlesOf(progress: StageProgress): string[] {
    return progress.handles.filter(handle => handle !== undefined);
}
