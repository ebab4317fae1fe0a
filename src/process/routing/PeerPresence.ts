/**
 * Decides whether a peer counts as present. A process that was late has not read what its peers sent meanwhile, and
 * doesn't take them for lost before it has.
 */
import * as clocks from "../../common/Clock";
import * as pauseMonitors from "../membership/PauseMonitor";
import * as peerEntries from "./PeerEntry";
import * as paces from "./PresencePace";

/** An entry whose connection ended counts as present for this long. */
export const RECONNECT_GRACE_MS = 200;
/** A turn of the event loop that was late by more than this may have left messages unread for as long. */
const PAUSE_THRESHOLD_MS = 200;
/** Time after a late turn in which these messages are read. */
const PAUSE_WINDOW_MS = 100;

/** The presence of all peers of one process. */
export class PeerPresence implements clocks.Disposable {
    private readonly pauses: pauseMonitors.PauseMonitor;

    constructor(private readonly clock: clocks.Clock) {
        this.pauses = new pauseMonitors.PauseMonitor({ clock, thresholdMs: PAUSE_THRESHOLD_MS });
    }

    /** Whether a peer is connected, or was until just now, and has sent a frame within its presence time-out. */
    isPresent(peer: peerEntries.PeerEntry): boolean {
        const nowMs = this.clock.now();
        const unreadMs = this.pauses.recentPauseMs(PAUSE_WINDOW_MS);
        return (peer.connection !== undefined || nowMs - peer.lostAtMs < RECONNECT_GRACE_MS)
            && nowMs - peer.lastHeardMs <= paces.timeoutMs(peer.presenceIntervalMs) + unreadMs;
    }

    dispose(): void {
        this.pauses.dispose();
    }
}
