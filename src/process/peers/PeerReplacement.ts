/**
 * Replaces connections that have gone silent, before their peers count as lost: many a connection is broken for good
 * without a reset while the peer is alive, and a new one mends that within a round trip. Roles and the work in progress
 * then stay where they are.
 */
import * as result from "true-myth/result";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as logs from "../../common/Log";
import * as peerConnections from "../../connection/PeerConnection";
import * as peerEntries from "./PeerEntry";
import * as presences from "./PeerPresence";

/** Interval of the checks; short against the time between doubt and loss. */
const CHECK_INTERVAL_MS = 100;

/** What the replacement needs from the peer connections. */
export interface PeerReplacementOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly presence: Pick<presences.PeerPresence, "isDoubtful">;
    readonly peers: () => Iterable<peerEntries.PeerEntry>;
    /** Opens another connection to a peer, and tells it that the present one is silent. */
    readonly open: (
        peer: peerEntries.PeerEntry,
    ) => Promise<result.Result<peerConnections.PeerConnection, codes.Failure>>;
    /** Uses a new connection in place of the present one; resolves when it has ended. */
    readonly use: (connection: peerConnections.PeerConnection) => Promise<void>;
}

/** Watches the connections to all peers. */
export class PeerReplacement implements clocks.Disposable {
    private readonly timer: clocks.Disposable;
    private readonly inProgress = new Set<peerEntries.PeerEntry>();
    private isDisposed = false;

    constructor(private readonly options: PeerReplacementOptions) {
        this.timer = clocks.every(options.clock, CHECK_INTERVAL_MS, () => this.check());
    }

    dispose(): void {
        this.isDisposed = true;
        this.timer.dispose();
    }

    private check(): void {
        for (const peer of this.options.peers()) {
            if (!this.inProgress.has(peer) && this.options.presence.isDoubtful(peer)) {
                this.inProgress.add(peer);
                void this.replace(peer);
            }
        }
    }

    private async replace(peer: peerEntries.PeerEntry): Promise<void> {
        const silentMs = Math.round(this.options.clock.now() - peer.lastHeardMs);
        const opened = await this.options.open(peer);
        this.inProgress.delete(peer);
        const outcome = opened.isOk ? "replaced" : opened.error.code.name;
        this.options.log.info(
            { decision: "connection-silent", peer: peer.instance, silentMs, outcome },
            "connection to a peer is silent; another one was opened",
        );
        if (opened.isErr) {
            return;
        }
        if (this.isDisposed) {
            opened.value.dispose();
            return;
        }
        await this.options.use(opened.value);
    }
}
