/**
 * The parts of an entry that run the stages of calls, connected to each other.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as routingPorts from "../../common/RoutingPorts";
import * as upstreamConnections from "../../connection/UpstreamConnections";
import * as answerSigns from "../instances/AnswerSigns";
import * as pools from "../instances/InstancePool";
import * as leavingInstances from "../instances/LeavingInstances";
import * as entryPeers from "../peers/EntryPeers";
import * as views from "../published/PublishedView";
import * as hostRoles from "../stages/HostRoles";
import * as releasers from "../stages/ResultReleaser";
import * as stageClients from "../stages/StageClient";
import * as stageHosts from "../stages/StageHost";

/** What the parts need from their process. */
export interface StagePartsOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly random: () => number;
    readonly instance: string;
    readonly failureDomain: string;
    readonly wire: routingPorts.StageWire;
    readonly connections: upstreamConnections.UpstreamConnections;
    readonly pool: pools.InstancePool;
    readonly view: views.PublishedView;
    readonly peers: entryPeers.EntryPeers;
    readonly leaving: leavingInstances.LeavingInstances;
    readonly signs: answerSigns.AnswerSigns;
    readonly isDraining: () => boolean;
}

/** The stage host of the process, its role among the hosts, and the client of all hosts. */
export class StageParts implements clocks.Disposable {
    private readonly disposables = new emitters.DisposableStore();
    readonly host: stageHosts.StageHost;
    readonly roles: hostRoles.HostRoles;
    readonly stages: stageClients.StageClient;

    constructor(options: StagePartsOptions) {
        const { peers, pool, signs, view } = options;
        const releaser = this.disposables.add(
            new releasers.ResultReleaser({
                ...options,
                holds: pool.holds,
                limits: pool.limits,
                findInstance: address => view.findByAddress(address),
                onAnswer: (instance, head, atMs) => signs.observeHead(instance, head, "release", atMs),
            }),
        );
        this.host = this.disposables.add(
            new stageHosts.StageHost({
                ...options,
                releaser,
                onAnswer: (instance, head, atMs) => signs.observeHead(instance, head, "stage-call", atMs),
                ownInstances: (service, usable) => this.roles.ownInstances(service, usable),
            }),
        );
        this.roles = this.disposables.add(
            new hostRoles.HostRoles({
                ...options,
                openOrders: () => this.host.size,
                backlogMs: () => this.host.backlogMs,
                handOver: () => this.host.handOver(),
            }),
        );
        this.stages = this.disposables.add(
            new stageClients.StageClient({ ...options, peers, roles: this.roles, host: this.host }),
        );
    }

    dispose(): void {
        this.disposables.dispose();
    }
}
