/**
 * Which orders go first. Load it answers: more orders than the instances carry, some of which can no longer be in time;
 * what they took would make others late as well.
 */
import * as jobs from "./StageJob";

/** An order is late once it is expected to miss its goal by more than this, in milliseconds: goals have a reserve. */
const LATE_TOLERANCE_MS = 100;

/** In-time orders first, the most urgent first, then the one whose goal is nearest. Marks orders that have become late. */
export function sortByUrgency(
    openJobs: readonly jobs.StageJob[],
    minRemainingMs: (job: jobs.StageJob) => number,
    nowMs: number,
): readonly jobs.StageJob[] {
    for (const job of openJobs) {
        job.isLate = job.isLate || nowMs + minRemainingMs(job) > job.softDeadlineAtMs + LATE_TOLERANCE_MS;
    }
    return [...openJobs].sort((a, b) =>
        Number(a.isLate) - Number(b.isLate) || a.order.priority - b.order.priority
        || a.softDeadlineAtMs - b.softDeadlineAtMs
    );
}
