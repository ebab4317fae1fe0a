/**
 * The structured log, written by pino as one JSON object per line. Routing and placement decisions are logged at
 * level info with the field `decision`.
 */
import * as fs from "node:fs";
import * as pino from "pino";
import * as clocks from "./Clock";
import * as logOutputs from "./LogOutput";

/** Descriptor of the standard output. */
const STANDARD_OUTPUT = 1;

/** A logger, optionally bound to the name of an instance. */
export type Log = pino.Logger;

/** Creates a log whose lines `write` receives. */
export function createLog(instance: string, level: string, write: (line: string) => void): Log {
    return pino.pino({ level, base: { instance } }, { write });
}

/** The log of a process, and its output. */
export interface ProcessLog {
    readonly log: Log;
    readonly output: logOutputs.LogOutput;
}

/** Creates the log of a process on its standard output; whatever happens to that neither blocks nor ends the process. */
export function createProcessLog(instance: string, level: string, clock: clocks.Clock): ProcessLog {
    const output = new logOutputs.LogOutput({ clock, write: writeStandardOutput });
    return { log: createLog(instance, level, line => output.write(line)), output };
}

function writeStandardOutput(bytes: Buffer, callback: logOutputs.WriteCallback): void {
    fs.write(STANDARD_OUTPUT, bytes, (error, writtenBytes) => callback(error ?? undefined, writtenBytes));
}

/** A log that discards everything. */
export const silentLog: Log = pino.pino({ level: "silent" });
