/**
 * Schemas of the messages between the system's own processes. Each frame holds one envelope, which is validated
 * on arrival. The first message in each direction is a `hello`.
 */
import * as z from "zod";
import * as configurations from "./Configuration";
import * as entryMessages from "./EntryMessages";

/** Version of the wire protocol, sent in the `hello`. */
export const PROTOCOL_VERSION = 1;
/** Largest frame accepted, in bytes, excluding its length prefix. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;
/**
 * Heartbeat interval. An agent's heartbeats carry its load, so that other messages don't replace them; between entries
 * for routed calls, presence messages do.
 */
export const HEARTBEAT_MS = 1_000;
/** Silence after which a peer is considered lost. */
export const PEER_SILENCE_MS = 3_500;

const MAX_ID_LENGTH = 200;
const id = z.string().min(1).max(MAX_ID_LENGTH);
const nonNegative = z.number().min(0);

/** Load of an agent's upstream; `limit`, `active` and `queued` count calls. */
const loadSchema = z.object({
    /** Current concurrency limit. */
    limit: nonNegative,
    active: nonNegative,
    queued: nonNegative,
    cold: z.boolean(),
    draining: z.boolean(),
    /** Expected time from the arrival of a new call to its answer. */
    expectedMs: nonNegative,
    /** Models loaded on the engine. */
    models: z.array(configurations.nameSchema).max(1_000),
});

const helloSchema = z.object({
    kind: z.literal("hello"),
    protocol: z.int(),
    role: z.enum(["entry", "agent", "status"]),
    instance: configurations.nameSchema,
    failureDomain: configurations.nameSchema,
    /** Increases with each start of the instance; see Incarnation.ts. */
    incarnation: z.int().min(0),
    /** The service of an agent's upstream. */
    service: configurations.nameSchema.optional(),
    /** IP address and port where the sender accepts connections; undefined if it accepts none. */
    address: z.string().max(64).optional(),
    /** Whether the sender reads messages about the origins of streams; a process that doesn't would disconnect. */
    knowsStreamOrigins: z.boolean().optional(),
    /** The same for messages about ends of instances. */
    knowsCrashes: z.boolean().optional(),
    /** The same for messages about limits of instances. */
    knowsLimits: z.boolean().optional(),
    /** Whether the sender reads messages about the speed of instances. */
    knowsSpeeds: z.boolean().optional(),
    /** Whether the sender has opened this connection since it hears nothing on the one before. */
    replacesSilent: z.boolean().optional(),
});

const callSchema = z.object({
    kind: z.literal("call"),
    /** Identifies the call on this connection. */
    call: z.int().min(0),
    /** Incarnation of the agent that the call is meant for. */
    incarnation: z.int().min(0),
    request: id,
    stage: id,
    attempt: z.int().min(0),
    team: configurations.nameSchema,
    priority: z.int().min(0).max(9),
    /** Time left until the deadline when the message was sent. */
    remainingMs: z.number(),
    service: configurations.nameSchema,
    operation: configurations.nameSchema,
    model: configurations.nameSchema.optional(),
    /** The idempotency key; used only by non-idempotent operations. */
    key: id.optional(),
    stream: z.boolean(),
    /** Offset of the first token to stream. */
    offset: z.int().min(0),
    body: z.unknown().optional(),
});

const cancelSchema = z.object({ kind: z.literal("cancel"), call: z.int().min(0) });

/** Requests the outcome of an attempt that was sent to the same incarnation on an earlier connection. */
const querySchema = z.object({
    kind: z.literal("query"),
    call: z.int().min(0),
    incarnation: z.int().min(0),
    request: id,
    stage: id,
    attempt: z.int().min(0),
    /** Time since the attempt was first sent. */
    ageMs: nonNegative,
});

const partSchema = z.object({
    kind: z.literal("part"),
    call: z.int().min(0),
    /** Offset of the first token. */
    offset: z.int().min(0),
    tokens: z.array(z.string()).max(10_000),
});

const answerSchema = z.object({
    kind: z.literal("answer"),
    call: z.int().min(0),
    code: z.int(),
    detail: z.string().max(2_000).optional(),
    retryAfterMs: z.number().optional(),
    body: z.unknown().optional(),
    /** Time from the dispatch to the upstream until its answer. */
    upstreamMs: nonNegative,
    /** Time spent in the agent's queue. */
    queuedMs: nonNegative,
    tokens: z.int().min(0),
    load: loadSchema,
});

const heartbeatSchema = z.object({
    kind: z.literal("heartbeat"),
    load: loadSchema.optional(),
    /** Time since the configuration service last confirmed the sender's version; undefined if it never did. */
    unconfirmedMs: nonNegative.optional(),
    /** Digest of the sender's configuration in force. */
    digest: z.string().max(64).optional(),
});

/** Requests the changes since version `from`; 0 requests the full content. */
const fetchSchema = z.object({ kind: z.literal("fetch"), from: z.int().min(0) });

const editSchema = z.object({
    path: z.array(z.string().max(128)).min(1).max(8),
    /** The new value; undefined removes the entry. */
    value: z.unknown().optional(),
});

const deltaSchema = z.object({
    kind: z.literal("delta"),
    from: z.int().min(0),
    to: z.int().min(1),
    digest: z.string().max(64),
    edits: z.array(editSchema).max(100_000),
});

const fullSchema = z.object({ kind: z.literal("full"), digest: z.string().max(64), content: z.unknown().optional() });

/** Asks a peer to catch up to a version and to answer; the envelope of the answer holds the peer's version. */
const confirmSchema = z.object({ kind: z.literal("confirm"), token: z.int().min(0), version: z.int().min(0) });
const confirmedSchema = z.object({
    kind: z.literal("confirmed"),
    token: z.int().min(0),
    /** Version since which an agent knows the slots to be unchanged; undefined while it serves no keys. */
    slotsVersion: z.int().min(1).optional(),
});

const messageSchema = z.discriminatedUnion("kind", [
    helloSchema,
    callSchema,
    cancelSchema,
    querySchema,
    partSchema,
    answerSchema,
    heartbeatSchema,
    fetchSchema,
    deltaSchema,
    fullSchema,
    confirmSchema,
    confirmedSchema,
    entryMessages.entriesSchema,
    entryMessages.presenceSchema,
    entryMessages.publishedFetchSchema,
    entryMessages.publishedUpdateSchema,
    entryMessages.partsFetchSchema,
    entryMessages.partsSchema,
    entryMessages.crashesSchema,
    entryMessages.streamOriginsSchema,
    entryMessages.streamOriginAskSchema,
    entryMessages.streamOriginAnswerSchema,
    entryMessages.stagesRunSchema,
    entryMessages.stagesMadeSchema,
    entryMessages.stagesEndSchema,
    entryMessages.stagesCancelSchema,
    entryMessages.stagesReleaseSchema,
    entryMessages.instancesLeavingSchema,
    entryMessages.instancesLimitedSchema,
    entryMessages.instanceSpeedsSchema,
]);

/**
 * The content of a frame: the sender's configuration version in force (0 for none) and a message. Between entries for
 * routed calls the version is a revision of the published store, which belongs to an era.
 */
export const envelopeSchema = z.object({
    version: z.int().min(0),
    era: z.int().min(0).optional(),
    message: messageSchema,
});

/** The validated content of one frame. */
export type Envelope = z.infer<typeof envelopeSchema>;
/** Any message, discriminated by `kind`. */
export type Message = z.infer<typeof messageSchema>;
/** Load of an upstream, reported by its agent. */
export type Load = z.infer<typeof loadSchema>;
/** The first message in each direction; identifies the sender. */
export type Hello = z.infer<typeof helloSchema>;
/** One attempt to run a stage, addressed to one incarnation of an agent. */
export type Call = z.infer<typeof callSchema>;
/** Requests the outcome of an attempt sent on an earlier connection. */
export type Query = z.infer<typeof querySchema>;
/** Consecutive tokens of a stream. */
export type Part = z.infer<typeof partSchema>;
/** The final answer to a call or query. */
export type Answer = z.infer<typeof answerSchema>;
/** The periodic heartbeat. */
export type Heartbeat = z.infer<typeof heartbeatSchema>;
/** The answer to a `confirm`. */
export type Confirmed = z.infer<typeof confirmedSchema>;
/** A change of one entry of a configuration. */
export type Edit = z.infer<typeof editSchema>;
/** The edits between two versions. */
export type Delta = z.infer<typeof deltaSchema>;
