import * as vitest from "vitest";
import * as peerCosts from "./PeerCosts";
import * as accounts from "./ReadAccount";

const instance = (address: string): accounts.Peer => ({ kind: "instance", address });

vitest.describe("the costs by peer", () => {
    vitest.it.each([
        { name: "none without a cost", records: [], atMs: 0, worst: undefined },
        { name: "the highest sum", records: [["a", 0, 5], ["b", 0, 4], ["b", 0, 3]], atMs: 0, worst: "b" },
        { name: "the later one of equal costs", records: [["a", 0, 5], ["b", 900, 5]], atMs: 1_000, worst: "b" },
        { name: "none long after the last cost", records: [["a", 0, 5]], atMs: 10_000, worst: undefined },
    ])("name the worst peer: $name", ({ records, atMs, worst }) => {
        const costs = new peerCosts.PeerCosts();
        for (const [address, nowMs, tookMs] of records as [string, number, number][]) {
            costs.record(instance(address), nowMs, tookMs);
        }
        vitest.expect(costs.worst(atMs)?.peer.address).toBe(worst);
    });

    vitest.it("show a steady cost in milliseconds a second", () => {
        const costs = new peerCosts.PeerCosts();
        for (let nowMs = 0; nowMs <= 10_000; nowMs += 10) {
            costs.record(instance("a"), nowMs, 3);
        }
        vitest.expect(costs.worst(10_000)?.recentMs).toBeCloseTo(300, -1);
    });

    vitest.it.each([
        { name: "at the same moment", intervalMs: 0 },
        { name: "one after the other", intervalMs: 50 },
    ])("are kept of a bounded number of peers, with the worst, when they come $name", ({ intervalMs }) => {
        const costs = new peerCosts.PeerCosts();
        for (let peer = 0; peer < 5_000; peer++) {
            costs.record(instance("worst"), peer * intervalMs, 20);
            costs.record(instance(`peer-${peer}`), peer * intervalMs, 1);
        }
        vitest.expect(costs.size).toBeLessThanOrEqual(512);
        vitest.expect(costs.worst(5_000 * intervalMs)?.peer.address).toBe("worst");
    });
});
