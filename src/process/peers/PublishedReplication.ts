/**
 * Keeps an entry's view of the published store current: from the store itself, and from the other entries.
 */
import * as clocks from "../../common/Clock";
import * as logs from "../../common/Log";
import * as routingPorts from "../../common/RoutingPorts";
import * as pacedStores from "../published/PacedStore";
import * as readers from "../published/PublishedReader";
import * as views from "../published/PublishedView";
import * as storeHistories from "../published/StoreHistory";
import * as paces from "../shares/FleetPace";
import * as exchanges from "./PublishedExchange";
import * as viewLags from "./ViewLag";

/** What the replication needs from its process. */
export interface PublishedReplicationOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly random: () => number;
    readonly store: routingPorts.PublishedStore;
    readonly view: views.PublishedView;
    /** Name of this entry. */
    readonly instance: string;
    readonly peers: exchanges.ExchangePeers;
    /** This entry's part of the calls that the store allows all entries. */
    readonly pace: paces.FleetPace;
}

/** The reader of the store and of its history, and the exchange with the other entries. */
export class PublishedReplication implements clocks.Disposable {
    readonly reader: readers.PublishedReader;
    readonly exchange: exchanges.PublishedExchange;
    readonly lag: viewLags.ViewLag;
    readonly history: storeHistories.StoreHistory;

    constructor(options: PublishedReplicationOptions) {
        const { peers } = options;
        this.reader = new readers.PublishedReader({
            ...options,
            store: pacedStores.paceStore(options),
            peerNames: () => peers.livePeers.map(peer => peer.instance),
        });
        this.exchange = new exchanges.PublishedExchange(options);
        this.history = new storeHistories.StoreHistory(options);
        this.lag = new viewLags.ViewLag({
            clock: options.clock,
            position: () => options.view.position,
            peerPositions: () => peers.livePeers.map(peer => peer.position),
        });
    }

    /** Starts to read the store; runs until disposed. */
    start(): void {
        this.reader.start();
    }

    dispose(): void {
        this.reader.dispose();
        this.exchange.dispose();
        this.history.dispose();
    }
}
