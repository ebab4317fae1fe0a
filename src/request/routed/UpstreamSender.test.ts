import * as http from "node:http";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as logs from "../../common/Log";
import * as routing from "../../common/Routing";
import * as listeners from "../../connection/Listener";
import * as upstreamConnections from "../../connection/UpstreamConnections";
import * as pools from "../../process/instances/InstancePool";
import * as budgets from "../../process/instances/ServiceRetryBudget";
import * as histories from "./CallHistory";
import * as calls from "./RoutedCall";
import * as fixtures from "./SenderFixture";
import * as senders from "./UpstreamSender";

const NO_RETRIES: budgets.RetryBound = { windowMs: 10_000, ratio: 0, slack: 0 };
/** Two retries, after the share of the slack that may be saved. */
const TWO_RETRIES: budgets.RetryBound = { windowMs: 10_000, ratio: 0, slack: 3.5 };

/** Starts an instance that counts its requests, and a pool that knows only it. */
async function createInstance(): Promise<{
    readonly listener: listeners.Listener;
    readonly pool: pools.InstancePool;
    readonly requests: () => number;
}> {
    let requests = 0;
    const server = http.createServer((_, response) => {
        requests++;
        response.end("ok");
    });
    const listener = await listeners.listen(server, "127.0.0.1:0");
    const pool = fixtures.createPool(listener.address, 1);
    return { listener, pool, requests: () => requests };
}

function createCall(): calls.RoutedCall {
    const metadata = { attempt: "a-1", promptTokens: 0, promptParts: [], pieces: [] };
    const call = {
        metadata,
        route: { kind: "idempotent", attempts: 2 } as Partial<routing.Route>,
        service: fixtures.SERVICE,
        method: "GET",
        path: "/look/1",
        headers: [],
        hardDeadlineAtMs: clocks.systemClock.now() + 4_000,
        buffers: { addAnswer: () => true, endRead: () => undefined, holdEvent: () => true },
        progress: { mayHaveRun: false },
        signal: new AbortController().signal,
    };
    return call as unknown as calls.RoutedCall;
}

vitest.describe("a send that is cut since its instance begins to hold off", () => {
    vitest.it.each([
        { name: "a first call", earlierSends: 0, bound: NO_RETRIES, retriesLeft: 0 },
        { name: "a retry", earlierSends: 1, bound: TWO_RETRIES, retriesLeft: 2 },
    ])("costs nothing as $name", async ({ earlierSends, bound, retriesLeft }) => {
        const { listener, pool, requests } = await createInstance();
        const budget = fixtures.createBudget(bound);
        const connections = new upstreamConnections.UpstreamConnections();
        const context = fixtures.createContext({ pool, budget, connections, wire: { forwardHeaders: () => [] } });
        const history = { ...histories.createHistory(), sends: earlierSends };
        const call = createCall();
        const pending = senders.sendCall(context, call, history, {
            lastEventId: undefined,
            inputs: [],
            answerWaitMs: () => Infinity,
            signal: call.signal,
        });
        pool.holds.start(listener.address, pool.usableInstances(fixtures.SERVICE)[0], 1_000, "call");
        vitest.expect(await pending).toEqual({ kind: "not-run", isInputLost: false });
        vitest.expect(history).toMatchObject({ sends: earlierSends, possibleRuns: 0 });
        vitest.expect(call.progress.mayHaveRun).toBe(false);
        let retries = 0;
        while (budget.trySpend()) {
            retries++;
        }
        vitest.expect(retries).toBe(retriesLeft);
        vitest.expect(requests()).toBe(0);
        connections.destroy();
        listener.dispose();
    });
});

vitest.describe("a call that no instance can accept since a share is spent", () => {
    vitest.it("leaves a log line with the share, and its caller comes back when there is one", async () => {
        const { listener, pool } = await createInstance();
        const instance = pool.usableInstances(fixtures.SERVICE)[0]!;
        pool.limits.record({ instance: instance.id, startedMs: instance.startedMs, perSecond: 0.5, ageMs: 0 });
        [1, 2].forEach(() => pool.limits.countRequest(instance));
        const connections = new upstreamConnections.UpstreamConnections();
        const lines: string[] = [];
        const context = {
            ...fixtures.createContext({ pool, budget: fixtures.createBudget(NO_RETRIES), connections, wire: {} }),
            log: logs.createLog("entry-1", "info", line => lines.push(line)),
        };
        const history = histories.createHistory();
        const call = createCall();
        const outcome = await senders.sendCall(context, call, history, {
            lastEventId: undefined,
            inputs: [],
            answerWaitMs: () => Infinity,
            signal: call.signal,
        });
        vitest.expect(outcome).toEqual({ kind: "none" });
        vitest.expect(history.heldRetryAfterMs).toBeGreaterThan(3_000);
        vitest.expect(lines.map(line => JSON.parse(line) as unknown)).toMatchObject([{
            decision: "share-spent",
            attempt: "a-1",
            service: fixtures.SERVICE,
            entries: 1,
            isSettled: true,
            shares: [{ bound: "limit", instance: instance.id, share: 2, used: 2 }],
        }]);
        connections.destroy();
        listener.dispose();
    });
});
