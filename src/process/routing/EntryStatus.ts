/**
 * What an entry reports of itself at its admin server.
 */
import * as pools from "../instances/InstancePool";
import * as entryPeers from "../peers/EntryPeers";
import * as replications from "../peers/PublishedReplication";
import * as views from "../published/PublishedView";
import * as hostRoles from "../stages/HostRoles";
import * as stageHosts from "../stages/StageHost";
import * as servers from "./RouteServer";

/** The parts of an entry that have a state to report. */
export interface StatusSources {
    readonly instance: string;
    /** Address at which other entries connect. */
    readonly address: string;
    readonly isReady: boolean;
    readonly isDraining: boolean;
    readonly view: Pick<views.PublishedView, "table" | "position" | "outOfServiceDomains">;
    readonly replication: Pick<replications.PublishedReplication, "reader">;
    readonly pool: Pick<pools.InstancePool, "leavingIds" | "limits">;
    readonly roles: Pick<hostRoles.HostRoles, "hostNames">;
    readonly host: Pick<stageHosts.StageHost, "size">;
    readonly server: Pick<servers.RouteServer, "active">;
    readonly peers: Pick<entryPeers.EntryPeers, "knownPeers">;
}

/** Builds the report, which is encoded as JSON. */
export function buildStatus(sources: StatusSources): unknown {
    const { instance, address, isReady, isDraining, view, replication, pool, roles, host, server, peers } = sources;
    return {
        instance,
        address,
        ready: isReady,
        draining: isDraining,
        version: view.table?.configuration.version,
        ...view.position,
        unconfirmedMs: replication.reader.unconfirmedMs,
        out: view.outOfServiceDomains,
        leaving: pool.leavingIds,
        limited: pool.limits.list().flatMap(sign => sign.perSecond === undefined ? [] : sign),
        stageHosts: roles.hostNames,
        stageOrders: host.size,
        active: server.active,
        entries: peers.knownPeers.map(peer => ({
            instance: peer.instance,
            address: peer.address,
            connected: peer.connection !== undefined,
            ...peer.position,
        })),
    };
}
