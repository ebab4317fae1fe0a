import * as vitest from "vitest";
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as deadlines from "../common/Deadline";
import * as logs from "../common/Log";
import * as agentClients from "../connection/AgentClient";
import * as retryBudgets from "../process/admission/RetryBudget";
import * as choices from "../process/choice/UpstreamChoice";
import * as stages from "./Stage";
import * as stageCalls from "./StageCall";

const { describe, expect, it } = vitest;

const RETRY_AFTER_MS = 420;

/** Two instances whose agents reject every call with `code`. */
function createContext(clock: clocks.Clock, code: codes.ResultCode): stages.StageContext {
    const candidates: choices.Candidate[] = ["engine-1", "engine-2"].map(instance => {
        return { instance, failureDomain: instance, region: "local", load: undefined, pending: 0 };
    });
    const answer = Promise.resolve({ code: code.code, retryAfterMs: RETRY_AFTER_MS, upstreamMs: 0 });
    const client = { isClosed: false, incarnation: 1, call: () => ({ answer, cancel: () => undefined }) };
    const budget = new retryBudgets.RetryBudget({ clock, ratio: () => 1 });
    return {
        log: logs.silentLog,
        choose({ avoidInstances }) {
            const candidate = candidates.find(({ instance }) => !avoidInstances.has(instance));
            return candidate === undefined ? undefined : { candidate, reason: "expected", considered: [] };
        },
        recordSuccess: () => undefined,
        recordFailure: () => undefined,
        retryBudget: budget,
        hedgeBudget: budget,
        findCandidates: () => candidates,
        findUnavailableCode: () => codes.codes.noInstance,
        findClient: () => client as unknown as agentClients.AgentClient,
        findHome: () => undefined,
        recoverAnswer: () => Promise.resolve(undefined),
        now: () => clock.now(),
        schedule: (delayMs, callback) => clock.schedule(delayMs, callback),
    };
}

describe("StageCall", () => {
    it.each([
        [codes.codes.overloaded],
        [codes.codes.deadlineUnreachable],
        [codes.codes.draining],
    ])("ends with the last rejection if every instance rejects with $name", async code => {
        const clock = new clocks.ManualClock();
        const call = new stageCalls.StageCall(createContext(clock, code), {
            request: "r",
            pipeline: "work",
            stage: "engine",
            service: "engine",
            operation: "run",
            idempotent: true,
            team: "a",
            priority: 0,
            body: {},
            deadline: new deadlines.Deadline(clock, 1_000),
            budgetMs: 1_000,
            hedgeDelayMs: undefined,
            signal: new AbortController().signal,
        });
        const outcome = await call.run();
        expect([outcome.code, outcome.retryAfterMs, outcome.attempts]).toEqual([code, RETRY_AFTER_MS, 2]);
    });
});
