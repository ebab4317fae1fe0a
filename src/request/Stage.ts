/**
 * One stage of a request: what is to be run, how it ended, and what the stages of a process share.
 */
import * as codes from "../common/Codes";
import * as logs from "../common/Log";
import * as messages from "../common/Messages";
import * as agentClients from "../connection/AgentClient";
import * as retryBudgets from "../process/admission/RetryBudget";
import * as choices from "../process/choice/UpstreamChoice";
import * as deadlines from "./Deadline";

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
    /** Why a service has no usable instance: out of service, or none reachable. */
    readonly explainNoCandidate: (service: string) => codes.ResultCode;
    /** The connection to an instance; undefined when there is none. */
    readonly client: (instance: string) => agentClients.AgentClient | undefined;
    /** The instance responsible for a key. */
    readonly home: (service: string, key: string) => string | undefined;
    /** Asks the incarnation what became of an attempt whose connection was lost. */
    readonly recoverAnswer: (
        instance: string,
        incarnation: number,
        query: agentClients.QueryContent,
        deadline: deadlines.Deadline,
    ) => Promise<messages.Answer | undefined>;
    /** Most resumptions of one stream; undefined for the default. */
    readonly maxResumes?: number | undefined;
    readonly now: () => number;
    readonly schedule: (delayMs: number, callback: () => void) => { dispose(): void };
}
