/**
 * Intervals of the presence messages between entries, and the time-outs that follow from them. Designed for hundreds of
 * entries that are all connected to each other: the number of messages that an entry sends and receives in a second
 * doesn't grow with the number of entries. Stage hosts and their successors, whose loss has to be noticed soon, keep to
 * the shortest interval.
 */

import * as entryMessages from "../../common/EntryMessages";

const MAX_INTERVAL_MS = 4_000;
/** Interval for each peer: limits an entry to 40 presence messages in a second. */
const INTERVAL_PER_PEER_MS = 25;
/** Silence after which an entry gets no work, in intervals of its presence messages. Its connection may recover. */
const TIMEOUT_INTERVALS = 3;
const TIMEOUT_MARGIN_MS = 100;
/** Silence after which another connection is opened beside one, in the same intervals. */
const DOUBT_INTERVALS = 2;
/** Silence after which a connection is replaced, in intervals; a broken connection isn't always reset. */
const CONNECTION_SILENCE_INTERVALS = 3;
const MIN_CONNECTION_SILENCE_MS = 1_500;

/** Interval of the presence messages of an entry with `peerCount` peers that isn't a stage host. */
export function ordinaryIntervalMs(peerCount: number): number {
    return Math.min(
        MAX_INTERVAL_MS,
        Math.max(entryMessages.MIN_PRESENCE_INTERVAL_MS, peerCount * INTERVAL_PER_PEER_MS),
    );
}

/** Silence after which an entry that sends presence messages at this interval counts as lost. */
export function timeoutMs(intervalMs: number): number {
    return TIMEOUT_INTERVALS * intervalMs + TIMEOUT_MARGIN_MS;
}

/** Silence after which the connection to such an entry may be broken, sooner than the entry counts as lost. */
export function doubtMs(intervalMs: number): number {
    return DOUBT_INTERVALS * intervalMs + TIMEOUT_MARGIN_MS;
}

/** Silence after which a connection is replaced. */
export function connectionSilenceMs(intervalMs: number): number {
    return Math.max(MIN_CONNECTION_SILENCE_MS, CONNECTION_SILENCE_INTERVALS * intervalMs);
}
