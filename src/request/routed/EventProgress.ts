/**
 * Decides which events of an answer are forwarded, when an answer that brings nothing new is given up, and whether a
 * further answer can go on where it ends. Designed for faulty instances that send comments, blank lines or the same event
 * without end, beside sound ones that send a comment every few seconds while they work on a long prompt; and for
 * instances whose events have no ids, or none that tells what follows them.
 */
import * as clocks from "../../common/Clock";
import * as eventIds from "../../common/EventId";
import * as splitters from "./EventSplitter";

/** Number of events in a row that may bring nothing, however fast they come. */
const MAX_IDLE_EVENTS = 1_000;
/** Time that allows a further one. */
const IDLE_EVENT_INTERVAL_MS = 10;

/** The events of one call's stream, from one answer to the next. */
export class EventProgress {
    /** Largest id in the present answer. */
    private answeredId: eventIds.EventId = -Infinity;
    /** Whether the latest event that was forwarded and isn't empty had an id, if there was one. */
    private isPositionKnown = true;
    private idleEvents = 0;
    private idleSinceMs = 0;

    /** `lastEventId`: the last event that the caller has, from an earlier attempt; undefined if it has none. */
    constructor(private readonly clock: clocks.Clock, private lastId: eventIds.EventId | undefined) {}

    /** Id of the last event that was forwarded. */
    get lastEventId(): eventIds.EventId | undefined {
        return this.lastId;
    }

    /** Whether an answer that begins after the last id has all that the caller lacks, and nothing that it has. */
    get canContinue(): boolean {
        return this.isPositionKnown;
    }

    /** Whether more events in a row have brought nothing than a sound instance sends. */
    get isStuck(): boolean {
        if (this.idleEvents <= MAX_IDLE_EVENTS) {
            return false;
        }
        const elapsedMs = this.clock.now() - this.idleSinceMs;
        return this.idleEvents > MAX_IDLE_EVENTS + elapsedMs / IDLE_EVENT_INTERVAL_MS;
    }

    /** Called before the first event of an answer. */
    beginAnswer(): void {
        this.answeredId = -Infinity;
        this.idleEvents = 0;
    }

    /** Records an event of the answer; returns whether the instance makes progress, also if the caller has the event. */
    record({ id, isEmpty }: splitters.StreamEvent): boolean {
        const hasProgress = !isEmpty && (id === undefined || id > this.answeredId);
        if (hasProgress) {
            this.answeredId = id ?? this.answeredId;
            this.idleEvents = 0;
        }
        else {
            this.idleSinceMs = this.idleEvents === 0 ? this.clock.now() : this.idleSinceMs;
            this.idleEvents++;
        }
        return hasProgress;
    }

    /** Whether the event is forwarded, after which it is the last one; false for one that the caller has. */
    tryForward({ id, isEmpty }: splitters.StreamEvent): boolean {
        if (id !== undefined && this.lastId !== undefined && id <= this.lastId) {
            return false;
        }
        this.lastId = id ?? this.lastId;
        this.isPositionKnown = isEmpty ? this.isPositionKnown : id !== undefined;
        return true;
    }
}
