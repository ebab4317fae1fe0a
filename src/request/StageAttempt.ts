/**
 * One attempt of a stage: sends one call to one instance and determines the result code.
 */
import * as codes from "../common/Codes";
import * as deadlines from "../common/Deadline";
import * as messages from "../common/Messages";
import * as agentClients from "../connection/AgentClient";
import * as choices from "../process/choice/UpstreamChoice";
import * as stages from "./Stage";
import * as streams from "./StreamAssembly";

/** Time past the deadline within which the agent's own answer about an expired call may arrive. */
const ANSWER_GRACE_MS = 30;

/** Outcome of an attempt. */
export interface AttemptOutcome {
    readonly instance: string;
    readonly failureDomain: string;
    readonly code: codes.ResultCode;
    readonly answer: messages.Answer | undefined;
    readonly detail?: string | undefined;
    readonly retryAfterMs?: number | undefined;
}

/** Runs one attempt; used once. */
export class StageAttempt {
    constructor(
        private readonly context: stages.StageContext,
        private readonly work: stages.StageWork,
        private readonly assembly: streams.StreamAssembly | undefined,
        private readonly attemptNumber: number,
    ) {}

    /** Sends the call and waits for its outcome. Aborting `signal` cancels the call. Never rejects. */
    async run(candidate: choices.Candidate, signal: AbortSignal): Promise<AttemptOutcome> {
        const client = this.context.findClient(candidate.instance);
        if (client === undefined) {
            return this.createFailure(candidate, codes.codes.noInstance);
        }
        if (signal.aborted) {
            return this.createFailure(candidate, codes.codes.cancelled);
        }
        const sentMs = this.context.now();
        const answer = await this.sendCall(client, signal)
            ?? await this.recoverAnswer(client, candidate, signal, sentMs);
        return answer === undefined
            ? this.endWithoutAnswer(client, candidate, signal)
            : this.endWithAnswer(candidate, answer, this.context.now() - sentMs);
    }

    private async sendCall(
        client: agentClients.AgentClient,
        signal: AbortSignal,
    ): Promise<messages.Answer | undefined> {
        const { work, assembly } = this;
        // Listed field by field: object literals that start with a spread are slow, and this runs for each call.
        const content: agentClients.CallContent = {
            request: work.request,
            stage: work.stage,
            attempt: this.attemptNumber,
            team: work.team,
            priority: work.priority,
            remainingMs: this.findTimeoutMs(),
            service: work.service,
            operation: work.operation,
            model: work.model,
            key: work.key,
            stream: assembly !== undefined,
            offset: assembly?.next ?? 0,
            body: work.body,
        };
        const handlePart = (part: messages.Part): void => {
            assembly?.accept(part);
            timer.dispose();
            timer = this.context.schedule(deadlines.STREAM_PROGRESS_TIMEOUT_MS + ANSWER_GRACE_MS, cancel);
        };
        const pending = client.call(content, assembly === undefined ? undefined : handlePart);
        const cancel = (): void => pending.cancel();
        signal.addEventListener("abort", cancel, { once: true });
        // The agent enforces the deadline itself; the timer covers agents that are paused or disconnected.
        let timer = this.context.schedule(content.remainingMs + ANSWER_GRACE_MS, cancel);
        const answer = await pending.answer;
        timer.dispose();
        signal.removeEventListener("abort", cancel);
        return answer;
    }

    /** Asks the incarnation that received a non-idempotent call for the outcome, if no answer arrived. */
    private async recoverAnswer(
        client: agentClients.AgentClient,
        candidate: choices.Candidate,
        signal: AbortSignal,
        sentMs: number,
    ): Promise<messages.Answer | undefined> {
        const { work, context } = this;
        if (work.idempotent || signal.aborted) {
            return undefined;
        }
        const { request, stage } = work;
        const query = { request, stage, attempt: this.attemptNumber, ageMs: context.now() - sentMs };
        return context.recoverAnswer(candidate.instance, client.incarnation, query, work.deadline);
    }

    /** Time left for the call; for a stream that has begun, at least the time allowed between two parts. */
    private findTimeoutMs(): number {
        const { work, assembly } = this;
        const remainingMs = Math.min(work.deadline.remainingMs, work.budgetMs);
        const hasBegun = assembly !== undefined && assembly.next > 0;
        return hasBegun ? Math.max(remainingMs, deadlines.STREAM_PROGRESS_TIMEOUT_MS) : remainingMs;
    }

    private endWithoutAnswer(
        client: agentClients.AgentClient,
        candidate: choices.Candidate,
        signal: AbortSignal,
    ): AttemptOutcome {
        if (signal.aborted) {
            return this.createFailure(candidate, codes.codes.cancelledRunning);
        }
        this.context.recordFailure(candidate.instance);
        const code = client.isClosed ? codes.codes.connectionLost : codes.codes.upstreamTimeout;
        return this.createFailure(candidate, code, candidate.instance);
    }

    private endWithAnswer(candidate: choices.Candidate, answer: messages.Answer, totalMs: number): AttemptOutcome {
        const { instance, failureDomain } = candidate;
        const code = this.findResultCode(answer);
        if (code.outcome === "completed") {
            this.context.recordSuccess(instance, answer.upstreamMs, totalMs);
        }
        else if (code.outcome === "unknown") {
            this.context.recordFailure(instance);
        }
        return { instance, failureDomain, code, answer, detail: answer.detail, retryAfterMs: answer.retryAfterMs };
    }

    /** Result code of an answer; a stream counts as complete only if every token was delivered. */
    private findResultCode(answer: messages.Answer): codes.ResultCode {
        const isTruncated = this.assembly !== undefined && answer.code === codes.codes.ok.code
            && this.assembly.next !== answer.tokens;
        return isTruncated ? codes.codes.streamBroken : codes.findCode(answer.code) ?? codes.codes.malformedAnswer;
    }

    private createFailure(candidate: choices.Candidate, code: codes.ResultCode, detail?: string): AttemptOutcome {
        const { instance, failureDomain } = candidate;
        return { instance, failureDomain, code, answer: undefined, detail };
    }
}
