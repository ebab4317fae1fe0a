/**
 * What an upstream has really done, for history checks.
 */
import * as http from "node:http";
import * as clocks from "../src/common/Clock";
import * as standIns from "./HttpStandIn";

/** One effect. */
export interface Execution {
    readonly key: string | undefined;
    readonly request: string;
    readonly operation: string;
    /** Order of the effects of one upstream, from 1. */
    readonly sequence: number;
    /** Milliseconds since 1970. */
    readonly atMs: number;
}

/** Appends the effect of one call. */
export function append(executions: Execution[], headers: http.IncomingHttpHeaders, operation: string): void {
    executions.push({
        key: standIns.readEncodedHeader(headers, "x-key"),
        request: standIns.readEncodedHeader(headers, "x-request") ?? "",
        operation,
        sequence: executions.length + 1,
        atMs: clocks.systemClock.wall(),
    });
}
