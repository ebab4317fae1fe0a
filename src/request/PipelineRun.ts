/**
 * Runs the stages of a request in order under one deadline and combines their outcomes.
 */
import * as codes from "../common/Codes";
import * as configurations from "../common/Configuration";
import * as deadlines from "../common/Deadline";
import * as flowEstimates from "../process/admission/FlowEstimate";
import * as stageHistories from "../process/choice/StageHistory";
import * as entryMetrics from "../process/metrics/EntryMetrics";
import * as stageTypes from "./Stage";
import * as stageCalls from "./StageCall";

/** A request to run. */
export interface PipelineRequest {
    readonly request: string;
    readonly pipeline: string;
    readonly team: string;
    readonly priority: number;
    readonly key?: string | undefined;
    /** Hash of the beginning of the prompt. */
    readonly prefix?: string | undefined;
    readonly input: unknown;
    readonly deadline: deadlines.Deadline;
    readonly signal: AbortSignal;
    readonly onToken?: ((offset: number, token: string) => void) | undefined;
}

/** Outcome of a request. */
export interface PipelineOutcome {
    readonly code: codes.ResultCode;
    readonly detail: string | undefined;
    readonly retryAfterMs: number | undefined;
    /** Name of the stage that failed; undefined on success. */
    readonly stage: string | undefined;
    readonly body: unknown;
    readonly costs: readonly entryMetrics.StageCost[];
}

/** State and dependencies that all requests of a process share. */
export interface PipelineContext extends stageTypes.StageContext {
    readonly history: stageHistories.StageHistory;
    readonly flowEstimate: flowEstimates.FlowEstimate;
    readonly recordCost: (pipeline: string, cost: entryMetrics.StageCost) => void;
}

/** Runs a request under the configuration that was in force on its arrival. Never rejects. */
export async function runPipeline(
    context: PipelineContext,
    configuration: configurations.Configuration,
    stages: readonly configurations.Stage[],
    request: PipelineRequest,
): Promise<PipelineOutcome> {
    const estimatedStages = flowEstimates.describeStages(configuration, stages, request.onToken !== undefined);
    const progress = context.flowEstimate.track(request.team, estimatedStages);
    const outcome = await runStages(context, configuration, stages, request, {
        stages: estimatedStages,
        progress,
    });
    progress.end();
    return outcome;
}

/** A request's stages and progress in the entry's flow estimate. */
interface TrackedRequest {
    readonly stages: readonly flowEstimates.EstimatedStage[];
    readonly progress: flowEstimates.RequestProgress;
}

async function runStages(
    context: PipelineContext,
    configuration: configurations.Configuration,
    stages: readonly configurations.Stage[],
    request: PipelineRequest,
    tracked: TrackedRequest,
): Promise<PipelineOutcome> {
    const costs: entryMetrics.StageCost[] = [];
    let previous: unknown;
    let mayHaveRun = false;
    for (const [index, stage] of stages.entries()) {
        const work = createStageWork(context, configuration, stages, index, request, previous);
        tracked.progress.markSent(index);
        const { outcome, durationMs } = await runStage(context, work);
        const cost = createCost(stage, outcome);
        costs.push(cost);
        context.recordCost(request.pipeline, cost);
        if (outcome.code.code !== codes.codes.ok.code) {
            return createFailure(stage, outcome, mayHaveRun, costs);
        }
        tracked.progress.markAnswered(index);
        context.history.record(request.pipeline, stage.name, durationMs);
        const estimatedStage = tracked.stages[index]!;
        context.flowEstimate.observe(estimatedStage, estimatedStage.isStreamed ? durationMs : outcome.upstreamMs);
        mayHaveRun = mayHaveRun || outcome.mayHaveRun;
        previous = outcome.body;
    }
    return {
        code: codes.codes.ok,
        detail: undefined,
        retryAfterMs: undefined,
        stage: undefined,
        body: previous,
        costs,
    };
}

/** Runs a stage and measures its duration, up to the first token if it streams. */
async function runStage(
    context: PipelineContext,
    work: stageTypes.StageWork,
): Promise<{ outcome: stageTypes.StageOutcome; durationMs: number }> {
    const startedMs = context.now();
    let firstTokenMs: number | undefined;
    const { onToken } = work;
    const recordToken = (offset: number, token: string): void => {
        firstTokenMs ??= context.now();
        onToken?.(offset, token);
    };
    const timedWork = onToken === undefined ? work : { ...work, onToken: recordToken };
    const outcome = await new stageCalls.StageCall(context, timedWork).run();
    return { outcome, durationMs: (firstTokenMs ?? context.now()) - startedMs };
}

function createStageWork(
    context: PipelineContext,
    configuration: configurations.Configuration,
    stages: readonly configurations.Stage[],
    index: number,
    request: PipelineRequest,
    previous: unknown,
): stageTypes.StageWork {
    const stage = stages[index]!;
    const operation = configurations.findOperation(configuration, stage.service, stage.operation);
    const isLast = index === stages.length - 1;
    return {
        request: request.request,
        pipeline: request.pipeline,
        stage: stage.name,
        service: stage.service,
        operation: stage.operation,
        model: stage.model,
        idempotent: operation?.idempotent ?? false,
        team: request.team,
        priority: request.priority,
        key: request.key,
        prefix: request.prefix,
        body: index === 0 ? request.input : extendInput(request.input, previous),
        deadline: request.deadline,
        budgetMs: context.flowEstimate.findBudgetMs(stages.slice(index), request.deadline.remainingMs),
        hedgeDelayMs: context.history.findHedgeDelayMs(request.pipeline, stage.name),
        signal: request.signal,
        onToken: isLast && operation?.streams ? request.onToken : undefined,
    };
}

/** Builds the input of a later stage: the caller's input and the result of the previous stage. */
function extendInput(input: unknown, previous: unknown): unknown {
    const isObject = typeof input === "object" && input !== undefined && !Array.isArray(input);
    return isObject ? { ...input, previous } : { input, previous };
}

function createCost(stage: configurations.Stage, outcome: stageTypes.StageOutcome): entryMetrics.StageCost {
    const { instance, upstreamMs, tokens, attempts, retries, hedges } = outcome;
    return { stage: stage.name, service: stage.service, instance, upstreamMs, tokens, attempts, retries, hedges };
}

/** Never reports "not run" for a request whose earlier stages ran or whose failed stage may have run. */
function createFailure(
    stage: configurations.Stage,
    outcome: stageTypes.StageOutcome,
    mayHaveRunEarlier: boolean,
    costs: readonly entryMetrics.StageCost[],
): PipelineOutcome {
    const mayHaveRun = mayHaveRunEarlier || outcome.mayHaveRun;
    const code = outcome.code.outcome === "not-run" && mayHaveRun ? codes.codes.partlyRun : outcome.code;
    const detail = code === outcome.code
        ? outcome.detail
        : `${outcome.code.name}${outcome.detail === undefined ? "" : `: ${outcome.detail}`}`;
    return { code, detail, retryAfterMs: outcome.retryAfterMs, stage: stage.name, body: outcome.body, costs };
}
