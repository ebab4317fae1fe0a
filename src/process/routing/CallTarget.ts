/**
 * Finds the route and the team of a call in the published configuration. That there is none is said as final only on
 * evidence: by a process whose view is as new as those of the other entries.
 */
import * as result from "true-myth/result";
import * as codes from "../../common/Codes";
import * as routing from "../../common/Routing";
import * as tables from "../../version/RouteTable";

/** Longest wait for a newer view, and the share of the caller's time that it may take. */
const MAX_WAIT_MS = 1_500;
const MAX_WAIT_SHARE = 0.5;
/** Retry delay sent while the view is behind. */
const BEHIND_RETRY_MS = 1_000;

/** What a call asks for. */
export interface TargetRequest {
    readonly host: string;
    /** Without its query. */
    readonly path: string;
    readonly apiKey: string | undefined;
    /** How long the caller waits; undefined if it doesn't say. */
    readonly remainingMs: number | undefined;
}

/** What a call is served with. */
export interface CallTarget {
    readonly route: routing.Route;
    /** Undefined for a route without keys. */
    readonly team: routing.RoutedTeam | undefined;
}

/** What finding a target needs from its process. */
export interface TargetContext {
    readonly table: () => tables.RouteTable | undefined;
    /** Waits until the view is as new as those of the other entries; false if it isn't in time. */
    readonly catchUp: (maxMs: number, signal: AbortSignal) => Promise<boolean>;
}

/** Finds the target of a call. Failures: `unknown-path`, `unknown-key`, and `not-ready` if that isn't certain. */
export async function findTarget(
    context: TargetContext,
    request: TargetRequest,
    signal: AbortSignal,
): Promise<result.Result<CallTarget, codes.Failure>> {
    const found = lookUp(context, request);
    if (found.isOk) {
        return found;
    }
    const maxMs = Math.min(MAX_WAIT_MS, (request.remainingMs ?? Infinity) * MAX_WAIT_SHARE);
    const isCurrent = await context.catchUp(maxMs, signal);
    const current = lookUp(context, request);
    if (current.isOk || isCurrent) {
        return current;
    }
    return result.err(codes.failure(codes.codes.notReady, `behind: ${current.error.code.name}`, BEHIND_RETRY_MS));
}

function lookUp(
    context: TargetContext,
    { host, path, apiKey }: TargetRequest,
): result.Result<CallTarget, codes.Failure> {
    const table = context.table();
    const route = table?.findRoute(host, path);
    if (table === undefined || route === undefined) {
        return result.err(codes.failure(codes.codes.unknownPath, "no route"));
    }
    const team = table.findTeam(apiKey);
    return table.needsKeys && !route.isPublic && team === undefined
        ? result.err(codes.failure(codes.codes.unknownKey, route.name))
        : result.ok({ route, team });
}
