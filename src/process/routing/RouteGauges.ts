/**
 * The gauges of an entry for routed calls, read from its parts at each scrape.
 */
import * as pools from "./InstancePool";
import * as exchanges from "./PublishedExchange";
import * as readers from "./PublishedReader";
import * as views from "./PublishedView";
import * as metrics from "./RouteMetrics";
import * as servers from "./RouteServer";
import * as stageHosts from "./StageHost";

/** The parts of an entry whose state is exposed. */
export interface GaugeSources {
    readonly view: Pick<views.PublishedView, "position">;
    readonly reader: Pick<readers.PublishedReader, "storeCalls">;
    readonly host: Pick<stageHosts.StageHost, "startedCalls">;
    readonly exchange: Pick<exchanges.PublishedExchange, "appliedUpdates">;
    readonly pool: Pick<pools.InstancePool, "leavingIds">;
    readonly server: Pick<servers.RouteServer, "active">;
    /** Number of log lines dropped since the start. */
    readonly droppedLogLines: () => number;
}

/** Adds the gauges to the metrics of the process. */
export function registerGauges(routeMetrics: metrics.RouteMetrics, sources: GaugeSources): void {
    const { view, reader, host, exchange, pool, server, droppedLogLines } = sources;
    const add = routeMetrics.addGauge.bind(routeMetrics);
    add("cumincrank_era", "Era of the published store", () => view.position.era);
    add("cumincrank_revision", "Revision of the published store", () => view.position.revision);
    add("cumincrank_store_calls", "Calls on the published store", () => reader.storeCalls);
    add("cumincrank_stage_calls", "Calls on stages' instances", () => host.startedCalls);
    add("cumincrank_peer_updates", "Updates taken from other entries", () => exchange.appliedUpdates);
    add("cumincrank_leaving_instances", "Leaving instances", () => pool.leavingIds.length);
    add("cumincrank_active_calls", "Routed calls under way", () => server.active);
    add("cumincrank_dropped_log_lines", "Log lines dropped", () => droppedLogLines());
}
