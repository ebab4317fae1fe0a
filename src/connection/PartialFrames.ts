/**
 * Bounds the bytes that a process holds of frames that haven't arrived completely, on all its connections together. At
 * the bound, the connection that holds the most is closed.
 */

/** Bytes of incomplete frames on all connections: room for several of the largest frames. */
export const MAX_PARTIAL_BYTES = 32 * 1024 * 1024;

/** A connection that may hold a part of a frame. */
export interface FrameReceiver {
    /** Closes the connection, and forgets what it holds. */
    giveUpFrame(heldBytes: number): void;
}

/** The incomplete frames of one process. */
export class PartialFrames {
    private readonly bytesByReceiver = new Map<FrameReceiver, number>();
    private totalBytes = 0;

    constructor(private readonly maxBytes: number = MAX_PARTIAL_BYTES) {}

    /** Bytes held now. */
    get heldBytes(): number {
        return this.totalBytes;
    }

    /** Sets the bytes that a connection holds; 0 once it is closed. */
    set(receiver: FrameReceiver, bytes: number): void {
        this.totalBytes += bytes - (this.bytesByReceiver.get(receiver) ?? 0);
        if (bytes === 0) {
            this.bytesByReceiver.delete(receiver);
        }
        else {
            this.bytesByReceiver.set(receiver, bytes);
        }
        if (this.totalBytes > this.maxBytes) {
            this.giveUpLargest();
        }
    }

    private giveUpLargest(): void {
        let largest: FrameReceiver | undefined;
        let mostBytes = 0;
        for (const [receiver, bytes] of this.bytesByReceiver) {
            if (bytes > mostBytes) {
                [largest, mostBytes] = [receiver, bytes];
            }
        }
        largest?.giveUpFrame(mostBytes);
    }
}
