/**
 * An order: the request to run the stages of one call before the call itself. A stage consists of pieces (work
 * items) with one result each. Times are relative, since the clocks of sender and receiver may differ.
 */
import * as z from "zod";

const MAX_STAGES = 64;
/** Largest number of pieces of all stages of an order. */
export const MAX_PIECES = 10_000;
/** Longest text that a caller's header can hold; a peer closes the connection on which a longer one arrives. */
const MAX_CALLER_TEXT_LENGTH = 64 * 1024;

/** Schema of a text that a caller chooses, such as its attempt. */
export const callerTextSchema = z.string().max(MAX_CALLER_TEXT_LENGTH);

const stageSchema = z.object({
    service: z.string().min(1).max(200),
    /** Indexes of the stages whose results this one reads. */
    after: z.array(z.int().min(0)).max(MAX_STAGES),
    /** Number of pieces; 0 skips the stage. */
    pieces: z.int().min(0).max(MAX_PIECES),
    /** Approximate size of the result of one piece. */
    resultBytes: z.number().min(0),
});

/** Schema of a piece whose result has been computed. */
export const computedPieceSchema = z.object({
    stage: z.int().min(0).max(MAX_STAGES),
    piece: z.int().min(0).max(MAX_PIECES),
    handle: z.string().min(1).max(400),
    /** The stage worker that holds the result, and its failure domain. */
    instance: z.string().max(200),
    failureDomain: z.string().max(200),
});

/** A piece whose result has been computed. */
export type ComputedPiece = z.infer<typeof computedPieceSchema>;

/** Schema of an order in messages between entries. */
export const stageOrderSchema = z.object({
    attempt: callerTextSchema.min(1),
    /** Identifies the caller's input to stages without predecessors. */
    pieceKey: callerTextSchema,
    stages: z.array(stageSchema).max(MAX_STAGES)
        .refine(hasOnlyKnownPredecessors, "a predecessor that doesn't exist")
        .refine(stages => countPieces(stages) <= MAX_PIECES, "too many pieces"),
    /** 0 is the most urgent. */
    priority: z.number(),
    /** Target time: time left until the results are needed for the call to be in time. */
    goalMs: z.number(),
    /** Hard deadline: time left until the results are useless. */
    limitMs: z.number(),
    /** Failure domain where the results will be read; undefined if unknown. */
    failureDomain: z.string().max(200).optional(),
    /** Pieces already computed for another stage host. */
    made: z.array(computedPieceSchema).max(MAX_PIECES).default([]),
});

/** The request to run the stages of one call. */
export type StageOrder = z.infer<typeof stageOrderSchema>;

/** Whether the predecessors of all stages are stages of the same order. */
export function hasOnlyKnownPredecessors(stages: readonly { readonly after: readonly number[] }[]): boolean {
    return stages.every(({ after }) =>
        after.every(predecessor => Number.isInteger(predecessor) && predecessor >= 0 && predecessor < stages.length)
    );
}

function countPieces(stages: readonly z.infer<typeof stageSchema>[]): number {
    return stages.reduce((sum, { pieces }) => sum + pieces, 0);
}

/** Indexes of the stages whose results other stages read; the call itself reads the results of the rest. */
export function findIntermediateStages(order: StageOrder): ReadonlySet<number> {
    return new Set(order.stages.flatMap(stage => stage.pieces > 0 ? stage.after : []));
}
