/**
 * Decides which upstream instances are leaving, from what they say in their answers and from what other entries have
 * been told. A mark applies to one incarnation: neither its successor at the same address nor a new start under the
 * same id is affected. Nothing that the store publishes ends a mark, since its record may be older than the answer.
 */
import * as clocks from "../../common/Clock";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";

/** End of a mark; longer than any leaving instance stays, so that it matters only if one says so by mistake. */
const MARK_LIFETIME_MS = 600_000;
/** Number of marks that are kept. */
const MAX_MARKS = 10_000;
/**
 * Time after the first sign during which a short call may still go to the instance when no other can take it. Less than
 * the shortest time for which leaving instances must tolerate new calls, 2 s.
 */
const LAST_RESORT_MS = 1_000;
/**
 * Time after the first sign during which later stages rely on results that the instance holds. It ends before the
 * instance may, so that the results that are still needed are computed elsewhere in time.
 */
const RESULTS_USABLE_MS = 1_500;

/** Identifies one incarnation of an instance. */
export type Incarnation = Pick<routing.RoutedInstance, "id" | "startedMs">;

/** States that an incarnation is leaving, as entries tell each other. */
export interface LeavingSign {
    readonly instance: string;
    readonly startedMs: number;
    /** Time since the first answer that said so. */
    readonly ageMs: number;
}

interface Mark extends Incarnation {
    /** Time of the first sign on this process's clock. */
    readonly sinceMs: number;
    /** When this process learned of it. */
    readonly learnedMs: number;
}

/**
 * Whether an answer to a call that was sent to `instance` says that this instance is leaving. An answer of another
 * instance, such as one that has taken over the address, says nothing about it.
 */
export function saysLeaving(instance: Incarnation, answer: routingPorts.UpstreamAnswerMetadata): boolean {
    const isFromOther = answer.instance === undefined
        ? answer.effect === "other-instance"
        : answer.instance !== instance.id;
    return answer.isLeaving && !isFromOther;
}

/** The leaving incarnations known to this process. */
export class LeavingInstances {
    /** By id and start, in the order in which this process learned of them. */
    private readonly marks = new Map<string, Mark>();

    constructor(private readonly clock: clocks.Clock) {}

    /** Records a sign; false if it is too old, or if the incarnation is marked already. */
    record(sign: LeavingSign): boolean {
        const nowMs = this.clock.now();
        const sinceMs = nowMs - sign.ageMs;
        const incarnation = { id: sign.instance, startedMs: sign.startedMs };
        const known = this.findMark(incarnation);
        if (sign.ageMs >= MARK_LIFETIME_MS || (known !== undefined && known.sinceMs <= sinceMs)) {
            return false;
        }
        this.marks.set(routing.incarnationKey(incarnation), {
            ...incarnation,
            sinceMs,
            learnedMs: known?.learnedMs ?? nowMs,
        });
        if (this.marks.size > MAX_MARKS) {
            const [oldest] = this.marks.keys();
            this.marks.delete(oldest!);
        }
        return known === undefined;
    }

    /** Whether the incarnation is leaving and gets no new work. */
    isLeaving(instance: Incarnation): boolean {
        return this.leavingForMs(instance) !== undefined;
    }

    /** Whether a short call that no other instance can take may still go to a leaving incarnation. */
    isLastResort(instance: Incarnation): boolean {
        return (this.leavingForMs(instance) ?? Infinity) < LAST_RESORT_MS;
    }

    /** Whether the results that the incarnation holds can still be read at a time that is `afterMs` from now. */
    areResultsUsable(instance: Incarnation, afterMs: number): boolean {
        return (this.leavingForMs(instance) ?? -Infinity) + afterMs < RESULTS_USABLE_MS;
    }

    /** The signs that this process learned of at most `withinMs` ago, the newest first. */
    signs(withinMs = Infinity): LeavingSign[] {
        const nowMs = this.clock.now();
        return [...this.marks.values()]
            .filter(mark => !this.isExpired(mark) && nowMs - mark.learnedMs <= withinMs)
            .map(mark => ({ instance: mark.id, startedMs: mark.startedMs, ageMs: nowMs - mark.sinceMs }))
            .reverse();
    }

    /** Drops the marks that have ended, and returns their incarnations. */
    takeExpired(): Incarnation[] {
        const expired = [...this.marks.values()].filter(mark => this.isExpired(mark));
        expired.forEach(mark => this.marks.delete(routing.incarnationKey(mark)));
        return expired;
    }

    /** Time since the first sign; undefined unless the incarnation is leaving. */
    private leavingForMs(instance: Incarnation): number | undefined {
        const mark = this.findMark(instance);
        return mark && this.clock.now() - mark.sinceMs;
    }

    private findMark(instance: Incarnation): Mark | undefined {
        if (this.marks.size === 0) {
            return undefined; // Asked for each instance at each choice.
        }
        const mark = this.marks.get(routing.incarnationKey(instance));
        return mark === undefined || this.isExpired(mark) ? undefined : mark;
    }

    private isExpired(mark: Mark): boolean {
        return this.clock.now() - mark.sinceMs >= MARK_LIFETIME_MS;
    }
}
