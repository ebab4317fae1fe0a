/**
 * The gauges of an entry for routed calls, read from its parts at each scrape.
 */
import * as crashMonitors from "../crashes/CrashMonitor";
import * as pools from "../instances/InstancePool";
import * as budgets from "../instances/RetryBudgets";
import * as shareReports from "../instances/ShareReport";
import * as acceptedGauges from "../metrics/AcceptedPeers";
import * as loopWatches from "../metrics/LoopWatch";
import * as processCounters from "../metrics/ProcessCounters";
import * as metrics from "../metrics/RouteMetrics";
import * as replications from "../peers/PublishedReplication";
import * as views from "../published/PublishedView";
import * as paces from "../shares/FleetPace";
import * as fleetSizes from "../shares/FleetSize";
import * as stageHosts from "../stages/StageHost";
import * as turns from "../streams/StreamTurns";
import * as servers from "./RouteServer";

/** The parts of an entry whose state is exposed. */
export interface GaugeSources {
    readonly view: Pick<views.PublishedView, "position" | "unreadableRecords">;
    readonly replication: Pick<replications.PublishedReplication, "reader" | "exchange">;
    readonly host: Pick<stageHosts.StageHost, "startedCalls">;
    readonly pool: Pick<
        pools.InstancePool,
        "leavingIds" | "holds" | "limits" | "proofs" | "faults" | "cuts" | "shares" | "statedCount"
    >;
    readonly crashes: Pick<crashMonitors.CrashMonitor, "suspectedCount" | "heldCalls">;
    readonly fleet: fleetSizes.Fleet;
    readonly retryBudgets: Pick<budgets.RetryBudgets, "retries" | "left" | "capacity">;
    readonly streamTurns: Pick<turns.StreamTurns, "waitingCount">;
    /** This entry's part of the calls on the store. */
    readonly storePace: paces.FleetPace;
    readonly server: Pick<servers.RouteServer, "active" | "buffers" | "connections">;
    readonly loop: loopWatches.LoopWatch;
    /** The connections that other entries have opened. */
    readonly acceptedPeers: acceptedGauges.AcceptedPeers;
    readonly counters: processCounters.ProcessCounters;
}

/** Adds the gauges to the metrics of the process. */
export function registerGauges(routeMetrics: metrics.RouteMetrics, sources: GaugeSources): void {
    const { view, replication, host, pool, crashes, fleet, retryBudgets, storePace, server, loop, counters } = sources;
    const { acceptedPeers } = sources;
    const { buffers, connections } = server;
    const { streamTurns } = sources;
    const add = routeMetrics.addGauge.bind(routeMetrics);
    add("cumincrank_era", "Era of the published store", () => view.position.era);
    add("cumincrank_revision", "Revision of the published store", () => view.position.revision);
    add("cumincrank_unreadable_records", "Records that couldn't be read", () => view.unreadableRecords);
    add("cumincrank_store_calls", "Calls on the published store", () => replication.reader.storeCalls);
    add("cumincrank_stage_calls", "Calls on stages' instances", () => host.startedCalls);
    add("cumincrank_peer_updates", "Updates taken from other entries", () => replication.exchange.appliedUpdates);
    add("cumincrank_leaving_instances", "Leaving instances", () => pool.leavingIds.length);
    add("cumincrank_doubtful_instances", "Doubtful instances", () => pool.proofs.doubtfulCount);
    routeMetrics.addCounts(
        "cumincrank_faulty_answers",
        "Answers that weren't answers in the protocol, by instance",
        "instance",
        () => pool.faults.counts,
    );
    routeMetrics.addCounts(
        "cumincrank_cut_answers",
        "Answers that ended before they were whole, by their framing and the end of their connection",
        "cause",
        () => pool.cuts.counts,
    );
    add("cumincrank_held_instances", "Instances that hold off", () => pool.holds.heldCount);
    add("cumincrank_instance_holds", "Rejections that asked for a hold", () => pool.holds.count);
    add("cumincrank_limited_instances", "Instances that name a limit", () => pool.limits.count);
    add("cumincrank_stated_speeds", "Instances that state how long work takes there", () => pool.statedCount);
    add("cumincrank_held_parts", "Parts of prompts held back", () => crashes.suspectedCount);
    add("cumincrank_parts_rejections", "Checks that held a call back for its parts", () => crashes.heldCalls);
    add("cumincrank_assumed_entries", "Entries among which bounds of all are divided", () => fleet.count);
    add("cumincrank_knows_entries", "1 if the other entries are known", () => fleet.settledAtMs === undefined ? 0 : 1);
    const sumOf = (bound: shareReports.InstanceShare["bound"]): shareReports.ShareTotal =>
        shareReports.sumShares(pool.shares, bound);
    add("cumincrank_cold_share", "Calls to cold instances that are this entry's share", () => sumOf("cold-rate").share);
    add("cumincrank_cold_used", "Calls sent to cold instances in the window", () => sumOf("cold-rate").used);
    add("cumincrank_limit_share", "Requests to limited instances, this entry's share", () => sumOf("limit").share);
    add("cumincrank_limit_used", "Requests sent to limited instances in the window", () => sumOf("limit").used);
    const probes = (): paces.PaceState[] => pool.proofs.paces.map(({ state }) => state);
    const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
    add(
        "cumincrank_probes_share",
        "Probes that may be saved, of all services",
        () => sum(probes().map(({ share }) => share)),
    );
    add(
        "cumincrank_probes_used",
        "Probes of doubtful instances since the start",
        () => sum(probes().map(({ used }) => used)),
    );
    add("cumincrank_store_reads_share", "Calls on the store that may be saved", () => storePace.state.share);
    add("cumincrank_store_reads_used", "Calls on the store since the start", () => storePace.state.used);
    add("cumincrank_retries_share", "Retries that may be saved, of all services", () => retryBudgets.capacity);
    add("cumincrank_window_retries", "Retries sent in the window of their budget", () => retryBudgets.retries);
    add("cumincrank_retries_left", "Retries that may be sent now, of all services", () => retryBudgets.left);
    add("cumincrank_active_calls", "Routed calls under way", () => server.active);
    add("cumincrank_waiting_streams", "Streams that wait for their turn", () => streamTurns.waitingCount);
    add("cumincrank_buffered_bytes", "Bytes of bodies and answers held", () => buffers.heldBytes);
    add("cumincrank_buffer_limit_bytes", "Bytes of bodies and answers that may be held", () => buffers.limitBytes);
    add("cumincrank_buffer_rejections", "Bodies for which there was no room", () => buffers.rejections);
    add("cumincrank_paused_answers", "Answers that aren't read on for now", () => buffers.pausedCount);
    add("cumincrank_caller_connections", "Open connections of callers", () => connections.count);
    add("cumincrank_caller_connection_limit", "Largest number of them", () => connections.max);
    add(
        "cumincrank_connections_closed_for_room",
        "Connections closed as too many",
        () => connections.closedForRoom,
    );
    add("cumincrank_loop_delay_seconds", "Longest delay of the event loop", () => loop.takeDelaySeconds());
    add("cumincrank_costliest_peer_share", "Share of the time for the costliest peer", () => loop.largestShare);
    add("cumincrank_delayed_pieces", "Pieces of reads that waited for a later turn", () => loop.delayedPieces);
    add("cumincrank_unread_bytes", "Bytes of reads that wait for a later turn", () => loop.heldBytes);
    add("cumincrank_unread_closed", "Connections closed as too many bytes waited", () => loop.closedConnections);
    acceptedGauges.addGauges(routeMetrics.registry, acceptedPeers);
    add("cumincrank_dropped_log_lines", "Log lines dropped", counters.droppedLogLines);
    add("cumincrank_failed_log_writes", "Writes of the log that failed", counters.failedLogWrites);
    add("cumincrank_machine_errors", "Errors of the operating system that nobody handled", counters.machineErrors);
}
