import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as messages from "../../common/Messages";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as peerConnections from "../../connection/PeerConnection";
import * as entryPeers from "../peers/EntryPeers";
import * as peerEntries from "../peers/PeerEntry";
import * as leavingExchanges from "./LeavingExchange";
import * as leavingInstances from "./LeavingInstances";

const instance: routing.RoutedInstance = {
    id: "i-1",
    startedMs: 7,
    service: "desk",
    softwareVersion: "v1",
    address: "10.0.0.9:80",
    failureDomain: "a",
    state: "ready",
    slots: 8,
    coldLeftMs: 0,
};
const answer: routingPorts.UpstreamAnswerMetadata = {
    effect: "ran",
    attempt: "a",
    isInputLost: false,
    isSigned: true,
    load: undefined,
    isLeaving: true,
    instance: undefined,
    holdMs: undefined,
    limitPerSecond: undefined,
};

/** An entry and what it sends to its peers. */
class EntryScenario {
    readonly leaving: leavingInstances.LeavingInstances;
    readonly exchange: leavingExchanges.LeavingExchange;
    readonly peers: peerEntries.PeerEntry[] = [];
    readonly sent: { readonly to: string; readonly message: messages.Message }[] = [];
    readonly lines: unknown[] = [];
    private readonly frames = new emitters.Emitter<entryPeers.PeerFrame>();

    constructor(readonly clock: clocks.ManualClock) {
        this.leaving = new leavingInstances.LeavingInstances(clock);
        const log = { ...logs.silentLog, info: (fields: unknown) => void this.lines.push(fields) };
        this.exchange = new leavingExchanges.LeavingExchange({
            clock,
            log: log as logs.Log,
            random: () => 0,
            peers: { knownPeers: this.peers, onFrame: this.frames.event },
            leaving: this.leaving,
        });
    }

    connect(name: string): peerEntries.PeerEntry {
        const peer = this.peers.find(other => other.instance === name)
            ?? peerEntries.createPeerEntry(name, "10.0.0.1:1", "a", this.clock.now());
        const send = (message: messages.Message): boolean => this.sent.push({ to: name, message }) > 0;
        peer.connection = { send } as unknown as peerConnections.PeerConnection;
        if (!this.peers.includes(peer)) {
            this.peers.push(peer);
        }
        return peer;
    }

    receive(message: messages.Message): void {
        const peer = this.peers[0]!;
        this.frames.fire({ peer, connection: peer.connection!, message });
    }
}

vitest.describe("an entry", () => {
    vitest.it("tells all connected entries once when an instance tells it", () => {
        const entry = new EntryScenario(new clocks.ManualClock());
        ["b", "c"].forEach(name => entry.connect(name));
        entry.exchange.observe(instance, answer, "call");
        entry.exchange.observe(instance, answer, "stage-call");
        entry.exchange.observe(instance, answer, "release");
        const message = { kind: "instances-leaving", signs: [{ instance: "i-1", startedMs: 7, ageMs: 0 }] };
        vitest.expect(entry.sent).toEqual([{ to: "b", message }, { to: "c", message }]);
        vitest.expect(entry.lines).toMatchObject([{ decision: "instance-leaving", instance: "i-1", source: "call" }]);
    });

    vitest.it("says nothing of an answer without the sign", () => {
        const entry = new EntryScenario(new clocks.ManualClock());
        entry.connect("b");
        entry.exchange.observe(instance, { ...answer, isLeaving: false }, "call");
        entry.exchange.observe(instance, { ...answer, effect: "other-instance", instance: "i-2" }, "call");
        entry.clock.advance(1_000);
        vitest.expect(entry.sent).toEqual([]);
        vitest.expect(entry.lines).toEqual([]);
    });

    vitest.it("takes a peer's sign with its age, and doesn't send it to all", () => {
        const entry = new EntryScenario(new clocks.ManualClock());
        ["b", "c"].forEach(name => entry.connect(name));
        entry.receive({ kind: "instances-leaving", signs: [{ instance: "i-1", startedMs: 7, ageMs: 1_200 }] });
        vitest.expect(entry.sent).toEqual([]);
        vitest.expect(entry.leaving.isLeaving(instance)).toBe(true);
        vitest.expect(entry.leaving.isLastResort(instance)).toBe(false);
        vitest.expect(entry.lines).toMatchObject([{ source: "peer", peer: "b", ageMs: 1_200 }]);
    });

    vitest.it.each([
        { name: "connects for the first time", isKnown: false },
        { name: "connects again", isKnown: true },
    ])("tells an entry that $name", ({ isKnown }) => {
        const entry = new EntryScenario(new clocks.ManualClock());
        if (isKnown) {
            entry.connect("b").connection = undefined;
        }
        entry.exchange.observe(instance, answer, "call");
        entry.clock.advance(60_000);
        vitest.expect(entry.sent).toEqual([]);
        entry.connect("b");
        entry.clock.advance(1_000);
        const signs = [{ instance: "i-1", startedMs: 7, ageMs: 60_500 }];
        vitest.expect(entry.sent).toEqual([{ to: "b", message: { kind: "instances-leaving", signs } }]);
    });

    vitest.it(
        "passes a peer's sign on to a few others for a while, since they may not be connected to that peer",
        () => {
            const entry = new EntryScenario(new clocks.ManualClock());
            ["b", "c"].forEach(name => entry.connect(name));
            entry.clock.advance(500);
            entry.receive({ kind: "instances-leaving", signs: [{ instance: "i-1", startedMs: 7, ageMs: 0 }] });
            entry.clock.advance(60_000);
            vitest.expect(entry.sent.length).toBeGreaterThan(10);
            vitest.expect(entry.sent.length).toBeLessThan(30);
        },
    );
});
