/**
 * Writes log lines in the background, so that a descriptor that is full, slow, closed or failing neither blocks nor ends
 * the process.
 */
import * as clocks from "./Clock";

/** Bytes of lines kept for a slow or failing descriptor; further lines are dropped. */
const MAX_BACKLOG_BYTES = 1024 * 1024;
/** Lines are collected up to this size, or for the interval, since each write costs as much as many lines. */
const MIN_WRITE_BYTES = 8 * 1024;
const WRITE_INTERVAL_MS = 250;
const DRAIN_POLL_INTERVAL_MS = 10;

/** Called with the machine's error, or with the number of bytes written. */
export type WriteCallback = (error: Error | undefined, writtenBytes: number) => void;

/** Dependencies of a log's output. */
export interface LogOutputOptions {
    readonly clock: clocks.Clock;
    /** Begins to write bytes. */
    readonly write: (bytes: Buffer, callback: WriteCallback) => void;
}

/** The output of one log. One write is under way at a time; a failed one is repeated after the interval. */
export class LogOutput implements clocks.Disposable {
    /** Lines that haven't been handed to a write. */
    private lines: string[] = [];
    private lineBytes = 0;
    /** What the last write left, or the bytes that it is writing. */
    private pending: Buffer = Buffer.alloc(0);
    private isWriting = false;
    private hasFailed = false;
    private droppedCount = 0;
    private failedCount = 0;
    private readonly timer: clocks.Disposable;

    constructor(private readonly options: LogOutputOptions) {
        this.timer = clocks.every(options.clock, WRITE_INTERVAL_MS, () => this.writePending());
    }

    /** Number of lines dropped because the backlog was full. */
    get droppedLines(): number {
        return this.droppedCount;
    }

    /** Number of writes that failed; their bytes stay in the backlog. */
    get failedWrites(): number {
        return this.failedCount;
    }

    /** Adds a line, which ends with a line feed. */
    write(line: string): void {
        const bytes = Buffer.byteLength(line);
        if (this.pending.length + this.lineBytes + bytes > MAX_BACKLOG_BYTES) {
            this.droppedCount++;
            return;
        }
        this.lines.push(line);
        this.lineBytes += bytes;
        if (this.lineBytes >= MIN_WRITE_BYTES && !this.hasFailed) {
            this.writePending();
        }
    }

    /** Writes all lines, for at most `limitMs`; resolves to whether no write is under way any more. */
    async drain(limitMs: number): Promise<boolean> {
        const { clock } = this.options;
        const endMs = clock.now() + limitMs;
        this.writePending();
        while (this.hasUnwritten && clock.now() < endMs) {
            await clocks.sleep(clock, DRAIN_POLL_INTERVAL_MS);
            this.writePending();
        }
        return !this.isWriting;
    }

    dispose(): void {
        this.timer.dispose();
    }

    private get hasUnwritten(): boolean {
        return this.pending.length > 0 || this.lines.length > 0;
    }

    private writePending(): void {
        if (this.isWriting) {
            return;
        }
        if (this.pending.length === 0) {
            this.pending = Buffer.from(this.lines.join(""));
            this.lines = [];
            this.lineBytes = 0;
        }
        if (this.pending.length > 0) {
            this.isWriting = true;
            this.options.write(this.pending, (error, writtenBytes) => this.finishWrite(error, writtenBytes));
        }
    }

    private finishWrite(error: Error | undefined, writtenBytes: number): void {
        this.isWriting = false;
        this.hasFailed = error !== undefined;
        if (this.hasFailed) {
            this.failedCount++;
            return;
        }
        this.pending = this.pending.subarray(writtenBytes);
        if (this.pending.length > 0 || this.lineBytes >= MIN_WRITE_BYTES) {
            this.writePending();
        }
    }
}
