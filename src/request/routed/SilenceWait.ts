/**
 * How long one call waits for the next bytes of the instances that it is sent to, from one decision to the next.
 */
import * as clocks from "../../common/Clock";
import * as silenceLimits from "../../process/streams/SilenceLimit";
import * as calls from "./RoutedCall";
import * as senders from "./UpstreamSender";

/**
 * How long a stream that has begun goes on after its hard deadline, which leaves time for an answer of this process. It
 * needs none, and breaking it off before its caller stops waiting would only take its last events away.
 */
const BEGUN_STREAM_EXTENSION_MS = 50;
/** Time after that in which a process that was late may still pass on what had arrived. */
const READY_EVENTS_MS = 100;
/** Pause after a stream couldn't be moved before that is tried again. */
const MOVE_PAUSE_MS = 500;

/** Least rate at which an instance sends an event; the links of the slowest entries bear many times as much. */
const MIN_EVENT_BYTES_PER_SECOND = 1_000;
const MS_PER_SECOND = 1_000;

/** What the waiting depends on; it changes while the stream is forwarded. */
export interface WaitState {
    readonly hasBegun: () => boolean;
    /** Whether the call may be moved to another instance. */
    readonly canMove: () => boolean;
}

/** The silence of the instance that a call is at; used for one call. */
export class SilenceWait {
    /** When the current instance last made progress, or when the call was sent to it. */
    private lastProgressAtMs = 0;
    /** No move is tried before this time. */
    private staysUntilMs = -Infinity;
    /** When the stream was first seen to go on after its end. */
    private overrunSinceMs: number | undefined;

    constructor(
        private readonly clock: clocks.Clock,
        private readonly call: calls.RoutedCall,
        private readonly state: WaitState,
    ) {}

    /** Whether the call's hard deadline has passed. */
    get isLate(): boolean {
        return this.clock.now() >= this.call.hardDeadlineAtMs;
    }

    /** Called while bytes are ready: whether they have come for so long after the deadline that the stream is ended. */
    checkOverrun(): boolean {
        const nowMs = this.clock.now();
        if (nowMs < this.call.hardDeadlineAtMs + BEGUN_STREAM_EXTENSION_MS) {
            return false;
        }
        this.overrunSinceMs ??= nowMs;
        return nowMs - this.overrunSinceMs >= READY_EVENTS_MS;
    }

    /** Time since the current instance last made progress. */
    get silentMs(): number {
        return this.clock.now() - this.lastProgressAtMs;
    }

    /** Called when the headers of an instance's answer have arrived, which don't count as a sign of progress. */
    recordAnswer(sent: senders.SentCall): void {
        this.lastProgressAtMs = sent.sentAtMs;
    }

    /**
     * Called for all further bytes of the current instance. They are progress at the rate at which an event is sent at
     * least, so that an instance which only trickles counts as silent.
     */
    recordBytes(count: number): void {
        const coveredMs = count / MIN_EVENT_BYTES_PER_SECOND * MS_PER_SECOND;
        this.lastProgressAtMs = Math.min(this.clock.now(), this.lastProgressAtMs + coveredMs);
    }

    /** Called when bytes of the current instance have completed events that show progress. */
    recordEvents(): void {
        this.lastProgressAtMs = this.clock.now();
    }

    /** Called when the move of the call to another instance has ended. */
    recordMove(): void {
        this.staysUntilMs = this.clock.now() + MOVE_PAUSE_MS;
    }

    /** Time to wait for the answer to a send; 0 to move the call, or at its hard deadline. */
    answerWaitMs(sent: senders.SentCall): number {
        return this.waitMs(sent, sent.sentAtMs);
    }

    /** The same for the next bytes of an answer. */
    nextBytesWaitMs(sent: senders.SentCall): number {
        return this.waitMs(sent, this.lastProgressAtMs);
    }

    private waitMs(sent: senders.SentCall, lastProgressAtMs: number): number {
        const nowMs = this.clock.now();
        const remainingMs = Math.max(0, this.call.hardDeadlineAtMs - nowMs);
        if (remainingMs === 0 && this.state.hasBegun()) {
            return this.call.hardDeadlineAtMs + BEGUN_STREAM_EXTENSION_MS - nowMs;
        }
        if (!this.state.canMove()) {
            return remainingMs;
        }
        const staysMs = this.staysUntilMs - nowMs;
        if (staysMs > 0) {
            return Math.min(staysMs, remainingMs);
        }
        const silentCall = {
            waitedMs: nowMs - lastProgressAtMs,
            expectedMs: sent.ticket.expectedFirstEventMs,
            quietMs: sent.traffic.quietMs,
            remainingMs,
            elsewhereMs: sent.elsewhereMs,
        };
        const hasReadPrompt = lastProgressAtMs > sent.sentAtMs; // An instance that resumes a stream reads it again.
        return hasReadPrompt
            ? silenceLimits.nextEventWaitMs(silentCall)
            : silenceLimits.firstEventWaitMs(silentCall);
    }
}
