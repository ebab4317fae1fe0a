/**
 * Counters and histograms of an entry for routed calls, in a registry of their own.
 */
import * as prom from "prom-client";
import * as gauges from "./Gauge";

const MS_PER_SECOND = 1_000;
/** Routes that have metrics of their own; those that are called later share the label below. */
const MAX_ROUTES = 500;
const OTHER_ROUTES = "other";

/** Metrics of one process. */
export class RouteMetrics {
    readonly registry = new prom.Registry();
    private readonly routes = new Set<string>();
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
        this.callsTotal.inc({ route: this.labelOf(route), end });
    }

    /** Records the duration of a call. */
    recordDuration(route: string, elapsedMs: number): void {
        this.callSeconds.observe({ route: this.labelOf(route) }, elapsedMs / MS_PER_SECOND);
    }

    /** The label of a route: configurations may bring new names for as long as the process runs. */
    private labelOf(route: string): string {
        if (this.routes.size < MAX_ROUTES) {
            this.routes.add(route);
        }
        return this.routes.has(route) ? route : OTHER_ROUTES;
    }

    /** Adds counts by a label, read at each scrape. */
    addCounts(name: string, help: string, label: string, read: () => ReadonlyMap<string, number>): void {
        gauges.addCounts(this.registry, name, help, label, read);
    }

    /** Adds a gauge whose value is read at each scrape. */
    addGauge(name: string, help: string, read: () => number): void {
        gauges.addGauge(this.registry, name, help, read);
    }
}
