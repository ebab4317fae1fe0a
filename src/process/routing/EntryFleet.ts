/**
 * The entries that share bounds with this one, from its settings and its connections.
 */
import * as clocks from "../../common/Clock";
import * as settingsShapes from "../../common/Settings";
import * as entryPeers from "../peers/EntryPeers";
import * as fleetSizes from "../shares/FleetSize";

/** What the fleet is known from. */
export interface EntryFleetSources {
    readonly clock: clocks.Clock;
    /** Read at each use, since settings may change. */
    readonly settings: () => settingsShapes.RouteEntrySettings;
    /** Whether there are seeds that aren't known. */
    readonly lacksSeeds: () => boolean;
    readonly peers: Pick<entryPeers.EntryPeers, "knownPeers" | "hasSeeds" | "hasCompleteList">;
}

/** Creates the fleet of an entry that is starting. */
export function createFleet({ clock, settings, lacksSeeds, peers }: EntryFleetSources): fleetSizes.FleetSize {
    const { instance, failureDomain, isFirstStart } = settings();
    return new fleetSizes.FleetSize({
        clock,
        self: { name: instance, failureDomain },
        others: () =>
            peers.knownPeers.map(({ instance: name, failureDomain: domain, connection }) => ({
                name,
                failureDomain: domain,
                isConnected: connection !== undefined,
            })),
        failureDomains: () => settings().failureDomains,
        hasOthers: () => peers.hasSeeds || lacksSeeds(),
        hasCompleteList: () => peers.hasCompleteList,
        isFirstStart,
    });
}
