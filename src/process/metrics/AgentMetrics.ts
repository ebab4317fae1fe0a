/**
 * The metrics of an agent, in a registry of their own.
 */
import * as prom from "prom-client";
import * as gauge from "./Gauge";

/** Functions that return the values of the gauges; called at each scrape. */
export interface AgentGauges {
    readonly limit: () => number;
    readonly active: () => number;
    readonly queued: () => number;
    readonly ledgerEntries: () => number;
    readonly version: () => number;
}

/** Counts calls by result code and exposes the agent's state as gauges. */
export class AgentMetrics {
    readonly registry = new prom.Registry();
    private readonly calls = new prom.Counter({
        name: "cumincrank_agent_calls_total",
        help: "Calls by code",
        labelNames: ["code"],
        registers: [this.registry],
    });

    constructor(gauges: AgentGauges) {
        prom.collectDefaultMetrics({ register: this.registry });
        gauge.addGauge(this.registry, "cumincrank_agent_limit", "Concurrency admitted", gauges.limit);
        gauge.addGauge(this.registry, "cumincrank_agent_active", "Calls at the upstream", gauges.active);
        gauge.addGauge(this.registry, "cumincrank_agent_queued", "Calls waiting", gauges.queued);
        gauge.addGauge(this.registry, "cumincrank_agent_ledger_entries", "Entries of the ledger", gauges.ledgerEntries);
        gauge.addGauge(this.registry, "cumincrank_configuration_version", "Version in force", gauges.version);
    }

    /** Counts a call that ended with the result code `code`. */
    recordCall(code: number): void {
        this.calls.inc({ code: String(code) });
    }
}
