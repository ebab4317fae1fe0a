import * as vitest from "vitest";
import * as freePorts from "../../../standins/FreePorts";
import * as relays from "../../../standins/TcpRelay";
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as positions from "../../common/Position";
import * as pauseMonitors from "../membership/PauseMonitor";
import * as entryPeers from "./EntryPeers";

/** Time for which the entries are watched after their connection has gone silent; longer than a loss takes. */
const WATCH_MS = 1_800;
const SAMPLE_MS = 10;
const NAMES = ["a", "b"] as const;

let disposables: emitters.DisposableStore;

vitest.beforeEach(() => {
    disposables = new emitters.DisposableStore();
});
vitest.afterEach(() => disposables.dispose());

interface Link {
    readonly peers: readonly entryPeers.EntryPeers[];
    readonly relays: readonly relays.TcpRelay[];
}

/** Two entries that reach each other only through relays. */
async function connectEntries(): Promise<Link> {
    const ports = await freePorts.findFreePorts(2);
    const relayed = await Promise.all(ports.map(port => relays.TcpRelay.listen(port)));
    const clock = clocks.systemClock;
    const peers = NAMES.map((instance, index) =>
        new entryPeers.EntryPeers({
            clock,
            log: logs.silentLog,
            random: Math.random,
            pauses: disposables.add(new pauseMonitors.PauseMonitor({ clock, thresholdMs: 200 })),
            instance,
            failureDomain: "zone",
            listen: `127.0.0.1:${ports[index]}`,
            maxConnections: 10,
            address: relayed[index]!.address,
            seeds: () => relayed.map(relay => relay.address),
            incarnation: 1,
            cores: 1,
            position: () => positions.START,
            isDraining: () => false,
            hosting: () => undefined,
            isPresenceUrgent: () => false,
            knowsAll: () => false,
        })
    );
    relayed.forEach(relay => disposables.add(relay));
    peers.forEach(entry => disposables.add(entry));
    await Promise.all(peers.map(entry => entry.start()));
    await vitest.vi.waitUntil(() => peers.every(entry => entry.livePeers.length === 1), { timeout: 5_000 });
    return { peers, relays: relayed };
}

vitest.describe("entries whose connection goes silent for good", { timeout: 20_000 }, () => {
    vitest.it.each<{ readonly directions: relays.SilentDirections; readonly times: number }>([
        { directions: "both", times: 1 },
        { directions: "requests", times: 1 },
        { directions: "answers", times: 1 },
        { directions: "both", times: 3 },
    ])("don't lose each other ($directions, $times times)", async ({ directions, times }) => {
        const { peers, relays: relayed } = await connectEntries();
        await clocks.sleep(clocks.systemClock, 500);
        for (let time = 0; time < times; time++) {
            relayed.forEach(relay => relay.silenceOpen(directions));
            const endMs = clocks.systemClock.now() + WATCH_MS;
            while (clocks.systemClock.now() < endMs) {
                vitest.expect(peers.map(entry => entry.presentPeers.length)).toEqual([1, 1]);
                await clocks.sleep(clocks.systemClock, SAMPLE_MS);
            }
        }
    });

    vitest.it("keep a connection that isn't silent", async () => {
        const { peers } = await connectEntries();
        await clocks.sleep(clocks.systemClock, 500);
        const connections = peers.map(entry => entry.knownPeers[0]!.connection);
        await clocks.sleep(clocks.systemClock, 3_000);
        vitest.expect(peers.map(entry => entry.knownPeers[0]!.connection)).toEqual(connections);
    });
});
