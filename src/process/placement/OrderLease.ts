/**
 * The lease under which an agent sends orders to an engine that ignores fencing numbers. The agent holds it
 * while its loop runs on time and the platform's list has named it recently. A new agent waits LEASE_MS and
 * a margin from its first confirmation by the list: from then on the list no longer confirms its predecessor.
 *
 * Remaining window: the check and the write of the order are one turn of the event loop. A process paused
 * between them, or an order delayed in the network, can reach the engine after the lease has ended. The order
 * then takes effect, whatever the length of the pause. LEASE_MARGIN_MS covers the drift of two clocks over a
 * lease and two readers of the list seeing a change at different moments; a difference above it opens the
 * window by the excess.
 */
import * as clocks from "../../common/Clock";

/** Longest time that a loop tick or a confirmation by the list is good for, in milliseconds. */
export const LEASE_MS = 5_000;
/** What a new agent waits beyond the lease of its predecessor, in milliseconds. */
export const LEASE_MARGIN_MS = 1_000;

/** One agent's lease on its engine. */
export class OrderLease {
    private firstListedMs: number | undefined;
    private lastTickMs: number;
    private lastListedMs: number | undefined;

    constructor(private readonly clock: clocks.Clock) {
        this.lastTickMs = clock.now();
    }

    /** Notes that the process's loop runs; a gap above the lease voids earlier confirmations. */
    tick(): void {
        const nowMs = this.clock.now();
        if (nowMs - this.lastTickMs > LEASE_MS) {
            this.lastListedMs = undefined;
        }
        this.lastTickMs = nowMs;
    }

    /** Notes that the list names this agent for its slot; `askedMs` is when the read was sent. */
    confirmListed(requestedAtMs: number): void {
        this.firstListedMs ??= this.clock.now();
        this.lastListedMs = Math.max(this.lastListedMs ?? requestedAtMs, requestedAtMs);
    }

    /** Whether the list has named this agent within the lease and the loop runs on time. */
    get isCurrent(): boolean {
        const nowMs = this.clock.now();
        return nowMs - this.lastTickMs <= LEASE_MS && this.lastListedMs !== undefined
            && nowMs - this.lastListedMs <= LEASE_MS;
    }

    /** Whether an order may be sent now; ask in the same turn as the write. */
    get canOrder(): boolean {
        const firstListedMs = this.firstListedMs ?? Infinity;
        return this.isCurrent && this.clock.now() - firstListedMs >= LEASE_MS + LEASE_MARGIN_MS;
    }
}
