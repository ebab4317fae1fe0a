/**
 * Waits for the settings of a process at its start: the file may come late, or be read while it is being written.
 */
import * as result from "true-myth/result";
import * as clocks from "../common/Clock";
import * as checks from "../version/ConfigurationCheck";

/** Interval between attempts to read the settings. */
const READ_INTERVAL_MS = 100;
/** Interval between reports of what is wrong with them. */
const REPORT_INTERVAL_MS = 1_000;
/** Longest time that a start waits for valid settings. */
const WAIT_LIMIT_MS = 10_000;

/** What the wait reads, where it reports problems, and what ends it. */
export interface SettingsWaitOptions<T> {
    readonly clock: clocks.Clock;
    readonly read: () => result.Result<T, readonly checks.Problem[]>;
    /** Called for the first failed attempt, then once a second. */
    readonly report: (problems: readonly checks.Problem[], waitedMs: number) => void;
    /** Ends the wait when it aborts. */
    readonly stop: AbortSignal;
}

/** How a wait ended: with settings, with the problems that were left at the time limit, or because it was stopped. */
export type SettingsWaitEnd<T> =
    | { readonly kind: "valid"; readonly settings: T }
    | { readonly kind: "invalid"; readonly problems: readonly checks.Problem[] }
    | { readonly kind: "stopped" };

/** Reads settings again and again until they are valid, at once if they already are. */
export async function waitForSettings<T>(options: SettingsWaitOptions<T>): Promise<SettingsWaitEnd<T>> {
    const { clock, read, report, stop } = options;
    const startedMs = clock.now();
    let reportAtMs = startedMs;
    for (;;) {
        const settings = read();
        if (settings.isOk) {
            return { kind: "valid", settings: settings.value };
        }
        const nowMs = clock.now();
        if (nowMs - startedMs >= WAIT_LIMIT_MS) {
            return { kind: "invalid", problems: settings.error };
        }
        if (nowMs >= reportAtMs) {
            report(settings.error, nowMs - startedMs);
            reportAtMs = nowMs + REPORT_INTERVAL_MS;
        }
        await clocks.sleep(clock, READ_INTERVAL_MS, stop);
        if (stop.aborted) {
            return { kind: "stopped" };
        }
    }
}
