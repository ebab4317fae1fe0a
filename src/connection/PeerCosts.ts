/**
 * What each peer has cost this process of late, in time of the event loop.
 */
import * as accounts from "./ReadAccount";

const MAX_PEERS = 512;
/** Peers that cost less are forgotten first. */
const NEGLIGIBLE_MS = 0.1;

/** A peer and what it costs. */
export interface PeerCost {
    readonly peer: accounts.Peer;
    /** Time that the process spent on its bytes in about the last second. */
    readonly recentMs: number;
}

/** Costs by peer, of a bounded number of peers. */
export class PeerCosts {
    private readonly costs = new Map<string, { readonly peer: accounts.Peer; readonly cost: accounts.RecentCost }>();

    /** Number of peers with a cost. */
    get size(): number {
        return this.costs.size;
    }

    /** Adds what a piece of the peer's bytes took. */
    record(peer: accounts.Peer, nowMs: number, tookMs: number): void {
        const key = `${peer.kind} ${peer.address}`;
        let entry = this.costs.get(key);
        if (entry === undefined) {
            this.makeRoom(nowMs);
            entry = { peer, cost: new accounts.RecentCost() };
            this.costs.set(key, entry);
        }
        entry.cost.add(nowMs, tookMs);
    }

    /** The peer that costs most; undefined if none has cost anything of late. */
    worst(nowMs: number): PeerCost | undefined {
        let worst: PeerCost | undefined;
        for (const { peer, cost } of this.costs.values()) {
            const recentMs = cost.at(nowMs);
            if (recentMs > (worst?.recentMs ?? NEGLIGIBLE_MS)) {
                worst = { peer, recentMs };
            }
        }
        return worst;
    }

    private makeRoom(nowMs: number): void {
        if (this.costs.size < MAX_PEERS) {
            return;
        }
        let cheapest: string | undefined;
        let cheapestMs = Infinity;
        for (const [key, { cost }] of this.costs) {
            const recentMs = cost.at(nowMs);
            if (recentMs < NEGLIGIBLE_MS) {
                this.costs.delete(key);
            }
            else if (recentMs < cheapestMs) {
                [cheapest, cheapestMs] = [key, recentMs];
            }
        }
        if (this.costs.size >= MAX_PEERS && cheapest !== undefined) {
            this.costs.delete(cheapest);
        }
    }
}
