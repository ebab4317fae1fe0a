/**
 * Gauges whose values are read at each scrape.
 */
import * as prom from "prom-client";

/** Adds a gauge to the registry; `readValue` is called at each scrape. */
export function addGauge(registry: prom.Registry, name: string, help: string, readValue: () => number): void {
    new prom.Gauge({
        name,
        help,
        registers: [registry],
        collect() {
            this.set(readValue());
        },
    });
}

/** Adds counts to the registry, each with its label; `readCounts` is called at each scrape. */
export function addCounts(
    registry: prom.Registry,
    name: string,
    help: string,
    label: string,
    readCounts: () => ReadonlyMap<string, number>,
): void {
    new prom.Gauge({
        name,
        help,
        labelNames: [label],
        registers: [registry],
        collect() {
            readCounts().forEach((count, value) => this.set({ [label]: value }, count));
        },
    });
}
