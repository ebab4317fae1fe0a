/**
 * Decides in which calls the pieces of all entries' stages are made. Pieces of different calls share one call on
 * an instance; the most urgent calls that can still be in time go first, late ones fill what is left. Without
 * input or output: its owner makes the calls and reports how they end.
 */
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as stageOrders from "../../common/StageOrder";
import * as roomUse from "./RoomUse";
import * as admissions from "./StageAdmission";
import * as batching from "./StageBatching";
import * as estimates from "./StageEstimate";
import * as stageInstances from "./StageInstances";
import * as jobs from "./StageJob";
import * as urgency from "./StageUrgency";

/** Rounds of one piece after which its order is given up. */
const MAX_ROUNDS = 6;

/** A result must be held this much longer for a call to read it, in milliseconds. */
const READ_MARGIN_MS = 100;

/** Part of a maker's memory that is planned with, since sizes of results are approximate. */
const USED_ROOM_SHARE = 0.9;

/** How an order ended. */
export interface StageOutcome {
    readonly job: jobs.StageJob;
    /** Handles for the call; undefined when the order failed. */
    readonly handles: readonly string[] | undefined;
    readonly reason: "done" | "late" | "failed";
}

/** What one service could do now: its instances that aren't slow, those of them that are free, and ready pieces. */
interface ServiceWork {
    readonly service: string;
    readonly capacity: routing.StageCapacity;
    readonly quick: readonly batching.StageInstance[];
    readonly free: readonly batching.StageInstance[];
    readonly ready: readonly jobs.PieceOfJob[];
}

/** Holds all orders that one process makes. */
export class StageScheduler {
    private readonly open = new Map<number, jobs.StageJob>();
    private readonly instances = new stageInstances.StageInstances();
    private readonly rounds = new WeakMap<jobs.StageJob, number>();
    private readonly outcomes: StageOutcome[] = [];
    private readonly unneeded: string[] = [];
    private readonly progress = new Map<number, stageOrders.ComputedPiece[]>();
    private readonly results = new roomUse.RoomUse();
    private readonly admission: admissions.StageAdmission;
    private nextId = 1;

    constructor(private readonly services: stageInstances.StageServices) {
        this.admission = new admissions.StageAdmission(services, this.instances);
    }

    /** Orders in progress. */
    get size(): number {
        return this.open.size;
    }

    /** Takes an order in, or refuses it at once. */
    submit(
        order: stageOrders.StageOrder,
        nowMs: number,
    ): { readonly job: jobs.StageJob | undefined; readonly estimateMs: number } & estimates.Admission {
        const { admission, estimateMs, plainMs } = this.admission.decide(order, [...this.open.values()], nowMs);
        if (admission.kind === "refused") {
            return { ...admission, job: undefined, estimateMs };
        }
        const job = new jobs.StageJob(this.nextId++, order, nowMs + order.goalMs, nowMs + order.limitMs);
        job.isLate = admission.kind === "late";
        job.expected = job.isLate ? undefined : { orderedMs: nowMs, estimateMs: plainMs };
        this.open.set(job.id, job);
        this.holdMade(order, nowMs);
        return { ...admission, job, estimateMs };
    }

    /** Drops an order whose caller has left. */
    cancel(id: number): void {
        const job = this.open.get(id);
        if (job !== undefined) {
            this.open.delete(id);
            this.unneeded.push(...job.allHandles);
        }
    }

    /** Drops an order that goes on elsewhere, with the results made so far. */
    forget(id: number): void {
        this.open.delete(id);
    }

    /** Calls that haven't ended. */
    get callsUnderWay(): number {
        return this.instances.callsUnderWay;
    }

    /** The next call to make; undefined when nothing waits that an instance could take. */
    nextBatch(nowMs: number): batching.StageBatch | undefined {
        let jobsInOrder: readonly jobs.StageJob[] | undefined;
        for (const service of this.wantedServices()) {
            const capacity = this.services.capacity(service);
            const quick = this.instances.quick(this.services.instances(service), nowMs);
            const free = capacity === undefined ? [] : this.instances.free(quick, capacity, nowMs);
            if (capacity === undefined || free.length === 0) {
                continue;
            }
            jobsInOrder ??= urgency.sortByUrgency([...this.open.values()], job => this.leastMs(job), nowMs);
            const ready = jobsInOrder.flatMap(job => job.readyPieces(service));
            const batch = this.beginOnFirst({ service, capacity, quick, free, ready }, nowMs);
            if (batch !== undefined) {
                return batch;
            }
        }
        return undefined;
    }

    /** Begins a call on the first free instance that suits some of the ready pieces and has room for them. */
    private beginOnFirst(work: ServiceWork, nowMs: number): batching.StageBatch | undefined {
        const { service, capacity, quick, free, ready } = work;
        const awaited = batching.awaitedDomains(ready, quick, capacity, nowMs);
        for (const instance of ready.length === 0 ? [] : free) {
            const suiting = batching.suiting(ready, awaited, instance);
            const roomBytes = capacity.resultMemoryBytes * USED_ROOM_SHARE - this.results.bytesAt(instance.id, nowMs);
            const pieces = batching.fill(suiting, capacity, roomBytes, free.length > 1);
            const isFull = pieces.length === Math.min(suiting.length, capacity.batch);
            const wanted = isFull ? pieces : batching.fill(suiting, capacity, Infinity, free.length > 1);
            if (pieces.length < wanted.length && this.makeRoom(service, instance.id)) {
                continue; // There is more room as soon as the maker has taken the results back.
            }
            if (pieces.length > 0) {
                return this.begin({ service, instance, pieces, ready: ready.length, roomBytes }, capacity, nowMs);
            }
        }
        return undefined;
    }

    /** Takes in the end of a call; `ends` is undefined when it brought no answer. */
    endBatch(
        batch: batching.StageBatch,
        ends: readonly routingPorts.StagePieceOutcome[] | undefined,
        nowMs: number,
    ): void {
        const isWhole = ends?.every(end => "handle" in end || end.failure === "late") ?? false;
        this.instances.end(batch, ends !== undefined, isWhole, nowMs);
        this.results.unreserve(batch.id);
        const lifetimeMs = this.services.capacity(batch.service)?.resultLifetimeMs ?? 0;
        batch.pieces.forEach((piece, index) => {
            const end = ends?.[index];
            if (end !== undefined && "handle" in end) {
                const size = batching.sizeOf(piece);
                this.results.add(end.handle, batch.instance.id, size, nowMs + lifetimeMs);
                this.completePiece(piece, end.handle, batch.instance, nowMs);
            }
            else {
                this.failPiece(piece, end?.failure, batch.pieces.length);
            }
        });
        if (ends?.some(end => "failure" in end && end.failure === "no-room") === true) {
            this.noteFull(batch, nowMs);
        }
    }

    /** Notes that a maker had no room left for what was planned there. */
    private noteFull(batch: batching.StageBatch, nowMs: number): void {
        const roomBytes = this.services.capacity(batch.service)?.resultMemoryBytes ?? 0;
        const knownBytes = this.results.knownBytesAt(batch.instance.id, nowMs);
        this.results.noteFull(batch.instance.id, roomBytes * USED_ROOM_SHARE - knownBytes, nowMs);
    }

    /** Notes that a call has read its inputs, unless it may wait behind one that is overdue. */
    noteInputsRead(batch: batching.StageBatch): void {
        if (this.instances.mayBeBusy(batch.instance.id)) {
            return;
        }
        batch.pieces.forEach(piece => piece.job.noteInputsRead(piece.stage, piece.piece));
    }

    /** Puts the pieces of overdue calls back, and ends orders that have no time left. */
    expire(nowMs: number): void {
        for (const batch of this.instances.takeOverdue(nowMs)) {
            batch.pieces.forEach(piece => piece.job.putBack(piece.stage, piece.piece));
        }
        for (const job of this.open.values()) {
            if (nowMs + this.leastMs(job) >= job.limitAtMs) {
                this.finish(job, undefined, "late");
            }
            else {
                this.remakeLapsed(job, nowMs);
            }
        }
    }

    /** Has inputs made again that lapse before a call could read them. */
    private remakeLapsed(job: jobs.StageJob, nowMs: number): void {
        job.order.stages.forEach((_, stage) => {
            const inputs = job.waitingAt(stage) === 0 ? undefined : job.inputsOf(stage);
            if (inputs?.some(handle => !this.results.isHeld(handle, nowMs + READ_MARGIN_MS)) === true) {
                job.loseInputs(stage);
            }
        });
    }

    /** Orders that have ended since the last call. */
    takeOutcomes(): StageOutcome[] {
        return this.outcomes.splice(0);
    }

    /** Results made since the last call, by order. */
    takeProgress(): ReadonlyMap<number, readonly stageOrders.ComputedPiece[]> {
        const taken = new Map(this.progress);
        this.progress.clear();
        return taken;
    }

    /** Handles that nothing needs any more, since the last call. */
    takeUnneeded(): string[] {
        return this.unneeded.splice(0);
    }

    /** Notes that results were given back to their makers. */
    noteFreed(handles: readonly string[]): void {
        handles.forEach(handle => this.results.remove(handle));
    }

    /** Pieces that wait at a service. */
    waiting(service: string): number {
        let count = 0;
        for (const job of this.open.values()) {
            count += job.waitingPieces(service);
        }
        return count;
    }

    private leastMs(job: jobs.StageJob): number {
        return estimates.leastMs(job, service => this.services.capacity(service));
    }

    /** Counts the room of results that another host has had made. */
    private holdMade(order: stageOrders.StageOrder, nowMs: number): void {
        for (const made of order.made) {
            const stage = order.stages[made.stage];
            const lifetimeMs = this.services.capacity(stage?.service ?? "")?.resultLifetimeMs ?? 0;
            this.results.add(made.handle, made.instance, stage?.resultBytes ?? 0, nowMs + lifetimeMs);
        }
    }

    private begin(
        chosen: Omit<batching.StageBatch, "id" | "startedMs" | "expectedMs">,
        capacity: routing.StageCapacity,
        nowMs: number,
    ): batching.StageBatch {
        const { pieces, instance } = chosen;
        const expectedMs = estimates.callTimeMs(capacity, pieces.length);
        const batch = { ...chosen, id: this.nextId++, startedMs: nowMs, expectedMs };
        const lapsesAtMs = nowMs + expectedMs + capacity.resultLifetimeMs;
        for (const piece of pieces) {
            piece.job.take(piece.stage, piece.piece);
            this.results.reserve(batch.id, instance.id, batching.sizeOf(piece), lapsesAtMs);
        }
        this.instances.begin(batch);
        return batch;
    }

    private completePiece(
        piece: jobs.PieceOfJob,
        handle: string,
        maker: batching.StageInstance,
        nowMs: number,
    ): void {
        const { job, stage } = piece;
        const { id: instance, failureDomain } = maker;
        if (!this.open.has(job.id) || !job.complete(stage, piece.piece, handle, failureDomain)) {
            this.unneeded.push(handle);
            return;
        }
        const made = this.progress.get(job.id) ?? [];
        this.progress.set(job.id, [...made, { stage, piece: piece.piece, handle, instance, failureDomain }]);
        this.releaseInputs(job, stage);
        if (job.isDone) {
            this.admission.noteDone(job, nowMs);
            this.finish(job, job.results, "done");
        }
    }

    private failPiece(
        piece: jobs.PieceOfJob,
        failure: "late" | "input-gone" | "no-room" | "error" | undefined,
        piecesInCall: number,
    ): void {
        const { job, stage } = piece;
        if (!this.open.has(job.id)) {
            return;
        }
        if (failure === "late") {
            this.finish(job, undefined, "late");
            return;
        }
        const rounds = (this.rounds.get(job) ?? 0) + 1 / piecesInCall;
        this.rounds.set(job, rounds);
        if (rounds > MAX_ROUNDS) {
            this.finish(job, undefined, "failed");
            return;
        }
        if (failure === "input-gone") {
            job.loseInputs(stage);
        }
        job.putBack(stage, piece.piece);
    }

    /** Gives back the inputs of a stage once all its pieces are made and no other stage needs them. */
    private releaseInputs(job: jobs.StageJob, stage: number): void {
        job.spentInputs(stage).forEach(before => this.unneeded.push(...job.releaseStage(before)));
    }

    /**
     * Gives back results at an instance that calls in progress have read already; false when there are none. A call
     * that fails then has to have its inputs made again, so this is done only where room is short.
     */
    private makeRoom(service: string, instance: string): boolean {
        const released: string[] = [];
        for (const job of this.open.values()) {
            job.order.stages.forEach((_, stage) => {
                const spent = job.readInputs(stage).filter(before => job.order.stages[before]!.service === service);
                spent.forEach(before => released.push(...job.releaseStage(before)));
            });
        }
        this.unneeded.push(...released);
        return released.some(handle => this.results.instanceOf(handle) === instance);
    }

    private finish(job: jobs.StageJob, handles: readonly string[] | undefined, reason: StageOutcome["reason"]): void {
        this.open.delete(job.id);
        this.outcomes.push({ job, handles, reason });
        if (handles === undefined) {
            this.unneeded.push(...job.allHandles);
        }
    }

    private wantedServices(): Set<string> {
        const wanted = new Set<string>();
        for (const job of this.open.values()) {
            job.order.stages.forEach(stage => wanted.add(stage.service));
        }
        return wanted;
    }
}
