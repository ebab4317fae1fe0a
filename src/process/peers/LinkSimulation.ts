/**
 * Fixture: the link of one process in virtual time. Its rate is shared equally among the connections on which something
 * is under way; on one connection, everything arrives in the order in which it was sent.
 */
import * as clocks from "../../common/Clock";

const STEP_MS = 10;

interface Transfer {
    remainingBytes: number;
    readonly deliver: () => void;
}

/** The incoming direction of a process's link. */
export class SimulatedLink implements clocks.Disposable {
    private readonly queues = new Map<string, Transfer[]>();
    private readonly timer: clocks.Disposable;
    /** Number of bytes that have arrived. */
    receivedBytes = 0;

    constructor(clock: clocks.Clock, private readonly bytesPerMs: number) {
        this.timer = clocks.every(clock, STEP_MS, () => this.step());
    }

    /** Number of bytes that were sent and haven't arrived. */
    get queuedBytes(): number {
        return [...this.queues.values()].flat().reduce((sum, transfer) => sum + transfer.remainingBytes, 0);
    }

    /** Sends bytes on a connection; `deliver` is called when all have arrived. */
    send(connection: string, bytes: number, deliver: () => void): void {
        const queue = this.queues.get(connection) ?? [];
        this.queues.set(connection, queue);
        queue.push({ remainingBytes: bytes, deliver });
    }

    dispose(): void {
        this.timer.dispose();
    }

    private step(): void {
        let budget = this.bytesPerMs * STEP_MS;
        while (budget > 0 && this.queues.size > 0) {
            const share = budget / this.queues.size;
            for (const [connection, queue] of [...this.queues]) {
                budget -= this.receive(connection, queue, share);
            }
        }
    }

    /** Lets up to `share` bytes arrive on a connection; returns how many did. */
    private receive(connection: string, queue: Transfer[], share: number): number {
        let left = share;
        while (left > 0 && queue.length > 0) {
            const transfer = queue[0]!;
            const bytes = Math.min(left, transfer.remainingBytes);
            transfer.remainingBytes -= bytes;
            left -= bytes;
            if (transfer.remainingBytes === 0) {
                queue.shift();
                transfer.deliver();
            }
        }
        if (queue.length === 0) {
            this.queues.delete(connection);
        }
        this.receivedBytes += share - left;
        return share - left;
    }
}
