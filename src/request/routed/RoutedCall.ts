/**
 * A caller's routed call with everything that is known of it when it is accepted.
 */
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";

/** A call as its caller sent it, with the route and team found for it. */
export interface RoutedCall {
    readonly metadata: routingPorts.RoutedCallFacts;
    readonly route: routing.Route;
    readonly team: routing.RoutedTeam | undefined;
    readonly service: string;
    readonly method: string;
    /** Path with its query, as sent. */
    readonly path: string;
    /** Names and values by turns. */
    readonly headers: readonly string[];
    /** Undefined when the caller sent none. */
    readonly body: Buffer | undefined;
    /** When the call arrived, on this process's clock. */
    readonly arrivedMs: number;
    /** When an answer is no longer in time. */
    readonly softDeadlineAtMs: number;
    /** When the caller's deadline or the route's timeout ends the call, whichever is first. */
    readonly hardDeadlineAtMs: number;
    /** What has become of the call so far. */
    readonly progress: {
        /** Whether an instance may be running it, or may have run it. */
        mayHaveRun: boolean;
        /** Time from the call's arrival until its stages were made; undefined without stages. */
        stagesMs?: number;
        /** Time from the call's arrival until its stream's first event. */
        firstEventMs?: number;
    };
    /** Aborts when the caller has left. */
    readonly signal: AbortSignal;
}

/** Whether the call may run at more than one instance. */
export function isRetryable(route: routing.Route): boolean {
    return route.kind === "idempotent" || (route.kind === "stream" && route.isResumable);
}

/** The rank of a call: a team's priority goes before its route's. 0 is the most urgent. */
export function priorityOf(call: RoutedCall): number {
    return call.team?.priority ?? call.route.priority;
}
