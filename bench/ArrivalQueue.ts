/**
 * Baseline for the admission queue: first in, first out across all teams; rejects calls when their deadline passes.
 */
import * as result from "true-myth/result";
import * as clocks from "../src/common/Clock";
import * as codes from "../src/common/Codes";
import * as queues from "../src/process/admission/FairQueue";

interface WaitingCall {
    readonly enqueuedAtMs: number;
    readonly settle: (admission: queues.Admission) => void;
}

/** Admits calls in order of arrival. */
export class ArrivalQueue implements queues.CallQueue {
    readonly expectedMs = 0;
    private readonly waiting: WaitingCall[] = [];
    private readonly limitListener: clocks.Disposable;

    constructor(private readonly options: queues.FairQueueOptions) {
        this.limitListener = options.limit.onChange(() => this.dispatch());
    }

    get queued(): number {
        return this.waiting.length;
    }

    enter(ticket: queues.CallTicket): Promise<queues.Admission> {
        const { clock } = this.options;
        return new Promise(resolve => {
            const rejectCall = (code: codes.ResultCode): void => {
                const position = this.waiting.indexOf(call);
                if (position >= 0) {
                    this.waiting.splice(position, 1);
                    call.settle(result.err(codes.failure(code, "in queue")));
                }
            };
            const cancel = (): void => rejectCall(codes.codes.cancelled);
            const timer = clock.schedule(ticket.deadlineMs - clock.now(), () => rejectCall(codes.codes.expired));
            const settle = (admission: queues.Admission): void => {
                timer.dispose();
                ticket.signal.removeEventListener("abort", cancel);
                resolve(admission);
            };
            const call: WaitingCall = { enqueuedAtMs: clock.now(), settle };
            ticket.signal.addEventListener("abort", cancel, { once: true });
            this.waiting.push(call);
            this.dispatch();
        });
    }

    dispose(): void {
        this.limitListener.dispose();
        for (const call of this.waiting.splice(0)) {
            call.settle(result.err(codes.failure(codes.codes.draining, "the queue is closed")));
        }
    }

    private dispatch(): void {
        const { clock, limit } = this.options;
        for (let call = this.waiting[0]; call !== undefined; call = this.waiting[0]) {
            const limitTicket = limit.tryAcquire();
            if (limitTicket === undefined) {
                return;
            }
            this.waiting.shift();
            const queuedMs = clock.now() - call.enqueuedAtMs;
            call.settle(result.ok({ queuedMs, finish: completion => limit.release(limitTicket, completion) }));
        }
    }
}
