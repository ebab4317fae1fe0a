import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as peerConnections from "../../connection/PeerConnection";
import * as pauseMonitors from "../membership/PauseMonitor";
import * as peerEntries from "./PeerEntry";
import * as presences from "./PeerPresence";

vitest.describe("a peer that was last heard before a pause of this process", () => {
    // Guards against peers, stage hosts among them, that a process takes for lost after a pause of its own.
    vitest.it.each([
        { name: "is present right after it", pauseMs: 1_500, afterMs: 0, isPresent: true },
        { name: "is present while what it sent is read", pauseMs: 1_500, afterMs: 90, isPresent: true },
        { name: "is absent when it has sent nothing", pauseMs: 1_500, afterMs: 200, isPresent: false },
        { name: "is absent after its time-out without a pause", pauseMs: 0, afterMs: 1_200, isPresent: false },
        { name: "is present before its time-out", pauseMs: 0, afterMs: 900, isPresent: true },
    ])("$name", ({ pauseMs, afterMs, isPresent }) => {
        const clock = new clocks.ManualClock();
        const pauses = new pauseMonitors.PauseMonitor({ clock, thresholdMs: 200 });
        const presence = new presences.PeerPresence(clock, pauses);
        const peer = peerEntries.createPeerEntry("other", "127.0.0.1:1", "zone-a", clock.now());
        peer.connection = {} as peerConnections.PeerConnection;
        clock.skip(pauseMs);
        clock.advance(afterMs);
        vitest.expect(presence.isPresent(peer)).toBe(isPresent);
        pauses.dispose();
    });
});

vitest.describe("a connection to a peer with presence messages each 300 ms", () => {
    vitest.it.each([
        { name: "isn't doubted while they come", silentMs: 400, bytesMs: 400, isDoubtful: false },
        { name: "isn't doubted after one that is late", silentMs: 690, bytesMs: 690, isDoubtful: false },
        { name: "is doubted sooner than the peer counts as lost", silentMs: 720, bytesMs: 720, isDoubtful: true },
        {
            name: "isn't doubted while the bytes of a large frame arrive",
            silentMs: 720,
            bytesMs: 10,
            isDoubtful: false,
        },
    ])("$name", ({ silentMs, bytesMs, isDoubtful }) => {
        const clock = new clocks.ManualClock();
        const pauses = new pauseMonitors.PauseMonitor({ clock, thresholdMs: 200 });
        const presence = new presences.PeerPresence(clock, pauses);
        const peer = peerEntries.createPeerEntry("other", "127.0.0.1:1", "zone-a", clock.now());
        peer.connection = { silentMs: bytesMs } as peerConnections.PeerConnection;
        clock.advance(silentMs);
        vitest.expect(presence.isDoubtful(peer)).toBe(isDoubtful);
        vitest.expect(presence.isPresent(peer)).toBe(true);
        pauses.dispose();
    });
});
