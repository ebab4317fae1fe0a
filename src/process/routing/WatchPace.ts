/**
 * Decides how long an entry's next watch of the published store waits. The answer to a watch, or its lack, is also how
 * an entry learns whether the store answers at all; entries tell each other what they learn. So one watch of the fleet
 * has to end soon at any time. Designed for changes and outages, which end all watches at once: the entries begin the
 * next ones together, and take different waits by a ranking on which they agree without messages. It differs from
 * revision to revision, so that no entry makes more calls than others. A watch that ends by its wait is followed by one
 * of a full period, which keeps the entries apart.
 */
import * as rendezvous from "../../common/RendezvousHash";

/** Bounds on the wait of a watch. */
const MIN_PERIOD_MS = 2_000;
const MAX_PERIOD_MS = 8_000;
/** Interval at which one of the entries' watches ends while nothing changes. */
const END_INTERVAL_MS = 500;
/** Wait of the first watch to end. Changes that are more frequent cost no additional calls. */
const FIRST_END_MS = 1_000;

/** The state in which an entry begins a watch. */
export interface WatchTurn {
    readonly instance: string;
    /** Names of the other live entries. */
    readonly peers: readonly string[];
    /** Revision after which the watch asks for changes. */
    readonly revision: number;
    /** Whether others may begin a watch at the same time: after a change, an outage or a listing. */
    readonly isInStep: boolean;
}

/** The longest time that a watch waits for changes. */
export function waitMs({ instance, peers, revision, isInStep }: WatchTurn): number {
    const entries = peers.length + 1;
    const periodMs = Math.min(MAX_PERIOD_MS, Math.max(MIN_PERIOD_MS, entries * END_INTERVAL_MS));
    if (!isInStep) {
        return periodMs;
    }
    const key = String(revision);
    const ownScore = rendezvous.score(key, instance);
    const rank = peers.filter(peer => rendezvous.score(key, peer) > ownScore).length;
    const spaced = Math.min(entries, (periodMs - FIRST_END_MS) / END_INTERVAL_MS + 1);
    if (rank >= spaced) {
        return periodMs * (1 - (rank - spaced) / (entries - spaced) / 2); // These end in the period's second half.
    }
    return entries === 1 ? periodMs : FIRST_END_MS + (periodMs - FIRST_END_MS) * rank / (spaced - 1);
}
