/**
 * The structured log, written by pino as one JSON object per line. Routing and placement decisions are logged at
 * level info with the field `decision`.
 */
import * as pino from "pino";

/** Bytes of log lines buffered for a slow reader; further lines are dropped. */
const MAX_BACKLOG_BYTES = 1024 * 1024;

/** Lines are collected up to this size, or for the interval, since each write costs as much as many lines. */
const MIN_WRITE_BYTES = 8 * 1024;
const FLUSH_INTERVAL_MS = 250;

/** A logger, optionally bound to the name of an instance. */
export type Log = pino.Logger;

/** Creates the log of one process; `write` replaces standard output. */
export function createLog(instance: string, level: string, write?: (line: string) => void): Log {
    const options: pino.LoggerOptions = { level, base: { instance } };
    return write === undefined ? pino.pino(options) : pino.pino(options, { write });
}

/** A log that drops lines rather than block its process. */
export interface BoundedLog {
    readonly log: Log;
    /** Number of lines dropped since the start because standard output was read too slowly. */
    dropped(): number;
    /** Writes the buffered lines synchronously. */
    flush(): void;
}

/** Creates a log on standard output with a bounded buffer. */
export function createBoundedLog(instance: string, level: string): BoundedLog {
    const destination = pino.destination({
        dest: 1,
        sync: false,
        minLength: MIN_WRITE_BYTES,
        maxLength: MAX_BACKLOG_BYTES,
        periodicFlush: FLUSH_INTERVAL_MS,
    });
    let dropped = 0;
    destination.on("drop", () => dropped++);
    return {
        log: pino.pino({ level, base: { instance } }, destination),
        dropped: () => dropped,
        flush: () => {
            try {
                destination.flushSync();
            }
            catch {
                // Standard output isn't open yet or is already closed, so the error can't be reported either.
            }
        },
    };
}

/** A log that discards everything. */
export const silentLog: Log = pino.pino({ level: "silent" });
