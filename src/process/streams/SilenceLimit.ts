/**
 * Decides how long a call waits on a silent instance before it is moved to another one. Designed for bursts of prompts
 * that take longer to read than most calls take altogether, with an instance among theirs that has truly stopped: the
 * time that is plausible follows from the prompts that the instance has to read, and from whether it still serves other
 * calls of this process. Moving loses what the instance has read, so a call that another instance could no longer serve
 * stays where it is.
 */

/** An instance with open streams that has sent nothing for this long has probably stopped. */
const QUIET_MS = 500;
/** Time after which a decision is made again, since the instance's other calls may have fallen silent. */
const RECHECK_INTERVAL_MS = 250;

/** Plausible silence: a multiple of the expected time, and at least a minimum. */
interface Tolerance {
    readonly factor: number;
    readonly minMs: number;
}

/** For an instance that sends nothing to other calls either. */
const QUIET_TOLERANCE: Tolerance = { factor: 1, minMs: 600 };
/** For an instance that has no other call that would show whether it works. */
const UNKNOWN_TOLERANCE: Tolerance = { factor: 3, minMs: 1_200 };
/** For an instance that works on other calls: the answer may be lost, but more probably it is late. */
const ACTIVE_TOLERANCE: Tolerance = { factor: 5, minMs: 2_000 };

/** Pause of a stream that has begun before it is moved; a sound instance may be silent for about a second. */
const QUIET_PAUSE_MS = 2_000;
/** The same while the instance works on other calls: it may have put this one back to make room. */
const ACTIVE_PAUSE_MS = 2_500;

/** What is known about a call that waits for an instance. */
export interface SilentCall {
    /** Time since the call was sent, or since the last event of its stream. */
    readonly waitedMs: number;
    /** Expected time from sending the call to its first event or answer. */
    readonly expectedMs: number;
    /**
     * Time since the instance last sent anything to this process; undefined when no open stream there would show it.
     */
    readonly quietMs: number | undefined;
    /** Time left to the hard deadline. */
    readonly remainingMs: number;
    /** Expected time to the first event on the best other instance; undefined when the call can't be moved. */
    readonly elsewhereMs: () => number | undefined;
}

/** Time to wait before deciding again; 0 when the call should be moved. */
export function firstEventWaitMs(call: SilentCall): number {
    const { factor, minMs } = toleranceOf(call);
    return waitWithin(Math.max(minMs, factor * call.expectedMs), call);
}

/** The same for the next event of a stream that has begun. */
export function nextEventWaitMs(call: SilentCall): number {
    return waitWithin(isQuiet(call) || call.quietMs === undefined ? QUIET_PAUSE_MS : ACTIVE_PAUSE_MS, call);
}

function waitWithin(plausibleMs: number, call: SilentCall): number {
    const plausibleLeftMs = plausibleMs - call.waitedMs;
    if (plausibleLeftMs <= 0 && canBeServedElsewhere(call)) {
        return 0;
    }
    const untilDecisionMs = plausibleLeftMs > 0 ? Math.min(plausibleLeftMs, RECHECK_INTERVAL_MS) : RECHECK_INTERVAL_MS;
    return Math.max(0, Math.min(untilDecisionMs, call.remainingMs));
}

function canBeServedElsewhere(call: SilentCall): boolean {
    return (call.elsewhereMs() ?? Infinity) < call.remainingMs;
}

function toleranceOf(call: SilentCall): Tolerance {
    if (call.quietMs === undefined) {
        return UNKNOWN_TOLERANCE;
    }
    return isQuiet(call) ? QUIET_TOLERANCE : ACTIVE_TOLERANCE;
}

function isQuiet(call: SilentCall): boolean {
    return call.quietMs !== undefined && call.quietMs > QUIET_MS;
}
