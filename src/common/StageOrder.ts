/**
 * What has to be made for one call before it can run. Times are relative, so that an order can travel between
 * processes whose clocks differ.
 */
import * as z from "zod";

const MAX_STAGES = 64;
const MAX_PIECES = 10_000;

const stageSchema = z.object({
    service: z.string().min(1).max(200),
    /** Indexes of the stages whose results this one takes. */
    after: z.array(z.int().min(0)).max(MAX_STAGES),
    /** 0 leaves the stage out. */
    pieces: z.int().min(0).max(MAX_PIECES),
    /** Approximate size of one result. */
    resultBytes: z.number().min(0),
});

/** Schema of a result that has been made. */
export const computedPieceSchema = z.object({
    stage: z.int().min(0).max(MAX_STAGES),
    piece: z.int().min(0).max(MAX_PIECES),
    handle: z.string().min(1).max(400),
    /** The maker, and where it runs. */
    instance: z.string().max(200),
    failureDomain: z.string().max(200),
});

/** A result that has been made. */
export type ComputedPiece = z.infer<typeof computedPieceSchema>;

/** Schema of an order, for the frames between entries. */
export const stageOrderSchema = z.object({
    attempt: z.string().min(1).max(200),
    /** Names the caller's input for stages without inputs of their own. */
    pieceKey: z.string().max(400),
    stages: z.array(stageSchema).max(MAX_STAGES),
    /** 0 is the most urgent. */
    priority: z.number(),
    /** Time until the results must be there for the call to be in time. */
    goalMs: z.number(),
    /** Time until the results are of no use. */
    limitMs: z.number(),
    /** Where the results will be read; undefined when it isn't known. */
    failureDomain: z.string().max(200).optional(),
    /** Results that another host has made already. */
    made: z.array(computedPieceSchema).max(MAX_PIECES).default([]),
});

/** One order. */
export type StageOrder = z.infer<typeof stageOrderSchema>;

/** Indexes of the stages whose results other stages take; the call itself takes those of all others. */
export function intermediateStages(order: StageOrder): ReadonlySet<number> {
    return new Set(order.stages.flatMap(stage => stage.pieces > 0 ? stage.after : []));
}
