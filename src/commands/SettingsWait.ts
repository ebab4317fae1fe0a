/**
 * Waits for the settings of a process at its start: the file may come late, or be read while it is being written.
 */
import * as clocks from "../common/Clock";
import * as checks from "../version/ConfigurationCheck";

/** Interval between attempts to read the settings. */
const READ_INTERVAL_MS = 100;
/** Interval between reports of what is wrong with them. */
const REPORT_INTERVAL_MS = 1_000;
/** Longest time that a start waits for valid settings. */
const WAIT_LIMIT_MS = 10_000;

/** The outcome of one attempt to read settings. */
export interface SettingsAttempt<T> {
    /** What a process can start with; undefined if that isn't known. */
    readonly settings: T | undefined;
    /** What is worth waiting for; empty if nothing is. */
    readonly problems: readonly checks.Problem[];
}

/** What the wait reads, where it reports problems, and what ends it. */
export interface SettingsWaitOptions<T> {
    readonly clock: clocks.Clock;
    readonly read: () => SettingsAttempt<T>;
    /** Called for the first failed attempt, then once a second. */
    readonly report: (problems: readonly checks.Problem[], waitedMs: number) => void;
    /** Ends the wait when it aborts. */
    readonly stop: AbortSignal;
}

/**
 * How a wait ended: with settings, with the problems that were left at the time limit if there were none to start with, or
 * because it was stopped.
 */
export type SettingsWaitEnd<T> =
    | { readonly kind: "valid"; readonly settings: T }
    | { readonly kind: "invalid"; readonly problems: readonly checks.Problem[] }
    | { readonly kind: "stopped" };

/**
 * Reads settings again and again until nothing is left to wait for, at once if that is so already. At the time limit, it
 * ends with what a process can start with.
 */
export async function waitForSettings<T>(options: SettingsWaitOptions<T>): Promise<SettingsWaitEnd<T>> {
    const { clock, read, report, stop } = options;
    const startedMs = clock.now();
    let reportAtMs = startedMs;
    for (;;) {
        const { settings, problems } = read();
        const nowMs = clock.now();
        const isLastAttempt = nowMs - startedMs >= WAIT_LIMIT_MS;
        if (settings !== undefined && (problems.length === 0 || isLastAttempt)) {
            return { kind: "valid", settings };
        }
        if (isLastAttempt) {
            return { kind: "invalid", problems };
        }
        if (nowMs >= reportAtMs) {
            report(problems, nowMs - startedMs);
            reportAtMs = nowMs + REPORT_INTERVAL_MS;
        }
        await clocks.sleep(clock, READ_INTERVAL_MS, stop);
        if (stop.aborted) {
            return { kind: "stopped" };
        }
    }
}
