/**
 * The published store as one entry reads it: its calls keep to this entry's part of what the store allows all entries.
 */
import * as clocks from "../../common/Clock";
import * as logs from "../../common/Log";
import * as routingPorts from "../../common/RoutingPorts";
import * as paces from "../shares/FleetPace";
import * as fleetSizes from "../shares/FleetSize";

/** Part of the allowed calls that all entries earn in a second, and the same part may be saved. */
const EARNED_SHARE = 0.4;
/** Time in which what may be saved is earned. */
const SAVED_MS = 1_000;
/** Waits of at least this long are logged. */
const LOGGED_WAIT_MS = 500;

/** What the store needs from its process. */
export interface PacedStoreOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly store: routingPorts.PublishedStore;
    readonly pace: paces.FleetPace;
}

/** Creates an entry's part of the calls a second that the store allows all entries. */
export function createPace(
    clock: clocks.Clock,
    fleet: fleetSizes.Fleet,
    allowedPerSecond: () => number,
): paces.FleetPace {
    return new paces.FleetPace({
        clock,
        fleet,
        perSecond: () => EARNED_SHARE * allowedPerSecond(),
        savedMs: SAVED_MS,
    });
}

/** Creates a store whose calls wait until this entry may make them. */
export function paceStore({ clock, log, store, pace }: PacedStoreOptions): routingPorts.PublishedStore {
    const callInTurn = <T>(call: () => Promise<T>, signal: AbortSignal): Promise<T> => {
        const { waitMs } = pace;
        pace.take();
        if (waitMs >= LOGGED_WAIT_MS) {
            log.info({ decision: "store-read-deferred", waitMs, ...pace.state }, "calls of all entries are limited");
        }
        return waitMs === 0 ? call() : clocks.sleep(clock, waitMs, signal).then(call);
    };
    return {
        list: (after, signal) => callInTurn(() => store.list(after, signal), signal),
        watch: (revision, waitMs, signal) => callInTurn(() => store.watch(revision, waitMs, signal), signal),
        readPosition: signal => callInTurn(() => store.readPosition(signal), signal),
        decode: item => store.decode(item),
    };
}
