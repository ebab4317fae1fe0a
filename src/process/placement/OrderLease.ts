/**
 * The lease under which an agent sends orders to an engine that ignores fencing tokens. The agent holds it while
 * its event loop runs on time and the platform's instance list has recently contained it. A new agent waits
 * LEASE_MS and a margin after it is first listed: by then the lease of its predecessor, no longer listed, has expired.
 *
 * Remaining race: the lease is checked and the order is written in one turn of the event loop. If the process is
 * paused between the two, or the network delays the order, the order can reach the engine after the lease has
 * expired. It then takes effect, however long the pause was. LEASE_MARGIN_MS covers the drift of two clocks during
 * a lease and the different times at which two readers see a change of the list; a larger difference extends the
 * race window by the excess.
 */
import * as clocks from "../../common/Clock";

/** Time for which an event loop tick or a confirmation by the list is valid. */
export const LEASE_MS = 5_000;
/** Time that a new agent waits beyond the lease of its predecessor. */
export const LEASE_MARGIN_MS = 1_000;

/** One agent's lease on its engine. */
export class OrderLease {
    private firstListedMs: number | undefined;
    private lastTickMs: number;
    private lastListedMs: number | undefined;

    constructor(private readonly clock: clocks.Clock) {
        this.lastTickMs = clock.now();
    }

    /** Records that the event loop runs; an interval above LEASE_MS invalidates earlier confirmations. */
    tick(): void {
        const nowMs = this.clock.now();
        if (nowMs - this.lastTickMs > LEASE_MS) {
            this.lastListedMs = undefined;
        }
        this.lastTickMs = nowMs;
    }

    /** Records that a read of the list, sent at `requestedAtMs`, contained this agent for its slot. */
    confirmListed(requestedAtMs: number): void {
        this.firstListedMs ??= this.clock.now();
        this.lastListedMs = Math.max(this.lastListedMs ?? requestedAtMs, requestedAtMs);
    }

    /** Whether the list contained this agent within the last LEASE_MS and the event loop runs on time. */
    get isCurrent(): boolean {
        const nowMs = this.clock.now();
        return nowMs - this.lastTickMs <= LEASE_MS && this.lastListedMs !== undefined
            && nowMs - this.lastListedMs <= LEASE_MS;
    }

    /** Whether an order may be sent now; to be checked in the same turn of the event loop as the write. */
    get canOrder(): boolean {
        const firstListedMs = this.firstListedMs ?? Infinity;
        return this.isCurrent && this.clock.now() - firstListedMs >= LEASE_MS + LEASE_MARGIN_MS;
    }
}
