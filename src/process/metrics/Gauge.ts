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
