/**
 * The metrics of an entry, in a registry of their own.
 */
import * as prom from "prom-client";
import * as codes from "../../common/Codes";
import * as gauges from "./Gauge";

/** Upstream time, tokens and attempts that a stage used. */
export interface StageCost {
    readonly stage: string;
    readonly service: string;
    readonly instance: string | undefined;
    readonly upstreamMs: number;
    readonly tokens: number;
    readonly attempts: number;
    readonly retries: number;
    readonly hedges: number;
}

/** Counters and histograms of an entry. */
export class EntryMetrics {
    readonly registry = new prom.Registry();
    private readonly requests = this.createCounter("cumincrank_requests_total", "Requests by outcome", [
        "pipeline",
        "team",
        "outcome",
        "code",
    ]);
    private readonly requestsInTime = this.createCounter(
        "cumincrank_requests_in_time_total",
        "Requests completed in time",
        [
            "pipeline",
            "team",
        ],
    );
    private readonly upstreamSeconds = this.createCounter("cumincrank_stage_upstream_seconds_total", "Upstream time", [
        "pipeline",
        "stage",
    ]);
    private readonly tokens = this.createCounter("cumincrank_stage_tokens_total", "Tokens generated", [
        "pipeline",
        "stage",
    ]);
    private readonly retries = this.createCounter("cumincrank_stage_retries_total", "Retries paid for", [
        "pipeline",
        "stage",
    ]);
    private readonly hedges = this.createCounter("cumincrank_stage_hedges_total", "Hedges paid for", [
        "pipeline",
        "stage",
    ]);
    private readonly requestSeconds = new prom.Histogram({
        name: "cumincrank_request_seconds",
        help: "Time from arrival to the last byte",
        labelNames: ["pipeline"],
        buckets: [0.01, 0.03, 0.1, 0.3, 0.51, 1, 2, 4, 8, 30],
        registers: [this.registry],
    });

    constructor() {
        prom.collectDefaultMetrics({ register: this.registry });
    }

    /** Adds a gauge whose value is read at each scrape. */
    addGauge(name: string, help: string, read: () => number): void {
        gauges.addGauge(this.registry, name, help, read);
    }

    /** Records a request that has ended. */
    recordRequest(pipeline: string, team: string, code: codes.ResultCode, elapsedMs: number, isInTime: boolean): void {
        this.requests.inc({ pipeline, team, outcome: code.outcome, code: String(code.code) });
        this.requestSeconds.observe({ pipeline }, elapsedMs / 1_000);
        if (isInTime && code.outcome === "completed") {
            this.requestsInTime.inc({ pipeline, team });
        }
    }

    /** Adds the cost of a stage to the counters. */
    recordStage(pipeline: string, cost: StageCost): void {
        const labels = { pipeline, stage: cost.stage };
        this.upstreamSeconds.inc(labels, cost.upstreamMs / 1_000);
        this.tokens.inc(labels, cost.tokens);
        this.retries.inc(labels, cost.retries);
        this.hedges.inc(labels, cost.hedges);
    }

    private createCounter<T extends string>(name: string, help: string, labelNames: T[]): prom.Counter<T> {
        return new prom.Counter({ name, help, labelNames, registers: [this.registry] });
    }
}
