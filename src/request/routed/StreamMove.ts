/**
 * Moves a call from a silent instance to another one, before or after its stream has begun. The exchange with the silent
 * instance stays open until the other one has accepted the call: a call that no other instance takes, or that continues
 * meanwhile, stays.
 */
import * as stream from "node:stream";
import * as clocks from "../../common/Clock";
import * as senders from "./UpstreamSender";

/**
 * Time from reaching the other instance at which the silent one is left, even without an answer: rejections arrive
 * sooner, and two instances must not work on a call for longer.
 */
const MAX_OVERLAP_MS = 200;

/** What a move needs. */
export interface MoveOptions {
    readonly clock: clocks.Clock;
    /** Detects that the silent instance continues; disposed of by the move. */
    readonly continuation: Continuation;
    /** Cancels the exchange with the silent instance. */
    readonly leave: () => void;
    /** Provides what the next send needs; resolves to false on failure. */
    readonly prepare: (signal: AbortSignal) => Promise<boolean>;
    /** Sends the call to another instance. */
    readonly send: (signal: AbortSignal, onDispatched: () => void) => Promise<senders.SendOutcome>;
    /** Aborts when the caller disconnects. */
    readonly signal: AbortSignal;
}

/** Resolves to the outcome of the send once the silent instance has been left; undefined if the stream stays there. */
export async function moveStream(options: MoveOptions): Promise<senders.SendOutcome | undefined> {
    const controller = new AbortController();
    const signal = AbortSignal.any([options.signal, controller.signal]);
    const { continuation } = options;
    let overlapTimer: clocks.Disposable | undefined;
    try {
        const isPrepared = await Promise.race([options.prepare(signal), continuation.promise]);
        if (isPrepared !== true) {
            controller.abort();
            return undefined;
        }
        let endOverlap!: (value: "overlap-end") => void;
        const overlapEnd = new Promise<"overlap-end">(resolve => endOverlap = resolve);
        const sending = options.send(signal, () => {
            overlapTimer = options.clock.schedule(MAX_OVERLAP_MS, () => endOverlap("overlap-end"));
        });
        const first = await Promise.race([continuation.promise, sending, overlapEnd]);
        if (first === "overlap-end" || (first !== "continued" && isAccepted(first))) {
            options.leave();
            return await sending;
        }
        controller.abort();
        discard(await sending);
        return undefined;
    }
    finally {
        continuation.dispose();
        overlapTimer?.dispose();
    }
}

function isAccepted(outcome: senders.SendOutcome): boolean {
    return outcome.kind === "answer" && outcome.answer.status === 200;
}

function discard(outcome: senders.SendOutcome): void {
    if (outcome.kind === "answer") {
        outcome.answer.cancel();
        outcome.sent.ticket.end("cancelled");
    }
}

/** Detects that a silent instance continues. */
export interface Continuation extends clocks.Disposable {
    readonly promise: Promise<"continued">;
}

/** Detects that a send gets its answer. */
export class AnswerContinuation implements Continuation {
    readonly promise: Promise<"continued">;

    constructor(sending: Promise<senders.SendOutcome>) {
        this.promise = new Promise((resolve, reject) => {
            sending.then(outcome => outcome.kind === "answer" && resolve("continued"), reject);
        });
    }

    dispose(): void {
        // Nothing is held.
    }
}

/** Detects that a body continues or ends as complete. */
export class BodyContinuation implements Continuation {
    readonly promise: Promise<"continued">;
    private resolve!: (value: "continued") => void;
    private readonly checkReadable = (): void => {
        if (this.body.readableLength > 0) {
            this.resolve("continued");
        }
        else {
            this.body.read(0); // A body reports its end only to a reader.
        }
    };
    private readonly recordEnd = (): void => this.resolve("continued");

    constructor(private readonly body: stream.Readable) {
        this.promise = new Promise(resolve => this.resolve = resolve);
        body.on("readable", this.checkReadable);
        body.on("end", this.recordEnd);
    }

    dispose(): void {
        this.body.off("readable", this.checkReadable);
        this.body.off("end", this.recordEnd);
    }
}
