import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as logs from "../../common/Log";
import * as messages from "../../common/Messages";
import * as servedOrders from "./ServedOrders";
import * as fixtures from "./StageFixtures";
import * as stageHosts from "./StageHost";

const COMPLETED: stageHosts.StageRunResult = { kind: "completed", handles: ["h1"] };

/** A host that completes its orders when told to, and a connection that records what is sent on it. */
function createScenario() {
    const clock = new clocks.ManualClock();
    const runs: { complete: () => void; signal: AbortSignal }[] = [];
    const released: string[] = [];
    const orders = new servedOrders.ServedOrders(clock, {
        run: (_order, signal) =>
            new Promise(resolve => {
                runs.push({ complete: () => resolve(COMPLETED), signal });
                signal.addEventListener("abort", () =>
                    resolve({ kind: "failed", failure: codes.failure(codes.codes.cancelled, "aborted") }));
            }),
        releaseResults: handles => void released.push(...handles),
    }, logs.silentLog);
    const connect = () => {
        const sent: messages.Message[] = [];
        return { sent, send: (message: messages.Message) => sent.push(message) > 0 };
    };
    return { clock, runs, released, orders, connect };
}

vitest.describe("an order whose connection was reset", () => {
    const steps: readonly {
        readonly name: string;
        readonly completesBeforeReturn: boolean;
        readonly returnsAfterMs: number;
        readonly runCount: number;
        readonly isAnswered: boolean;
        readonly released: readonly string[];
    }[] = [
        {
            name: "continues when its sender returns",
            completesBeforeReturn: false,
            returnsAfterMs: 100,
            runCount: 1,
            isAnswered: true,
            released: [],
        },
        {
            name: "is answered when it ended meanwhile",
            completesBeforeReturn: true,
            returnsAfterMs: 100,
            runCount: 1,
            isAnswered: true,
            released: [],
        },
        {
            name: "runs anew when its sender returns late",
            completesBeforeReturn: false,
            returnsAfterMs: 2_000,
            runCount: 2,
            isAnswered: false,
            released: [],
        },
        {
            name: "releases its results when nobody claims them",
            completesBeforeReturn: true,
            returnsAfterMs: 2_000,
            runCount: 2,
            isAnswered: false,
            released: ["h1"],
        },
    ];
    vitest.it.each(steps)(
        "$name",
        async ({ completesBeforeReturn, returnsAfterMs, runCount, isAnswered, released }) => {
            const scenario = createScenario();
            const first = scenario.connect();
            const second = scenario.connect();
            scenario.orders.serve(first, 1, fixtures.createOrder("attempt"));
            scenario.orders.handleLostConnection(first);
            if (completesBeforeReturn) {
                scenario.runs[0]!.complete();
                await Promise.resolve();
                await Promise.resolve();
            }
            scenario.clock.advance(returnsAfterMs);
            scenario.orders.serve(second, 7, fixtures.createOrder("attempt"));
            scenario.runs[0]!.complete();
            await new Promise(resolve => setImmediate(resolve));
            vitest.expect(scenario.runs).toHaveLength(runCount);
            vitest.expect(second.sent).toEqual(isAnswered ? [{ kind: "stages-end", order: 7, handles: ["h1"] }] : []);
            vitest.expect(scenario.released).toEqual(released);
        },
    );
});

vitest.describe("an order whose connection is reset again after its sender has returned", () => {
    vitest.it("is kept for the whole time from the last loss on", () => {
        const { clock, connect, orders, runs } = createScenario();
        const [first, second, third] = [connect(), connect(), connect()];
        orders.serve(first, 1, fixtures.createOrder("attempt"));
        orders.handleLostConnection(first);
        clock.advance(100);
        orders.serve(second, 2, fixtures.createOrder("attempt"));
        clock.advance(300);
        orders.handleLostConnection(second);
        clock.advance(300);
        orders.serve(third, 3, fixtures.createOrder("attempt"));
        vitest.expect(runs).toHaveLength(1);
        vitest.expect(runs[0]!.signal.aborted).toBe(false);
    });
});

vitest.describe("two orders of one attempt whose connections were reset", () => {
    // The sender opened a second connection before this process noticed the loss of the first one.
    vitest.it.each([
        {
            name: "continue when their sender returns",
            returnsAfterMs: 100,
            runCount: 2,
            answers: [
                { kind: "stages-end", order: 7, handles: ["h1"] },
                { kind: "stages-end", order: 8, handles: ["h1"] },
            ],
            abortedCount: 0,
        },
        {
            name: "are both ended when nobody claims them",
            returnsAfterMs: 2_000,
            runCount: 4,
            answers: [],
            abortedCount: 2,
        },
    ])("$name", async ({ returnsAfterMs, runCount, answers, abortedCount }) => {
        const { clock, connect, orders, runs } = createScenario();
        const lost = [connect(), connect()];
        lost.forEach((connection, index) => orders.serve(connection, index, fixtures.createOrder("attempt")));
        lost.forEach(connection => orders.handleLostConnection(connection));
        clock.advance(returnsAfterMs);
        const returned = connect();
        [7, 8].forEach(order => orders.serve(returned, order, fixtures.createOrder("attempt")));
        vitest.expect(runs).toHaveLength(runCount);
        vitest.expect(runs.filter(run => run.signal.aborted)).toHaveLength(abortedCount);
        runs.slice(0, 2).forEach(run => run.complete());
        await new Promise(resolve => setImmediate(resolve));
        vitest.expect(returned.sent).toEqual(answers);
    });

    vitest.it("release the results of both when nobody claims them", async () => {
        const { clock, connect, orders, released, runs } = createScenario();
        const lost = [connect(), connect()];
        lost.forEach((connection, index) => orders.serve(connection, index, fixtures.createOrder("attempt")));
        lost.forEach(connection => orders.handleLostConnection(connection));
        runs.forEach(run => run.complete());
        await new Promise(resolve => setImmediate(resolve));
        clock.advance(2_000);
        vitest.expect(released).toEqual(["h1", "h1"]);
    });
});

vitest.describe("a cancelled order", () => {
    vitest.it.each([
        { keepsResults: false, reason: "AbortError" },
        { keepsResults: true, reason: stageHosts.RESULTS_KEPT },
    ])("keeps its results: $keepsResults", ({ keepsResults, reason }) => {
        const { orders, runs, connect } = createScenario();
        const connection = connect();
        orders.serve(connection, 1, fixtures.createOrder("attempt"));
        orders.cancel(connection, 1, keepsResults);
        const { signal } = runs[0]!;
        vitest.expect(signal.aborted).toBe(true);
        vitest.expect(signal.reason instanceof Error ? signal.reason.name : signal.reason).toBe(reason);
    });
});
