/**
 * Runs a routed call: has its stages made, sends it, and passes the answer on.
 */
import * as codes from "../../common/Codes";
import * as routing from "../../common/Routing";
import * as stageOrders from "../../common/StageOrder";
import * as stageHosts from "../../process/routing/StageHost";
import * as plainRuns from "./PlainRun";
import * as calls from "./RoutedCall";
import * as streamRuns from "./StreamRun";
import * as senders from "./UpstreamSender";

/** Time that an instance needs from a call's arrival to its first event, beside reading the prompt. */
const FIRST_EVENT_MS = 90;
/** Prompt tokens that an engine reads in a millisecond, with other prompts beside. */
const PROMPT_TOKENS_PER_MS = 30;

/** What running needs from its process. */
export interface RunContext extends senders.SenderContext {
    readonly runStages: (order: stageOrders.StageOrder, signal: AbortSignal) => Promise<stageHosts.StageRunResult>;
    /** Gives results of stages back. */
    readonly releaseResults: (handles: readonly string[]) => void;
}

/** Runs a call to its end. */
export async function runRouted(
    context: RunContext,
    call: calls.RoutedCall,
    sink: streamRuns.EventSink,
): Promise<plainRuns.RunEnd> {
    if (call.route.kind !== "stream") {
        return plainRuns.runPlain(context, call);
    }
    const inputs = new StageInputs(context, call);
    try {
        const failed = await inputs.make();
        if (failed !== undefined) {
            return call.signal.aborted ? { kind: "gone" } : { kind: "own", failure: failed };
        }
        return await new streamRuns.StreamRun(context, call, {
            inputs: () => inputs.made,
            remakeInputs: async () => await inputs.make() === undefined,
            onFirstEvent: () => inputs.release(),
            sink,
        }).run();
    }
    finally {
        inputs.release();
    }
}

/** The results of a call's stages, from their making until they are given back. */
class StageInputs {
    made: readonly senders.CallInput[] = [];

    constructor(private readonly context: RunContext, private readonly call: calls.RoutedCall) {}

    /** Has the stages made; resolves to why they weren't. */
    async make(): Promise<codes.Failure | undefined> {
        const { facts, route } = this.call;
        const isNeeded = facts.pieces.slice(0, route.stages.length).some(count => count > 0);
        if (!isNeeded) {
            return undefined;
        }
        this.release();
        const order = this.describeOrder(route);
        const end = await this.context.runStages(order, this.call.signal);
        if (end.kind === "failed") {
            return end.failure;
        }
        this.call.progress.stagesMs = this.context.clock.now() - this.call.arrivedMs;
        const sizes = resultSizes(order);
        this.made = end.handles.map((handle, index) => ({ handle, bytes: sizes[index] ?? 0 }));
        return undefined;
    }

    /** Gives the results back. */
    release(): void {
        this.context.releaseResults(this.made.map(input => input.handle));
        this.made = [];
    }

    private describeOrder(route: routing.Route): stageOrders.StageOrder {
        const { facts } = this.call;
        const nowMs = this.context.clock.now();
        const reserveMs = FIRST_EVENT_MS + facts.promptTokens / PROMPT_TOKENS_PER_MS;
        return {
            attempt: facts.attempt,
            pieceKey: facts.pieceKey,
            stages: route.stages.map((stage, index) => ({
                service: stage.service,
                after: [...stage.after],
                pieces: facts.pieces[index] ?? 0,
                resultBytes: stage.resultBytes,
            })),
            priority: calls.priorityOf(this.call),
            goalMs: this.call.goalAtMs - nowMs - reserveMs,
            limitMs: this.call.limitAtMs - nowMs - reserveMs,
            made: [],
            failureDomain: this.context.pool.affinityDomain(this.call.service, facts.promptParts),
        };
    }
}

/** Sizes of the results that a call reads, in the order of its stages that no other stage follows. */
function resultSizes(order: stageOrders.StageOrder): number[] {
    const followed = stageOrders.findIntermediateStages(order);
    return order.stages.flatMap((stage, index) =>
        followed.has(index) ? [] : new Array<number>(stage.pieces).fill(stage.resultBytes)
    );
}
