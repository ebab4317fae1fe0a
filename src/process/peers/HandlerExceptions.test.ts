import * as pino from "pino";
import * as vitest from "vitest";
import * as freePorts from "../../../standins/FreePorts";
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as positions from "../../common/Position";
import * as pauseMonitors from "../membership/PauseMonitor";
import * as entryPeers from "./EntryPeers";

const NAMES = ["a", "b"] as const;

let disposables: emitters.DisposableStore;

vitest.beforeEach(() => {
    disposables = new emitters.DisposableStore();
});
vitest.afterEach(() => disposables.dispose());

vitest.describe("a message that an entry can't handle", () => {
    // Guards against a rejected promise that nobody handles: any other entry could end the process.
    vitest.it("costs neither the process nor the connection", async () => {
        const lines: string[] = [];
        const ports = await freePorts.findFreePorts(NAMES.length);
        const addresses = ports.map(port => `127.0.0.1:${port}`);
        const clock = clocks.systemClock;
        const peers = NAMES.map((instance, index) =>
            disposables.add(
                new entryPeers.EntryPeers({
                    clock,
                    log: pino.pino({}, { write: (line: string) => void lines.push(line) }),
                    random: Math.random,
                    pauses: disposables.add(new pauseMonitors.PauseMonitor({ clock, thresholdMs: 200 })),
                    instance,
                    failureDomain: "zone",
                    listen: addresses[index]!,
                    maxConnections: 10,
                    address: addresses[index]!,
                    seeds: () => addresses,
                    incarnation: 1,
                    cores: 1,
                    position: () => positions.START,
                    isDraining: () => false,
                    hosting: () => undefined,
                    isPresenceUrgent: () => false,
                    knowsAll: () => false,
                }),
            )
        );
        const [first, second] = peers as [entryPeers.EntryPeers, entryPeers.EntryPeers];
        let handled = 0;
        second.onFrame(() => {
            handled++;
            throw new Error("test");
        });
        await Promise.all(peers.map(entry => entry.start()));
        await vitest.vi.waitUntil(() => peers.every(entry => entry.livePeers.length === 1), { timeout: 30_000 });
        for (const order of [1, 2]) {
            first.send(first.livePeers[0]!, { kind: "stages-cancel", order, keepsResults: false });
        }
        await vitest.vi.waitUntil(() => handled === 2, { timeout: 30_000 });
        vitest.expect(lines.filter(line => line.includes("\"decision\":\"exception\""))).toHaveLength(2);
    });
});
