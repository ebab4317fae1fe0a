/**
 * What processing the bytes of a peer has cost of late.
 */
import * as paces from "./ReadPace";

/** Time in which a cost decays to 1/e, so that a steady cost is shown as milliseconds a second. */
const DECAY_MS = 1_000;
/** Smaller costs are accounted for together. */
const MIN_COST_MS = 1;

/** What kind of process the other side is. */
export type PeerKind = "instance" | "store" | "caller" | "admin" | "entry";

/** The other side of connections. */
export interface Peer {
    readonly kind: PeerKind;
    /** IP address, with the port if this process connects to it. */
    readonly address: string;
}

/** A sum whose parts lose weight with time. */
export class RecentCost {
    private sumMs = 0;
    private updatedMs = 0;

    /** Adds a cost. */
    add(nowMs: number, costMs: number): void {
        this.sumMs = this.at(nowMs) + costMs;
        this.updatedMs = nowMs;
    }

    /** The cost of about the last second. */
    at(nowMs: number): number {
        return this.sumMs * Math.exp((this.updatedMs - nowMs) / DECAY_MS);
    }
}

/** The costs by which the reads of a connection, or of all connections to a peer, are paced. */
export class ReadAccount {
    private readonly cost = new RecentCost();
    /** Costs that are accounted for together with the next ones. */
    private unaccountedMs = 0;
    /** Size limit of the next piece. */
    limitBytes = paces.FIRST_PIECE_BYTES;

    constructor(readonly peer: Peer) {}

    /** Records that a piece took `tookMs` until `nowMs`; returns the cost to account for now, with that of earlier pieces. */
    record(nowMs: number, bytes: number, tookMs: number): number {
        this.limitBytes = paces.nextLimitBytes(this.limitBytes, bytes, tookMs);
        this.unaccountedMs += tookMs;
        if (this.unaccountedMs < MIN_COST_MS) {
            return 0;
        }
        const costMs = this.unaccountedMs;
        this.unaccountedMs = 0;
        this.cost.add(nowMs, costMs);
        return costMs;
    }

    /** The cost of about the last second. */
    recentMs(nowMs: number): number {
        return this.cost.at(nowMs);
    }
}
