/**
 * Log of the calls that an upstream has executed, which history checks compare with the answers to callers.
 */
import * as http from "node:http";
import * as clocks from "../src/common/Clock";
import * as standIns from "./HttpStandIn";

/** One execution of an operation. */
export interface Execution {
    readonly key: string | undefined;
    readonly request: string;
    readonly operation: string;
    /** Position among the executions of the upstream, from 1. */
    readonly sequence: number;
    /** Wall-clock time in milliseconds since 1970. */
    readonly atMs: number;
}

/** Records the execution of a call with these headers. */
export function append(executions: Execution[], headers: http.IncomingHttpHeaders, operation: string): void {
    executions.push({
        key: standIns.readEncodedHeader(headers, "x-key"),
        request: standIns.readEncodedHeader(headers, "x-request") ?? "",
        operation,
        sequence: executions.length + 1,
        atMs: clocks.systemClock.wall(),
    });
}
