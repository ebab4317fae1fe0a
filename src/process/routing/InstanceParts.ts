/**
 * The parts of an entry that decide which instances get calls, connected to each other.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as routingPorts from "../../common/RoutingPorts";
import * as settingsShapes from "../../common/Settings";
import * as upstreamConnections from "../../connection/UpstreamConnections";
import * as answerSigns from "../instances/AnswerSigns";
import * as pools from "../instances/InstancePool";
import * as instanceProbes from "../instances/InstanceProbes";
import * as leavingInstances from "../instances/LeavingInstances";
import * as entryPeers from "../peers/EntryPeers";
import * as views from "../published/PublishedView";
import * as fleetSizes from "../shares/FleetSize";

/** What the parts need from their process. */
export interface InstancePartsOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly random: () => number;
    readonly failureDomain: string;
    /** The entries that share what an instance takes. */
    readonly fleet: fleetSizes.Fleet;
    readonly wire: routingPorts.RoutedCallWire;
    readonly connections: upstreamConnections.UpstreamConnections;
    readonly view: views.PublishedView;
    readonly peers: entryPeers.EntryPeers;
    readonly coldRateLimit: () => settingsShapes.RouteEntrySettings["coldRate"];
}

/** The pool, and what feeds it. */
export class InstanceParts implements clocks.Disposable {
    private readonly disposables = new emitters.DisposableStore();
    readonly leaving: leavingInstances.LeavingInstances;
    readonly pool: pools.InstancePool;
    readonly signs: answerSigns.AnswerSigns;

    constructor(options: InstancePartsOptions) {
        this.leaving = new leavingInstances.LeavingInstances(options.clock);
        this.pool = this.disposables.add(
            new pools.InstancePool({
                ...options,
                leaving: this.leaving,
            }),
        );
        this.signs = this.disposables.add(
            new answerSigns.AnswerSigns({ ...options, leaving: this.leaving, pool: this.pool }),
        );
        this.disposables.add(new instanceProbes.InstanceProbes({ ...options, pool: this.pool }));
    }

    dispose(): void {
        this.disposables.dispose();
    }
}
