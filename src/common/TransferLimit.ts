/**
 * Decides how long the receiver of a transfer waits for more of it. Content of any size is read as long as it flows;
 * a sender that stops is noticed after the same time whatever the size, and one that sends too little to ever be done
 * is given up.
 */

/** When a transfer is given up. */
export interface TransferLimits {
    /** Time without a byte. */
    readonly silenceMs: number;
    /** Mean rate below which it is given up; 0 for none. */
    readonly minBytesPerSecond: number;
}

/** Limits of a body that is read as a whole; a sound sender may fall silent for about a second. */
export const BODY_LIMITS: TransferLimits = { silenceMs: 2_000, minBytesPerSecond: 16_000 };

/** The state of a transfer; times in milliseconds on one clock. */
export interface TransferState {
    readonly startedAtMs: number;
    /** When its last byte arrived, or `startedAtMs`. */
    readonly receivedAtMs: number;
    readonly receivedBytes: number;
}

/** Time in which the next byte must arrive; 0 or less if the transfer is to be given up. */
export function remainingMs(limits: TransferLimits, state: TransferState, nowMs: number): number {
    const silentAtMs = state.receivedAtMs + limits.silenceMs;
    if (limits.minBytesPerSecond === 0) {
        return silentAtMs - nowMs;
    }
    const coveredMs = state.receivedBytes / limits.minBytesPerSecond * 1_000;
    const slowAtMs = state.startedAtMs + limits.silenceMs + coveredMs;
    return Math.min(silentAtMs, slowAtMs) - nowMs;
}
