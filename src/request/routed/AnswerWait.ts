/**
 * Sends a call and waits for its answer. An instance that is silent is left as a silent stream is: only when another one
 * has accepted the call.
 */
import * as moves from "./StreamMove";
import * as senders from "./UpstreamSender";

/** Interval of the checks of a silent send while it is being moved. */
const RECHECK_INTERVAL_MS = 100;

/** How a call is sent, and moved to another instance. */
export interface AnswerWaitOptions {
    /** Sends the call; `answerWaitMs` is asked how long to wait for the answer. */
    readonly send: (
        signal: AbortSignal,
        answerWaitMs: (sent: senders.SentCall) => number,
    ) => Promise<senders.SendOutcome>;
    /** Time to wait before deciding again; 0 when the call should be moved. */
    readonly waitMs: (sent: senders.SentCall) => number;
    /** Whether the call's hard deadline has passed, so that it isn't moved. */
    readonly isLate: () => boolean;
    /** Moves the call; undefined if it stays at the silent instance. */
    readonly move: (
        continuation: moves.Continuation,
        leave: () => void,
    ) => Promise<senders.SendOutcome | undefined>;
    readonly signal: AbortSignal;
}

/** Sends a call; resolves to the outcome of the send, or of the one at another instance that took its place. */
export async function sendUntilAnswered(options: AnswerWaitOptions): Promise<senders.SendOutcome> {
    const leaving = new AbortController();
    let silentSend: senders.SentCall | undefined;
    let reportSilence = (): void => undefined;
    const sending = options.send(AbortSignal.any([options.signal, leaving.signal]), sent => {
        const waitMs = options.waitMs(sent);
        if (waitMs > 0 || options.isLate()) {
            return waitMs;
        }
        silentSend = sent;
        reportSilence();
        return RECHECK_INTERVAL_MS;
    });
    const leave = (): void => {
        silentSend?.ticket.end("failed");
        leaving.abort();
    };
    for (;;) {
        const silence = new Promise<"silent">(resolve => reportSilence = () => resolve("silent"));
        const first = await Promise.race([sending, silence]);
        if (first !== "silent") {
            return first;
        }
        const next = await options.move(new moves.AnswerContinuation(sending), leave);
        if (next !== undefined) {
            return next;
        }
    }
}
