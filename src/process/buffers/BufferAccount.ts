/**
 * Accounts for the bytes of bodies and answers that a process holds, so that they stay within its memory. Bodies for which
 * there is no room are rejected, large ones before small ones. While there is no room for answers, large ones are read one
 * at a time, and those that their callers don't read are broken off. Neither takes the other's room.
 */
import * as clocks from "../../common/Clock";
import * as logs from "../../common/Log";

/** Bodies up to this size, and the beginnings of answers, are small. */
export const SMALL_BYTES = 16 * 1024;
/** Share of the limit above which large bodies are rejected. */
const LARGE_BODY_SHARE = 0.5;
/** Share of the limit above which large answers are read one at a time. */
const ANSWER_SHARE = 0.5;
/** Share of the limit up to which large incomplete events are held. */
const EVENT_SHARE = 0.25;
/** By how much the oldest answer that is being read may exceed that share while the others pause. */
const MAX_EXCESS_BYTES = 16 * 1024 * 1024;
/** Largest part of an answer that is read at once. */
const READ_BYTES = 64 * 1024;
/** A caller has this time to read an answer, and that of its size at the rate below, before it may be broken off. */
const UNREAD_GRACE_MS = 2_000;
const UNREAD_BYTES_PER_SECOND = 1_000_000;
const CHECK_INTERVAL_MS = 250;
const MS_PER_SECOND = 1_000;
/** Share of a process's memory for the bytes held; the rest is for the heap, and for bytes not collected or read yet. */
const MEMORY_SHARE = 0.15;
const BYTES_PER_MEGABYTE = 1024 * 1024;

/** What the account needs from its process. */
export interface BufferAccountOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly limitBytes: number;
}

/** An answer that is being written to its caller. */
interface UnreadAnswer {
    readonly giveUpAtMs: number;
    readonly breakOff: () => void;
}

/** The bytes that a process with so much memory may hold. */
export function bufferLimitBytes(memoryMegabytes: number): number {
    return memoryMegabytes * MEMORY_SHARE * BYTES_PER_MEGABYTE;
}

/** The bytes that a process holds for all its requests. */
export class BufferAccount implements clocks.Disposable {
    private bodyBytes = 0;
    private answerBytes = 0;
    private eventBytes = 0;
    /** Requests whose answers are large and being read, the oldest first, with what resumes them if they are paused. */
    private readonly reading = new Map<BufferHold, (() => void) | undefined>();
    private readonly unread = new Map<BufferHold, UnreadAnswer>();
    private checkTimer: clocks.Disposable | undefined;
    /** Number of bodies rejected since the start. */
    rejections = 0;

    constructor(private readonly options: BufferAccountOptions) {}

    /** Bytes held now. */
    get heldBytes(): number {
        return this.bodyBytes + this.answerBytes + this.eventBytes;
    }

    get limitBytes(): number {
        return this.options.limitBytes;
    }

    /** Number of answers that aren't read on for now. */
    get pausedCount(): number {
        return [...this.reading.values()].filter(resume => resume !== undefined).length;
    }

    /** Begins to account for a request. */
    open(attempt: string | undefined): BufferHold {
        return new BufferHold(this, attempt);
    }

    dispose(): void {
        this.checkTimer?.dispose();
    }

    /** Whether the account has room for further bytes of a body that is small, or isn't. */
    hasRoom(bytes: number, isSmall: boolean): boolean {
        return this.bodyBytes + bytes <= this.limitBytes * (isSmall ? 1 : LARGE_BODY_SHARE);
    }

    /** Adds bytes of a body, or takes them away if the number is negative. */
    changeBodies(bytes: number): void {
        this.bodyBytes += bytes;
    }

    /** Adds bytes of an answer, or takes them away if the number is negative. */
    changeAnswers(bytes: number): void {
        this.answerBytes += bytes;
        if (this.roomForAnswers <= 0) {
            this.checkTimer ??= clocks.every(this.options.clock, CHECK_INTERVAL_MS, () => this.breakOffUnread());
        }
        else {
            this.checkTimer?.dispose();
            this.checkTimer = undefined;
        }
        if (bytes < 0) {
            this.resumeReading();
        }
    }

    /** Whether there is room for large incomplete events. */
    get hasRoomForEvents(): boolean {
        return this.eventBytes <= this.limitBytes * EVENT_SHARE;
    }

    /** Adds bytes of incomplete events, or takes them away if the number is negative. */
    changeEvents(bytes: number): void {
        this.eventBytes += bytes;
    }

    /** Notes that a large answer is being read; false if it has to wait for a call of `resume`. */
    tryRead(hold: BufferHold, resume: () => void): boolean {
        this.reading.set(hold, undefined);
        if (this.mayRead(hold)) {
            return true;
        }
        this.reading.set(hold, resume);
        if (!hold.hasPaused) {
            this.options.log.info(
                { decision: "answer-paused", attempt: hold.attempt, answerBytes: hold.answerBytes, ...this.state },
                "too many bytes are held; an answer is read on when there is room",
            );
        }
        return false;
    }

    /** Notes that an answer is no longer being read. */
    endRead(hold: BufferHold): void {
        if (this.reading.delete(hold)) {
            this.resumeReading();
        }
    }

    /** Notes that an answer is being written; `breakOff` is called if its caller doesn't read it and there is no room. */
    beginWrite(hold: BufferHold, breakOff: () => void): void {
        if (hold.answerBytes <= SMALL_BYTES) {
            return;
        }
        const sizeMs = hold.answerBytes / UNREAD_BYTES_PER_SECOND * MS_PER_SECOND;
        this.unread.set(hold, { giveUpAtMs: this.options.clock.now() + UNREAD_GRACE_MS + sizeMs, breakOff });
    }

    /** Notes that an answer has been written, or was broken off. */
    endWrite(hold: BufferHold): void {
        this.unread.delete(hold);
    }

    /** Bytes of answers that may be added; negative beyond their share. */
    private get roomForAnswers(): number {
        return this.limitBytes * ANSWER_SHARE - this.answerBytes;
    }

    private get state(): { readonly heldBytes: number; readonly limitBytes: number } {
        return { heldBytes: this.heldBytes, limitBytes: this.limitBytes };
    }

    /** The oldest may be read to its end even if each other one has gone beyond the share by what was read at once. */
    private mayRead(hold: BufferHold): boolean {
        const [oldest] = this.reading.keys();
        const excessBytes = hold === oldest ? MAX_EXCESS_BYTES + this.reading.size * READ_BYTES : 0;
        return this.roomForAnswers + excessBytes > 0;
    }

    /** Resumes as many answers as there is room for, the oldest first. */
    private resumeReading(): void {
        let room = Math.max(1, Math.floor(this.roomForAnswers / READ_BYTES));
        for (const [hold, resume] of this.reading) {
            if (room === 0) {
                return;
            }
            if (resume !== undefined && this.mayRead(hold)) {
                this.reading.set(hold, undefined);
                room--;
                resume();
            }
        }
    }

    /** Breaks off answers that their callers have had enough time to read. */
    private breakOffUnread(): void {
        for (const [hold, { giveUpAtMs, breakOff }] of this.unread) {
            if (this.options.clock.now() >= giveUpAtMs) {
                this.unread.delete(hold);
                this.options.log.warn(
                    { decision: "answer-unread", attempt: hold.attempt, answerBytes: hold.answerBytes, ...this.state },
                    "too many bytes are held; an answer that its caller doesn't read is broken off",
                );
                breakOff();
            }
        }
    }
}

/** The bytes held for one request: those of its body, and of the answers that it got. */
export class BufferHold {
    private bodyBytes = 0;
    /** Bytes of the answers, the one that is being written among them. */
    answerBytes = 0;
    /** Bytes of an incomplete event of its stream. */
    private eventBytes = 0;
    /** Whether reading its answer has paused before. */
    hasPaused = false;

    constructor(private readonly account: BufferAccount, readonly attempt: string | undefined) {}

    /** Adds bytes of the body; false, with none added, if there is no room for them. */
    tryAddBody(bytes: number): boolean {
        if (!this.account.hasRoom(bytes, this.bodyBytes + bytes <= SMALL_BYTES)) {
            this.account.rejections++;
            return false;
        }
        this.bodyBytes += bytes;
        this.account.changeBodies(bytes);
        return true;
    }

    /** Adds bytes that have arrived of an answer; false if it has to be read on only when `resume` is called. */
    addAnswer(bytes: number, resume: () => void): boolean {
        this.answerBytes += bytes;
        this.account.changeAnswers(bytes);
        const canRead = this.answerBytes <= SMALL_BYTES || this.account.tryRead(this, resume);
        this.hasPaused ||= !canRead;
        return canRead;
    }

    /** Sets how many bytes of an incomplete event are held; false if it has grown large and there is no room for it. */
    holdEvent(bytes: number): boolean {
        const addedBytes = bytes - this.eventBytes;
        this.eventBytes = bytes;
        this.account.changeEvents(addedBytes);
        return addedBytes <= 0 || bytes <= SMALL_BYTES || this.account.hasRoomForEvents;
    }

    /** Ends the reading of an answer, whose bytes stay held. */
    endRead(): void {
        this.account.endRead(this);
    }

    /** Begins the writing of the answer; `breakOff` may be called until the answer is released. */
    beginWrite(breakOff: () => void): void {
        this.account.beginWrite(this, breakOff);
    }

    /** Releases the body. */
    releaseBody(): void {
        const { bodyBytes } = this;
        this.bodyBytes = 0;
        this.account.changeBodies(-bodyBytes);
    }

    /** Releases the answers. */
    releaseAnswer(): void {
        const { answerBytes } = this;
        this.answerBytes = 0;
        this.account.endRead(this);
        this.account.endWrite(this);
        this.account.changeAnswers(-answerBytes);
    }
}
