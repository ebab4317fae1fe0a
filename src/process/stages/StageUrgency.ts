/**
 * Sorts orders by urgency. Designed for demand above the capacity of the instances: some orders can no longer be in
 * time then, and capacity spent on these would make others late as well.
 */
import * as jobs from "./StageJob";

/** Tolerated delay past the soft deadline before an order is late: that deadline has a reserve for the call itself. */
const LATE_TOLERANCE_MS = 100;

/** In-time orders first, then by priority and by soft deadline. Marks orders that have become late. */
export function sortByUrgency(
    openJobs: readonly jobs.StageJob[],
    minCompletionMs: (job: jobs.StageJob) => number,
    nowMs: number,
): readonly jobs.StageJob[] {
    for (const job of openJobs) {
        job.isLate = job.isLate || nowMs + minCompletionMs(job) > job.softDeadlineAtMs + LATE_TOLERANCE_MS;
    }
    return [...openJobs].sort((a, b) =>
        Number(a.isLate) - Number(b.isLate) || a.order.priority - b.order.priority
        || a.softDeadlineAtMs - b.softDeadlineAtMs
    );
}
