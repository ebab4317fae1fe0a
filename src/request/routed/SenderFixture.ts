/**
 * Fixture: the only instance of a service, and what a send to it needs.
 */
import * as clocks from "../../common/Clock";
import * as logs from "../../common/Log";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as upstreamConnections from "../../connection/UpstreamConnections";
import * as pools from "../../process/instances/InstancePool";
import * as leavingInstances from "../../process/instances/LeavingInstances";
import * as budgets from "../../process/instances/ServiceRetryBudget";
import * as views from "../../process/published/PublishedView";
import * as fleetFixtures from "../../process/shares/FleetFixture";
import * as senders from "./UpstreamSender";

export const SERVICE = "desk";
const POSITION = { era: 0, revision: 1 };
const FLEET = fleetFixtures.knownFleet(["entry-1"]);

/** A pool that knows one instance, at the address, which started at `startedMs`. */
export function createPool(address: string, startedMs: number): pools.InstancePool {
    const instance = {
        id: "desk-1",
        startedMs,
        service: SERVICE,
        softwareVersion: "v1",
        address,
        failureDomain: "a",
        state: "ready",
        slots: 8,
        coldLeftMs: 0,
    } as const;
    const decode = (): routing.PublishedRecord => ({ kind: "instance", instance });
    const view = new views.PublishedView({ clock: clocks.systemClock, log: logs.silentLog, decode });
    const item = { key: instance.id, ...POSITION, content: new Uint8Array() };
    view.apply({ items: [item], ...POSITION, isWhole: true }, "test");
    return new pools.InstancePool({
        clock: clocks.systemClock,
        log: logs.silentLog,
        random: () => 0,
        view,
        leaving: new leavingInstances.LeavingInstances(clocks.systemClock),
        failureDomain: "a",
        fleet: FLEET,
        coldRateLimit: () => ({ factor: 1, extra: 0 }),
    });
}

/** The budget of the service at the only entry. */
export function createBudget(bound: budgets.RetryBound): budgets.ServiceRetryBudget {
    return new budgets.ServiceRetryBudget(clocks.systemClock, SERVICE, () => bound, FLEET);
}

/** The parts of a sender's context that differ between tests. */
export interface ContextParts {
    readonly pool: pools.InstancePool;
    readonly budget: budgets.ServiceRetryBudget;
    readonly connections: upstreamConnections.UpstreamConnections;
    readonly wire: Partial<routingPorts.RoutedCallWire>;
}

/** A context in which no call is held back. */
export function createContext({ budget, ...parts }: ContextParts): senders.SenderContext {
    return {
        ...parts,
        clock: clocks.systemClock,
        log: logs.silentLog,
        onAnswer: () => undefined,
        crashes: {
            findHeld: () => undefined,
            observeAnswer: () => undefined,
            observeInterruption: () => undefined,
        },
        budgetOf: () => budget,
        position: () => POSITION,
    } as unknown as senders.SenderContext;
}
