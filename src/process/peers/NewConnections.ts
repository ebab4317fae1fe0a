/**
 * Finds the connections to other entries that have just been established, whose entries are to be told what was learnt
 * before.
 */
import * as peerConnections from "../../connection/PeerConnection";

/** Tells new connections from those that were seen before. */
export class NewConnections {
    private readonly seen = new WeakSet<peerConnections.PeerConnection>();

    /** The connections that weren't among those of an earlier call. */
    take(connections: readonly peerConnections.PeerConnection[]): peerConnections.PeerConnection[] {
        const added = connections.filter(connection => !this.seen.has(connection));
        added.forEach(connection => this.seen.add(connection));
        return added;
    }
}
