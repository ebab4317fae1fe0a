/**
 * Decides until when the stages of a call should be computed. Designed for streams that are interrupted while the stages
 * are busy with new calls: the admission of stage orders rejects what can't be in time, and a stream that has begun would
 * count as late for good, though its caller, coming back to it, would get a new soft deadline.
 */
import * as calls from "./RoutedCall";

/** Soft deadline of a call's stages: that of the call or, once its stream has begun, as for a caller who returns now. */
export function stageSoftDeadlineAtMs(call: calls.RoutedCall, nowMs: number): number {
    return call.progress.firstEventMs === undefined
        ? call.softDeadlineAtMs
        : Math.min(nowMs + call.route.goalMs, call.hardDeadlineAtMs);
}
