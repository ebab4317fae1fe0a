/**
 * Fixture: an entry that has known all others for long.
 */
import * as fleetSizes from "./FleetSize";

const LONG_AGO_MS = -1e9;

/** The fleet of the entries `names`, as `self`, the first one unless stated, knows it. */
export function knownFleet(names: readonly string[], self = names[0]!): fleetSizes.Fleet {
    return { self, names, count: names.length, precededUntilMs: LONG_AGO_MS, settledAtMs: LONG_AGO_MS };
}
