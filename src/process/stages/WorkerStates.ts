/**
 * What the scheduler of stages has to know of single workers beside their own calls: whether their results stay, and
 * the limits that they name.
 */
import * as instanceLimits from "../instances/InstanceLimits";
import * as leavingInstances from "../instances/LeavingInstances";
import * as views from "../published/PublishedView";

const MS_PER_SECOND = 1_000;
/** Least rate that is assumed of a worker with a limit. */
const MIN_PER_SECOND = 0.1;

/** Looks workers up by their ids; one that isn't listed has no limit, and its results stay until they expire. */
export class WorkerStates {
    constructor(
        private readonly view: Pick<views.PublishedView, "find">,
        private readonly leaving: leavingInstances.LeavingInstances,
        private readonly limits: Pick<instanceLimits.InstanceLimits, "waitMs" | "perSecondOf">,
    ) {}

    /** Whether a worker's results can still be read in `afterMs`. */
    areResultsUsable(id: string, afterMs: number): boolean {
        const worker = this.view.find(id);
        return worker === undefined || this.leaving.areResultsUsable(worker, afterMs);
    }

    /** Time until another call may be started on a worker. */
    callWaitMs(id: string): number {
        const worker = this.view.find(id);
        return worker === undefined ? 0 : this.limits.waitMs(worker);
    }

    /** Mean time between two calls that a worker with a limit takes; 0 without one. */
    callIntervalMs(id: string): number {
        const worker = this.view.find(id);
        const perSecond = worker && this.limits.perSecondOf(worker);
        return perSecond === undefined ? 0 : MS_PER_SECOND / Math.max(perSecond, MIN_PER_SECOND);
    }
}
