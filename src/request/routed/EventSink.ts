/**
 * Where a stream is written to.
 */
import * as clocks from "../../common/Clock";

/** Destination of the events of a stream. */
export interface EventSink {
    /** Whether the headers have been written. */
    readonly hasBegun: boolean;
    begin(status: number, headers: readonly string[]): void;
    /** Resolves when further bytes can be written without unbounded buffering; undefined if they can be at once. */
    write(bytes: Buffer): Promise<void> | undefined;
    end(): void;
    /** Aborts the answer so that the caller sees it as incomplete. */
    abort(): void;
}

/** Waits until a reader has made room for further bytes; resolves to false if that takes longer than `limitMs`. */
export async function waitForRoom(clock: clocks.Clock, room: Promise<void>, limitMs: number): Promise<boolean> {
    let timer: clocks.Disposable | undefined;
    const limit = new Promise<false>(resolve => timer = clock.schedule(limitMs, () => resolve(false)));
    const hasRoom = await Promise.race([room.then(() => true), limit]);
    timer?.dispose();
    return hasRoom;
}
