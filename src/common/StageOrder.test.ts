import * as vitest from "vitest";
import * as stageOrders from "./StageOrder";

const stage = { service: "ledger", after: [], pieces: 1, resultBytes: 1 };
const order = {
    attempt: "a",
    pieceKey: "k",
    stages: [stage, { ...stage, after: [0] }],
    priority: 0,
    goalMs: 1,
    limitMs: 1,
};

vitest.describe("a stage order of another entry", () => {
    // Guards against the end of the process by a stage that reads the results of one that doesn't exist.
    vitest.it.each([
        { name: "with stages that exist", stages: order.stages, isRead: true },
        { name: "with a predecessor that doesn't exist", stages: [{ ...stage, after: [1] }], isRead: false },
        {
            name: "with more pieces than any call has",
            stages: Array.from({ length: 2 }, () => ({ ...stage, pieces: stageOrders.MAX_PIECES })),
            isRead: false,
        },
    ])("$name", ({ stages, isRead }) => {
        vitest.expect(stageOrders.stageOrderSchema.safeParse({ ...order, stages }).success).toBe(isRead);
    });
});
