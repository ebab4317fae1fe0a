/**
 * Where a stream is written to.
 */

/** Destination of the events of a stream. */
export interface EventSink {
    /** Whether the headers have been written. */
    readonly hasBegun: boolean;
    /** Whether the answer is close-delimited: its body ends with the connection. */
    readonly isCloseDelimited: boolean;
    begin(status: number, headers: readonly string[], isFramed: boolean): void;
    /** Resolves when further bytes can be written without unbounded buffering. */
    write(bytes: Buffer): Promise<void>;
    end(): void;
    /** Aborts the answer so that the caller sees it as incomplete. */
    abort(): void;
}
