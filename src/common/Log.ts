/**
 * The structured log: pino, one JSON object a line. Routing and placement decisions are logged at level
 * info with the field `decision`.
 */
import * as pino from "pino";

/** A logger, possibly bound to an instance's name. */
export type Log = pino.Logger;

/** Makes the log of one process, written to standard output. */
export function createLog(instance: string, level: string, write?: (line: string) => void): Log {
    const options: pino.LoggerOptions = { level, base: { instance } };
    return write === undefined ? pino.pino(options) : pino.pino(options, { write });
}

/** A log that drops everything. */
export const silentLog: Log = pino.pino({ level: "silent" });
