/**
 * Chooses the service that gets a call, where a route divides its calls among several.
 */
import * as routing from "../../common/Routing";

/** Picks a service at random, by the route's weights. */
export function pickService(route: routing.Route, random: () => number): string {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let remainingWeight = random() * total;
    for (const target of route.targets) {
        remainingWeight -= target.weight;
        if (remainingWeight < 0) {
            return target.service;
        }
    }
    return route.targets[0]?.service ?? "";
}
