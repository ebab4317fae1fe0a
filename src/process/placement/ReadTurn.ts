/**
 * Rate limit for reads of the weight store by time division. Wall-clock time is divided into turns, each owned by
 * one slot in hash order, so that all agents together start at most one read per turn without coordination.
 */
import * as clocks from "../../common/Clock";
import * as configurations from "../../common/Configuration";
import * as placements from "../../version/Placement";

/** Duration of a turn. */
export const READ_TURN_MS = 100;
/** Share of a turn in which its owner may start a read; the rest allows for clock differences. */
const START_WINDOW_RATIO = 0.5;
/** Ranked like a model, so that each slot has a fixed position. */
const TURN_ORDER_KEY = "weight-store-turn";

/** The engine slots of all services in the order of their turns, as `service/slot`. */
export function listTurnOwners(configuration: configurations.Configuration): string[] {
    const owners = Object.entries(configuration.services)
        .filter(([, service]) => service.kind === "engine")
        .flatMap(([name, service]) => Object.keys(service.slots).map(slot => `${name}/${slot}`));
    return placements.rankSlots(TURN_ORDER_KEY, owners);
}

/** Time until the owner may start a read, 0 if it may now; undefined if it has no turn. */
export function findTurnDelayMs(
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
