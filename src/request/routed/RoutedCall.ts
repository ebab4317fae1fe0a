/**
 * A routed call: the caller's request together with its route, team and deadlines, fixed when it is accepted.
 */
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as bufferAccounts from "../../process/buffers/BufferAccount";

/** A call as the caller sent it, with the matching route and team. */
export interface RoutedCall {
    readonly metadata: routingPorts.RoutedCallMetadata;
    readonly route: routing.Route;
    readonly team: routing.RoutedTeam | undefined;
    readonly service: string;
    readonly method: string;
    /** Path and query string as sent. */
    readonly path: string;
    /** Alternating names and values. */
    readonly headers: readonly string[];
    /** Undefined if the caller sent no body. */
    readonly body: Buffer | undefined;
    /** Accounts for the bytes of the body and of the answers. */
    readonly buffers: Pick<bufferAccounts.BufferHold, "addAnswer" | "endRead" | "holdEvent">;
    /** Arrival time on this process's clock. */
    readonly arrivedMs: number;
    /** Soft deadline: an answer, or the first event of a stream, counts as late after it. */
    readonly softDeadlineAtMs: number;
    /** Hard deadline: the route's timeout or, if earlier, the caller's deadline less a margin for the answer. */
    readonly hardDeadlineAtMs: number;
    /** State of the call, updated while it runs. */
    readonly progress: {
        /** Whether an instance may have started or completed the call. */
        mayHaveRun: boolean;
        /** Time from arrival until the stage results were computed; undefined for calls without stages. */
        stagesMs?: number;
        /** Time from arrival until the first event of the stream. */
        firstEventMs?: number;
    };
    /** Aborts when the caller disconnects. */
    readonly signal: AbortSignal;
}

/** Whether a retry is allowed even if an instance may have run the call. */
export function isRetryable(route: routing.Route): boolean {
    return route.kind === "idempotent" || (route.kind === "stream" && route.isResumable);
}

/** Priority of a call; the team's overrides the route's. 0 is the most urgent. */
export function priorityOf(call: RoutedCall): number {
    return call.team?.priority ?? call.route.priority;
}
