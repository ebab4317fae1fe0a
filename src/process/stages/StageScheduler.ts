/**
 * Assigns the pieces (work items) of all entries' stages to calls on instances. Pieces of different orders share one
 * call; the most urgent orders that can still be in time go first, late ones use the remaining capacity. Performs no
 * I/O: its owner makes the calls and reports how they end.
 */
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as stageOrders from "../../common/StageOrder";
import * as resultMemory from "./ResultMemory";
import * as admissions from "./StageAdmission";
import * as batching from "./StageBatching";
import * as estimates from "./StageEstimate";
import * as stageInstances from "./StageInstances";
import * as jobs from "./StageJob";
import * as urgency from "./StageUrgency";

/** An order is abandoned after more failed calls than this. A failed piece of a call with n pieces counts as 1/n. */
const MAX_FAILED_CALLS = 6;
/** An input must not expire within this time, so that a call can still read it. */
const READ_MARGIN_MS = 100;
/** Share of a worker's result memory that is used, since sizes of results are approximate. */
const USABLE_MEMORY_SHARE = 0.9;

/** Outcome of an order. */
export interface JobOutcome {
    readonly job: jobs.StageJob;
    /** Handles of the results for the call; undefined unless the order is done. */
    readonly handles: readonly string[] | undefined;
    readonly reason: "done" | "late" | "failed";
}

/** Schedules all stage orders of one stage host. */
export class StageScheduler {
    private readonly jobs = new Map<number, jobs.StageJob>();
    private readonly instances = new stageInstances.StageInstances();
    private readonly failedCallsByJob = new WeakMap<jobs.StageJob, number>();
    private readonly outcomes: JobOutcome[] = [];
    private readonly releasable: string[] = [];
    private readonly newResultsByJob = new Map<number, stageOrders.ComputedPiece[]>();
    private readonly memory = new resultMemory.ResultMemory();
    private readonly admission: admissions.StageAdmission;
    private nextId = 1;

    constructor(private readonly services: stageInstances.StageServices) {
        this.admission = new admissions.StageAdmission(services, this.instances);
    }

    /** Number of orders in progress. */
    get size(): number {
        return this.jobs.size;
    }

    /** Accepts or rejects an order. */
    submit(
        order: stageOrders.StageOrder,
        nowMs: number,
    ): { readonly job: jobs.StageJob | undefined; readonly estimateMs: number } & estimates.Admission {
        const { admission, estimateMs, uncorrectedMs } = this.admission.decide(order, [...this.jobs.values()], nowMs);
        if (admission.kind === "refused") {
            return { ...admission, job: undefined, estimateMs };
        }
        const job = new jobs.StageJob(this.nextId++, order, nowMs + order.goalMs, nowMs + order.limitMs);
        job.isLate = admission.kind === "late";
        job.inTimeEstimate = job.isLate ? undefined : { receivedMs: nowMs, estimateMs: uncorrectedMs };
        this.jobs.set(job.id, job);
        this.trackInheritedResults(order, nowMs);
        return { ...admission, job, estimateMs };
    }

    /** Drops an order that its sender has cancelled, and queues its results for release. */
    cancel(id: number): void {
        const job = this.jobs.get(id);
        if (job !== undefined) {
            this.jobs.delete(id);
            this.releasable.push(...job.heldHandles);
        }
    }

    /** Removes an order that another host continues, without releasing its results. */
    detach(id: number): void {
        this.jobs.delete(id);
    }

    /** Time in which the instances can do all waiting pieces. */
    get backlogMs(): number {
        return this.admission.backlogMs([...this.jobs.values()]);
    }

    /** Number of calls that have neither ended nor become overdue. */
    get callsInFlight(): number {
        return this.instances.callsInFlight;
    }

    /** Selects the next call and marks it as started; undefined when no ready piece can run on a free instance. */
    nextBatch(nowMs: number): batching.StageBatch | undefined {
        let sortedJobs: readonly jobs.StageJob[] | undefined;
        for (const service of jobs.servicesWithReadyPieces(this.jobs.values())) {
            const capacity = this.services.capacity(service);
            const candidates = this.instances.selectCandidates(this.services.instances(service), nowMs);
            const free = capacity === undefined ? [] : this.instances.selectFree(candidates, capacity, nowMs)
                .filter(instance => (this.services.callWaitMs?.(instance.id) ?? 0) === 0);
            if (capacity === undefined || free.length === 0) {
                continue;
            }
            sortedJobs ??= urgency.sortByUrgency([...this.jobs.values()], job => this.minCompletionMs(job), nowMs);
            const ready = sortedJobs.flatMap(job => job.readyPieces(service));
            const batch = this.startOnFirstSuitable({ service, capacity, candidates, free, ready }, nowMs);
            if (batch !== undefined) {
                return batch;
            }
        }
        return undefined;
    }

    /** Starts a call on the first free instance with eligible pieces and enough result memory for some of them. */
    private startOnFirstSuitable(work: batching.ServiceWork, nowMs: number): batching.StageBatch | undefined {
        const { service, capacity, candidates, free, ready } = work;
        const awaited = batching.awaitedDomains(ready, candidates, capacity, nowMs);
        for (const instance of ready.length === 0 ? [] : free) {
            const eligible = batching.eligiblePieces(ready, awaited, instance);
            const freeBytes = capacity.resultMemoryBytes * USABLE_MEMORY_SHARE
                - this.memory.usedBytes(instance.id, nowMs);
            const pieces = batching.selectPieces(eligible, capacity, freeBytes, free.length > 1);
            const isMaximal = pieces.length === Math.min(eligible.length, capacity.batch);
            const desired = isMaximal ? pieces : batching.selectPieces(eligible, capacity, Infinity, free.length > 1);
            if (pieces.length < desired.length && this.releaseReadInputs(service, instance.id)) {
                continue; // More memory is free once the worker has released the results.
            }
            if (pieces.length > 0) {
                return this.start({ service, instance, pieces, readyCount: ready.length, freeBytes }, capacity, nowMs);
            }
        }
        return undefined;
    }

    /** Processes the end of a call; `pieceResults` is undefined when no valid response arrived. */
    endBatch(
        batch: batching.StageBatch,
        pieceResults: readonly routingPorts.StagePieceOutcome[] | undefined,
        nowMs: number,
    ): void {
        const isSuccessful = pieceResults?.every(result => "handle" in result || result.failure === "late") ?? false;
        this.instances.recordEnd(batch, pieceResults !== undefined, isSuccessful, nowMs);
        this.memory.unreserve(batch.id);
        const lifetimeMs = this.services.capacity(batch.service)?.resultLifetimeMs ?? 0;
        batch.pieces.forEach((piece, index) => {
            const result = pieceResults?.[index];
            if (result !== undefined && "handle" in result) {
                const resultBytes = batching.resultBytesOf(piece);
                this.memory.add(result.handle, batch.instance.id, resultBytes, nowMs + lifetimeMs);
                this.completePiece(piece, result.handle, batch.instance, nowMs);
            }
            else {
                this.failPiece(piece, result?.failure, batch.pieces.length);
            }
        });
        if (pieceResults?.some(result => "failure" in result && result.failure === "no-room") === true) {
            this.recordMemoryFull(batch, nowMs);
        }
    }

    /** Queues the pieces of a call again that its instance rejected because it holds off. */
    returnBatch(batch: batching.StageBatch, nowMs: number): void {
        this.instances.recordEnd(batch, false, false, nowMs);
        this.memory.unreserve(batch.id);
        batch.pieces.forEach(piece => piece.job.requeue(piece.stage, piece.piece));
    }

    /** Records that a worker had less free result memory than planned. */
    private recordMemoryFull(batch: batching.StageBatch, nowMs: number): void {
        const memoryBytes = this.services.capacity(batch.service)?.resultMemoryBytes ?? 0;
        const trackedBytes = this.memory.trackedBytes(batch.instance.id, nowMs);
        this.memory.recordUntracked(batch.instance.id, memoryBytes * USABLE_MEMORY_SHARE - trackedBytes, nowMs);
    }

    /** Records that a call has read its inputs, unless it may be queued behind an overdue one. */
    recordInputsRead(batch: batching.StageBatch): void {
        if (this.instances.hasOverdueCall(batch.instance.id)) {
            return;
        }
        batch.pieces.forEach(piece => piece.job.markInputsRead(piece.stage, piece.piece));
    }

    /** Queues pieces of overdue calls and expired inputs again; ends orders that can't meet their hard deadline. */
    expire(nowMs: number): void {
        this.memory.dropExpired(nowMs);
        for (const batch of this.instances.takeOverdue(nowMs)) {
            batch.pieces.forEach(piece => piece.job.requeue(piece.stage, piece.piece));
        }
        for (const job of this.jobs.values()) {
            if (nowMs + this.minCompletionMs(job) >= job.hardDeadlineAtMs) {
                this.finish(job, undefined, "late");
            }
            else {
                this.recomputeExpiredInputs(job, nowMs);
            }
        }
    }

    /** Computes the inputs of waiting pieces again if they would be gone before a call could read them. */
    private recomputeExpiredInputs(job: jobs.StageJob, nowMs: number): void {
        const isUsable = (handle: string): boolean =>
            this.memory.isHeld(handle, nowMs + READ_MARGIN_MS)
            && this.services.areResultsUsable?.(this.memory.instanceOf(handle)!, READ_MARGIN_MS) !== false;
        job.order.stages.forEach((_, stage) => {
            const inputs = job.countWaitingInStage(stage) === 0 ? undefined : job.inputHandles(stage);
            if (inputs?.some(handle => !isUsable(handle)) === true) {
                job.recomputeInputs(stage);
            }
        });
    }

    /** Returns the outcomes of orders that have ended since it was last called. */
    takeOutcomes(): JobOutcome[] {
        return this.outcomes.splice(0);
    }

    /** Returns the results computed since it was last called, by order. */
    takeProgress(): ReadonlyMap<number, readonly stageOrders.ComputedPiece[]> {
        const taken = new Map(this.newResultsByJob);
        this.newResultsByJob.clear();
        return taken;
    }

    /** Returns the handles of results that have become unneeded since it was last called. */
    takeReleasable(): string[] {
        return this.releasable.splice(0);
    }

    /** Records that workers have released results. */
    recordReleased(handles: readonly string[]): void {
        handles.forEach(handle => this.memory.remove(handle));
    }

    countWaitingPieces(service: string): number {
        let count = 0;
        for (const job of this.jobs.values()) {
            count += job.countWaitingPieces(service);
        }
        return count;
    }

    private minCompletionMs(job: jobs.StageJob): number {
        return estimates.minCompletionMs(job, this.services);
    }

    /** Tracks the memory of results that were computed for an earlier host. */
    private trackInheritedResults(order: stageOrders.StageOrder, nowMs: number): void {
        for (const result of order.made) {
            const stage = order.stages[result.stage];
            const lifetimeMs = this.services.capacity(stage?.service ?? "")?.resultLifetimeMs ?? 0;
            this.memory.add(result.handle, result.instance, stage?.resultBytes ?? 0, nowMs + lifetimeMs);
        }
    }

    private start(
        selection: Omit<batching.StageBatch, "id" | "startedMs" | "expectedMs">,
        capacity: routing.StageCapacity,
        nowMs: number,
    ): batching.StageBatch {
        const { pieces, instance } = selection;
        const expectedMs = estimates.callTimeMs(capacity, pieces.length);
        const batch = { ...selection, id: this.nextId++, startedMs: nowMs, expectedMs };
        const expiresAtMs = nowMs + expectedMs + capacity.resultLifetimeMs;
        for (const piece of pieces) {
            piece.job.markRunning(piece.stage, piece.piece);
            this.memory.reserve(batch.id, instance.id, batching.resultBytesOf(piece), expiresAtMs);
        }
        this.instances.recordStart(batch);
        return batch;
    }

    private completePiece(
        piece: jobs.JobPiece,
        handle: string,
        worker: batching.StageInstance,
        nowMs: number,
    ): void {
        const { job, stage } = piece;
        const { id: instance, failureDomain } = worker;
        if (!this.jobs.has(job.id) || !job.complete(stage, piece.piece, handle, failureDomain)) {
            this.releasable.push(handle);
            return;
        }
        const previous = this.newResultsByJob.get(job.id) ?? [];
        this.newResultsByJob.set(job.id, [...previous, { stage, piece: piece.piece, handle, instance, failureDomain }]);
        this.releaseInputs(job, stage);
        if (job.isDone) {
            this.admission.recordCompletion(job, nowMs);
            this.finish(job, job.resultHandles, "done");
        }
    }

    private failPiece(
        piece: jobs.JobPiece,
        failure: "late" | "input-gone" | "no-room" | "error" | undefined,
        piecesInCall: number,
    ): void {
        const { job, stage } = piece;
        if (!this.jobs.has(job.id)) {
            return;
        }
        if (failure === "late") {
            this.finish(job, undefined, "late");
            return;
        }
        const failedCalls = (this.failedCallsByJob.get(job) ?? 0) + 1 / piecesInCall;
        this.failedCallsByJob.set(job, failedCalls);
        if (failedCalls > MAX_FAILED_CALLS) {
            this.finish(job, undefined, "failed");
            return;
        }
        if (failure === "input-gone") {
            job.recomputeInputs(stage);
        }
        job.requeue(stage, piece.piece);
    }

    /** Releases those inputs of `stage` that no unfinished stage reads. */
    private releaseInputs(job: jobs.StageJob, stage: number): void {
        job.unneededPredecessors(stage).forEach(predecessor => this.releasable.push(...job.markReleased(predecessor)));
    }

    /**
     * Releases results of a service that calls in flight have already read; true if `instance` holds some of them.
     * If such a call fails, its inputs have to be computed again, so this is done only when memory is short.
     */
    private releaseReadInputs(service: string, instance: string): boolean {
        const released: string[] = [];
        for (const job of this.jobs.values()) {
            job.order.stages.forEach((_, stage) => {
                const read = job.predecessorsRead(stage).filter(index => job.order.stages[index]!.service === service);
                read.forEach(index => released.push(...job.markReleased(index)));
            });
        }
        this.releasable.push(...released);
        return released.some(handle => this.memory.instanceOf(handle) === instance);
    }

    private finish(job: jobs.StageJob, handles: readonly string[] | undefined, reason: JobOutcome["reason"]): void {
        this.jobs.delete(job.id);
        this.outcomes.push({ job, handles, reason });
        if (handles === undefined) {
            this.releasable.push(...job.heldHandles);
        }
    }
}
