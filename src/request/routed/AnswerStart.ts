/**
 * What the beginning of a stream shows about its prompt: it is sound once its answer has gone on for a while, and
 * suspect if the answer is interrupted before.
 */
import * as clocks from "../../common/Clock";
import * as crashMonitors from "../../process/crashes/CrashMonitor";
import * as requestDigests from "./RequestDigest";
import * as calls from "./RoutedCall";
import * as senders from "./UpstreamSender";

/** Time after its first event for which an answer must go on. */
const SOUND_AFTER_MS = 200;

/** Observes the events of one answer. */
export class AnswerStart {
    private firstEventAtMs: number | undefined;
    private isSound = false;

    constructor(
        private readonly clock: clocks.Clock,
        private readonly crashes: Pick<crashMonitors.CrashMonitor, "observeAnswer" | "observeInterruption">,
        private readonly call: calls.RoutedCall,
        private readonly sent: Pick<senders.SentCall, "instance" | "sentAtMs">,
    ) {}

    /** Records that events have arrived. */
    recordEvents(): void {
        this.firstEventAtMs ??= this.clock.now();
        if (!this.isSound && this.clock.now() - this.firstEventAtMs >= SOUND_AFTER_MS) {
            this.markSound();
        }
    }

    /** Records that the answer has ended as complete, or was interrupted. */
    recordEnd(isComplete: boolean): void {
        if (this.isSound) {
            return;
        }
        if (isComplete) {
            this.markSound();
            return;
        }
        const { instance, sentAtMs } = this.sent;
        this.crashes.observeInterruption(instance, requestDigests.observedCall(this.call), sentAtMs);
    }

    private markSound(): void {
        this.isSound = true;
        this.crashes.observeAnswer(requestDigests.observedCall(this.call));
    }
}
