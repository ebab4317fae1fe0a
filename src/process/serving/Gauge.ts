/**
 * Gauges that are read at each scrape.
 */
import * as prom from "prom-client";

/** Shows a number under `name`, read when the metrics are scraped. */
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
