/**
 * Queue in front of one upstream. Shares the admission limit among teams by weight, lends unused shares, and
 * holds only calls that can still meet their deadline according to the learned service times.
 */
import * as result from "true-myth/result";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as limits from "./AdmissionLimit";
import * as serviceTimes from "./ServiceTimes";
import * as teamQueues from "./TeamQueues";

/** Maximum number of waiting calls per team. */
const MAX_WAITING_PER_TEAM = 2_000;
/** Interval between checks of whether waiting calls can still meet their deadline. */
const SWEEP_PERIOD_MS = 20;
/** Cost of a call whose service time is unknown. */
const DEFAULT_COST_MS = 100;
/** Minimum cost of a call; above 0, so that every call counts against its team's share. */
const MIN_COST_MS = 0.01;
/**
 * Factor on a waiting call's expected wait when checked against its deadline; below 1, as the estimate is inexact,
 * so that noise doesn't reject accepted calls.
 */
const WAIT_TOLERANCE_RATIO = 0.8;
/** Multiple of the mean service time beyond which active calls are overdue. */
const OVERDUE_RATIO = 2;
/** Maximum wait while service times are unknown, as a share of the time from arrival to deadline. */
const MAX_UNKNOWN_WAIT_RATIO = 0.5;
/** Minimum retry-after value returned to callers. */
const MIN_RETRY_AFTER_MS = 10;

/** A call that requests admission. */
export interface CallTicket {
    readonly team: string;
    /** Any finite number; higher priorities go first within the team. */
    readonly priority: number;
    /** On the time scale of `clock.now()`. */
    readonly deadlineMs: number;
    readonly signal: AbortSignal;
    /** Key by which service times are learned, such as operation and model. */
    readonly operation?: string | undefined;
    /** Whether the deadline applies to the first token only. */
    readonly isStream?: boolean | undefined;
}

/** Permission to dispatch one call now. */
export interface Permit {
    /** Time that the call waited for admission. */
    readonly queuedMs: number;
    /** Releases the admitted call. Must be called; further calls have no effect. */
    finish(completion: limits.Completion): void;
}

/** A permit, or the reason why the call was not run. */
export type Admission = result.Result<Permit, codes.Failure>;

/** Dependencies of a queue. Weights are relative; under overload, calls below `shedBelowPriority` are shed. */
export interface FairQueueOptions {
    readonly clock: clocks.Clock;
    readonly limit: limits.AdmissionLimit;
    readonly weight: (team: string) => number;
    readonly shedBelowPriority: () => number;
}

interface WaitingCall {
    readonly ticket: CallTicket;
    readonly priority: number;
    readonly operation: string;
    readonly enteredAtMs: number;
    readonly settle: (admission: Admission) => void;
}

type Queue = teamQueues.TeamQueue<WaitingCall>;

/** The part of a queue that an agent uses. */
export interface CallQueue extends clocks.Disposable {
    /** Number of waiting calls. */
    readonly queued: number;
    /** Expected time from arrival to answer of a new call; 0 while service times are unknown. */
    readonly expectedMs: number;
    /** Waits for admission. Never throws; a rejected or cancelled call was not run. */
    enter(ticket: CallTicket): Promise<Admission>;
}

/** Admits calls in weighted fair order, and rejects those that can't meet their deadline. */
export class FairQueue implements CallQueue {
    private readonly clock: clocks.Clock;
    private readonly limit: limits.AdmissionLimit;
    private readonly times: serviceTimes.ServiceTimes;
    private readonly teams: teamQueues.TeamQueues<WaitingCall>;
    private readonly limitListener: clocks.Disposable;
    /** Sum of the times at which the active calls got their permits. */
    private grantTimesSumMs = 0;
    private sweepTimer: clocks.Disposable | undefined;

    constructor(private readonly options: FairQueueOptions) {
        this.clock = options.clock;
        this.limit = options.limit;
        this.times = new serviceTimes.ServiceTimes(options.clock);
        this.teams = new teamQueues.TeamQueues(options.weight);
        this.limitListener = options.limit.onChange(() => this.dispatch());
    }

    /** Number of waiting calls. */
    get queued(): number {
        return this.teams.size;
    }

    /** Expected time from arrival to answer of a new call; 0 while service times are unknown. */
    get expectedMs(): number {
        return this.expectWaitMs(this.teams.size) + (this.times.meanMs ?? 0);
    }

    /** Waits for admission. Never throws; a rejected or cancelled call was not run. */
    async enter(ticket: CallTicket): Promise<Admission> {
        const admission = await this.admit(ticket);
        if (admission.isOk && ticket.signal.aborted) {
            admission.value.finish({ kind: "neutral" });
            return result.err(codes.failure(codes.codes.cancelled, "cancelled on admission"));
        }
        return admission;
    }

    /** Rejects all waiting calls. */
    failAll(failure: codes.Failure): void {
        for (const queue of [...this.teams.backloggedQueues]) {
            for (const call of [...queue.waiting]) {
                this.reject(queue, call, failure);
            }
        }
    }

    /** Rejects all waiting calls and stops the timer. */
    dispose(): void {
        this.limitListener.dispose();
        this.failAll(codes.failure(codes.codes.draining, "the queue is closed"));
        this.sweepTimer?.dispose();
    }

    private admit(ticket: CallTicket): Admission | Promise<Admission> {
        const failure = checkTicket(ticket) ?? this.checkDeadline(ticket);
        if (failure !== undefined) {
            return result.err(failure);
        }
        const queue = this.teams.getOrCreateQueue(ticket.team);
        const hasToWait = this.teams.size > 0 || this.limit.active >= this.limit.limit;
        const waitFailure = hasToWait ? this.checkQueueing(queue, ticket) : undefined;
        return waitFailure === undefined ? this.enqueue(queue, ticket) : result.err(waitFailure);
    }

    private enqueue(queue: Queue, ticket: CallTicket): Promise<Admission> {
        return new Promise(resolve => {
            const call: WaitingCall = {
                ticket,
                priority: ticket.priority,
                operation: ticket.operation ?? "",
                enteredAtMs: this.clock.now(),
                settle,
            };
            const cancel = () => this.reject(queue, call, codes.failure(codes.codes.cancelled, "cancelled in queue"));
            function settle(admission: Admission): void {
                ticket.signal.removeEventListener("abort", cancel);
                resolve(admission);
            }
            ticket.signal.addEventListener("abort", cancel, { once: true });
            this.teams.insert(queue, this.teams.findPosition(queue, call.priority), call);
            this.dispatch();
            this.scheduleSweep();
        });
    }

    /** Admits waiting calls while the limit allows. */
    private dispatch(): void {
        while (this.limit.active < this.limit.limit) {
            const queue = this.teams.findNextQueue();
            const call = queue?.waiting[0];
            if (queue === undefined || call === undefined) {
                return;
            }
            const failure = this.checkDeadline(call.ticket);
            if (failure === undefined) {
                this.grant(queue, call);
            }
            else {
                this.reject(queue, call, failure);
            }
        }
    }

    private grant(queue: Queue, call: WaitingCall): void {
        const limitTicket = this.limit.tryAcquire();
        if (limitTicket === undefined) {
            return;
        }
        const grantedAtMs = this.clock.now();
        this.grantTimesSumMs += grantedAtMs;
        const costMs = this.times.findMeanMs(call.operation) ?? DEFAULT_COST_MS;
        this.teams.remove(queue, call);
        this.teams.charge(queue, Math.max(MIN_COST_MS, costMs));
        const finish = (completion: limits.Completion) => {
            this.teams.finish(queue);
            this.grantTimesSumMs -= grantedAtMs;
            if (completion.kind === "success") {
                this.times.observe(call.operation, this.clock.now() - grantedAtMs);
            }
            this.limit.release(limitTicket, completion);
        };
        call.settle(result.ok(createPermit(grantedAtMs - call.enteredAtMs, finish)));
    }

    private reject(queue: Queue, call: WaitingCall, failure: codes.Failure): void {
        if (this.teams.remove(queue, call)) {
            call.settle(result.err(failure));
        }
    }

    /** Low estimate of the service time. 0 for streams: learned durations cover complete streams, not first tokens. */
    private estimateLowServiceMs(ticket: CallTicket): number {
        return ticket.isStream === true ? 0 : this.times.findLowEstimateMs(ticket.operation ?? "");
    }

    /** Returns a failure if the call would miss its deadline even if it started now. */
    private checkDeadline(ticket: CallTicket): codes.Failure | undefined {
        const remainingMs = ticket.deadlineMs - this.clock.now();
        if (remainingMs <= 0) {
            return codes.failure(codes.codes.expired, `${Math.round(-remainingMs)} ms past the deadline`);
        }
        const neededMs = this.estimateLowServiceMs(ticket);
        return remainingMs < neededMs
            ? codes.failure(
                codes.codes.deadlineUnreachable,
                `${Math.round(remainingMs)} ms left, ${Math.round(neededMs)} ms needed`,
                Math.max(MIN_RETRY_AFTER_MS, neededMs),
            )
            : undefined;
    }

    /** Returns a failure if a new call that has to wait can't be queued. May displace the team's last call for it. */
    private checkQueueing(queue: Queue, ticket: CallTicket): codes.Failure | undefined {
        const position = this.teams.findPosition(queue, ticket.priority);
        const waitMs = this.expectWaitMs(this.teams.countAhead(queue, position));
        const remainingMs = ticket.deadlineMs - this.clock.now();
        if (waitMs + this.estimateLowServiceMs(ticket) > remainingMs) {
            return this.createOverload(waitMs, `${Math.round(waitMs)} ms of queue, ${Math.round(remainingMs)} ms left`);
        }
        if (ticket.priority < this.options.shedBelowPriority() && this.isOverloadedBy(queue)) {
            return codes.failure(codes.codes.shed, `priority ${ticket.priority}`, Math.max(MIN_RETRY_AFTER_MS, waitMs));
        }
        return this.displaceIfFull(queue, position, waitMs);
    }

    /** Whether the number of waiting calls has reached the limit and the team uses at least its share. */
    private isOverloadedBy(queue: Queue): boolean {
        const limit = this.limit.limit;
        const teamCalls = queue.active + queue.waiting.length;
        return this.teams.size >= limit && teamCalls >= limit * this.teams.findFairShare(queue);
    }

    /** If the team's queue is full, displaces its last call; fails if the new call would be last itself. */
    private displaceIfFull(queue: Queue, position: number, waitMs: number): codes.Failure | undefined {
        if (queue.waiting.length < MAX_WAITING_PER_TEAM) {
            return undefined;
        }
        const failure = this.createOverload(waitMs, `${queue.waiting.length} calls of the team wait`);
        if (position === queue.waiting.length) {
            return failure;
        }
        this.reject(queue, queue.waiting.at(-1)!, failure);
        return undefined;
    }

    private createOverload(waitMs: number, detail: string): codes.Failure {
        return codes.failure(codes.codes.overloaded, detail, Math.max(MIN_RETRY_AFTER_MS, waitMs));
    }

    /** Expected wait behind `ahead` calls; 0 while service times are unknown. */
    private expectWaitMs(ahead: number): number {
        const limit = this.limit.limit;
        const callsBefore = ahead + 1 + this.limit.active - limit;
        return callsBefore <= 0 ? 0 : callsBefore * (this.times.meanMs ?? 0) / limit;
    }

    /** Mean elapsed time of the active calls, at most the mean service time; 0 if overdue, when it predicts nothing. */
    private findMeanProgressMs(): number {
        const meanMs = this.times.meanMs ?? 0;
        const meanActiveMs = this.clock.now() - this.grantTimesSumMs / Math.max(1, this.limit.active);
        return meanActiveMs > meanMs * OVERDUE_RATIO ? 0 : Math.min(meanActiveMs, meanMs);
    }

    private scheduleSweep(): void {
        if (this.sweepTimer === undefined && this.teams.size > 0) {
            this.sweepTimer = this.clock.schedule(SWEEP_PERIOD_MS, () => {
                this.sweepTimer = undefined;
                this.sweep();
                this.dispatch();
                this.scheduleSweep();
            });
        }
    }

    /** Rejects waiting calls that can no longer meet their deadline. */
    private sweep(): void {
        for (const queue of [...this.teams.backloggedQueues]) {
            for (let position = 0; position < queue.waiting.length;) {
                const call = queue.waiting[position]!;
                const failure = this.checkDeadline(call.ticket) ?? this.checkRemainingWait(queue, position, call);
                if (failure === undefined) {
                    position += 1;
                }
                else {
                    this.reject(queue, call, failure);
                }
            }
        }
    }

    /** Returns a failure if a waiting call is expected to miss its deadline. */
    private checkRemainingWait(queue: Queue, position: number, call: WaitingCall): codes.Failure | undefined {
        const waitMs = this.expectWaitMs(this.teams.countAhead(queue, position));
        const remainingMs = call.ticket.deadlineMs - this.clock.now();
        const neededMs = Math.max(0, waitMs * WAIT_TOLERANCE_RATIO - this.findMeanProgressMs())
            + this.estimateLowServiceMs(call.ticket);
        const totalMs = call.ticket.deadlineMs - call.enteredAtMs;
        const isTooLong = this.times.meanMs === undefined && remainingMs < totalMs * MAX_UNKNOWN_WAIT_RATIO;
        return isTooLong || neededMs > remainingMs
            ? this.createOverload(waitMs, `${Math.round(remainingMs)} ms left in the queue`)
            : undefined;
    }
}

function createPermit(queuedMs: number, finish: (completion: limits.Completion) => void): Permit {
    let isFinished = false;
    return {
        queuedMs,
        finish(completion) {
            if (!isFinished) {
                isFinished = true;
                finish(completion);
            }
        },
    };
}

function checkTicket(ticket: CallTicket): codes.Failure | undefined {
    if (!Number.isFinite(ticket.deadlineMs) || !Number.isFinite(ticket.priority)) {
        return codes.failure(codes.codes.invalidRequest, "the deadline or the priority isn't a finite number");
    }
    return ticket.signal.aborted ? codes.failure(codes.codes.cancelled, "cancelled on arrival") : undefined;
}
