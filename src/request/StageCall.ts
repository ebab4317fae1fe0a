/**
 * Runs one stage of a request: chooses an instance, sends the call, and retries, hedges or resumes on other
 * instances as far as the operation's idempotency, the budgets and the deadline allow.
 */
import * as codes from "../common/Codes";
import * as choices from "../process/choice/UpstreamChoice";
import * as stages from "./Stage";
import * as attempts from "./StageAttempt";
import * as streams from "./StreamAssembly";

/** Rejections that indicate a wrong choice rather than a lack of capacity; rerouting spends no retry. */
const REROUTED_CODES: ReadonlySet<number> = new Set([
    codes.codes.draining.code,
    codes.codes.upstreamOut.code,
    codes.codes.domainOut.code,
    codes.codes.otherIncarnation.code,
    codes.codes.refreshing.code,
    codes.codes.notReady.code,
    codes.codes.modelNotLoaded.code,
    codes.codes.connectFailed.code,
]);
/** Maximum reroutes of one stage that spend no retry. */
const MAX_REROUTES = 3;
/** Maximum resumptions of one stream. */
const MAX_RESUMES = 8;
/** A stage is not attempted again after this many attempts, including retries, hedges, reroutes and resumptions. */
const MAX_ATTEMPTS = 12;
/** Minimum time left for a further attempt: an answer needs this long to travel back. */
const MIN_ATTEMPT_MS = 2;
const NO_INSTANCE_RETRY_AFTER_MS = 1_000;

/** Runs one stage; used once. */
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

    constructor(private readonly context: stages.StageContext, private readonly work: stages.StageWork) {
        const onToken = work.onToken;
        this.assembly = onToken === undefined ? undefined : new streams.StreamAssembly(onToken);
    }

    /** Runs the stage until it succeeds or no further attempt is allowed. Never rejects. */
    async run(): Promise<stages.StageOutcome> {
        this.context.retryBudget.earn();
        this.context.hedgeBudget.earn();
        let lastOutcome: attempts.AttemptOutcome | undefined;
        for (;;) {
            const choice = this.choose();
            if (choice.isErr) {
                // The last attempt's failure is more informative than the lack of further instances.
                const outcome = lastOutcome ?? choice;
                return this.createOutcome(outcome.code, lastOutcome, outcome.detail, outcome.retryAfterMs);
            }
            lastOutcome = await this.attemptWithHedge(choice.candidate);
            if (!this.prepareNextAttempt(lastOutcome)) {
                return this.createOutcome(lastOutcome.code, lastOutcome, lastOutcome.detail, lastOutcome.retryAfterMs);
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
        const candidates = context.findCandidates(work.service);
        if (work.key !== undefined && !work.idempotent) {
            return this.chooseHome(candidates);
        }
        const choice = context.choose({
            service: work.service,
            operation: work.operation,
            model: work.model,
            prefix: work.prefix,
            avoidInstances: this.avoidInstances,
            avoidDomains: this.avoidDomains,
            candidates,
        });
        if (choice === undefined) {
            const code = context.findUnavailableCode(work.service);
            return { isErr: true, code, detail: work.service, retryAfterMs: NO_INSTANCE_RETRY_AFTER_MS };
        }
        this.logDecision(choice.candidate.instance, choice.considered, choice.reason);
        return { isErr: false, candidate: choice.candidate };
    }

    /** Chooses the home of the key, whatever its load; the call is rejected if the home is unavailable. */
    private chooseHome(candidates: readonly choices.Candidate[]): ReturnType<StageCall["choose"]> {
        const home = this.context.findHome(this.work.service, this.work.key ?? "");
        const candidate = candidates.find(other => other.instance === home);
        if (candidate === undefined) {
            const detail = home ?? this.work.service;
            return { isErr: true, code: codes.codes.homeUnavailable, detail, retryAfterMs: NO_INSTANCE_RETRY_AFTER_MS };
        }
        this.logDecision(candidate.instance, [candidate.instance], "home of the key");
        return { isErr: false, candidate };
    }

    private logDecision(choice: string, considered: readonly string[], reason: string): void {
        const { request, stage } = this.work;
        const attempt = this.attempts;
        this.context.log.info({ decision: "routing", request, stage, attempt, candidates: considered, choice, reason });
    }

    /** Sends one attempt, and a hedge to another instance if the first is slow and the budget allows. */
    private async attemptWithHedge(candidate: choices.Candidate): Promise<attempts.AttemptOutcome> {
        const hedgeDelayMs = this.work.hedgeDelayMs;
        const canHedge = this.work.idempotent && this.assembly === undefined && !this.context.hedgeBudget.isDisabled;
        if (!canHedge || hedgeDelayMs === undefined) {
            return this.runAttempt(candidate, this.work.signal);
        }
        const cancelFirst = new AbortController();
        const first = this.runAttempt(candidate, AbortSignal.any([this.work.signal, cancelFirst.signal]));
        const firstOutcome = await this.waitForOutcome(first, hedgeDelayMs);
        if (firstOutcome !== undefined) {
            return firstOutcome;
        }
        const hedgeCandidate = this.chooseHedge(candidate);
        if (hedgeCandidate === undefined) {
            return first;
        }
        const cancelSecond = new AbortController();
        const hedge = this.runAttempt(hedgeCandidate, AbortSignal.any([this.work.signal, cancelSecond.signal]));
        const winner = await firstCompleted(first, hedge);
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

    /** Resolves to the outcome of an attempt, or to undefined if it takes longer than `timeoutMs`. */
    private waitForOutcome(
        attempt: Promise<attempts.AttemptOutcome>,
        timeoutMs: number,
    ): Promise<attempts.AttemptOutcome | undefined> {
        return new Promise(resolve => {
            const timer = this.context.schedule(timeoutMs, () => resolve(undefined));
            void attempt.then(outcome => {
                timer.dispose();
                resolve(outcome);
            });
        });
    }

    private async runAttempt(candidate: choices.Candidate, signal: AbortSignal): Promise<attempts.AttemptOutcome> {
        const attempt = new attempts.StageAttempt(this.context, this.work, this.assembly, this.attempts++);
        const outcome = await attempt.run(candidate, signal);
        this.upstreamMs += outcome.answer?.upstreamMs ?? 0;
        this.mayHaveRun = this.mayHaveRun || outcome.code.outcome !== "not-run";
        return outcome;
    }

    /** Whether a further attempt is allowed; if so, counts it against its limit or budget. */
    private prepareNextAttempt(outcome: attempts.AttemptOutcome): boolean {
        const { work } = this;
        const { code } = outcome;
        if (code.outcome === "completed" || work.signal.aborted || this.attempts >= MAX_ATTEMPTS) {
            return false;
        }
        const hasTooLittleTime = !this.hasBegun && work.deadline.remainingMs < MIN_ATTEMPT_MS;
        if (hasTooLittleTime || (work.key !== undefined && !work.idempotent)) {
            return false;
        }
        if (!work.idempotent && code.outcome !== "not-run") {
            return false;
        }
        this.avoidInstances.add(outcome.instance);
        if (REROUTED_CODES.has(code.code) && this.reroutes < MAX_REROUTES) {
            this.reroutes++;
            return true;
        }
        this.avoidDomains.add(outcome.failureDomain);
        return this.hasBegun ? this.tryCountResume() : this.trySpendRetry();
    }

    /** Whether the caller has received a part of the stream. */
    private get hasBegun(): boolean {
        return this.assembly !== undefined && this.assembly.next > 0;
    }

    /** A stream that has begun is resumed without spending a retry: aborting it would waste what was delivered. */
    private tryCountResume(): boolean {
        if (this.resumes >= (this.context.maxResumes ?? MAX_RESUMES)) {
            return false;
        }
        this.resumes++;
        return true;
    }

    private trySpendRetry(): boolean {
        if (!this.context.retryBudget.trySpend()) {
            return false;
        }
        this.retries++;
        return true;
    }

    private createOutcome(
        code: codes.ResultCode,
        attempt: attempts.AttemptOutcome | undefined,
        detail: string | undefined,
        retryAfterMs: number | undefined,
    ): stages.StageOutcome {
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

/** The first attempt to complete; if neither completes, the outcome of `second`. */
async function firstCompleted(
    first: Promise<attempts.AttemptOutcome>,
    second: Promise<attempts.AttemptOutcome>,
): Promise<attempts.AttemptOutcome> {
    const earlier = await Promise.race([first, second]);
    if (earlier.code.outcome === "completed") {
        return earlier;
    }
    const [firstOutcome, secondOutcome] = await Promise.all([first, second]);
    return firstOutcome.code.outcome === "completed" ? firstOutcome : secondOutcome;
}
