/**
 * Fixtures for tests of the stage scheduler: a service, its instances and orders.
 */
import * as routing from "../../common/Routing";
import * as stageOrders from "../../common/StageOrder";
import * as batching from "./StageBatching";
import * as stageInstances from "./StageInstances";

/** Capacity of one instance of the sample service. */
export const CAPACITY: routing.StageCapacity = {
    slots: 1,
    batch: 21,
    callMs: 150,
    pieceMs: 6.2,
    resultMemoryBytes: 367_500,
    resultLifetimeMs: 4_000,
};

/** The instances, each in its own failure domain. */
export const INSTANCES: readonly batching.StageInstance[] = ["a", "b", "c", "d"].map(name => ({
    id: `ledger-${name}`,
    address: `10.0.0.1:80${name}`,
    failureDomain: name,
}));

/** Published data of the sample service, the same for any name. */
export const services: stageInstances.StageServices = {
    capacity: () => CAPACITY,
    instances: () => INSTANCES,
    holdMs: () => 0,
};

/** An order with one stage of 16 pieces, unless overridden. */
export function createOrder(attempt: string, overrides: Partial<stageOrders.StageOrder> = {}): stageOrders.StageOrder {
    return {
        attempt,
        pieceKey: "key",
        stages: [{ service: "ledger", after: [], pieces: 16, resultBytes: 6_000 }],
        priority: 0,
        goalMs: 1_500,
        limitMs: 4_500,
        made: [],
        ...overrides,
    };
}

/** Results of all pieces of a call. */
export function resultsOf(batch: batching.StageBatch): { handle: string }[] {
    return batch.pieces.map(piece => ({ handle: `${piece.job.id}/${piece.stage}/${piece.piece}` }));
}
