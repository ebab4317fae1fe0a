/**
 * Runs one stage of a request: chooses an instance, sends the call, and retries, hedges or resumes elsewhere
 * as far as the operation's idempotency, the budgets and the deadline allow.
 */
import * as codes from "../common/Codes";
import * as configurations from "../common/Configuration";
import * as logs from "../common/Log";
import * as messages from "../common/Messages";
import * as agentClients from "../connection/AgentClient";
import * as retryBudgets from "../process/RetryBudget";
import * as choices from "../process/UpstreamChoice";
import * as deadlines from "./Deadline";
import * as streams from "./StreamAssembly";

/** Refusals that show a wrong choice rather than a lack of capacity; choosing again costs no retry. */
const REROUTED_CODES: ReadonlySet<number> = new Set([
    codes.codes.draining.code,
    codes.codes.upstreamOut.code,
    codes.codes.domainOut.code,
    codes.codes.otherIncarnation.code,
    codes.codes.refreshing.code,
    codes.codes.notReady.code,
]);
/** Choices made again for one stage without spending a retry. */
const MAX_REROUTES = 3;
/** Resumptions of one stream. */
const MAX_RESUMES = 8;
/** Attempts of one stage in all. */
const MAX_ATTEMPTS = 12;
/** Time that an answer needs on its way back; less than this left ends the attempts. */
const MIN_ATTEMPT_MS = 2;
/** Time past the deadline that the agent's own word on an expired call may take. */
const ANSWER_GRACE_MS = 30;

/** One stage to run. */
export interface StageWork {
    readonly request: string;
    readonly pipeline: string;
    readonly stage: string;
    readonly service: string;
    readonly operation: string;
    readonly model?: string | undefined;
    readonly idempotent: boolean;
    readonly team: string;
    readonly priority: number;
    readonly key?: string | undefined;
    readonly prefix?: string | undefined;
    readonly body: unknown;
    readonly deadline: deadlines.Deadline;
    /** Time this stage may use, in milliseconds. */
    readonly shareMs: number;
    /** When to send a second attempt, in milliseconds; undefined for no hedge. */
    readonly hedgeAfterMs: number | undefined;
    readonly signal: AbortSignal;
    /** Takes the tokens of a streaming stage, each once and in order. */
    readonly onToken?: ((offset: number, token: string) => void) | undefined;
}

/** How a stage ended. */
export interface StageEnd {
    readonly code: codes.ResultCode;
    readonly detail: string | undefined;
    readonly retryAfterMs: number | undefined;
    readonly body: unknown;
    readonly instance: string | undefined;
    readonly upstreamMs: number;
    readonly tokens: number;
    readonly attempts: number;
    readonly retries: number;
    readonly hedges: number;
    /** Whether an upstream may have seen any part of the work. */
    readonly mayHaveRun: boolean;
}

/** What the stages of a process share. */
export interface StageContext {
    readonly log: logs.Log;
    readonly choose: (request: choices.ChoiceRequest) => choices.Choice | undefined;
    readonly recordSuccess: (instance: string, upstreamMs: number, totalMs: number) => void;
    readonly recordFailure: (instance: string) => void;
    readonly retryBudget: retryBudgets.RetryBudget;
    readonly hedgeBudget: retryBudgets.RetryBudget;
    /** Usable instances of a service now, by the newest word on what is out. */
    readonly candidates: (service: string) => readonly choices.Candidate[];
    /** The connection to an instance; undefined when there is none. */
    readonly client: (instance: string) => agentClients.AgentClient | undefined;
    /** The instance responsible for a key. */
    readonly home: (service: string, key: string) => string | undefined;
    /** Asks the incarnation what became of an attempt whose connection was lost. */
    readonly recover: (
        instance: string,
        incarnation: number,
        query: agentClients.QueryContent,
        deadline: deadlines.Deadline,
    ) => Promise<messages.Answer | undefined>;
    readonly now: () => number;
    readonly schedule: (delayMs: number, callback: () => void) => { dispose(): void };
}

interface AttemptEnd {
    readonly instance: string;
    readonly failureDomain: string;
    readonly code: codes.ResultCode;
    readonly answer: messages.Answer | undefined;
    readonly detail?: string | undefined;
    readonly retryAfterMs?: number | undefined;
}

/** Finds the published operation of a stage. */
export function findOperation(
    configuration: configurations.Configuration,
    service: string,
    operation: string,
): configurations.Operation | undefined {
    const published = configuration.services[service];
    return published === undefined || !Object.hasOwn(published.operations, operation)
        ? undefined
        : published.operations[operation];
}

/** The run of one stage; used once. */
export class StageCall {
    private readonly avoidInstances = new Set<string>();
    private readonly avoidDomains = new Set<string>();
    private readonly assembly: streams.StreamAssembly | undefined;
    private attempts = 0;
    private retries = 0;
    private hedges = 0;
    private reroutes = 0;
    private resumes = 0;
    private upstreamMs = 0;
    private mayHaveRun = false;

    constructor(private readonly context: StageContext, private readonly work: StageWork) {
        const onToken = work.onToken;
        this.assembly = onToken === undefined ? undefined : new streams.StreamAssembly(onToken);
    }

    /** Runs the stage to its end. Never rejects. */
    async run(): Promise<StageEnd> {
        this.context.retryBudget.earn();
        this.context.hedgeBudget.earn();
        for (;;) {
            const choice = this.choose();
            if (choice.isErr) {
                return this.end(choice.code, undefined, choice.detail, choice.retryAfterMs);
            }
            const attempt = await this.attemptWithHedge(choice.candidate);
            if (!this.mayTryAgain(attempt)) {
                return this.end(attempt.code, attempt, attempt.detail, attempt.retryAfterMs);
            }
        }
    }

    private choose(): { isErr: false; candidate: choices.Candidate } | {
        isErr: true;
        code: codes.ResultCode;
        detail: string;
        retryAfterMs: number;
    } {
        const { work, context } = this;
        const candidates = context.candidates(work.service);
        if (work.key !== undefined && !work.idempotent) {
            return this.chooseHome(candidates);
        }
        const choice = context.choose({
            service: work.service,
            operation: work.operation,
            ...(work.model === undefined ? {} : { model: work.model }),
            ...(work.prefix === undefined ? {} : { prefix: work.prefix }),
            avoidInstances: this.avoidInstances,
            avoidDomains: this.avoidDomains,
            candidates,
        });
        if (choice === undefined) {
            return { isErr: true, code: codes.codes.noInstance, detail: work.service, retryAfterMs: 1_000 };
        }
        this.logDecision(choice.candidate.instance, choice.considered, choice.reason);
        return { isErr: false, candidate: choice.candidate };
    }

    /** A key has one home, whatever its load; a home that is away is a refusal. */
    private chooseHome(candidates: readonly choices.Candidate[]): ReturnType<StageCall["choose"]> {
        const home = this.context.home(this.work.service, this.work.key ?? "");
        const candidate = candidates.find(other => other.instance === home);
        if (candidate === undefined) {
            const detail = home ?? this.work.service;
            return { isErr: true, code: codes.codes.homeUnavailable, detail, retryAfterMs: 1_000 };
        }
        this.logDecision(candidate.instance, [candidate.instance], "home of the key");
        return { isErr: false, candidate };
    }

    private logDecision(choice: string, considered: readonly string[], reason: string): void {
        const { request, stage } = this.work;
        const attempt = this.attempts;
        this.context.log.info({ decision: "routing", request, stage, attempt, candidates: considered, choice, reason });
    }

    /** Sends one attempt, and a second one elsewhere when the first is slow and the budget allows. */
    private async attemptWithHedge(candidate: choices.Candidate): Promise<AttemptEnd> {
        const hedgeAfterMs = this.work.hedgeAfterMs;
        const mayHedge = hedgeAfterMs !== undefined && this.work.idempotent && this.assembly === undefined;
        if (!mayHedge) {
            return this.attempt(candidate, this.work.signal);
        }
        const cancelFirst = new AbortController();
        const first = this.attempt(candidate, AbortSignal.any([this.work.signal, cancelFirst.signal]));
        const early = await this.settledWithin(first, hedgeAfterMs);
        if (early !== undefined) {
            return early;
        }
        const second = this.chooseHedge(candidate);
        if (second === undefined) {
            return first;
        }
        const cancelSecond = new AbortController();
        const other = this.attempt(second, AbortSignal.any([this.work.signal, cancelSecond.signal]));
        const winner = await firstCompleted(first, other);
        cancelFirst.abort();
        cancelSecond.abort();
        return winner;
    }

    private chooseHedge(first: choices.Candidate): choices.Candidate | undefined {
        this.avoidInstances.add(first.instance);
        this.avoidDomains.add(first.failureDomain);
        if (!this.context.hedgeBudget.trySpend()) {
            return undefined;
        }
        const choice = this.choose();
        if (choice.isErr || choice.candidate.instance === first.instance) {
            return undefined;
        }
        this.hedges++;
        return choice.candidate;
    }

    private settledWithin(attempt: Promise<AttemptEnd>, afterMs: number): Promise<AttemptEnd | undefined> {
        return new Promise(resolve => {
            const timer = this.context.schedule(afterMs, () => resolve(undefined));
            void attempt.then(end => {
                timer.dispose();
                resolve(end);
            });
        });
    }

    private async attempt(candidate: choices.Candidate, signal: AbortSignal): Promise<AttemptEnd> {
        const { instance, failureDomain } = candidate;
        const attempt = this.attempts++;
        const client = this.context.client(instance);
        if (client === undefined) {
            return { instance, failureDomain, code: codes.codes.noInstance, answer: undefined };
        }
        if (signal.aborted) {
            return { instance, failureDomain, code: codes.codes.cancelled, answer: undefined };
        }
        const sentMs = this.context.now();
        const answer = await this.exchange(client, attempt, signal);
        if (answer === undefined) {
            return this.endWithoutAnswer(client, candidate, attempt, signal, sentMs);
        }
        return this.endWithAnswer(candidate, answer, this.context.now() - sentMs);
    }

    private async exchange(
        client: agentClients.AgentClient,
        attempt: number,
        signal: AbortSignal,
    ): Promise<messages.Answer | undefined> {
        const { work, assembly } = this;
        const content: agentClients.CallContent = {
            ...this.identify(attempt),
            team: work.team,
            priority: work.priority,
            remainingMs: Math.min(work.deadline.remainingMs, work.shareMs),
            service: work.service,
            operation: work.operation,
            model: work.model,
            key: work.key,
            stream: assembly !== undefined,
            offset: assembly?.next ?? 0,
            body: work.body,
        };
        const pending = client.call(content, assembly === undefined ? undefined : part => assembly.accept(part));
        const cancel = (): void => pending.cancel();
        signal.addEventListener("abort", cancel, { once: true });
        // The agent answers in time by itself; the timer covers one that was paused or cut off.
        const timer = this.context.schedule(content.remainingMs + ANSWER_GRACE_MS, cancel);
        const answer = await pending.answer;
        timer.dispose();
        signal.removeEventListener("abort", cancel);
        return answer;
    }

    private identify(attempt: number): { request: string; stage: string; attempt: number } {
        return { request: this.work.request, stage: this.work.stage, attempt };
    }

    private async endWithoutAnswer(
        client: agentClients.AgentClient,
        candidate: choices.Candidate,
        attempt: number,
        signal: AbortSignal,
        sentMs: number,
    ): Promise<AttemptEnd> {
        const { instance, failureDomain } = candidate;
        if (!this.work.idempotent && !signal.aborted) {
            const query = { ...this.identify(attempt), ageMs: this.context.now() - sentMs };
            const answer = await this.context.recover(instance, client.incarnation, query, this.work.deadline);
            if (answer !== undefined) {
                return this.endWithAnswer(candidate, answer, 0);
            }
        }
        this.mayHaveRun = true;
        if (signal.aborted) {
            return { instance, failureDomain, code: codes.codes.cancelledRunning, answer: undefined };
        }
        this.context.recordFailure(instance);
        const code = client.isClosed ? codes.codes.connectionLost : codes.codes.upstreamTimeout;
        return { instance, failureDomain, code, answer: undefined, detail: instance };
    }

    private endWithAnswer(candidate: choices.Candidate, answer: messages.Answer, totalMs: number): AttemptEnd {
        const { instance, failureDomain } = candidate;
        const code = codes.findCode(answer.code) ?? codes.codes.malformedAnswer;
        this.upstreamMs += answer.upstreamMs;
        if (code.outcome !== "not-run") {
            this.mayHaveRun = true;
        }
        if (code.outcome === "completed") {
            this.context.recordSuccess(instance, answer.upstreamMs, totalMs);
        }
        else if (code.outcome === "unknown") {
            this.context.recordFailure(instance);
        }
        return { instance, failureDomain, code, answer, detail: answer.detail, retryAfterMs: answer.retryAfterMs };
    }

    private mayTryAgain(attempt: AttemptEnd): boolean {
        const { work } = this;
        const { code } = attempt;
        if (code.outcome === "completed" || work.signal.aborted || this.attempts >= MAX_ATTEMPTS) {
            return false;
        }
        if (work.deadline.remainingMs < MIN_ATTEMPT_MS || (work.key !== undefined && !work.idempotent)) {
            return false;
        }
        if (!work.idempotent && code.outcome !== "not-run") {
            return false;
        }
        this.avoidInstances.add(attempt.instance);
        if (REROUTED_CODES.has(code.code) && this.reroutes < MAX_REROUTES) {
            this.reroutes++;
            return true;
        }
        this.avoidDomains.add(attempt.failureDomain);
        return this.mayResume() || this.mayRetry();
    }

    /** A stream that has begun goes on elsewhere: giving up on it would lose what was delivered. */
    private mayResume(): boolean {
        if (this.assembly === undefined || this.assembly.next === 0 || this.resumes >= MAX_RESUMES) {
            return false;
        }
        this.resumes++;
        return true;
    }

    private mayRetry(): boolean {
        if (!this.context.retryBudget.trySpend()) {
            return false;
        }
        this.retries++;
        return true;
    }

    private end(
        code: codes.ResultCode,
        attempt: AttemptEnd | undefined,
        detail: string | undefined,
        retryAfterMs: number | undefined,
    ): StageEnd {
        return {
            code,
            detail,
            retryAfterMs,
            body: attempt?.answer?.body,
            instance: attempt?.instance,
            upstreamMs: this.upstreamMs,
            tokens: this.assembly?.next ?? attempt?.answer?.tokens ?? 0,
            attempts: this.attempts,
            retries: this.retries,
            hedges: this.hedges,
            mayHaveRun: this.mayHaveRun,
        };
    }
}

/** The first of two attempts that completed; else the one that ended last. */
async function firstCompleted(first: Promise<AttemptEnd>, second: Promise<AttemptEnd>): Promise<AttemptEnd> {
    const early = await Promise.race([first, second]);
    if (early.code.outcome === "completed") {
        return early;
    }
    const [firstEnd, secondEnd] = await Promise.all([first, second]);
    return firstEnd.code.outcome === "completed" ? firstEnd : secondEnd;
}
