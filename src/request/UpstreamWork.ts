/**
 * Serves one call on an agent: checks, at-most-once bookkeeping, admission, a last check right before the dispatch,
 * the upstream call and the answer. A rejection before the dispatch counts as "not run", except "still-running" and
 * "key-too-old": an earlier call with the same key may have run.
 */
import * as pattern from "ts-pattern";
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as configurations from "../common/Configuration";
import * as deadlines from "../common/Deadline";
import * as fingerprints from "../common/Fingerprint";
import * as logs from "../common/Log";
import * as messages from "../common/Messages";
import * as ports from "../common/Ports";
import * as queues from "../process/admission/FairQueue";
import * as attemptMemories from "../process/keys/AttemptMemory";
import * as ledgers from "../process/keys/Ledger";
import * as dispatches from "./UpstreamDispatch";

const REJECTED_RETRY_AFTER_MS = 500;
/** Longest wait for a configuration version that the calling entry already has. */
const VERSION_WAIT_TIMEOUT_MS = 500;

/** State and dependencies that all calls of an agent share. */
export interface WorkContext extends dispatches.DispatchContext {
    readonly log: logs.Log;
    readonly service: string;
    readonly slot: string;
    readonly incarnation: number;
    readonly queue: queues.CallQueue;
    readonly ledger: ledgers.Ledger;
    readonly attempts: attemptMemories.AttemptMemory;
    readonly configuration: () => configurations.Configuration | undefined;
    readonly findOutOfService: typeof configurations.findOutOfService;
    readonly isReady: () => boolean;
    readonly isDraining: () => boolean;
    /** Whether the process was paused and may not dispatch yet; checked right before each dispatch. */
    readonly isRefreshing: () => boolean;
    /** Longest time that a frame read now may have waited during a pause of the process. */
    readonly unreadDelayMs: () => number;
    /** Resolves to whether this or a later configuration version came into force within the timeout. */
    readonly waitForVersion: (version: number, timeoutMs: number) => Promise<boolean>;
    /** Whether the upstream can serve the model, by its latest report. */
    readonly canServeModel: (model: string) => boolean;
    readonly checkKeyHome: (key: string) => codes.Failure | undefined;
    readonly load: () => messages.Load;
}

/** Outcome of a call. */
interface WorkOutcome {
    readonly code: codes.ResultCode;
    readonly detail?: string | undefined;
    readonly retryAfterMs?: number | undefined;
    readonly body?: unknown;
    readonly upstreamMs: number;
    readonly queuedMs: number;
    readonly tokens: number;
}

function createRejection(failure: codes.Failure, queuedMs = 0): WorkOutcome {
    return { ...failure, upstreamMs: 0, queuedMs, tokens: 0 };
}

/** Serves one call; used once. */
export class UpstreamWork {
    private readonly abortController = new AbortController();
    private readonly deadline: deadlines.Deadline;
    private isDispatched = false;
    private isAccepted = false;
    private operation: configurations.Operation = { idempotent: false, streams: false };

    constructor(
        private readonly context: WorkContext,
        private readonly call: messages.Call,
        private readonly version: number,
        private readonly sendPart: (part: ports.UpstreamPart) => void,
    ) {
        const remainingMs = call.remainingMs - context.unreadDelayMs();
        this.deadline = deadlines.Deadline.fromRemaining(context.clock, remainingMs);
    }

    /** Called when the caller stops waiting. Dispatched non-idempotent work continues. */
    cancel(): void {
        if (!this.isDispatched || this.operation.idempotent) {
            this.abortController.abort();
        }
    }

    /** Serves the call. Never rejects. */
    async run(): Promise<messages.Answer> {
        const failure = await this.checkArrival();
        this.isAccepted = failure === undefined;
        const outcome = failure === undefined ? await this.runAccepted() : createRejection(failure);
        const { request, stage, attempt, team } = this.call;
        this.context.log.debug(
            { request, stage, attempt, team, code: outcome.code.code, queuedMs: outcome.queuedMs },
            "call ended",
        );
        return this.createAnswer(outcome);
    }

    private createAnswer(outcome: WorkOutcome): messages.Answer {
        return {
            kind: "answer",
            call: this.call.call,
            code: outcome.code.code,
            detail: outcome.detail?.slice(0, 1_000),
            retryAfterMs: outcome.retryAfterMs,
            body: outcome.body,
            upstreamMs: outcome.upstreamMs,
            queuedMs: outcome.queuedMs,
            tokens: outcome.tokens,
            load: this.context.load(),
        };
    }

    /** Checks the call on arrival; resolves to the failure if it can't be accepted. */
    private async checkArrival(): Promise<codes.Failure | undefined> {
        const { context, call } = this;
        if (call.incarnation !== context.incarnation) {
            return codes.failure(codes.codes.otherIncarnation, `now ${context.incarnation}`, 0);
        }
        if (!context.isReady()) {
            return codes.failure(codes.codes.notReady, context.slot, REJECTED_RETRY_AFTER_MS);
        }
        if (!await context.waitForVersion(this.version, VERSION_WAIT_TIMEOUT_MS)) {
            return codes.failure(
                codes.codes.refreshing,
                `version ${this.version} not seen yet`,
                REJECTED_RETRY_AFTER_MS,
            );
        }
        const operation = configurations.findOperation(context.configuration(), call.service, call.operation);
        if (operation === undefined) {
            return codes.failure(codes.codes.unknownOperation, `${call.service}/${call.operation}`);
        }
        this.operation = operation;
        return this.checkDispatch();
    }

    /** The failure that prevents a dispatch now, if any; checked on arrival and right before the dispatch. */
    private checkDispatch(): codes.Failure | undefined {
        const { context } = this;
        if (context.isRefreshing()) {
            return codes.failure(codes.codes.refreshing, context.slot, REJECTED_RETRY_AFTER_MS);
        }
        // Accepted non-idempotent work is finished here, since it must not run on another instance.
        if (context.isDraining() && !(this.isAccepted && !this.operation.idempotent)) {
            return codes.failure(codes.codes.draining, context.slot, REJECTED_RETRY_AFTER_MS);
        }
        const configuration = context.configuration();
        const outOfService = configuration === undefined
            ? "upstream"
            : context.findOutOfService(configuration, context.service, context.slot);
        if (outOfService !== undefined) {
            const code = outOfService === "upstream" ? codes.codes.upstreamOut : codes.codes.domainOut;
            return codes.failure(code, context.slot, REJECTED_RETRY_AFTER_MS);
        }
        const { model } = this.call;
        if (model !== undefined && !context.canServeModel(model)) {
            return codes.failure(codes.codes.modelNotLoaded, model, REJECTED_RETRY_AFTER_MS);
        }
        if (this.deadline.isExpired) {
            return codes.failure(codes.codes.expired, `${Math.round(this.deadline.remainingMs)} ms left`);
        }
        return this.abortController.signal.aborted
            ? codes.failure(codes.codes.cancelled, "caller gone")
            : this.checkHome();
    }

    /** Checks that this instance is the home of the key, which may have changed while the call was queued. */
    private checkHome(): codes.Failure | undefined {
        const { key } = this.call;
        return key === undefined || this.operation.idempotent ? undefined : this.context.checkKeyHome(key);
    }

    private async runAccepted(): Promise<WorkOutcome> {
        if (this.operation.idempotent) {
            return this.admitAndDispatch();
        }
        if (!this.context.attempts.begin(this.call)) {
            return createRejection(codes.failure(codes.codes.tombstoned, `attempt ${this.call.attempt}`));
        }
        const outcome = this.call.key === undefined
            ? await this.admitAndDispatch()
            : await this.runKeyed(this.call.key);
        this.context.attempts.finish(this.call, this.createAnswer(outcome));
        return outcome;
    }

    private async runKeyed(key: string): Promise<WorkOutcome> {
        const { team, service, operation, body } = this.call;
        const decision = this.context.ledger.begin({ team, service, operation, key }, fingerprints.fingerprint(body));
        return pattern.match(decision)
            .with({ kind: "refused" }, ({ failure }) => Promise.resolve(createRejection(failure)))
            .with({ kind: "settled" }, ({ record }) => Promise.resolve(createRecordOutcome(record)))
            .with({ kind: "running" }, ({ settled }) => this.waitForRecord(settled))
            .with({ kind: "run" }, ({ run }) => this.runAndRecord(run))
            .exhaustive();
    }

    private async runAndRecord(run: ledgers.LedgerRun): Promise<WorkOutcome> {
        const outcome = await this.admitAndDispatch();
        if (outcome.code.outcome === "not-run") {
            run.withdraw(codes.failure(outcome.code, outcome.detail ?? "", outcome.retryAfterMs));
        }
        else {
            run.settle({ code: outcome.code.code, body: outcome.body, detail: outcome.detail });
        }
        return outcome;
    }

    /** Waits for the attempt that is running under the same key, at most until the deadline of this call. */
    private async waitForRecord(settled: Promise<ledgers.LedgerRecord>): Promise<WorkOutcome> {
        const timeoutAbort = new AbortController();
        const timeout = clocks.sleep(this.context.clock, this.deadline.remainingMs, timeoutAbort.signal);
        const record = await Promise.race([settled, timeout.then(() => undefined)]);
        timeoutAbort.abort();
        return record === undefined
            ? createRejection(codes.failure(codes.codes.stillRunning, "same key", REJECTED_RETRY_AFTER_MS))
            : createRecordOutcome(record);
    }

    private async admitAndDispatch(): Promise<WorkOutcome> {
        const { team, priority, operation } = this.call;
        const { signal } = this.abortController;
        const ticket = { team, priority, deadlineMs: this.deadline.atMs, signal, operation, isStream: this.isStream };
        const admitted = await this.context.queue.enter(ticket);
        if (admitted.isErr) {
            return createRejection(admitted.error);
        }
        const permit = admitted.value;
        const failure = this.checkDispatch();
        if (failure !== undefined) {
            permit.finish({ kind: "neutral" });
            return createRejection(failure, permit.queuedMs);
        }
        return this.dispatch(permit);
    }

    private async dispatch(permit: queues.Permit): Promise<WorkOutcome> {
        this.isDispatched = true;
        const dispatch = new dispatches.UpstreamDispatch(this.context, permit);
        const { reply, upstreamMs } = await dispatch.run(this.createDispatchedCall(), this.abortController.signal);
        const { queuedMs } = permit;
        if (reply.isErr) {
            return { ...reply.error, upstreamMs, queuedMs, tokens: 0 };
        }
        const { code, body, tokens } = reply.value;
        return { code, body, tokens, upstreamMs, queuedMs };
    }

    private get isStream(): boolean {
        return this.call.stream && this.operation.streams;
    }

    private createDispatchedCall(): dispatches.DispatchedCall {
        const { call } = this;
        return {
            request: call.request,
            operation: call.operation,
            model: call.model,
            priority: call.priority,
            key: call.key,
            remainingMs: this.deadline.remainingMs,
            body: call.body,
            usesFreshConnection: !this.operation.idempotent,
            stream: this.isStream ? { offset: call.offset, onPart: this.sendPart } : undefined,
            // An answer after the deadline is useless. A non-idempotent call, which must not be repeated, still waits for
            // its exchange, which times out at the deadline, so that a result that arrives by then is known.
            canAbandonAtDeadline: this.operation.idempotent,
        };
    }
}

function createRecordOutcome(record: ledgers.LedgerRecord): WorkOutcome {
    const code = codes.findCode(record.code) ?? codes.codes.malformedAnswer;
    return { code, body: record.body, detail: record.detail, upstreamMs: 0, queuedMs: 0, tokens: 0 };
}
