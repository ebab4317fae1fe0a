/**
 * Counters and histograms of an entry for routed calls, in a registry of their own.
 */
import * as prom from "prom-client";
import * as gauges from "./Gauge";

const MS_PER_SECOND = 1_000;

/** Metrics of one process. */
export class RouteMetrics {
    readonly registry = new prom.Registry();
    private readonly callsTotal = new prom.Counter({
        name: "cumincrank_routed_calls_total",
        help: "Routed calls by route and end",
        labelNames: ["route", "end"],
        registers: [this.registry],
    });
    private readonly callSeconds = new prom.Histogram({
        name: "cumincrank_routed_call_seconds",
        help: "Time from arrival to the last byte",
        labelNames: ["route"],
        buckets: [0.03, 0.1, 0.2, 0.3, 0.5, 1, 2, 4, 8, 16],
        registers: [this.registry],
    });

    /** Counts a finished call. `end` is its HTTP status, `broken-off` or `gone`. */
    countEnd(route: string, end: string): void {
        this.callsTotal.inc({ route, end });
    }

    /** Records the duration of a call. */
    recordDuration(route: string, elapsedMs: number): void {
        this.callSeconds.observe({ route }, elapsedMs / MS_PER_SECOND);
    }

    /** Adds a gauge whose value is read at each scrape. */
    addGauge(name: string, help: string, read: () => number): void {
        gauges.addGauge(this.registry, name, help, read);
    }
}
