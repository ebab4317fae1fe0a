import * as pino from "pino";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as stageClients from "./StageClient";
import * as fixtures from "./StageFixtures";

/** A client whose orders run on one remote host, to which the connection is lost while they run. */
function createScenario() {
    const host = { instance: "host", connection: { send: vitest.vi.fn(() => true) } };
    const disconnects = new emitters.Emitter<unknown>();
    const clock = new clocks.ManualClock();
    const client = new stageClients.StageClient({
        clock,
        log: pino.pino({ level: "silent" }),
        peers: {
            livePeers: [host],
            onFrame: () => ({ dispose: () => undefined }),
            onDisconnect: disconnects.event,
            waitForReconnect: () => clocks.sleep(clock, 100),
        },
        roles: { findHost: () => host },
        host: {},
    } as unknown as stageClients.StageClientOptions);
    const loseConnection = () => disconnects.fire(host.connection);
    return { client, clock, loseConnection, send: host.connection.send };
}

vitest.describe("an order whose host is lost", () => {
    vitest.it.each([
        { name: "is sent again", isCallerGone: false, sends: 2 },
        { name: "isn't sent again after its caller has left", isCallerGone: true, sends: 1 },
    ])("$name", async ({ isCallerGone, sends }) => {
        const { client, clock, loseConnection, send } = createScenario();
        const controller = new AbortController();
        void client.run(fixtures.createOrder("attempt"), controller.signal);
        loseConnection();
        await new Promise(resolve => setImmediate(resolve));
        if (isCallerGone) {
            controller.abort();
        }
        clock.advance(100);
        await new Promise(resolve => setImmediate(resolve));
        vitest.expect(send).toHaveBeenCalledTimes(sends);
    });
});

vitest.describe("an order whose host never reports its result", () => {
    // Guards against a request that waits without an answer until its caller leaves.
    vitest.it("fails once its time limit has passed", async () => {
        const { client, clock } = createScenario();
        const order = fixtures.createOrder("attempt");
        const running = client.run(order, new AbortController().signal);
        clock.advance(order.limitMs + 1_000);
        const settled = await Promise.race([running, new Promise(resolve => setImmediate(() => resolve("waiting")))]);
        vitest.expect(settled).toMatchObject({ kind: "failed" });
    });
});
