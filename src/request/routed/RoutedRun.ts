/**
 * Runs a routed call: has its stages computed, sends it to an instance and forwards the answer.
 */
import * as codes from "../../common/Codes";
import * as routing from "../../common/Routing";
import * as stageOrders from "../../common/StageOrder";
import * as promptReading from "../../process/instances/PromptReading";
import * as stageHosts from "../../process/stages/StageHost";
import * as streamTurns from "../../process/streams/StreamTurns";
import * as sinks from "./EventSink";
import * as plainRuns from "./PlainRun";
import * as requestDigests from "./RequestDigest";
import * as calls from "./RoutedCall";
import * as stageGoals from "./StageGoal";
import * as streamResumes from "./StreamResume";
import * as streamRuns from "./StreamRun";
import * as senders from "./UpstreamSender";

/** Dependencies for running a call. */
export interface RunContext extends streamResumes.ResumeContext {
    readonly runStages: (order: stageOrders.StageOrder, signal: AbortSignal) => Promise<stageHosts.StageRunResult>;
    /** Releases results of stages on the workers that hold them. */
    readonly releaseResults: (handles: readonly string[]) => void;
    /** Shares the event loop between streams. */
    readonly streamTurns: streamTurns.StreamTurns;
}

/** Runs a call until its outcome is known; writes events of a stream to `sink`. */
export async function runRouted(
    context: RunContext,
    call: calls.RoutedCall,
    sink: sinks.EventSink,
): Promise<plainRuns.RunOutcome> {
    if (call.route.kind !== "stream") {
        return plainRuns.runPlain(context, call);
    }
    const heldParts = context.crashes.findHeld(requestDigests.observedCall(call));
    if (heldParts !== undefined) {
        return plainRuns.createPartsRejection(heldParts);
    }
    const heldBeyondDeadline = findHoldBeyondDeadline(context, call);
    if (heldBeyondDeadline !== undefined) {
        return heldBeyondDeadline;
    }
    const bound = await streamResumes.bindStream(context, call);
    if (bound.isErr) {
        return call.signal.aborted ? { kind: "disconnected" } : { kind: "local-failure", failure: bound.error };
    }
    return runStream(context, bound.value, sink);
}

async function runStream(
    context: RunContext,
    { call, softwareVersion }: streamResumes.BoundStream,
    sink: sinks.EventSink,
): Promise<plainRuns.RunOutcome> {
    const inputs = new StageInputs(context, call);
    try {
        const stageFailure = await inputs.compute(call.signal);
        if (stageFailure !== undefined) {
            return call.signal.aborted ? { kind: "disconnected" } : { kind: "local-failure", failure: stageFailure };
        }
        return await new streamRuns.StreamRun(context, call, {
            inputs: () => inputs.held,
            computeInputs: async signal => await inputs.compute(signal) === undefined,
            releaseInputs: () => inputs.release(),
            softwareVersion,
            onFirstEvent: version => streamResumes.recordFirstEvent(context, call, version),
            sink,
            turns: context.streamTurns,
        }).run();
    }
    finally {
        inputs.release();
    }
}

/** Rejects a call before its stages run if no instance may be sent it until its deadline. */
function findHoldBeyondDeadline(context: RunContext, call: calls.RoutedCall): plainRuns.RunOutcome | undefined {
    const isBeyondDeadline = context.clock.now() + context.pool.serviceWaitMs(call.service) >= call.hardDeadlineAtMs;
    const retryAfterMs = isBeyondDeadline ? context.pool.callerRetryAfterMs(call.service) : undefined;
    return retryAfterMs !== undefined ? plainRuns.createHoldRejection(retryAfterMs) : undefined;
}

/** Holds the stage results that a call reads, from their computation until their release. */
class StageInputs {
    private results: readonly senders.CallInput[] | undefined;

    constructor(private readonly context: RunContext, private readonly call: calls.RoutedCall) {}

    /** The inputs that are held, none for a call without stages; undefined if they have to be computed. */
    get held(): readonly senders.CallInput[] | undefined {
        return this.hasPieces ? this.results : [];
    }

    private get hasPieces(): boolean {
        const { metadata, route } = this.call;
        return metadata.pieces.slice(0, route.stages.length).some(count => count > 0);
    }

    /** Runs the stages, if the call has any; resolves to the failure, or undefined on success. */
    async compute(signal: AbortSignal): Promise<codes.Failure | undefined> {
        if (!this.hasPieces) {
            return undefined;
        }
        this.release();
        const order = this.createOrder(this.call.route);
        const stagesOutcome = await this.context.runStages(order, signal);
        if (stagesOutcome.kind === "failed") {
            return stagesOutcome.failure;
        }
        this.call.progress.stagesMs ??= this.context.clock.now() - this.call.arrivedMs;
        const sizesBytes = inputSizesBytes(order);
        this.results = stagesOutcome.handles.map((handle, index) => ({ handle, bytes: sizesBytes[index] ?? 0 }));
        return undefined;
    }

    /** Releases the results; safe to call repeatedly. */
    release(): void {
        this.context.releaseResults((this.results ?? []).map(input => input.handle));
        this.results = undefined;
    }

    private createOrder(route: routing.Route): stageOrders.StageOrder {
        const { metadata } = this.call;
        const nowMs = this.context.clock.now();
        const { failureDomain, missingTokens } = this.context.pool.expectedPlacement(
            this.call.service,
            metadata.promptTokens,
            metadata.promptParts,
        );
        const reserveMs = promptReading.firstEventMs(missingTokens);
        return {
            attempt: metadata.attempt,
            pieceKey: metadata.pieceKey,
            stages: route.stages.map((stage, index) => ({
                service: stage.service,
                after: [...stage.after],
                pieces: metadata.pieces[index] ?? 0,
                resultBytes: stage.resultBytes,
            })),
            priority: calls.priorityOf(this.call),
            goalMs: stageGoals.stageSoftDeadlineAtMs(this.call, nowMs) - nowMs - reserveMs,
            limitMs: this.call.hardDeadlineAtMs - nowMs - reserveMs,
            made: [],
            failureDomain,
        };
    }
}

/** Size of each result that the call itself reads: those of stages that no other stage depends on. */
function inputSizesBytes(order: stageOrders.StageOrder): number[] {
    const intermediate = stageOrders.findIntermediateStages(order);
    return order.stages.flatMap((stage, index) =>
        intermediate.has(index) ? [] : new Array<number>(stage.pieces).fill(stage.resultBytes)
    );
}
