/**
 * Schemas of the messages between entries that serve routed calls; see Messages.ts for their envelope. Its
 * `era` and `version` are the position in the published store's history up to which the sender knows all changes.
 */
import * as z from "zod";
import * as stageOrders from "./StageOrder";

const MAX_ENTRIES = 10_000;
/** Number of leaving instances in one message. */
export const MAX_LEAVING_SIGNS = 1_000;
/** Shortest interval of presence messages. */
export const MIN_PRESENCE_INTERVAL_MS = 300;
const name = z.string().min(1).max(200);

const entrySchema = z.object({
    instance: name,
    address: z.string().min(1).max(64),
    failureDomain: name,
    /** Time since the sender heard of it; 0 if it is connected. */
    silentMs: z.number().min(0).default(0),
});

/** All entries that the sender knows, including itself. */
export const entriesSchema = z.object({
    kind: z.literal("entries"),
    entries: z.array(entrySchema).max(MAX_ENTRIES),
    /** Whether the sender has known the others for long enough to know all of them. */
    isComplete: z.boolean().default(false),
});

/** A list of entries. */
export type Entries = z.infer<typeof entriesSchema>;

/** Presence message between entries, sent several times a second; not the heartbeat of their connection. */
export const presenceSchema = z.object({
    kind: z.literal("presence"),
    /** Whether the sender is stopping and accepts no work from other entries. */
    isDraining: z.boolean(),
    /** Time since the start of the sender's process. */
    uptimeMs: z.number().min(0),
    /** CPU cores available to the sender. */
    cores: z.number().min(0),
    /** Time since the sender became a stage host; undefined if it isn't. */
    hostingMs: z.number().min(0).optional(),
    /** The group of stage workers that it hosts; undefined for the first one. */
    hostingGroup: z.int().min(0).optional(),
    /** Time in which its stage workers can do the work that waits there. */
    backlogMs: z.number().min(0).optional(),
    /** Interval at which the sender sends presence messages. */
    intervalMs: z.number().min(1).default(MIN_PRESENCE_INTERVAL_MS),
});

/** Presence message between entries. */
export type Presence = z.infer<typeof presenceSchema>;

/** A position in the store's history; see Position.ts. */
const positionFields = { era: z.int().min(0).default(0), revision: z.int().min(0) };

/** Requests the changes of the published store after a position. */
export const publishedFetchSchema = z.object({
    kind: z.literal("published-fetch"),
    ...positionFields,
    /** Whether large contents may be stated by their parts. */
    acceptsParts: z.boolean().default(false),
});

/** A request for changes of the published store. */
export type PublishedFetch = z.infer<typeof publishedFetchSchema>;

const itemSchema = z.object({
    key: z.string().max(400),
    ...positionFields,
    /** Undefined if the key has been deleted, or the content is stated by its parts. */
    content: z.instanceof(Uint8Array).optional(),
    /** References to the parts of the content; see ContentParts.ts. */
    parts: z.instanceof(Uint8Array).optional(),
});

/** Changes of the published store up to a position, or its complete content if `isWhole`. */
export const publishedUpdateSchema = z.object({
    kind: z.literal("published-update"),
    items: z.array(itemSchema).max(100_000),
    ...positionFields,
    /** Revision of the backup with which the era began; undefined if the sender doesn't know it. */
    backupRevision: z.int().min(0).optional(),
    isWhole: z.boolean(),
});

/** Changes of the published store. */
export type PublishedUpdate = z.infer<typeof publishedUpdateSchema>;

/** Requests parts of contents that the receiver has stated. */
export const partsFetchSchema = z.object({
    kind: z.literal("parts-fetch"),
    /** Identifies the request on this connection. */
    request: z.int().min(0),
    /** References to the parts; see ContentParts.ts. */
    parts: z.instanceof(Uint8Array),
});

/** A request for parts of contents. */
export type PartsFetch = z.infer<typeof partsFetchSchema>;

/** Number of parts in one message. */
export const MAX_SENT_PARTS = 1_000;

/** The requested parts that the sender has. */
export const partsSchema = z.object({
    kind: z.literal("parts"),
    request: z.int().min(0),
    contents: z.array(z.instanceof(Uint8Array)).max(MAX_SENT_PARTS),
});

/** Parts of contents. */
export type Parts = z.infer<typeof partsSchema>;

/** Maximum number of streams in one message. */
export const MAX_TOLD_STREAMS = 1_000;
/** Longest time for which a stream's origin is remembered. */
export const MAX_STREAM_LIFETIME_MS = 600_000;
const originFields = { service: name, softwareVersion: name };

/** Tells which software version began streams, before their first events are forwarded or when it starts to matter. */
export const streamOriginsSchema = z.object({
    kind: z.literal("stream-origins"),
    streams: z.array(z.object({
        /** The caller's attempt that brought the first event. */
        attempt: stageOrders.callerTextSchema.min(1),
        ...originFields,
        /** How long its caller may still come back. */
        lifetimeMs: z.number().min(0).max(MAX_STREAM_LIFETIME_MS),
    })).max(MAX_TOLD_STREAMS),
});

/** Asks which software version began a stream. */
export const streamOriginAskSchema = z.object({
    kind: z.literal("stream-origin-ask"),
    /** Identifies the question on this connection. */
    question: z.int().min(0),
    /** Undefined if the caller didn't state it. */
    attempt: stageOrders.callerTextSchema.min(1).optional(),
    /** The service that the stream would be resumed on. */
    service: name,
    /** Longest time since the stream can have begun. */
    lifetimeMs: z.number().min(0).max(MAX_STREAM_LIFETIME_MS),
});

/** A question about a stream's origin. */
export type StreamOriginAsk = z.infer<typeof streamOriginAskSchema>;

/** What the sender knows about a stream's origin. */
export const streamOriginAnswerSchema = z.object({
    kind: z.literal("stream-origin-answer"),
    question: z.int().min(0),
    /** One for each service that has written to the stream. */
    origins: z.array(z.object(originFields)).max(100),
    /** The only version that instances of the service have had in that time; undefined if unknown. */
    onlyVersion: name.optional(),
    /** Whether the sender knows of several versions in that time. */
    hasSeveral: z.boolean().default(false),
});

/** The answer to a question about a stream's origin. */
export type StreamOriginAnswer = z.infer<typeof streamOriginAnswerSchema>;

/** Asks the receiver, a stage host, to run the stages of a call. */
export const stagesRunSchema = z.object({
    kind: z.literal("stages-run"),
    /** Identifies the order on this connection. */
    order: z.int().min(0),
    content: stageOrders.stageOrderSchema,
});

/** Pieces of an order computed so far, so that another stage host can continue from them. */
export const stagesMadeSchema = z.object({
    kind: z.literal("stages-made"),
    order: z.int().min(0),
    pieces: z.array(stageOrders.computedPieceSchema).max(10_000),
});

/** The outcome of an order: handles of the results, or the code of a failure. */
export const stagesEndSchema = z.object({
    kind: z.literal("stages-end"),
    order: z.int().min(0),
    handles: z.array(z.string().max(400)).max(100_000).optional(),
    code: z.int().optional(),
    detail: z.string().max(400).optional(),
    retryAfterMs: z.number().optional(),
});

/** Cancels an order. */
export const stagesCancelSchema = z.object({
    kind: z.literal("stages-cancel"),
    order: z.int().min(0),
    /** Whether another host continues the order from the results computed so far. */
    keepsResults: z.boolean().default(false),
});

/** Releases results that their call no longer needs. */
export const stagesReleaseSchema = z.object({
    kind: z.literal("stages-release"),
    handles: z.array(z.string().max(400)).max(100_000),
});

/** Instances that are leaving, as they told the sender or another entry; adds to earlier messages. */
export const instancesLeavingSchema = z.object({
    kind: z.literal("instances-leaving"),
    signs: z.array(
        z.object({
            instance: name,
            /** Start of the incarnation that is leaving, as it published it. */
            startedMs: z.number(),
            /** Time since it first said so. */
            ageMs: z.number().min(0),
        }),
    ).max(MAX_LEAVING_SIGNS),
});

/** Number of limits in one message. */
export const MAX_TOLD_LIMITS = 1_000;

/** Limits that instances name for all entries together, as they told the sender or another entry. */
export const instancesLimitedSchema = z.object({
    kind: z.literal("instances-limited"),
    signs: z.array(
        z.object({
            instance: name,
            /** Start of the incarnation, as it published it. */
            startedMs: z.number(),
            /** Requests a second; undefined if it names no limit any more. */
            perSecond: z.number().min(0).optional(),
            /** Time since the answer that said so. */
            ageMs: z.number().min(0),
        }),
    ).max(MAX_TOLD_LIMITS),
});

/** Largest logarithm of a statement of how long work takes at an instance. */
export const MAX_LOG_SLOWDOWN = 4;
/** Number of instances in a message about their speed. */
export const MAX_TOLD_SPEEDS = 500;
/** Number of statements of one instance in such a message. */
const MAX_TOLD_STATEMENTS = 50;

const toldSpeedSchema = z.object({
    instance: name,
    /** Start of the incarnation, as it published it. */
    startedMs: z.number(),
    /** Logarithms of its statements of how long work takes there, 0 being usual. */
    logSlowdowns: z.array(z.number().min(-MAX_LOG_SLOWDOWN).max(MAX_LOG_SLOWDOWN)).max(MAX_TOLD_STATEMENTS),
});

/** What one incarnation stated in its answers to the sender. */
export type ToldSpeed = z.infer<typeof toldSpeedSchema>;

/** What instances stated of their speed, that the sender hasn't told of before. */
export const instanceSpeedsSchema = z.object({
    kind: z.literal("instance-speeds"),
    samples: z.array(toldSpeedSchema).max(MAX_TOLD_SPEEDS),
});

/** Number of ends, and of answered parts, in one message. */
export const MAX_TOLD_CRASHES = 16;
export const MAX_TOLD_PARTS = 256;
const partId = z.string().min(1).max(200);
const ageMs = z.number().min(0);

/** Ends of instances with the prompts that they were about to answer, and answers that clear parts; adds to earlier ones. */
export const crashesSchema = z.object({
    kind: z.literal("crashes"),
    crashes: z.array(z.object({
        instance: name,
        /** Start of the incarnation that ended, as it published it. */
        startedMs: z.number(),
        /** Time since it ended. */
        ageMs,
        /** Time since a prompt with parts that are held to be the cause was last seen. */
        seenAgeMs: ageMs,
        parts: z.array(partId).max(64),
        /** Requests that it was about to answer, by digest, and the time since each was last sent there. */
        requests: z.array(z.object({ request: partId, sentAgeMs: ageMs })).max(128).default([]),
        /** An attempt of a caller among the prompts. */
        attempt: stageOrders.callerTextSchema.min(1),
    })).max(MAX_TOLD_CRASHES),
    /** Parts of prompts that instances have answered. */
    answered: z.array(z.object({ part: partId, ageMs })).max(MAX_TOLD_PARTS),
});

/** Ends of instances, and answered parts. */
export type Crashes = z.infer<typeof crashesSchema>;
