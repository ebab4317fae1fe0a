/**
 * Selects the ready pieces that share one call on an instance. Designed for orders of many pieces whose total demand is
 * slightly above the capacity of the instances, so that calls have to be full.
 */
import * as routing from "../../common/Routing";
import * as estimates from "./StageEstimate";
import * as jobs from "./StageJob";

/** Results and inputs of at least this size are costly to read from another failure domain. */
const LARGE_RESULT_BYTES = 200_000;
/** A piece waits for its preferred domain only if this many full calls still fit before its deadline. */
const MIN_SPARE_CALLS = 2;

/** Pieces wait for a domain only while all ready pieces fill at most this share of one call on each instance. */
const MAX_READY_SHARE = 0.4;

/** An instance that runs stages. */
export interface StageInstance {
    readonly id: string;
    readonly address: string;
    readonly failureDomain: string;
    /** Start of its incarnation; another value means that it holds and knows nothing of before. */
    readonly startedMs?: number;
}

/** Scheduling input for one service: instances to use or probe, those of them with a free slot, and ready pieces. */
export interface ServiceWork {
    readonly service: string;
    readonly capacity: routing.StageCapacity;
    readonly candidates: readonly StageInstance[];
    readonly free: readonly StageInstance[];
    readonly ready: readonly jobs.JobPiece[];
}

/** One call on an instance, with pieces of one or more orders. */
export interface StageBatch {
    readonly id: number;
    readonly service: string;
    readonly instance: StageInstance;
    readonly pieces: readonly jobs.JobPiece[];
    readonly startedMs: number;
    readonly expectedMs: number;
    /** Number of pieces that were ready when the call was composed; logged. */
    readonly readyCount: number;
    /** Result memory that was free at that time; logged. */
    readonly freeBytes: number;
}

/**
 * Returns the pieces that should wait for an instance in their preferred failure domain, with that domain. Designed for
 * results that are costly to read from another domain, while capacity exceeds demand. No more pieces wait for a domain
 * than fit into the next calls of its instances, and none that would miss its deadline.
 */
export function awaitedDomains(
    ready: readonly jobs.JobPiece[],
    instances: readonly StageInstance[],
    capacity: routing.StageCapacity,
    nowMs: number,
): ReadonlyMap<jobs.JobPiece, string> {
    const awaited = new Map<jobs.JobPiece, string>();
    const remainingByDomain = new Map<string, number>();
    for (const instance of instances) {
        remainingByDomain.set(
            instance.failureDomain,
            (remainingByDomain.get(instance.failureDomain) ?? 0) + capacity.batch,
        );
    }
    if (ready.length > instances.length * capacity.batch * MAX_READY_SHARE) {
        return awaited;
    }
    for (const piece of ready) {
        const domain = canWait(piece.job, capacity, nowMs) ? preferredDomain(piece) : undefined;
        const remaining = domain === undefined ? 0 : remainingByDomain.get(domain) ?? 0;
        if (domain !== undefined && remaining > 0) {
            awaited.set(piece, domain);
            remainingByDomain.set(domain, remaining - 1);
        }
    }
    return awaited;
}

/** Pieces that an instance may run: in-time before late, then by priority, then those that prefer its domain first. */
export function eligiblePieces(
    ready: readonly jobs.JobPiece[],
    awaited: ReadonlyMap<jobs.JobPiece, string>,
    instance: StageInstance,
): readonly jobs.JobPiece[] {
    const eligible = ready.filter(piece => (awaited.get(piece) ?? instance.failureDomain) === instance.failureDomain);
    const isLocalByPiece = new Map(eligible.map(piece => [piece, preferredDomain(piece) === instance.failureDomain]));
    return eligible.sort((a, b) =>
        Number(a.job.isLate) - Number(b.job.isLate)
        || a.job.order.priority - b.job.order.priority
        || Number(isLocalByPiece.get(b)) - Number(isLocalByPiece.get(a))
    );
}

function canWait(job: jobs.StageJob, capacity: routing.StageCapacity, nowMs: number): boolean {
    const remainingMs = (job.isLate ? job.hardDeadlineAtMs : job.softDeadlineAtMs) - nowMs;
    return remainingMs > MIN_SPARE_CALLS * estimates.callTimeMs(capacity, capacity.batch);
}

/** The domain that holds most of a piece's inputs, or where its result will be read; undefined if neither is large. */
function preferredDomain(piece: jobs.JobPiece): string | undefined {
    let best: string | undefined;
    let bestBytes = LARGE_RESULT_BYTES;
    for (const [domain, bytes] of piece.job.inputBytesByDomain(piece.stage)) {
        if (bytes >= bestBytes) {
            best = domain;
            bestBytes = bytes;
        }
    }
    return best ?? (resultBytesOf(piece) >= LARGE_RESULT_BYTES ? piece.job.order.failureDomain : undefined);
}

/**
 * Selects the first pieces whose results fit into the free result memory. While other instances have a free slot, only
 * the first order may be split by the batch size: any other completes sooner in a single call on another instance.
 */
export function selectPieces(
    ready: readonly jobs.JobPiece[],
    capacity: routing.StageCapacity,
    freeMemoryBytes: number,
    hasOtherFreeInstances: boolean,
): jobs.JobPiece[] {
    const readyByJob = countByJob(ready);
    const includedJobs = new Set<jobs.StageJob>();
    const pieces: jobs.JobPiece[] = [];
    let freeBytes = freeMemoryBytes;
    for (const piece of ready) {
        if (pieces.length >= capacity.batch) {
            break;
        }
        const isOtherJob = pieces.length > 0 && !includedJobs.has(piece.job);
        const isSplit = hasOtherFreeInstances && isOtherJob
            && pieces.length + readyByJob.get(piece.job)! > capacity.batch;
        if (resultBytesOf(piece) <= freeBytes && !isSplit) {
            includedJobs.add(piece.job);
            pieces.push(piece);
            freeBytes -= resultBytesOf(piece);
        }
    }
    return pieces;
}

/** Approximate size of a piece's result. */
export function resultBytesOf(piece: jobs.JobPiece): number {
    return piece.job.order.stages[piece.stage]!.resultBytes;
}

function countByJob(pieces: readonly jobs.JobPiece[]): ReadonlyMap<jobs.StageJob, number> {
    const counts = new Map<jobs.StageJob, number>();
    for (const piece of pieces) {
        counts.set(piece.job, (counts.get(piece.job) ?? 0) + 1);
    }
    return counts;
}
