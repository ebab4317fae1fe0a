/**
 * Records how the requests of callers ended: one log line each, and the metrics.
 */
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as logs from "../../common/Log";
import * as callDurations from "../../request/routed/CallDurations";
import * as calls from "../../request/routed/RoutedCall";
import * as tables from "../../version/RouteTable";
import * as metrics from "../metrics/RouteMetrics";

/** What recording needs from its server. */
export interface AnswerRecordContext {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly metrics: metrics.RouteMetrics;
    readonly table: () => tables.RouteTable | undefined;
}

/** Records the ends of requests. */
export class AnswerRecord {
    constructor(
        private readonly context: AnswerRecordContext,
        private readonly durations: callDurations.CallDurations,
    ) {}

    /** Records an answer of this process; `call` is undefined if the request wasn't read or accepted. */
    recordFailure(
        attempt: string | undefined,
        call: calls.RoutedCall | undefined,
        arrivedMs: number,
        failure: codes.Failure,
    ): void {
        this.context.metrics.countEnd(call?.route.name ?? "none", String(failure.code.status));
        this.context.log.info({
            decision: "answer",
            attempt,
            route: call?.route.name,
            team: call?.team?.name,
            version: this.context.table()?.configuration.version,
            status: failure.code.status,
            code: failure.code.code,
            name: failure.code.name,
            detail: failure.detail,
            retryAfterMs: failure.retryAfterMs,
            elapsedMs: Math.round(this.context.clock.now() - arrivedMs),
        }, "answered by this process");
    }

    /** Records the end of a call that was accepted. */
    recordEnd(call: calls.RoutedCall, end: string, extraFields: Record<string, unknown>): void {
        const elapsedMs = this.context.clock.now() - call.arrivedMs;
        if (end === "200") {
            this.durations.record(call.service, call.route, call.metadata, elapsedMs);
        }
        this.context.metrics.countEnd(call.route.name, end);
        this.context.metrics.recordDuration(call.route.name, elapsedMs);
        this.context.log.info({
            decision: "answer",
            attempt: call.metadata.attempt,
            route: call.route.name,
            team: call.team?.name,
            version: this.context.table()?.configuration.version,
            end,
            ...extraFields,
            stagesMs: roundMs(call.progress.stagesMs),
            firstEventMs: roundMs(call.progress.firstEventMs),
            elapsedMs: Math.round(elapsedMs),
        }, "call ended");
    }

    /** Logs a request that crosses the end of its connection. */
    logCrossed(attempt: string | undefined): void {
        this.context.log.info(
            { decision: "crossed-close", attempt },
            "a request arrived behind the last answer of its connection; it isn't served",
        );
    }
}

function roundMs(ms: number | undefined): number | undefined {
    return ms === undefined ? undefined : Math.round(ms);
}
