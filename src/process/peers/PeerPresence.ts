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
        return (peer.connection !== undefined || this.clock.now() - peer.lostAtMs < RECONNECT_GRACE_MS)
            && this.silentMs(peer) <= paces.timeoutMs(peer.presenceIntervalMs);
    }

    /** Whether the connection to a peer may be broken, since it has been silent for longer than it should be. */
    isDoubtful(peer: peerEntries.PeerEntry): boolean {
        const { connection, presenceIntervalMs } = peer;
        // A large frame may take longer than that, and its bytes are a sign of life.
        const silentMs = connection === undefined ? 0 : Math.min(connection.silentMs, this.silentMs(peer));
        return silentMs > paces.doubtMs(presenceIntervalMs);
    }

    /** Time since the last frame of a peer, without that in which this process read none. */
    private silentMs(peer: peerEntries.PeerEntry): number {
        return this.clock.now() - peer.lastHeardMs - this.pauses.recentPauseMs(PAUSE_WINDOW_MS);
    }
}
