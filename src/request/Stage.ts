/**
 * Types for running one stage of a request: its input, its outcome and the context shared by all stages.
 */
import * as codes from "../common/Codes";
import * as deadlines from "../common/Deadline";
import * as logs from "../common/Log";
import * as messages from "../common/Messages";
import * as agentClients from "../connection/AgentClient";
import * as retryBudgets from "../process/admission/RetryBudget";
import * as choices from "../process/choice/UpstreamChoice";

/** A stage to run, with the request it belongs to. */
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
    /** Hash of the beginning of the prompt. */
    readonly prefix?: string | undefined;
    readonly body: unknown;
    readonly deadline: deadlines.Deadline;
    /** Part of the time left, in milliseconds, that this stage may use. */
    readonly budgetMs: number;
    /** Delay after which a hedge, a second attempt in parallel, is sent; undefined for no hedge. */
    readonly hedgeDelayMs: number | undefined;
    readonly signal: AbortSignal;
    /** Receives the tokens of a streaming stage, each exactly once and in order. */
    readonly onToken?: ((offset: number, token: string) => void) | undefined;
}

/** Outcome of a stage. */
export interface StageOutcome {
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
    /** Whether an upstream may have received any part of the work. */
    readonly mayHaveRun: boolean;
}

/** State and dependencies that all stages of a process share. */
export interface StageContext {
    readonly log: logs.Log;
    readonly choose: (request: choices.ChoiceRequest) => choices.Choice | undefined;
    readonly recordSuccess: (instance: string, upstreamMs: number, totalMs: number) => void;
    readonly recordFailure: (instance: string) => void;
    readonly retryBudget: retryBudgets.RetryBudget;
    readonly hedgeBudget: retryBudgets.RetryBudget;
    /** Instances of a service that are connected, not draining and not out of service by the newest configuration. */
    readonly findCandidates: (service: string) => readonly choices.Candidate[];
    /** Result code for a service without a usable instance: out of service, or none reachable. */
    readonly findUnavailableCode: (service: string) => codes.ResultCode;
    /** The connection to an instance's agent; undefined if there is none. */
    readonly findClient: (instance: string) => agentClients.AgentClient | undefined;
    /** The instance responsible for an idempotency key, called its home. */
    readonly findHome: (service: string, key: string) => string | undefined;
    /** Asks the agent, if it is still the same incarnation, for the outcome of an attempt that got no answer. */
    readonly recoverAnswer: (
        instance: string,
        incarnation: number,
        query: agentClients.QueryContent,
        deadline: deadlines.Deadline,
    ) => Promise<messages.Answer | undefined>;
    /** Maximum resumptions of one stream; undefined for the default. */
    readonly maxResumes?: number | undefined;
    readonly now: () => number;
    readonly schedule: (delayMs: number, callback: () => void) => { dispose(): void };
}
