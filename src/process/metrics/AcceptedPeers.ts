/**
 * The gauges of the connections that other processes have opened.
 */
import * as prom from "prom-client";
import * as gauges from "./Gauge";

/** The connections that other processes have opened to this one. */
export interface AcceptedPeers {
    readonly count: number;
    readonly max: number;
    /** Connections closed since the start, since there were too many. */
    readonly closedForRoom: number;
}

/** Adds the gauges to a registry. */
export function addGauges(registry: prom.Registry, peers: AcceptedPeers): void {
    const add = gauges.addGauge.bind(undefined, registry);
    add("cumincrank_accepted_peer_connections", "Open connections that others opened", () => peers.count);
    add("cumincrank_accepted_peer_connection_limit", "Largest number of them", () => peers.max);
    add("cumincrank_accepted_peers_closed_for_room", "Those closed as too many", () => peers.closedForRoom);
}
