/**
 * The lease under which an agent sends orders to an engine that ignores fencing numbers. The agent holds it
 * while its loop runs on time and the platform's list has named it recently; a new agent first waits until
 * its predecessor's lease has ended.
 *
 * Remaining window: the check and the write of the order are one turn of the event loop. A process paused
 * between them, or an order delayed in the network, can reach the engine after the lease has ended. The order
 * then takes effect if the delay exceeds the time left of the lease plus the successor's margin. The
 * platform's list lags too: a replaced agent that it still names keeps its lease for that lag and LEASE_MS.
 */
import * as clocks from "../common/Clock";

/** Longest time that a loop tick or a confirmation by the list is good for, in milliseconds. */
export const LEASE_MS = 5_000;
/** What a new agent waits beyond the lease of its predecessor, in milliseconds. */
export const LEASE_MARGIN_MS = 1_000;

/** One agent's lease on its engine. */
export class OrderLease {
    private readonly startedMs: number;
    private tickedMs: number;
    private listedMs: number | undefined;

    constructor(private readonly clock: clocks.Clock) {
        this.startedMs = clock.now();
        this.tickedMs = this.startedMs;
    }

    /** Notes that the process's loop runs; a gap above the lease voids earlier confirmations. */
    tick(): void {
        const now = this.clock.now();
        if (now - this.tickedMs > LEASE_MS) {
            this.listedMs = undefined;
        }
        this.tickedMs = now;
    }

    /** Notes that the list names this agent for its slot; `askedMs` is when the read was sent. */
    confirmListed(askedMs: number): void {
        this.listedMs = Math.max(this.listedMs ?? askedMs, askedMs);
    }

    /** Whether the list has named this agent within the lease and the loop runs on time. */
    get isCurrent(): boolean {
        const now = this.clock.now();
        return now - this.tickedMs <= LEASE_MS && this.listedMs !== undefined && now - this.listedMs <= LEASE_MS;
    }

    /** Whether an order may be sent now; ask in the same turn as the write. */
    get mayOrder(): boolean {
        return this.isCurrent && this.clock.now() - this.startedMs >= LEASE_MS + LEASE_MARGIN_MS;
    }
}
