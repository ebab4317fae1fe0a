/**
 * How long a call may take, for an entry that is stopping: what it can't finish it doesn't take. Load it answers: all
 * entries restarted shortly one after the other, so that one that is stopping has no successor for some seconds.
 */
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";

/** Time of a call with a short answer, in milliseconds. */
const PLAIN_CALL_MS = 1_000;
/** Time until a stream's first event, without its stages, in milliseconds. */
const FIRST_EVENT_MS = 500;
/** Time of all stages of a call under load, in milliseconds. */
const STAGES_MS = 1_500;
/** Time of a token beside many other streams, in milliseconds. */
const TOKEN_INTERVAL_MS = 15;

/** Time that a call may take, in milliseconds; never more than its route allows. */
export function expectedMs(route: routing.Route, facts: routingPorts.RoutedCallFacts): number {
    if (route.kind !== "stream") {
        return Math.min(route.timeoutMs, PLAIN_CALL_MS);
    }
    const hasStages = route.stages.some((_, index) => (facts.pieces[index] ?? 0) > 0);
    const streamMs = FIRST_EVENT_MS + facts.outputTokens * TOKEN_INTERVAL_MS;
    return Math.min(route.timeoutMs, streamMs + (hasStages ? STAGES_MS : 0));
}
