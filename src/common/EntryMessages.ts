/**
 * The frames between entries that serve routed calls; see Messages.ts for the envelope. There its version is the
 * highest revision of the published store that the sender knows completely.
 */
import * as z from "zod";
import * as stageOrders from "./StageOrder";

const MAX_ENTRIES = 10_000;
const name = z.string().min(1).max(200);

const entrySchema = z.object({ instance: name, address: z.string().min(1).max(64), failureDomain: name });

/** Entries that the sender has heard of, with itself. */
export const entriesSchema = z.object({
    kind: z.literal("entries"),
    entries: z.array(entrySchema).max(MAX_ENTRIES),
});

/** Says that the sender is there, several times a second. */
export const presenceSchema = z.object({
    kind: z.literal("presence"),
    /** Whether the sender is stopping and takes no work from other entries. */
    isDraining: z.boolean(),
    /** How long the sender's process has run. */
    uptimeMs: z.number().min(0),
    /** Processor time that the sender has, in cores. */
    cores: z.number().min(0),
    /** How long the sender has made the stages of all entries; undefined when it doesn't. */
    hostingMs: z.number().min(0).optional(),
});

/** Asks for what was published after a revision. */
export const publishedFetchSchema = z.object({ kind: z.literal("published-fetch"), revision: z.int().min(0) });

const itemSchema = z.object({
    key: z.string().max(400),
    revision: z.int().min(0),
    /** Undefined for a deleted key. */
    content: z.instanceof(Uint8Array).optional(),
});

/** What was published after a revision, or all of it. */
export const publishedUpdateSchema = z.object({
    kind: z.literal("published-update"),
    items: z.array(itemSchema).max(100_000),
    revision: z.int().min(0),
    isWhole: z.boolean(),
});

/** Asks the receiver to make the stages of a call. */
export const stagesRunSchema = z.object({
    kind: z.literal("stages-run"),
    /** Identifies the order on this connection. */
    order: z.int().min(0),
    content: stageOrders.stageOrderSchema,
});

/** Results of an order that have been made, so that another host can go on with them. */
export const stagesMadeSchema = z.object({
    kind: z.literal("stages-made"),
    order: z.int().min(0),
    pieces: z.array(stageOrders.computedPieceSchema).max(10_000),
});

/** The end of an order: handles, or a failure by its code. */
export const stagesEndSchema = z.object({
    kind: z.literal("stages-end"),
    order: z.int().min(0),
    handles: z.array(z.string().max(400)).max(100_000).optional(),
    code: z.int().optional(),
    detail: z.string().max(400).optional(),
    retryAfterMs: z.number().optional(),
});

/** Takes an order back. */
export const stagesCancelSchema = z.object({ kind: z.literal("stages-cancel"), order: z.int().min(0) });

/** Gives results back that their call no longer needs. */
export const stagesReleaseSchema = z.object({
    kind: z.literal("stages-release"),
    handles: z.array(z.string().max(400)).max(100_000),
});
