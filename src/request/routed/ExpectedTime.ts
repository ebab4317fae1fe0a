/**
 * Estimates how long a call takes by its request. Until it closes, a stopping entry rejects only calls that it cannot
 * finish in time: while all entries are restarted in quick succession, there can be several seconds in which no other
 * accepts calls.
 */
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";

/** Duration of a call whose answer is short: not a stream. */
const PLAIN_CALL_MS = 1_000;
/** Time to the first event of a stream, excluding its stages. */
const FIRST_EVENT_MS = 500;
/** Duration of all stages of a call under load. */
const STAGES_MS = 1_500;
/** Time between two tokens of a stream on an instance with many streams. */
const TOKEN_INTERVAL_MS = 15;

/** Typical duration of a call. */
export function typicalMs(route: routing.Route, metadata: routingPorts.RoutedCallMetadata): number {
    if (route.kind !== "stream") {
        return PLAIN_CALL_MS;
    }
    const hasStages = route.stages.some((_, index) => (metadata.pieces[index] ?? 0) > 0);
    const streamMs = FIRST_EVENT_MS + metadata.outputTokens * TOKEN_INTERVAL_MS;
    return streamMs + (hasStages ? STAGES_MS : 0);
}
