/**
 * Positions in the history of the published store. A store that is restored from a backup starts a new era, in
 * which it gives out revisions again, so that a revision says nothing without its era.
 */

/** A revision of the store in one of its eras. */
export interface Position {
    /** Rises each time the store is restored from a backup; 0 if the store doesn't state it. */
    readonly era: number;
    readonly revision: number;
}

/** Before all positions; that of a process which knows nothing of the store. */
export const START: Position = { era: 0, revision: 0 };

/** Negative if `a` is before `b`, positive if it is after `b`, 0 if they are the same. */
export function compare(a: Position, b: Position): number {
    return a.era === b.era ? a.revision - b.revision : a.era - b.era;
}

/** Whether `a` is after `b`. */
export function isAfter(a: Position, b: Position): boolean {
    return compare(a, b) > 0;
}

/** The later one of two positions. */
export function latest(a: Position, b: Position): Position {
    return isAfter(b, a) ? b : a;
}

/** Only the position of an object that has one, for logs and messages. */
export function positionOf({ era, revision }: Position): Position {
    return { era, revision };
}
