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

/** Writes bytes; resolves to false if further ones couldn't be written within `limitMs`, since the reader is too slow. */
export async function writeWithin(
    clock: clocks.Clock,
    sink: EventSink,
    bytes: Buffer,
    limitMs: number,
): Promise<boolean> {
    const room = sink.write(bytes);
    if (room === undefined) {
        return true;
    }
    let timer: clocks.Disposable | undefined;
    const limit = new Promise<false>(resolve => timer = clock.schedule(limitMs, () => resolve(false)));
    const hasRoom = await Promise.race([room.then(() => true), limit]);
    timer?.dispose();
    return hasRoom;
}
