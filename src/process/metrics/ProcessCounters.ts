/**
 * What a process counts of itself, outside the parts that serve requests; each value is read at a scrape.
 */
export interface ProcessCounters {
    /** Log lines dropped since the start because standard output was read too slowly or failed. */
    readonly droppedLogLines: () => number;
    /** Writes of the log that failed since the start. */
    readonly failedLogWrites: () => number;
    /** Errors of the operating system since the start that no part of the process handled. */
    readonly machineErrors: () => number;
}

/** The counters of a process in which nothing is counted. */
export const noCounters: ProcessCounters = {
    droppedLogLines: () => 0,
    failedLogWrites: () => 0,
    machineErrors: () => 0,
};
