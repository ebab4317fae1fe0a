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
/** Time after a late turn in which these messages are read. */
const PAUSE_WINDOW_MS = 100;

/** The presence of all peers of one process. */
export class PeerPresence {
    constructor(private readonly clock: clocks.Clock, private readonly pauses: pauseMonitors.PauseMonitor) {}

    /** Whether a peer is connected, or was until just now, and has sent a frame within its presence time-out. */
    isPresent(peer: peerEntries.PeerEntry): boolean {
        const nowMs = this.clock.now();
        const unreadMs = this.pauses.recentPauseMs(PAUSE_WINDOW_MS);
        return (peer.connection !== undefined || nowMs - peer.lostAtMs < RECONNECT_GRACE_MS)
            && nowMs - peer.lastHeardMs <= paces.timeoutMs(peer.presenceIntervalMs) + unreadMs;
    }
}
