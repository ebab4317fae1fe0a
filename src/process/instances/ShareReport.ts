/**
 * This process's shares of what instances take from all entries together, as they are logged and counted.
 */
import * as views from "../published/PublishedView";
import * as coldRates from "./ColdRates";
import * as instanceLimits from "./InstanceLimits";

/** A share of what one instance takes: its rate while it is cold, or a limit that it names. */
export interface InstanceShare {
    readonly bound: "cold-rate" | "limit";
    readonly instance: string;
    /** Calls that this process may send it in the bound's window. */
    readonly share: number;
    /** Calls that it has sent it in that window. */
    readonly used: number;
    /** Time until it may send another one; Infinity without a share. */
    readonly waitMs: number;
}

/** The sum of shares of one kind. */
export interface ShareTotal {
    readonly share: number;
    readonly used: number;
}

/** Lists the shares of the instances that are cold or name a limit. */
export function listShares(
    instances: readonly views.KnownInstance[],
    cold: coldRates.ColdRates,
    limits: instanceLimits.InstanceLimits,
): InstanceShare[] {
    return instances.flatMap(instance => {
        const limit = limits.stateOf(instance);
        const shares: InstanceShare[] = [];
        if (cold.isCold(instance)) {
            shares.push({
                bound: "cold-rate",
                instance: instance.id,
                share: cold.shareOf(instance),
                used: cold.usedOf(instance),
                waitMs: cold.waitMs(instance),
            });
        }
        if (limit !== undefined) {
            shares.push({ bound: "limit", instance: instance.id, ...limit });
        }
        return shares;
    });
}

/** Adds up the shares of one kind. */
export function sumShares(shares: readonly InstanceShare[], bound: InstanceShare["bound"]): ShareTotal {
    const ofBound = shares.filter(share => share.bound === bound);
    return {
        share: ofBound.reduce((sum, { share }) => sum + share, 0),
        used: ofBound.reduce((sum, { used }) => sum + used, 0),
    };
}
