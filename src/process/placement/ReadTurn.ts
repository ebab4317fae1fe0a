/**
 * Turns in time for reads of the weight store. Wall time is cut into turns, each owned by one slot in hash
 * order, so that the fleet as a whole reads at most once a turn without talking.
 */
import * as clocks from "../../common/Clock";
import * as configurations from "../../common/Configuration";
import * as placements from "../../version/Placement";

/** Length of one turn in milliseconds. */
export const READ_TURN_MS = 100;
/** Part of a turn in which its owner may start a read; the rest absorbs differences between clocks. */
const START_WINDOW_RATIO = 0.5;
const TURN_ORDER_KEY = "weight-store-turn";

/** The engine slots of all services in the order of their turns, as `service/slot`. */
export function listTurnOwners(configuration: configurations.Configuration): string[] {
    const owners = Object.entries(configuration.services)
        .filter(([, service]) => service.kind === "engine")
        .flatMap(([name, service]) => Object.keys(service.slots).map(slot => `${name}/${slot}`));
    return placements.rankSlots(TURN_ORDER_KEY, owners);
}

/** Time until the owner may start a read, 0 when it may now; undefined when it has no turn. */
export function findTurnDelay(
    turnOwners: readonly string[],
    owner: string,
    clock: clocks.Clock,
    turnMs = READ_TURN_MS,
): number | undefined {
    const position = turnOwners.indexOf(owner);
    if (position < 0) {
        return undefined;
    }
    const cycleMs = turnOwners.length * turnMs;
    const sinceTurnStartMs = (clock.wall() - position * turnMs) % cycleMs;
    return sinceTurnStartMs < turnMs * START_WINDOW_RATIO ? 0 : cycleMs - sinceTurnStartMs;
}
