/**
 * Decides which events of an answer are forwarded: those that the caller doesn't have.
 */
import * as splitters from "./EventSplitter";

/** The events of one call's stream, from one answer to the next. */
export class EventProgress {
    /** `lastEventId`: the last event that the caller has, from an earlier attempt; undefined if it has none. */
    constructor(private lastId: number | undefined) {}

    /** Id of the last event that was forwarded. */
    get lastEventId(): number | undefined {
        return this.lastId;
    }

    /** Whether the event shows that the instance makes progress, also if the caller has it. */
    hasProgress({ isEmpty }: splitters.StreamEvent): boolean {
        return !isEmpty;
    }

    /** Whether the event is forwarded, after which it is the last one; false for one that the caller has. */
    tryForward({ id }: splitters.StreamEvent): boolean {
        if (id !== undefined && this.lastId !== undefined && id <= this.lastId) {
            return false;
        }
        this.lastId = id ?? this.lastId;
        return true;
    }
}
